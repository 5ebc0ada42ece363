"""Settings of an entry process, from flags and environment variables.

Flags go before variables. Every fault is reported at once, before anything
starts.
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
    """One setting is missing or wrong, a member of :class:`SettingsError`.

    :param name: name of the setting, as in :class:`EntrySettings`.
    :param problem: what is wrong.
    """

    def __init__(self, name: str, problem: str) -> None:
        super().__init__(f"{flag_of(name)} ({variable_of(name)}): {problem}")
        self.field = name


class SettingsError(ExceptionGroup[SettingError], SassafrasdaleError):
    """Settings are missing or wrong; the group has one member for each.

    :param faults: everything that is wrong.
    """

    def __new__(cls, faults: Iterable[SettingError]) -> Self:
        """Build the group."""
        return super().__new__(cls, "settings are missing or wrong", list(faults))

    def __init__(self, faults: Iterable[SettingError]) -> None:
        # A group's message is read-only, so the root's initializer can't run.
        self.field = None
        self.retry_after = None

    @property
    def faults(self) -> tuple[SettingError, ...]:
        """Everything that is wrong."""
        return self.exceptions

    def derive(self, excs: list[SettingError]) -> "SettingsError":
        """Return a group with some of the members, for ``except*``."""
        return SettingsError(excs)


@dataclass(frozen=True, slots=True)
class EntrySettings:
    """Settings of one entry process.

    :param name: the instance's name, as the platform lists it.
    :param availability_zone: where the process runs.
    :param address: where it takes HTTP from callers and operators.
    :param peer_address: where it takes messages of its peers.
    :param store: address of the platform's key-value service.
    :param cloud: address of the platform's cloud API.
    :param drain_timeout: how long a stop waits for requests in flight.
    :param max_body_bytes: largest body that a caller may send.
    :param header_timeout: how long a caller may take to send a request.
    :param log_level: least level that is logged.
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
    """Return the settings that flags and variables give.

    :param flags: values by name of the setting; None if the flag is absent.
    :param environ: environment variables.
    :raises SettingsError: if any setting is missing or wrong.
    """
    values: dict[str, Any] = {}
    faults: list[SettingError] = []
    for field in fields(EntrySettings):
        written = flags.get(field.name)
        if written is None:
            written = environ.get(variable_of(field.name))
        if written is None and field.default is not MISSING:
            continue
        try:
            values[field.name] = _read(field.name, written)
        except ValueError as error:
            faults.append(SettingError(field.name, str(error)))
    if faults:
        raise SettingsError(faults)
    return EntrySettings(**values)


def _read(name: str, written: str | None) -> Any:
    if not written:
        raise ValueError("is missing")
    return _READERS[name](written)


def _read_name(written: str) -> str:
    if not all(char.isalnum() or char in "._-" for char in written):
        raise ValueError(f"{written!r} has characters other than A-Za-z0-9._-")
    return written


def _read_size(written: str) -> int:
    if not written.isdecimal():
        raise ValueError(f"{written!r} is not a number of bytes")
    size = int(written)
    if not MIN_BODY_BYTES <= size <= MAX_BODY_BYTES:
        raise ValueError(f"must be from {MIN_BODY_BYTES} to {MAX_BODY_BYTES}")
    return size


def _read_timeout(written: str) -> timedelta:
    timeout = parse_duration(written)
    if not timeout:
        raise ValueError("must be above 0")
    return timeout


def _read_level(written: str) -> str:
    if written not in LOG_LEVELS:
        raise ValueError(f"{written!r} is none of {', '.join(LOG_LEVELS)}")
    return written


_READERS: Mapping[str, Callable[[str], Any]] = {
    "name": _read_name,
    "availability_zone": _read_name,
    "address": Address.parse,
    "peer_address": Address.parse,
    "store": Address.parse,
    "cloud": Address.parse,
    "drain_timeout": _read_timeout,
    "max_body_bytes": _read_size,
    "header_timeout": _read_timeout,
    "log_level": _read_level,
}
