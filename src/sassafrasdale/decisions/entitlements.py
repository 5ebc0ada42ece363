"""Limits of the customers, as far as this entry may use them."""

from collections.abc import Mapping
from datetime import timedelta

from sassafrasdale.decisions.limits import TokenBucket
from sassafrasdale.decisions.shares import DemandShares
from sassafrasdale.decisions.tickets import CustomerShare

UNNAMED = ""
"""Stands for every customer that the text doesn't name.

They share one place in the fair queue. The caller gives the customer's name, so
with a place for each a caller would get more of the service by making up names.
"""


class Entitlements:
    """Weights, rates and most requests in flight of the customers.

    :param customers: what the text grants.
    """

    def __init__(self, customers: Mapping[str, CustomerShare]) -> None:
        self._customers = dict(customers)
        self._unnamed = CustomerShare()
        self._shares = DemandShares()
        self._buckets: dict[str, TokenBucket] = {}
        self._live_entries = 1

    @property
    def shares(self) -> DemandShares:
        """The parts of the limits that fall to this entry."""
        return self._shares

    def set_customers(self, customers: Mapping[str, CustomerShare]) -> None:
        """Take the customers of a new revision of the text."""
        self._customers = dict(customers)
        self._buckets.clear()

    def set_live_entries(self, count: int) -> None:
        """Take the number of entries that share the limits."""
        self._live_entries = max(count, 1)

    def name(self, customer: str) -> str:
        """Return the name under which a customer is counted."""
        return customer if customer in self._customers else UNNAMED

    def weight(self, customer: str) -> float:
        """Return a customer's weight."""
        return self._of(customer).weight

    def try_take(self, customer: str, now: timedelta) -> timedelta | None:
        """Count a request; return None, or the wait if the rate is exceeded."""
        limit = self._of(customer).requests_per_second
        if limit is None:
            return None
        self._shares.add(customer, now)
        rate = limit * self._part(customer, now)
        bucket = self._buckets.setdefault(customer, TokenBucket(rate))
        bucket.set_rate(rate)
        return None if bucket.try_take(now) else bucket.wait(now)

    def most_in_flight(self, customer: str, now: timedelta) -> float | None:
        """Return a customer's most requests in flight here, None for no limit."""
        most = self._of(customer).max_in_flight
        if most is None:
            return None
        return max(most * self._part(customer, now), 1)

    def _part(self, customer: str, now: timedelta) -> float:
        return self._shares.share(customer, self._live_entries, now)

    def _of(self, customer: str) -> CustomerShare:
        return self._customers.get(customer, self._unnamed)
