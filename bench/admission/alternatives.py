"""Alternatives that were rejected, with the interfaces of those in use."""

from collections.abc import Callable, Mapping
from dataclasses import replace
from datetime import timedelta
from math import sqrt
from types import MappingProxyType

from bench.admission.fleets import OURS, Policy
from sassafrasdale.decisions.fairness import FairQueue
from sassafrasdale.decisions.limits import ConcurrencyLimit, LimitSettings
from sassafrasdale.decisions.tickets import Ticket

SHORT, LONG = 20, 600
"""Responses over which the gradient's two moving averages are taken."""

GRADIENT_TOLERANCE = 1.5
"""Maximum ratio of the short to the long average that doesn't count as queueing."""

GRADIENT_SMOOTHING = 0.2
"""Weight of a new limit."""


class GradientLimit(ConcurrencyLimit):
    """Limit that follows the ratio of a long average of latencies to a short one."""

    def __init__(
        self,
        capacity: int,
        live_entries: int = 1,
        settings: LimitSettings | None = None,
    ) -> None:
        super().__init__(capacity, live_entries, settings)
        self._short = 0.0
        self._long = 0.0

    def on_success(self, in_flight: int, latency: timedelta) -> None:
        """Adjust the limit by the gradient, plus its square root as a margin."""
        seconds = latency.total_seconds()
        self._short += (seconds - (self._short or seconds)) / SHORT
        self._short = self._short or seconds
        self._long += (seconds - (self._long or seconds)) / LONG
        self._long = self._long or seconds
        self._usual = self._long
        if in_flight + 1 < self.value / 2:
            return
        ratio = GRADIENT_TOLERANCE * self._long / self._short
        gradient = min(max(ratio, 0.5), 1.0)
        target = self._value * gradient + sqrt(self._value)
        self._value += (target - self._value) * GRADIENT_SMOOTHING
        max_value = self._share * self._settings.borrow
        self._value = min(max(self._value, self._settings.smallest), max_value)


class PriorityFirst(FairQueue):
    """Takes the request of highest priority of all customers, then by fair order."""

    def take(self, allowed: Callable[[str], bool]) -> Ticket | None:
        """Remove and return the next request of an allowed customer."""
        ready = [name for name in self._queues if allowed(name)]
        if not ready:
            return None

        def order(name: str) -> tuple[int, float, str]:
            return self._queues[name][0].priority, self.start_of(name), name

        return self._pop(min(ready, key=order), 0)


ALTERNATIVES: Mapping[str, Policy] = MappingProxyType(
    {
        "ours": OURS,
        "gradient limit": replace(OURS, limit=GradientLimit),
        "priority first": replace(OURS, queue=PriorityFirst),
        "no standing queue": replace(
            OURS, admission=replace(OURS.admission, wait_share=0.0)
        ),
    }
)
