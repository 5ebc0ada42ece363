"""How long engines take to read a prompt token, as all gateways have seen it."""

from collections.abc import Callable
from datetime import timedelta
from statistics import fmean

from sassafrasdale.decisions.speeds import FASTEST, ReadingSpeed


class ReadingTimes:
    """Times for a prompt token, by service.

    :param told: returns what others have seen of a service, in seconds.
    """

    def __init__(self, told: Callable[[str], list[float]]) -> None:
        self._told = told
        self._speeds: dict[str, ReadingSpeed] = {}

    def observe(self, service: str, unread_tokens: int, took: timedelta) -> None:
        """Note the time to the first token of a request."""
        self._speed(service).observe(unread_tokens, took)

    def seen(self) -> dict[str, float]:
        """Return the times that were seen here, in seconds."""
        return {
            service: speed.token_time.total_seconds()
            for service, speed in self._speeds.items()
            if speed.is_known
        }

    def token_time(self, service: str) -> timedelta:
        """Return the mean of what is known, here and elsewhere.

        One of two hundred gateways sees a long prompt a second, and needs eight of
        them. The first guess may be half off, and with it loads and what is ordered.
        """
        told = self._told(service)
        speed = self._speed(service)
        if speed.is_known:
            told.append(speed.token_time.total_seconds())
        if not told:
            return speed.token_time
        return max(timedelta(seconds=fmean(told)), FASTEST)

    def _speed(self, service: str) -> ReadingSpeed:
        return self._speeds.setdefault(service, ReadingSpeed())
