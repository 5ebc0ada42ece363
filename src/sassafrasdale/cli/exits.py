"""Exit codes of the command line."""

from enum import IntEnum


class Exit(IntEnum):
    """Exit codes of the commands, for scripts."""

    OK = 0
    REFUSED = 1
    USAGE = 2
    CONFLICT = 3
    NOT_REACHED = 4
    UNKNOWN = 5
