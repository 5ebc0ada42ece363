"""Part of each customer's demand that reaches an entry, from the peers' reports."""

from collections.abc import Mapping
from datetime import timedelta
from math import exp

DEMAND_WINDOW = timedelta(seconds=2)
"""Time over which a customer's own arrivals are averaged."""

REPORT_LIFETIME = timedelta(seconds=30)
"""Time after which a peer's report no longer counts."""

EVEN_WEIGHT = 0.05
"""Demand assumed of every entry on top of its own, as a share of the mean."""


class DemandShares:
    """Divides rate limits by where the customers' requests arrive.

    Usage::

        shares.add("lab-7", now)  # at each arrival
        peers.send(shares.report(now))  # now and then
        shares.hear("entry-3", report, now)  # from each peer
        part = shares.share("lab-7", entries, now)
    """

    def __init__(
        self,
        window: timedelta = DEMAND_WINDOW,
        even_weight: float = EVEN_WEIGHT,
    ) -> None:
        self._window = window
        self._even_weight = even_weight
        self._rates: dict[str, float] = {}
        self._updated: dict[str, timedelta] = {}
        self._reports: dict[str, Mapping[str, float]] = {}
        self._heard: dict[str, timedelta] = {}

    def add(self, customer: str, now: timedelta, amount: float = 1) -> None:
        """Record an arrival, or the ``amount`` that it asks for."""
        rate = self.own(customer, now)
        self._rates[customer] = rate + amount / self._window.total_seconds()
        self._updated[customer] = now

    def own(self, customer: str, now: timedelta) -> float:
        """Return what reaches this entry, a second."""
        rate = self._rates.get(customer, 0.0)
        elapsed = now - self._updated.get(customer, now)
        return rate * exp(-(elapsed / self._window))

    def report(self, now: timedelta) -> Mapping[str, float]:
        """Return this entry's demand, a second and by customer."""
        return {name: self.own(name, now) for name in self._rates}

    def hear(self, peer: str, report: Mapping[str, float], now: timedelta) -> None:
        """Take the report of a peer."""
        self._reports[peer] = report
        self._heard[peer] = now

    def customers(self) -> set[str]:
        """Return the customers that asked for anything, here or at a peer."""
        return set(self._rates).union(*self._reports.values())

    def forget(self, peer: str) -> None:
        """Drop the report of a peer."""
        self._reports.pop(peer, None)
        self._heard.pop(peer, None)

    def share(self, customer: str, live_entries: int, now: timedelta) -> float:
        """Return the part of a customer's limits that this entry may use.

        :param live_entries: entries, this one included. One that has not
            reported counts with the mean demand of those that have.
        """
        total = self.total(customer, live_entries, now)
        return self.part(self.own(customer, now), total, live_entries)

    def part(self, demand: float, total: float, entries: int) -> float:
        """Return the part of a limit that one entry's demand gives it.

        :param demand: what reaches that entry, a second.
        :param total: what reaches all ``entries``.
        """
        if not total:
            return 1 / entries
        even = total / entries
        return (demand + even * self._even_weight) / (total * (1 + self._even_weight))

    def total(self, customer: str, live_entries: int, now: timedelta) -> float:
        """Return all entries' demand, a second, as far as it was reported."""
        heard = self._heard_demand(customer, now)
        known = self.own(customer, now) + sum(heard)
        mean = known / (1 + len(heard))
        return known + mean * max(live_entries - 1 - len(heard), 0)

    def _heard_demand(self, customer: str, now: timedelta) -> list[float]:
        return [
            report.get(customer, 0.0)
            for peer, report in self._reports.items()
            if now - self._heard[peer] <= REPORT_LIFETIME
        ]
