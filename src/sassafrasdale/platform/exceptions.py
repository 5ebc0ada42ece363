"""Errors of the adapter to the users' platform."""

from collections.abc import Iterable
from typing import Self

from sassafrasdale.exceptions import SassafrasdaleError


class AdapterError(SassafrasdaleError):
    """Base class of the adapter's errors."""


class ValueMalformed(AdapterError):
    """Something that the platform holds or sends has another form."""


class SettingsFileError(AdapterError):
    """The settings file can't be read at all."""


class SettingsFileFaults(ExceptionGroup[ValueMalformed], AdapterError):
    """Fields of the settings file are missing or wrong; one member for each."""

    def __new__(cls, faults: Iterable[ValueMalformed]) -> Self:
        """Build the group."""
        return super().__new__(cls, "the settings file is faulty", list(faults))

    def __init__(self, faults: Iterable[ValueMalformed]) -> None:
        # A group's message is read-only, so the root's initializer can't run.
        self.field = None
        self.retry_after = None

    def derive(self, excs: list[ValueMalformed]) -> "SettingsFileFaults":
        """Return a group with some of the members, for ``except*``."""
        return SettingsFileFaults(excs)


class DutyCallFailed(AdapterError):
    """A call under a duty got no usable answer; it may take effect later."""


class DutyCallRefused(AdapterError):
    """A newer holder's fencing number was seen; this holder must step down."""


class NoneAvailable(AdapterError):
    """The platform has no endpoint of the ordered kind to give now."""
