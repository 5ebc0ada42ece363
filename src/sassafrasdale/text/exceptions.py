"""Errors of the operators' text."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Self

from sassafrasdale.exceptions import SassafrasdaleError


@dataclass(frozen=True, slots=True, order=True)
class Fault:
    """One thing that is wrong with a text.

    :param line: line in the text, counted from 1; 0 if none can be named.
    :param field: path of the field, such as ``services.reports.timeout``.
    :param message: what is wrong and, where possible, what would be right.
    """

    line: int
    field: str
    message: str

    def __str__(self) -> str:
        place = f"line {self.line}" if self.line else "text"
        return f"{place}: {self.field or 'text'}: {self.message}"


class FaultError(SassafrasdaleError):
    """One fault as an exception, a member of the group :class:`TextError`.

    :param fault: what is wrong.
    """

    def __init__(self, fault: Fault) -> None:
        super().__init__(str(fault), field=fault.field)
        self.fault = fault


class TextError(ExceptionGroup[FaultError], SassafrasdaleError):
    """A text has faults; it carries all of them.

    :param faults: everything that is wrong, in the order of the lines.
    """

    def __new__(cls, faults: Iterable[Fault]) -> Self:
        """Build the group out of one exception for each fault."""
        members = [FaultError(fault) for fault in faults]
        error = super().__new__(cls, "the text has faults", members)
        error.faults = tuple(member.fault for member in members)
        return error

    def __init__(self, faults: Iterable[Fault]) -> None:
        # A group's message is read-only, so the root's initializer can't run.
        self.field = None
        self.retry_after = None

    def derive(self, excs: list[FaultError]) -> "TextError":
        """Return a group with some of the members, for ``except*``."""
        return TextError([error.fault for error in excs])
