"""Mean endpoint time of a service's requests.

Workload: prompts from some hundred to tens of thousands of tokens, whose mix changes
over minutes. Fewer long requests make callers wait more than many short ones with the
same load.
"""

from datetime import timedelta

from sassafrasdale.decisions.rates import DecayingRates

# Time over which requests are averaged, and their least number there.
AVERAGING_TIME = timedelta(seconds=60)
MIN_REQUESTS = 20


class RequestTimes:
    """Mean endpoint times of recent requests, by service."""

    def __init__(self) -> None:
        self._times = DecayingRates(AVERAGING_TIME)
        self._requests = DecayingRates(AVERAGING_TIME)

    def observe(self, service: str, took: timedelta, now: timedelta) -> None:
        """Record a request.

        :param took: endpoint time that it takes.
        """
        self._times.add(service, now, took.total_seconds())
        self._requests.add(service, now)

    def mean(self, service: str, now: timedelta) -> timedelta | None:
        """Return the mean endpoint time; None if too few requests are known."""
        rate = self._requests.rate(service, now)
        if rate * AVERAGING_TIME.total_seconds() < MIN_REQUESTS:
            return None
        return timedelta(seconds=self._times.rate(service, now) / rate)
