"""Errors of the operators' commands, with their exit codes."""

from collections.abc import Iterable

from sassafrasdale.cli.exits import Exit
from sassafrasdale.exceptions import SassafrasdaleError
from sassafrasdale.text.exceptions import Fault


class CommandError(SassafrasdaleError):
    """A command failed.

    :param message: what went wrong and what the operator can do.
    """

    exit = Exit.REFUSED


class UsageError(CommandError):
    """The arguments of the command are invalid."""

    exit = Exit.USAGE


class RefusedError(CommandError):
    """The entry refused the request; nothing was changed."""


class FaultsError(RefusedError):
    """The configuration has faults; nothing was changed.

    :param name: name of the file.
    :param faults: all faults.
    """

    def __init__(self, name: str, faults: Iterable[Fault]) -> None:
        self.faults = tuple(faults)
        lines = [format_fault(name, fault) for fault in self.faults]
        count = len(lines)
        lines.append(f"{count} fault{'s' if count != 1 else ''}; nothing was changed")
        super().__init__("\n".join(lines))


class ConflictError(CommandError):
    """Another edit was accepted first; nothing was changed."""

    exit = Exit.CONFLICT


class NotReachedError(CommandError):
    """No entry completed the request; nothing was changed."""

    exit = Exit.NOT_REACHED


class OutcomeUnknownError(CommandError):
    """It could not be determined whether the edit took effect."""

    exit = Exit.UNKNOWN


def format_fault(name: str, fault: Fault) -> str:
    """Return ``file:line: field: message``, a format that editors recognize."""
    location = f"{name}:{fault.line}" if fault.line else name
    return f"{location}: {fault.field or 'text'}: {fault.message}"
