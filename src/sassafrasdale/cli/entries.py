"""Determines the entries to which a command connects."""

import os
import time
from collections.abc import Iterable, Mapping
from datetime import timedelta
from typing import Annotated

from cyclopts import Parameter

from sassafrasdale.cli.client import AdminClient
from sassafrasdale.cli.exceptions import UsageError
from sassafrasdale.structures import Address

ENTRIES_VARIABLE = "SASSAFRASDALE_ENTRY"

Entries = Annotated[
    list[str] | None,
    Parameter(
        name="--entry",
        negative="",
        help="host:port of an entry; may be given several times, tried in turn. "
        f"Variable {ENTRIES_VARIABLE}, separated by commas.",
    ),
]

AsJson = Annotated[bool, Parameter(help="Print JSON instead.", negative="")]


class SystemPacer:
    """Time of the machine, for commands."""

    def elapsed(self) -> timedelta:
        """Return the time since an arbitrary start."""
        return timedelta(seconds=time.monotonic())

    def sleep(self, pause: timedelta) -> None:
        """Wait for ``pause``."""
        time.sleep(pause.total_seconds())


def read_entries(
    flags: Iterable[str] | None, environ: Mapping[str, str]
) -> tuple[Address, ...]:
    """Return the addresses from the flags, or else from the environment variable.

    :raises UsageError: if there is none or one is malformed.
    """
    addresses = list(
        flags or environ.get(ENTRIES_VARIABLE, "").replace(",", " ").split()
    )
    if not addresses:
        raise UsageError(f"name an entry by --entry or {ENTRIES_VARIABLE}")
    try:
        return tuple(dict.fromkeys(Address.parse(address) for address in addresses))
    except ValueError as error:
        raise UsageError(f"--entry ({ENTRIES_VARIABLE}): {error}") from error


def connect(flags: Iterable[str] | None) -> AdminClient:
    """Return a client for the entries that the operator gave."""
    return AdminClient(read_entries(flags, os.environ))
