"""Distributed enforcement of a customer's rate limit across gateways.

Workload: few requests whose sizes differ by a factor of a hundred, distributed unevenly
by a load balancer over up to hundreds of gateways, each of which sees a customer only
occasionally. A fixed fraction of the limit per gateway refuses a customer far below its
limit; and if a fraction may be overdrawn by one request, two hundred gateways admit two
hundred requests too many. Each gateway therefore tracks the whole limit: it subtracts
its own usage immediately and that of the other groups (a group is the gateways that
report to one aggregator) when their totals arrive, and extrapolates each group's rate
until its next report. While more remains than may be used before it is reported, any
gateway admits requests as long as its own unreported usage is within its share of what
remains. Near the limit every gateway admits the same fraction of its requests, whatever
their size, such that together they use what the limit is refilled by.

Fixed fractions refused 6.5 of 100 requests of a customer at half of its limit, this
scheme refuses none (eight gateways, 600 requests of 1,000 to 50,000 tokens). For a
customer at 7.5 times its limit, fractions that one request may overdraw admitted 2.1
times the limit with sixty gateways (models in ``tests/gateway/test_quotas.py``).
"""

from collections import deque
from dataclasses import dataclass
from datetime import timedelta
from math import exp

from sassafrasdale.decisions.aggregators import CONTACT_TIMEOUT, EXPIRY_TIMEOUT

# Time over which a group's usage rate is averaged, to estimate its unreported usage.
USAGE_WINDOW = timedelta(seconds=2)
# Default time until usage is known at all gateways.
PROPAGATION_TIME = timedelta(milliseconds=500)
# Minimum number of requests for a surge: two may coincide by chance.
MIN_SURGE_REQUESTS = 3
# Maximum number of gateways assumed to see a surge at the same time. Otherwise one
# caller's few requests would count as a surge at each of two hundred gateways.
MAX_SURGE_GATEWAYS = 8
# Time over which deviations from the limit are corrected. It must be longer than usage
# takes to reach all gateways, which is a second in fleets of hundreds.
CORRECTION_TIME = timedelta(seconds=2)
# Bounds of the retry-after time. A caller that retries sooner meets the same state of
# the limit; later it has most likely given up.
MIN_RETRY_AFTER = timedelta(milliseconds=300)
MAX_RETRY_AFTER = timedelta(seconds=10)
# Retention of the totals of a group that is gone: it may only have been partitioned.
FORGET = timedelta(minutes=2)


@dataclass(frozen=True, slots=True)
class UsageCounterId:
    """Identity of the counter of a group's usage.

    :param zone: the group's availability zone.
    :param key: name of the aggregator, its incarnation, and how often it has reset its
        counter.
    :param began_at: elapsed time at which it started to count.
    """

    zone: str
    key: tuple[str, int, int]
    began_at: timedelta


@dataclass(slots=True)
class _GroupUsage:
    """A group's total usage at its last report, and its rate until then."""

    total: float
    reported_at: timedelta
    rate: float = 0.0

    def expected(self, now: timedelta) -> float:
        """Return the estimated usage of the group since its last report.

        Its rate is extrapolated while it is in contact. After that, its share of the
        limit is reserved instead.
        """
        age = now - self.reported_at
        if age > EXPIRY_TIMEOUT:
            return 0.0
        return self.rate * min(age, CONTACT_TIMEOUT).total_seconds()


class SharedLimit:
    """One gateway's view of the usage of a customer's limit by all gateways.

    :param used: initial deficit, in tokens.
    """

    def __init__(self, used: float, now: timedelta) -> None:
        self._used = used
        # Remainder of the initial deficit that has not been refilled yet.
        self._initial_deficit = used
        self._admitted = 0.0
        self._updated = now
        self._rate = 0.0
        self._unreported: deque[tuple[timedelta, float]] = deque()
        self._requested: deque[tuple[timedelta, float]] = deque()
        self._groups: dict[tuple[str, int, int], _GroupUsage] = {}
        # Time of the last report of each zone.
        self._zone_reported_at: dict[str, timedelta] = {}

    @property
    def admitted(self) -> float:
        """Tokens admitted here since the start."""
        return self._admitted

    def used(self, now: timedelta) -> float:
        """Return the deficit, in tokens: what is missing from a full limit."""
        expected = sum(group.expected(now) for group in self._groups.values())
        elapsed = (now - self._updated).total_seconds()
        return max(self._used - self._rate * elapsed, 0.0) + expected

    def refill(self, rate: float, now: timedelta) -> None:
        """Refill the limit up to now, and at ``rate`` from now on."""
        filled = self._rate * (now - self._updated).total_seconds()
        self._used = max(self._used - filled, 0.0)
        self._initial_deficit = max(self._initial_deficit - filled, 0.0)
        self._rate = rate
        self._updated = now

    def remaining(self, depth: float, fraction: float, now: timedelta) -> float:
        """Return what remains of a fraction of the limit; negative if overdrawn.

        The initial deficit reduces each fraction proportionally. Usage since then
        counts in full: a gateway that is not in contact with others has admitted all
        of it itself.

        :param depth: tokens of a full limit.
        :param fraction: fraction of the limit that belongs to the gateways in contact.
        """
        admitted = self.used(now) - self._initial_deficit
        return (depth - self._initial_deficit) * fraction - admitted

    def record_admitted(self, amount: float, now: timedelta) -> None:
        """Subtract what is admitted here; a negative amount returns it."""
        self._used += amount
        self._admitted += amount
        self._unreported.append((now, amount))

    def unreported(
        self, now: timedelta, propagation_time: timedelta = PROPAGATION_TIME
    ) -> float:
        """Return what was admitted here too recently for other gateways to know.

        :param propagation_time: time until usage is known at all gateways.
        """
        while self._unreported and now - self._unreported[0][0] > propagation_time:
            self._unreported.popleft()
        return sum(amount for _, amount in self._unreported)

    def record_request(self, amount: float, now: timedelta) -> None:
        """Record the tokens that a request needs, whether it is admitted or not."""
        self._requested.append((now, amount))

    def surge(
        self, now: timedelta, propagation_time: timedelta, average: float
    ) -> float:
        """Return by how much the demand here exceeds the average, in tokens a second.

        An average over seconds shows a surge too late: in the meantime each gateway
        that it reaches would admit the whole rate by itself.

        :param propagation_time: time until usage is known at all gateways.
        :param average: average demand here, in tokens a second.
        """
        while self._requested and now - self._requested[0][0] > propagation_time:
            self._requested.popleft()
        if len(self._requested) < MIN_SURGE_REQUESTS:
            return 0.0
        # Callers send in bursts, whose rate over their own short duration looks like a
        # surge; hence the minimum.
        span = max(now - self._requested[0][0], propagation_time / 3).total_seconds()
        amounts = [amount for _, amount in self._requested]
        # Leaves out the largest request: one prompt may be as large as forty others.
        return max((sum(amounts) - max(amounts)) / span - average, 0.0)

    def add_group_report(
        self, counter: UsageCounterId, total: float, now: timedelta
    ) -> None:
        """Subtract the usage of a group since its last report.

        :param counter: the counter that the report is from.
        :param total: the group's usage since that counter was reset.

        The first report of a counter only sets its baseline: earlier usage is part of
        the reported deficit. But a counter that started after the last report of its
        zone has replaced another one, and its whole total is new. Without this
        distinction, a minute of usage would exhaust the limit each time that another
        gateway becomes the aggregator of a zone.
        """
        last = self._groups.get(counter.key)
        reported_at = self._zone_reported_at.get(counter.zone)
        self._zone_reported_at[counter.zone] = max(now, reported_at or now)
        if last is None:
            is_successor = reported_at is not None and counter.began_at >= reported_at
            last = _GroupUsage(0.0 if is_successor else total, now)
        delta = total - last.total
        self._used += delta
        decayed = last.rate * exp(-((now - last.reported_at) / USAGE_WINDOW))
        rate = decayed + delta / USAGE_WINDOW.total_seconds()
        self._groups[counter.key] = _GroupUsage(total, now, max(rate, 0.0))
        self._forget_old_groups(now)

    def _forget_old_groups(self, now: timedelta) -> None:
        for key, group in list(self._groups.items()):
            if now - group.reported_at > FORGET:
                del self._groups[key]


def has_headroom(
    remaining: float,
    demand: float,
    share: float,
    unreported: float,
    propagation_time: timedelta = PROPAGATION_TIME,
) -> bool:
    """Return whether more remains of a limit than may be used unreported.

    :param remaining: tokens that remain of the limit.
    :param demand: tokens a second that the requests at all gateways need.
    :param share: fraction of the limit that belongs to this gateway.
    :param unreported: tokens admitted here that other gateways can't know of yet,
        beyond those that the limit's slack allows.
    :param propagation_time: time until usage is known at all gateways.
    """
    return (
        remaining > demand * propagation_time.total_seconds()
        and unreported <= remaining * share
    )


def admitted_fraction(remaining: float, rate: float, demand: float) -> float:
    """Return the fraction of all requests that is admitted near the limit.

    The remainder is used up, or an overdraft made up, over :data:`CORRECTION_TIME`; by
    then the usage that this is based on is known at all gateways.

    :param remaining: tokens that remain of the limit; negative if overdrawn.
    :param rate: tokens a second by which the limit is refilled.
    :param demand: tokens a second that all requests need.
    """
    allowed = rate + remaining / CORRECTION_TIME.total_seconds()
    return min(max(allowed / max(demand, 1.0), 0.0), 1.0)


def unreported_demand(surge: float, share: float, covered: float) -> float:
    """Return the estimated demand at all gateways that is not reported yet.

    A surge seen by one gateway reaches others at the same time, since a customer's
    callers are distributed over them.

    :param surge: by how much the demand here exceeds the average, in tokens a second.
    :param share: fraction of the limit that belongs to this gateway.
    :param covered: tokens a second that the limit's slack allows.
    """
    gateways = min(1 / max(share, 1e-9), MAX_SURGE_GATEWAYS)
    return max(surge * gateways - covered, 0.0)


def fits_unreported(amount: float, unreported: float, refill: float) -> bool:
    """Return whether a gateway may admit a request while the limit is exhausted.

    All gateways may admit requests before they know of each other's, so each keeps to
    its share of the refill in that time. A request larger than that share is admitted
    only on its own.

    :param amount: tokens that the request needs.
    :param unreported: tokens admitted here that other gateways can't know of yet.
    :param refill: this gateway's share of the tokens by which the limit is refilled
        until they do.
    """
    return unreported + min(amount, refill) <= refill


def retry_after(remaining: float, rate: float, demand: float) -> timedelta:
    """Return the retry-after time of a refused request.

    An overdraft has to be refilled first, and the demand beyond the limit in each
    second also waits.
    """
    rate = max(rate, 1.0)
    wait = max(-remaining, 0.0) / rate + max(demand / rate - 1, 0.0)
    wait = min(wait, MAX_RETRY_AFTER.total_seconds())
    return max(timedelta(seconds=wait), MIN_RETRY_AFTER)
