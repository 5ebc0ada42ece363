"""Settings of an entry process, from flags and environment variables.

Flags take precedence over variables. All faults are reported together, before the
process starts.
"""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import MISSING, dataclass, fields
from datetime import timedelta
from typing import Any, Self

from sassafrasdale.exceptions import SassafrasdaleError
from sassafrasdale.structures import Address
from sassafrasdale.text.durations import parse_duration

PREFIX = "SASSAFRASDALE_"
LOG_LEVELS = ("debug", "info", "notice", "warning", "error", "critical")
MIN_BODY_BYTES = 1024
MAX_BODY_BYTES = 64 * 1024 * 1024


class SettingError(SassafrasdaleError):
    """A setting is missing or invalid; a member of :class:`SettingsError`.

    :param name: name of the setting, as in :class:`EntrySettings`.
    :param problem: description of the fault.
    """

    def __init__(self, name: str, problem: str) -> None:
        super().__init__(f"{flag_of(name)} ({variable_of(name)}): {problem}")
        self.field = name


class SettingsError(ExceptionGroup[SettingError], SassafrasdaleError):
    """Settings are missing or invalid; the group has one member for each.

    :param faults: all faults.
    """

    def __new__(cls, faults: Iterable[SettingError]) -> Self:
        """Build the group."""
        return super().__new__(cls, "settings are missing or wrong", list(faults))

    def __init__(self, faults: Iterable[SettingError]) -> None:
        # An exception group's message is read-only, so the base initializer can't run.
        self.field = None
        self.retry_after = None

    @property
    def faults(self) -> tuple[SettingError, ...]:
        """All faults."""
        return self.exceptions

    def derive(self, excs: list[SettingError]) -> "SettingsError":
        """Return a group with some of the members, for ``except*``."""
        return SettingsError(excs)


@dataclass(frozen=True, slots=True)
class EntrySettings:
    """Settings of one entry process.

    :param name: name of the instance in the platform's list.
    :param availability_zone: availability zone of the process.
    :param address: HTTP address for callers and operators.
    :param peer_address: address for messages from peers.
    :param store: address of the platform's key-value service.
    :param cloud: address of the platform's cloud API.
    :param drain_timeout: maximum time that a shutdown waits for requests in flight.
    :param max_body_bytes: maximum size of a request body.
    :param header_timeout: maximum time for a caller to send a request.
    :param log_level: minimum level of the logs.
    """

    name: str
    availability_zone: str
    address: Address
    peer_address: Address
    store: Address
    cloud: Address
    drain_timeout: timedelta = timedelta(seconds=30)
    max_body_bytes: int = 1_048_576
    header_timeout: timedelta = timedelta(seconds=10)
    log_level: str = "info"


def flag_of(name: str) -> str:
    """Return the command-line flag of a setting."""
    return f"--{name.replace('_', '-')}"


def variable_of(name: str) -> str:
    """Return the environment variable of a setting."""
    return f"{PREFIX}{name.upper()}"


def load_settings(
    flags: Mapping[str, str | None], environ: Mapping[str, str]
) -> EntrySettings:
    """Return the settings from flags and environment variables.

    :param flags: values by setting name; None if the flag is absent.
    :param environ: environment variables.
    :raises SettingsError: if any setting is missing or invalid.
    """
    values: dict[str, Any] = {}
    faults: list[SettingError] = []
    for field in fields(EntrySettings):
        text = flags.get(field.name)
        if text is None:
            text = environ.get(variable_of(field.name))
        if text is None and field.default is not MISSING:
            continue
        try:
            values[field.name] = _parse(field.name, text)
        except ValueError as error:
            faults.append(SettingError(field.name, str(error)))
    if faults:
        raise SettingsError(faults)
    return EntrySettings(**values)


def _parse(name: str, text: str | None) -> Any:
    if not text:
        raise ValueError("is missing")
    return _PARSERS[name](text)


def _parse_name(text: str) -> str:
    if not all(char.isalnum() or char in "._-" for char in text):
        raise ValueError(f"{text!r} has characters other than A-Za-z0-9._-")
    return text


def _parse_size(text: str) -> int:
    if not text.isdecimal():
        raise ValueError(f"{text!r} is not a number of bytes")
    size = int(text)
    if not MIN_BODY_BYTES <= size <= MAX_BODY_BYTES:
        raise ValueError(f"must be from {MIN_BODY_BYTES} to {MAX_BODY_BYTES}")
    return size


def _parse_timeout(text: str) -> timedelta:
    timeout = parse_duration(text)
    if not timeout:
        raise ValueError("must be above 0")
    return timeout


def _parse_level(text: str) -> str:
    if text not in LOG_LEVELS:
        raise ValueError(f"{text!r} is none of {', '.join(LOG_LEVELS)}")
    return text


_PARSERS: Mapping[str, Callable[[str], Any]] = {
    "name": _parse_name,
    "availability_zone": _parse_name,
    "address": Address.parse,
    "peer_address": Address.parse,
    "store": Address.parse,
    "cloud": Address.parse,
    "drain_timeout": _parse_timeout,
    "max_body_bytes": _parse_size,
    "header_timeout": _parse_timeout,
    "log_level": _parse_level,
}
