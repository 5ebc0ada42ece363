"""Exceptions of the duties."""

from sassafrasdale.exceptions import SassafrasdaleError


class DutyError(SassafrasdaleError):
    """A step of a duty failed."""


class OrderFenced(DutyError):
    """An endpoint has seen a higher fencing number: another entry is the leader."""


class RecordChanged(DutyError):
    """Another leader has written the duty's record."""
