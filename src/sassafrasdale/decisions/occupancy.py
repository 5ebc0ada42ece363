"""How long requests occupy a slot of their service."""

from datetime import timedelta

from sassafrasdale.decisions.latencies import LatencyWindow


class Occupancy:
    """Moving mean and quantiles of the time from admission to the end.

    :param initial: time assumed before the first answer.
    :param smoothing: weight of a new time in the moving means.
    :param window: times kept for the quantiles.
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
        """Return the time below which ``share`` of the latest lie."""
        return self._recent.quantile(share)

    def add(self, customer: str, time: timedelta) -> None:
        """Record the time of a success."""
        own = self.of(customer)
        self._by_customer[customer] = own + (time - own) * self._smoothing
        self._mean += (time - self._mean) * self._smoothing
        self._recent.add(time)
