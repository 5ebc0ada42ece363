"""Limits of the customers and this entry's share of them."""

from collections.abc import Mapping
from datetime import timedelta

from sassafrasdale.decisions.limits import TokenBucket
from sassafrasdale.decisions.shares import DemandShares
from sassafrasdale.decisions.tickets import CustomerShare

UNKNOWN_CUSTOMER = ""
"""Name under which all customers that the configuration does not list are counted.

They share one place in the fair queue. The caller supplies the customer's name: if each
name had a place, a caller could get a larger share of the service by inventing names.
"""


class Entitlements:
    """Weights, rate limits and in-flight limits of the customers.

    :param customers: the configured limits.
    """

    def __init__(self, customers: Mapping[str, CustomerShare]) -> None:
        self._customers = dict(customers)
        self._unknown = CustomerShare()
        self._shares = DemandShares()
        self._buckets: dict[str, TokenBucket] = {}
        self._live_entries = 1

    @property
    def shares(self) -> DemandShares:
        """Shares of the limits that this entry may use."""
        return self._shares

    def set_customers(self, customers: Mapping[str, CustomerShare]) -> None:
        """Replace the customers after a configuration change."""
        self._customers = dict(customers)
        self._buckets.clear()

    def set_live_entries(self, count: int) -> None:
        """Set the number of entries that share the limits."""
        self._live_entries = max(count, 1)

    def name(self, customer: str) -> str:
        """Return the name under which a customer is counted."""
        return customer if customer in self._customers else UNKNOWN_CUSTOMER

    def weight(self, customer: str) -> float:
        """Return a customer's weight."""
        return self._of(customer).weight

    def try_take(self, customer: str, now: timedelta) -> timedelta | None:
        """Count a request; return None, or the wait if it exceeds the rate limit."""
        limit = self._of(customer).requests_per_second
        if limit is None:
            return None
        self._shares.add(customer, now)
        rate = limit * self._share(customer, now)
        bucket = self._buckets.setdefault(customer, TokenBucket(rate))
        bucket.set_rate(rate)
        return None if bucket.try_take(now) else bucket.wait(now)

    def max_in_flight(self, customer: str, now: timedelta) -> float | None:
        """Return this entry's in-flight limit for a customer; None if unlimited."""
        maximum = self._of(customer).max_in_flight
        if maximum is None:
            return None
        return max(maximum * self._share(customer, now), 1)

    def _share(self, customer: str, now: timedelta) -> float:
        return self._shares.share(customer, self._live_entries, now)

    def _of(self, customer: str) -> CustomerShare:
        return self._customers.get(customer, self._unknown)
