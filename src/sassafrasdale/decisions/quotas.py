"""Admission under a customer's rate limit that many gateways enforce together.

Pattern of load: few requests with sizes that differ a hundredfold, spread unevenly by
a balancer over up to hundreds of gateways, each of which sees a customer now and then.
A fixed part of the limit at each gateway refuses a customer far below its limit, and
where a part may be overdrawn by one request, two hundred parts let in two hundred
requests beyond it. So each gateway keeps its own view of the whole limit: it takes out
its own spending at once and the others' as their sums come, and expects of each group
the same rate until its next word. While that view has more left than may be spent
unseen, any gateway lets in what comes, as long as what the others can't know of yet is
within its part of what is left. Near the limit each lets the same part of its requests
in, whatever their size: that by which all together spend what the limit fills up by.

Fixed parts refused 6.5 of 100 requests of a customer at half of its limit, this refuses
none (eight gateways, 600 requests of 1,000 to 50,000 tokens). Of a customer at 7.5
times its limit, parts that one request may overdraw let in 2.1 times the limit at sixty
gateways (models in ``tests/gateway/test_quotas.py``).
"""

from collections import deque
from dataclasses import dataclass
from datetime import timedelta
from math import exp

from sassafrasdale.decisions.aggregators import FRESH, LIFETIME

# Time over which a group's spending is averaged to expect what it spends unseen.
SPENDING_WINDOW = timedelta(seconds=2)
# Time that a spending takes to be known everywhere where nothing else is said.
UNSEEN_TIME = timedelta(milliseconds=500)
# Requests from which a rise of demand is taken: two may come together by chance.
FEWEST_ASKED = 3
# Gateways that a rise is taken to come to at the same time, at the most. One caller's
# few requests would look like a rise at each of two hundred.
MOST_TOGETHER = 8
# Time over which the limit's view is brought back to the limit. It must be longer than
# the way of a spending to all gateways, a second in fleets of hundreds.
SPREAD = timedelta(seconds=2)
# When a refused caller is told to come back. Sooner it meets the same view of the
# limit; later it has most likely given up.
SHORTEST_RETURN = timedelta(milliseconds=300)
LONGEST_RETURN = timedelta(seconds=10)
# The count of a group that is gone is kept for this long: it may have been cut off.
FORGET = timedelta(minutes=2)


@dataclass(frozen=True, slots=True)
class SpendingCounter:
    """Who counts a group's spending.

    :param zone: the group's availability zone.
    :param key: name of the aggregator, its incarnation, how often it has begun anew.
    :param began_at: when it began to count, in elapsed time.
    """

    zone: str
    key: tuple[str, int, int]
    began_at: timedelta


@dataclass(slots=True)
class _GroupSpending:
    """What a group had spent when it was last heard, and its rate until then."""

    spent: float
    heard_at: timedelta
    rate: float = 0.0

    def expected(self, now: timedelta) -> float:
        """Return what the group has most likely spent since it was heard.

        Its rate is expected to go on while it is in touch; after that its part of the
        limit is set aside instead.
        """
        age = now - self.heard_at
        if age > LIFETIME:
            return 0.0
        return self.rate * min(age, FRESH).total_seconds()


class SharedLimit:
    """One gateway's view of what all gateways spend of a customer's limit.

    :param used: tokens missing from a full limit to begin with.
    """

    def __init__(self, used: float, now: timedelta) -> None:
        self._used = used
        # What of that is missing from the beginning and hasn't filled up since.
        self._missing = used
        self._spent = 0.0
        self._updated = now
        self._rate = 0.0
        self._unseen: deque[tuple[timedelta, float]] = deque()
        self._asked: deque[tuple[timedelta, float]] = deque()
        self._groups: dict[tuple[str, int, int], _GroupSpending] = {}
        # When each zone was last heard.
        self._zones: dict[str, timedelta] = {}

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
        filled = self._rate * (now - self._updated).total_seconds()
        self._used = max(self._used - filled, 0.0)
        self._missing = max(self._missing - filled, 0.0)
        self._rate = rate
        self._updated = now

    def left(self, depth: float, part: float, now: timedelta) -> float:
        """Return the tokens left of a part of the limit; negative if overdrawn.

        What was missing from the beginning is missing from each part alike. What was
        let in since counts whole: one gateway that hears nobody has let it in alone.

        :param depth: tokens of a full limit.
        :param part: the part of it that falls to the gateways in touch.
        """
        let_in = self.used(now) - self._missing
        return (depth - self._missing) * part - let_in

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

    def ask(self, amount: float, now: timedelta) -> None:
        """Note what a request asks for, whether it is let in or not."""
        self._asked.append((now, amount))

    def unseen_rise(
        self, now: timedelta, unseen_time: timedelta, average: float
    ) -> float:
        """Return by how much more is asked here a second than on average.

        An average of some seconds shows a rise too late: in the meantime each gateway
        that it comes to would let in the whole rate by itself.

        :param average: what is asked here a second on average.
        """
        while self._asked and now - self._asked[0][0] > unseen_time:
            self._asked.popleft()
        if len(self._asked) < FEWEST_ASKED:
            return 0.0
        # Callers send in clumps, of which each looks like a rise within its moment.
        span = max(now - self._asked[0][0], unseen_time / 3).total_seconds()
        amounts = [amount for _, amount in self._asked]
        # Without the largest: one prompt may be as large as forty others.
        return max((sum(amounts) - max(amounts)) / span - average, 0.0)

    def hear(self, counter: SpendingCounter, spent: float, now: timedelta) -> None:
        """Take out what a group has spent since it was last heard.

        Of a counter that is heard for the first time only the count is noted: what was
        spent before is in the reports of what is used. But one that has begun since its
        zone was last heard has taken over from another, and all that it counted is new.
        Taken for new without that, a minute's spending would empty a limit each time
        that another gateway sums up a zone.
        """
        last = self._groups.get(counter.key)
        heard_at = self._zones.get(counter.zone)
        self._zones[counter.zone] = max(now, heard_at or now)
        if last is None:
            took_over = heard_at is not None and counter.began_at >= heard_at
            last = _GroupSpending(0.0 if took_over else spent, now)
        delta = spent - last.spent
        self._used += delta
        decayed = last.rate * exp(-((now - last.heard_at) / SPENDING_WINDOW))
        rate = decayed + delta / SPENDING_WINDOW.total_seconds()
        self._groups[counter.key] = _GroupSpending(spent, now, max(rate, 0.0))
        self._forget_stopped(now)

    def _forget_stopped(self, now: timedelta) -> None:
        for key, group in list(self._groups.items()):
            if now - group.heard_at > FORGET:
                del self._groups[key]


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


def passing_part(left: float, rate: float, demand: float) -> float:
    """Return the part of all requests that is let in near the limit.

    What is left is spent, or what was overdrawn saved, over :data:`SPREAD`: by then the
    spending that this goes by is known everywhere.

    :param left: tokens left of the limit; negative where it was overdrawn.
    :param rate: tokens a second by which it fills up.
    :param demand: tokens that all requests ask for a second.
    """
    allowed = rate + left / SPREAD.total_seconds()
    return min(max(allowed / max(demand, 1.0), 0.0), 1.0)


def unseen_demand(rise: float, share: float, covered: float) -> float:
    """Return what more is most likely asked of all gateways than they know of.

    A rise that shows at one comes to others at the same time, as a customer's callers
    are spread over them.

    :param rise: by how much more is asked here than on average, a second.
    :param share: part of the limit that falls to this gateway.
    :param covered: what the limit's slack has room for, a second.
    """
    together = min(1 / max(share, 1e-9), MOST_TOGETHER)
    return max(rise * together - covered, 0.0)


def fits_unseen(amount: float, unseen: float, filling: float) -> bool:
    """Return whether a gateway may let a request in while the limit is used up.

    All gateways may do so before they know of each other, so each keeps to its part of
    what fills up meanwhile. A request that is larger than that goes alone.

    :param unseen: tokens let in here that the others can't know of yet.
    :param filling: this gateway's part of the tokens by which the limit fills up until
        they do.
    """
    return unseen + min(amount, filling) <= filling


def time_to_return(left: float, rate: float, demand: float) -> timedelta:
    """Return when a refused caller is worth coming back.

    What was overdrawn has to fill up first, and what is asked beyond the limit each
    second waits for its turn, too.
    """
    rate = max(rate, 1.0)
    wait = max(-left, 0.0) / rate + max(demand / rate - 1, 0.0)
    wait = min(wait, LONGEST_RETURN.total_seconds())
    return max(timedelta(seconds=wait), SHORTEST_RETURN)


class Thinning:
    """Lets a part of the requests in, as evenly as they come.

    :param debt: part of a request that is missing until the next is let in, at the
        beginning. With a different one at each gateway, they don't all refuse, or let
        in, the first request that reaches them.
    """

    def __init__(self, debt: float) -> None:
        self._debt = debt

    def lets_in(self, part: float) -> bool:
        """Return whether the next request is one of that part."""
        self._debt -= part
        if self._debt > 0:
            return False
        self._debt += 1
        return True
