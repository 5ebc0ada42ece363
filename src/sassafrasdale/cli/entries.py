"""Which entries a command asks."""

import os
import time
from collections.abc import Iterable, Mapping
from datetime import timedelta
from typing import Annotated

from cyclopts import Parameter

from sassafrasdale.cli.client import AdminClient
from sassafrasdale.cli.exceptions import UsageError
from sassafrasdale.structures import Address

VARIABLE = "SASSAFRASDALE_ENTRY"

Entries = Annotated[
    list[str] | None,
    Parameter(
        name="--entry",
        negative="",
        help="host:port of an entry; may be given several times, tried in turn. "
        f"Variable {VARIABLE}, separated by commas.",
    ),
]

AsJson = Annotated[bool, Parameter(help="Print JSON instead.", negative="")]


class SystemPacer:
    """Time of the machine."""

    def elapsed(self) -> timedelta:
        """Return time since an arbitrary start."""
        return timedelta(seconds=time.monotonic())

    def sleep(self, pause: timedelta) -> None:
        """Wait for ``pause``."""
        time.sleep(pause.total_seconds())


def read_entries(
    flags: Iterable[str] | None, environ: Mapping[str, str]
) -> tuple[Address, ...]:
    """Return the addresses that flags give, or else the variable.

    :raises UsageError: if there is none or one has another form.
    """
    written = list(flags or environ.get(VARIABLE, "").replace(",", " ").split())
    if not written:
        raise UsageError(f"name an entry by --entry or {VARIABLE}")
    try:
        return tuple(dict.fromkeys(Address.parse(address) for address in written))
    except ValueError as error:
        raise UsageError(f"--entry ({VARIABLE}): {error}") from error


def connect(flags: Iterable[str] | None) -> AdminClient:
    """Return a client of the entries that the operator named."""
    return AdminClient(read_entries(flags, os.environ))
