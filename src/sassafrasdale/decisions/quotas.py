"""Admission under a customer's rate limit that several gateways enforce together.

Pattern of load: few requests with sizes that differ a hundredfold, spread unevenly by
a balancer. A fixed part of the limit at each gateway refuses a customer far below its
limit: one prompt of 50,000 tokens empties an eighth of a limit for five seconds. So
each gateway keeps its own view of the whole limit: it takes out its own spending at
once and the others' as their reports come, and expects of each the same rate until its
next report. While that view has more left than may be spent unseen, any gateway lets
in what comes, as long as what the others can't know of yet is within its part of what
is left. Near the limit each keeps to a bucket of its own, filled by demand, since all
would otherwise see the same last tokens and spend them at the same time.

Fixed parts refused 6.5 of 100 requests of such a customer at half of its limit, this
refuses none (eight gateways, 600 requests of 1,000 to 50,000 tokens, model in
``tests/gateway/test_quotas.py``).
"""

from collections import deque
from dataclasses import dataclass
from datetime import timedelta
from math import exp

# Time over which a group's spending is averaged to expect what it spends unseen.
SPENDING_WINDOW = timedelta(seconds=2)
# Time that a spending takes to be known everywhere where nothing else is said.
UNSEEN_TIME = timedelta(milliseconds=500)
# A group's rate is expected to go on for this long without a report; after it the group
# counts as silent and its part of the limit is set aside.
EXPECTED_TIME = timedelta(seconds=1.5)
# A group not heard of for this long has stopped; nothing is expected of it.
STOPPED_TIME = timedelta(seconds=5)
# Its count is kept for longer: it may have been cut off.
FORGET = timedelta(minutes=2)


# Name of an aggregator, its incarnation, and how often it has begun to count.
Counter = tuple[str, int, int]


@dataclass(slots=True)
class _GroupSpending:
    spent: float
    heard_at: timedelta
    rate: float = 0.0

    def expected(self, now: timedelta) -> float:
        """Return what the group has most likely spent since it was heard."""
        age = now - self.heard_at
        if age > STOPPED_TIME:
            return 0.0
        return self.rate * min(age, EXPECTED_TIME).total_seconds()


class SharedLimit:
    """One gateway's view of what all gateways spend of a customer's limit.

    :param used: tokens missing from a full limit to begin with.
    """

    def __init__(self, used: float, now: timedelta) -> None:
        self._used = used
        self._spent = 0.0
        self._updated = now
        self._rate = 0.0
        self._unseen: deque[tuple[timedelta, float]] = deque()
        self._groups: dict[Counter, _GroupSpending] = {}
        self._zones: set[str] = set()

    @property
    def spent(self) -> float:
        """Tokens let in here since the start."""
        return self._spent

    def used(self, now: timedelta) -> float:
        """Return the tokens missing from a full limit."""
        expected = sum(group.expected(now) for group in self._groups.values())
        elapsed = (now - self._updated).total_seconds()
        return max(self._used - self._rate * elapsed, 0.0) + expected

    def refill(self, rate: float, now: timedelta) -> None:
        """Let the limit fill up to now, and at ``rate`` from now on."""
        elapsed = (now - self._updated).total_seconds()
        self._used = max(self._used - self._rate * elapsed, 0.0)
        self._rate = rate
        self._updated = now

    def spend(self, amount: float, now: timedelta) -> None:
        """Take out what is let in here; a negative amount gives it back."""
        self._used += amount
        self._spent += amount
        self._unseen.append((now, amount))

    def unseen(self, now: timedelta, unseen_time: timedelta = UNSEEN_TIME) -> float:
        """Return what was let in here so lately that the others can't know it.

        :param unseen_time: time that a spending takes to be known everywhere.
        """
        while self._unseen and now - self._unseen[0][0] > unseen_time:
            self._unseen.popleft()
        return sum(amount for _, amount in self._unseen)

    def hear(self, zone: str, counter: Counter, spent: float, now: timedelta) -> None:
        """Take out what a group has spent since it was last heard.

        Of a zone that is heard for the first time only the count is noted: what it
        spent before is in the reports of what is used. A counter that is new in a
        known zone has begun at nothing when the aggregator changed.
        """
        last = self._groups.get(counter)
        first = zone not in self._zones
        self._zones.add(zone)
        if last is None:
            last = _GroupSpending(spent if first else 0.0, now)
        delta = spent - last.spent
        self._used += delta
        decayed = last.rate * exp(-((now - last.heard_at) / SPENDING_WINDOW))
        rate = decayed + delta / SPENDING_WINDOW.total_seconds()
        self._groups[counter] = _GroupSpending(spent, now, max(rate, 0.0))
        self._forget_stopped(now)

    def _forget_stopped(self, now: timedelta) -> None:
        for counter, group in list(self._groups.items()):
            if now - group.heard_at > FORGET:
                del self._groups[counter]


def has_room(
    left: float,
    demand: float,
    share: float,
    unseen: float,
    unseen_time: timedelta = UNSEEN_TIME,
) -> bool:
    """Return whether a limit has more left than may be spent unseen.

    :param left: tokens left of the limit.
    :param demand: tokens that all gateways' requests ask for a second.
    :param share: part of the limit that falls to this gateway.
    :param unseen: tokens let in here that the others can't know of yet, beyond those
        that the limit's slack has room for.
    :param unseen_time: time that a spending takes to be known everywhere.
    """
    return left > demand * unseen_time.total_seconds() and unseen <= left * share


class PartOfLimit:
    """A bucket that one request may overdraw, since some are larger than it."""

    def __init__(self, level: float, now: timedelta) -> None:
        self._level = level
        self._rate = 0.0
        self._updated = now

    def refill(self, rate: float, depth: float, now: timedelta) -> None:
        """Let the part fill up to now, to no more than ``depth``."""
        elapsed = (now - self._updated).total_seconds()
        self._rate = rate
        self._level = min(self._level + rate * elapsed, depth)
        self._updated = now

    def try_spend(self, amount: float) -> bool:
        """Take an amount out if anything is left."""
        if self._level <= 0:
            return False
        self._level -= amount
        return True

    def drain(self, amount: float) -> None:
        """Take out what the whole limit had room for, without going into debt."""
        self._level = min(self._level, max(self._level - amount, 0.0))

    def restore(self, amount: float) -> None:
        """Give an amount back."""
        self._level += amount

    def time_to_positive(self) -> timedelta:
        """Return the time until anything is left."""
        return timedelta(seconds=max(0.1, -self._level / max(self._rate, 1.0)))
