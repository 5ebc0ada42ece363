"""Errors of the duties."""

from sassafrasdale.exceptions import SassafrasdaleError


class DutyError(SassafrasdaleError):
    """A duty could not be done now."""


class OrderFenced(DutyError):
    """An endpoint has seen a higher fencing number: the duty is another's."""


class RecordChanged(DutyError):
    """Another holder has written the record of the duty."""
