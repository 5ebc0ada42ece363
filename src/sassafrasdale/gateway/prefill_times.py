"""Prefill times per token, measured by all gateways."""

from collections.abc import Callable
from datetime import timedelta
from statistics import fmean

from sassafrasdale.decisions.prefill_speeds import MIN_TOKEN_TIME, PrefillSpeed


class PrefillTimes:
    """Time that an engine takes to prefill a token, by service.

    :param reported: returns the times that other gateways have reported for a service,
        in seconds.
    """

    def __init__(self, reported: Callable[[str], list[float]]) -> None:
        self._reported = reported
        self._speeds: dict[str, PrefillSpeed] = {}

    def observe(self, service: str, prefill_tokens: int, took: timedelta) -> None:
        """Record a request's time to first token."""
        self._speed(service).observe(prefill_tokens, took)

    def measured(self) -> dict[str, float]:
        """Return the times measured by this gateway, in seconds."""
        return {
            service: speed.token_time.total_seconds()
            for service, speed in self._speeds.items()
            if speed.is_known
        }

    def token_time(self, service: str) -> timedelta:
        """Return the mean of this gateway's and the others' times.

        One of two hundred gateways gets a long prompt about once a second, and needs
        eight of them for a measurement. The initial estimate may be wrong by half, and
        so would be the loads and the orders for capacity that are based on it.
        """
        reported = self._reported(service)
        speed = self._speed(service)
        if speed.is_known:
            reported.append(speed.token_time.total_seconds())
        if not reported:
            return speed.token_time
        return max(timedelta(seconds=fmean(reported)), MIN_TOKEN_TIME)

    def _speed(self, service: str) -> PrefillSpeed:
        return self._speeds.setdefault(service, PrefillSpeed())
