"""Time that requests occupy a slot of their service."""

from datetime import timedelta

from sassafrasdale.decisions.latencies import LatencyWindow


class Occupancy:
    """Moving averages and quantiles of the time from admission to completion.

    :param initial: time assumed before the first response.
    :param smoothing: weight of a new time in the moving averages.
    :param window: number of times kept for the quantiles.
    """

    def __init__(self, initial: timedelta, smoothing: float, window: int) -> None:
        self._mean = initial
        self._smoothing = smoothing
        self._by_customer: dict[str, timedelta] = {}
        self._recent = LatencyWindow(window)
        self._recent.add(initial)

    @property
    def mean(self) -> timedelta:
        """Mean over all customers."""
        return self._mean

    def of(self, customer: str) -> timedelta:
        """Return the mean of one customer."""
        return self._by_customer.get(customer, self._mean)

    def quantile(self, share: float) -> timedelta:
        """Return the time that a fraction ``share`` of the recent times lie below."""
        return self._recent.quantile(share)

    def add(self, customer: str, time: timedelta) -> None:
        """Record the time of a successful request."""
        own = self.of(customer)
        self._by_customer[customer] = own + (time - own) * self._smoothing
        self._mean += (time - self._mean) * self._smoothing
        self._recent.add(time)
