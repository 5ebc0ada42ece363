"""Ways that were weighed and not taken, with the interfaces of those that were."""

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
"""Answers over which the two moving means of the gradient are taken."""

GRADIENT_TOLERANCE = 1.5
"""Ratio of the short mean to the long one that is not yet taken as queueing."""

GRADIENT_SMOOTHING = 0.2
"""Weight of a new limit."""


class GradientLimit(ConcurrencyLimit):
    """Limit that follows the ratio of a long mean of latencies to a short one."""

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
        """Move the limit by the gradient and a margin of its square root."""
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
        most = self._share * self._settings.borrow
        self._value = min(max(self._value, self._settings.smallest), most)


class PriorityFirst(FairQueue):
    """Takes the most urgent request of all customers, then turns."""

    def take(self, allowed: Callable[[str], bool]) -> Ticket | None:
        """Remove and return the next request of the customers that are allowed."""
        ready = [name for name in self._queues if allowed(name)]
        if not ready:
            return None

        def order(name: str) -> tuple[int, float, str]:
            return self._queues[name][0].priority, self._start_of(name), name

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
