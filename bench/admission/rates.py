"""One customer's rate limit, divided among entries without a shared counter."""

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass
from datetime import timedelta
from random import Random

from bench.admission.traces import ENTRIES
from sassafrasdale.decisions.limits import BURST, TokenBucket
from sassafrasdale.decisions.shares import (
    DEMAND_WINDOW,
    EVEN_WEIGHT,
    DemandShares,
)

DURATION = 60.0
"""Seconds of one replay."""

SPREADS = {
    "even": (1.0,) * ENTRIES,
    "uneven": (0.4, 0.2, 0.12, 0.1, 0.08, 0.06, 0.04),
    "two entries": (0.5, 0.5, 0, 0, 0, 0, 0),
    "one entry": (1, 0, 0, 0, 0, 0, 0),
}
"""Share of the customer's requests that reaches each entry."""


@dataclass(frozen=True, slots=True)
class RateResult:
    """Requests of a customer with a rate limit.

    :param allowed: requests let through, as a share of those offered.
    :param excess: requests let through, as a multiple of the limit.
    """

    allowed: float
    excess: float


@dataclass(frozen=True, slots=True)
class RatePolicy:
    """How a rate limit is divided.

    :param borrow: multiple of the even share that each entry may use without reports;
        None divides the limit by the entries' reports.
    :param interval: seconds between two reports of an entry.
    :param lag: delay of a report to the peers, in seconds.
    """

    borrow: float | None = None
    interval: float = 1.0
    lag: float = 1.0
    burst: timedelta = BURST
    window: timedelta = DEMAND_WINDOW
    even_weight: float = EVEN_WEIGHT


def replay_rate(
    policy: RatePolicy,
    load: float,
    spread: Sequence[float],
    rate: float = 10.0,
    seed: int = 1,
) -> RateResult:
    """Replay Poisson arrivals at ``load`` times the limit.

    :param rate: the limit, in requests per second over all entries.
    """
    rng = Random(seed)
    entries = [_RateEntry(policy, rate) for _ in range(ENTRIES)]
    at, offered, allowed, report_at = 0.0, 0, 0, 0.0
    reports: deque = deque()
    while at < DURATION:
        at += rng.expovariate(rate * load)
        while report_at <= at:
            _collect(entries, reports, report_at, policy)
            report_at += policy.interval
        _deliver(entries, reports, at)
        offered += 1
        allowed += rng.choices(entries, spread)[0].offer(at)
    return RateResult(allowed / offered, allowed / (rate * DURATION))


class _RateEntry:
    """Token bucket and demand shares of one entry."""

    def __init__(self, policy: RatePolicy, rate: float) -> None:
        self.shares = DemandShares(policy.window, policy.even_weight)
        self._policy = policy
        self._limit = rate
        self._bucket = TokenBucket(rate / ENTRIES, policy.burst)

    def offer(self, at: float) -> bool:
        now = timedelta(seconds=at)
        self.shares.add("customer", now)
        self._bucket.set_rate(self._limit * self._limit_share(now))
        return self._bucket.try_take(now)

    def _limit_share(self, now: timedelta) -> float:
        if self._policy.borrow is not None:
            return min(self._policy.borrow / ENTRIES, 1.0)
        return self.shares.share("customer", ENTRIES, now)


def _collect(entries, reports, at, policy) -> None:
    for index, entry in enumerate(entries):
        report = entry.shares.report(timedelta(seconds=at))
        reports.append((at + policy.lag, index, report))


def _deliver(entries, reports, at) -> None:
    while reports and reports[0][0] <= at:
        when, sender, report = reports.popleft()
        for index, entry in enumerate(entries):
            if index != sender:
                entry.shares.add_report(str(sender), report, timedelta(seconds=when))
