"""Which requests of a customer beyond its limit are admitted.

Workload: a customer that asks for five times its limit, with requests of several
priorities and of sizes that differ by a factor of fifty, at up to hundreds of gateways.
All of them know which fraction may be admitted. Each admits it by itself: first what is
most urgent, as far as the fraction goes by its own mix of requests.
"""

from collections.abc import Callable, Mapping
from datetime import timedelta

from sassafrasdale.decisions.rates import DecayingRates

# Time over which a gateway averages its mix of priorities.
MIX_WINDOW = timedelta(seconds=5)
# Part of the admitted fraction that each priority gets alike, so that none is starved.
EVEN_FRACTION = 0.25


class RequestThinner:
    """Admits a fraction of the requests, evenly distributed.

    :param deficit: fraction of a request that is initially missing until the next one
        is admitted. With different values the gateways don't all refuse, or all admit,
        their first request.
    """

    def __init__(self, deficit: float) -> None:
        self._deficit = deficit

    def admits(self, fraction: float) -> bool:
        """Return whether the next request is admitted at that fraction."""
        self._deficit -= fraction
        if self._deficit > 0:
            return False
        self._deficit += 1
        return True


def fractions_by_priority(
    fraction: float, demand: Mapping[int, float]
) -> dict[int, float]:
    """Return the fraction of the requests of each priority to admit.

    :param fraction: fraction of all of them, from 0 to 1.
    :param demand: amount asked for by priority; 0 is the most urgent.
    """
    total = sum(demand.values())
    even = fraction * EVEN_FRACTION
    left = (fraction - even) * total
    fractions = {}
    for priority in sorted(demand):
        asked = demand[priority]
        taken = min(left, asked * (1 - even))
        left -= taken
        fractions[priority] = min(even + taken / asked, 1.0) if asked else 1.0
    return fractions


class PriorityThinner:
    """Admits a fraction of a customer's requests, the urgent ones first.

    :param draw: returns a random number from 0 to 1.
    """

    def __init__(self, draw: Callable[[], float]) -> None:
        self._draw = draw
        self._demand: DecayingRates[int] = DecayingRates(MIX_WINDOW)
        self._thinners: dict[int, RequestThinner] = {}

    def record(self, priority: int, amount: float, now: timedelta) -> None:
        """Record a request, whether it is admitted or not."""
        self._demand.add(priority, now, amount)

    def admits(self, priority: int, fraction: float, now: timedelta) -> bool:
        """Return whether the next request of a priority is admitted.

        :param fraction: fraction of all requests that is admitted.
        """
        demand = {key: self._demand.rate(key, now) for key in self._demand.keys}
        wanted = fractions_by_priority(fraction, demand).get(priority, fraction)
        thinner = self._thinners.get(priority)
        if thinner is None:
            thinner = self._thinners[priority] = RequestThinner(self._draw())
        return thinner.admits(wanted)
