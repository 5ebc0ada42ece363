"""Share of each customer's demand that reaches this entry, from peers' reports."""

from collections.abc import Mapping
from datetime import timedelta

from sassafrasdale.decisions.rates import DecayingRates

DEMAND_WINDOW = timedelta(seconds=2)
"""Time over which a customer's arrivals at this entry are averaged."""

REPORT_LIFETIME = timedelta(seconds=30)
"""Time after which a peer's report is ignored."""

EVEN_WEIGHT = 0.05
"""Demand assumed at every entry in addition to its own, as a fraction of the mean."""


class DemandShares:
    """Divides rate limits by where the customers' requests arrive.

    Usage::

        shares.add("lab-7", now)  # at each arrival
        peers.send(shares.report(now))  # periodically
        shares.add_report("entry-3", report, now)  # from each peer
        share = shares.share("lab-7", entries, now)
    """

    def __init__(
        self,
        window: timedelta = DEMAND_WINDOW,
        even_weight: float = EVEN_WEIGHT,
    ) -> None:
        self._even_weight = even_weight
        self._rates = DecayingRates(window)
        self._reports: dict[str, Mapping[str, float]] = {}
        self._reported_at: dict[str, timedelta] = {}

    def add(self, customer: str, now: timedelta, amount: float = 1) -> None:
        """Record an arrival, or the ``amount`` that it requests."""
        self._rates.add(customer, now, amount)

    def own_rate(self, customer: str, now: timedelta) -> float:
        """Return the customer's demand at this entry, per second."""
        return self._rates.rate(customer, now)

    def report(self, now: timedelta) -> Mapping[str, float]:
        """Return this entry's demand per second by customer."""
        return {name: self.own_rate(name, now) for name in self._rates.keys}

    def add_report(
        self, peer: str, report: Mapping[str, float], now: timedelta
    ) -> None:
        """Store the report of a peer."""
        self._reports[peer] = report
        self._reported_at[peer] = now

    def customers(self) -> set[str]:
        """Return the customers with any demand, here or at a peer."""
        return set(self._rates.keys).union(*self._reports.values())

    def forget(self, peer: str) -> None:
        """Remove the report of a peer."""
        self._reports.pop(peer, None)
        self._reported_at.pop(peer, None)

    def share(self, customer: str, live_entries: int, now: timedelta) -> float:
        """Return the fraction of a customer's limits that this entry may use.

        :param live_entries: number of entries, this one included. One without a report
            counts with the mean demand of those that have reported.
        """
        total = self.total_rate(customer, live_entries, now)
        return self.fraction(self.own_rate(customer, now), total, live_entries)

    def fraction(self, demand: float, total: float, entries: int) -> float:
        """Return the fraction of a limit that an entry gets for its demand.

        :param demand: demand at that entry, per second.
        :param total: demand at all ``entries``.
        """
        if not total:
            return 1 / entries
        even = total / entries
        return (demand + even * self._even_weight) / (total * (1 + self._even_weight))

    def total_rate(self, customer: str, live_entries: int, now: timedelta) -> float:
        """Return the demand per second at all entries, as far as reported."""
        reported = self._reported_demand(customer, now)
        known = self.own_rate(customer, now) + sum(reported)
        mean = known / (1 + len(reported))
        return known + mean * max(live_entries - 1 - len(reported), 0)

    def _reported_demand(self, customer: str, now: timedelta) -> list[float]:
        return [
            report.get(customer, 0.0)
            for peer, report in self._reports.items()
            if now - self._reported_at[peer] <= REPORT_LIFETIME
        ]
