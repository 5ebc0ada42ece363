"""Errors of the operators' commands; each names the exit code it ends with."""

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
    """The command's arguments don't do."""

    exit = Exit.USAGE


class RefusedError(CommandError):
    """The entry refused; nothing was changed."""


class FaultsError(RefusedError):
    """The text has faults; nothing was changed.

    :param name: name of the text's file.
    :param faults: everything that is wrong.
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
    """No entry could do it; nothing was changed."""

    exit = Exit.NOT_REACHED


class OutcomeUnknownError(CommandError):
    """Whether the edit took effect could not be learned."""

    exit = Exit.UNKNOWN


def format_fault(name: str, fault: Fault) -> str:
    """Return ``file:line: field: message``, which editors can jump to."""
    place = f"{name}:{fault.line}" if fault.line else name
    return f"{place}: {fault.field or 'text'}: {fault.message}"
