"""Tests of a whole deployment's start."""

import time
from pathlib import Path

from standins.fleet import Fleet
from standins.processes import ROOT

AUTHORITY = ROOT / "examples" / "authority.yaml"


def test_a_fleet_serves_the_text_and_loses_a_zone():
    """A zone's instances are gone when the time of their notice is up."""
    with Fleet(Path(AUTHORITY).read_text(encoding="utf-8"), entries=1) as fleet:
        assert len(fleet.of_service("reports")) == 3
        status = fleet.entries[0].client.call("GET", "/admin/v1/status").json()
        assert status["revision"] == 1
        names = fleet.reclaim_zone("cairo-b", seconds=0.5)
        assert names == ["explanations-2", "records-2", "reports-2"]
        deadline = time.monotonic() + 5
        while time.monotonic() < deadline:
            if all(fleet.process(name).return_code is not None for name in names):
                break
            time.sleep(0.05)
        assert fleet.process("reports-2").return_code is not None
        assert fleet.process("reports-1").return_code is None
