"""The platform's names appear only in the adapter."""

from pathlib import Path

import pytest

PACKAGE = Path(__file__).parents[2] / "src" / "sassafrasdale"
ADAPTER = PACKAGE / "platform"
# Names in the platform's protocol and files, in lower case.
NAMES = (
    "allowresume",
    "api-key",
    "apikeys",
    "deadline-ms",
    "duty-holder",
    "expect-replica",
    "fence-token",
    "ifrev",
    "kv-from",
    "kv-hold",
    "kv-key",
    "kv-lease",
    "kv-range",
    "kv-txn",
    "kv-watch",
    "kvcap",
    "maxtries",
    "canaryshare",
    "op/config",
    "op/rollout",
    "pin-ms",
    "portrange",
    "prompt-prefix",
    "rateper",
    "replica-stamp",
    "request-priority",
    "sassafrasdale_boot",
    "servers/",
    "sessionaffinity",
    "spotprice",
    "status/rollout",
    "token-count",
    "usagewindows",
    "zoneprices",
)
# More names of the platform that the adapter does not read.
UNREAD_NAMES = ("coldleftms", "gapaimms", "goalms", "leaves_ms", "maxconns")
MODULES = sorted(
    path
    for path in PACKAGE.rglob("*.py")
    if ADAPTER not in path.parents and "generated" not in path.parts
)


@pytest.mark.parametrize(
    "path", MODULES, ids=lambda path: str(path.relative_to(PACKAGE))
)
def test_platform_names_are_absent_outside_the_adapter(path):
    text = path.read_text(encoding="utf-8").lower()
    assert [name for name in NAMES + UNREAD_NAMES if name in text] == []


def test_the_adapter_uses_all_names():
    text = "".join(path.read_text("utf-8").lower() for path in ADAPTER.rglob("*.py"))
    assert [name for name in NAMES if name not in text] == []
