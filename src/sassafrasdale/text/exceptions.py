"""Errors in a configuration."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Self

from sassafrasdale.exceptions import SassafrasdaleError


@dataclass(frozen=True, slots=True, order=True)
class Fault:
    """One fault in a configuration.

    :param line: line number, counted from 1; 0 if unknown.
    :param field: path of the field, such as ``services.reports.timeout``.
    :param message: what is wrong and, where possible, how to correct it.
    """

    line: int
    field: str
    message: str

    def __str__(self) -> str:
        location = f"line {self.line}" if self.line else "text"
        return f"{location}: {self.field or 'text'}: {self.message}"


class FaultError(SassafrasdaleError):
    """One fault as an exception, a member of the group :class:`TextError`.

    :param fault: the fault.
    """

    def __init__(self, fault: Fault) -> None:
        super().__init__(str(fault), field=fault.field)
        self.fault = fault


class TextError(ExceptionGroup[FaultError], SassafrasdaleError):
    """A configuration is invalid; the error has all its faults.

    :param faults: all faults, in the order of their lines.
    """

    def __new__(cls, faults: Iterable[Fault]) -> Self:
        """Create the group with one exception for each fault."""
        members = [FaultError(fault) for fault in faults]
        error = super().__new__(cls, "the text has faults", members)
        error.faults = tuple(member.fault for member in members)
        return error

    def __init__(self, faults: Iterable[Fault]) -> None:
        # A group's message is read-only, so the base class's initializer can't run.
        self.field = None
        self.retry_after = None

    def derive(self, excs: list[FaultError]) -> "TextError":
        """Return a group with a part of the members, for ``except*``."""
        return TextError([error.fault for error in excs])
