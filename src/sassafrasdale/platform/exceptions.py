"""Errors of the adapter to the users' platform."""

from collections.abc import Iterable
from typing import Self

from sassafrasdale.exceptions import SassafrasdaleError


class AdapterError(SassafrasdaleError):
    """Base class of the adapter's errors."""


class ValueMalformed(AdapterError):
    """A value from the platform is malformed."""


class SettingsFileError(AdapterError):
    """The settings file is missing or is not JSON."""


class SettingsFileFaults(ExceptionGroup[ValueMalformed], AdapterError):
    """Fields of the settings file are missing or invalid; one member for each."""

    def __new__(cls, faults: Iterable[ValueMalformed]) -> Self:
        """Build the group."""
        return super().__new__(cls, "the settings file is faulty", list(faults))

    def __init__(self, faults: Iterable[ValueMalformed]) -> None:
        # An exception group's message is read-only, so the base initializer can't run.
        self.field = None
        self.retry_after = None

    def derive(self, excs: list[ValueMalformed]) -> "SettingsFileFaults":
        """Return a group with some of the members, for ``except*``."""
        return SettingsFileFaults(excs)


class DutyCallFailed(AdapterError):
    """A duty call got no usable response; it may take effect later."""


class DutyCallRefused(AdapterError):
    """The platform has seen a newer fencing number; this leader must step down."""


class NoEndpointAvailable(AdapterError):
    """The platform has no endpoint of the ordered kind available."""
