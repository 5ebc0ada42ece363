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

# Time over which a peer's spending is averaged to expect what it spends unseen.
SPENDING_WINDOW = timedelta(seconds=2)
# Time that a spending takes to be known everywhere: a round of exchanges and a bit.
UNSEEN_TIME = timedelta(milliseconds=500)
# A peer's rate is expected to go on for this long without a report; after it the peer
# counts as silent and a part of the limit is set aside for it.
EXPECTED_TIME = timedelta(seconds=1.5)
# A peer not heard of for this long has stopped; nothing is expected of it.
STOPPED_TIME = timedelta(seconds=5)


@dataclass(frozen=True, slots=True)
class SpendingReport:
    """What a gateway tells its peers of one customer.

    :param demand: tokens that its requests ask for a second, refused ones too.
    :param spent: tokens let in since the gateway started.
    :param used: tokens missing from a full limit, in the gateway's view.
    """

    demand: float
    spent: float
    used: float


@dataclass(slots=True)
class _PeerSpending:
    incarnation: int
    spent: float
    heard_at: timedelta
    rate: float = 0.0

    def expected(self, now: timedelta) -> float:
        """Return what the peer has most likely spent since it was heard."""
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
        self._peers: dict[str, _PeerSpending] = {}

    @property
    def spent(self) -> float:
        """Tokens let in here since the start."""
        return self._spent

    def used(self, now: timedelta) -> float:
        """Return the tokens missing from a full limit."""
        expected = sum(peer.expected(now) for peer in self._peers.values())
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

    def unseen(self, now: timedelta) -> float:
        """Return what was let in here so lately that the peers can't know it."""
        while self._unseen and now - self._unseen[0][0] > UNSEEN_TIME:
            self._unseen.popleft()
        return sum(amount for _, amount in self._unseen)

    def hear(self, peer: str, incarnation: int, spent: float, now: timedelta) -> None:
        """Take out what a peer has spent since it was last heard.

        Of a peer heard for the first time only its count is noted: what it spent
        before is in the other peers' reports of what is used.
        """
        last = self._peers.get(peer)
        if last is None:
            self._peers[peer] = _PeerSpending(incarnation, spent, now)
            return
        begun_anew = incarnation != last.incarnation
        delta = spent if begun_anew else spent - last.spent
        self._used += delta
        decayed = last.rate * exp(-((now - last.heard_at) / SPENDING_WINDOW))
        rate = decayed + delta / SPENDING_WINDOW.total_seconds()
        self._peers[peer] = _PeerSpending(incarnation, spent, now, max(rate, 0.0))

    def forget(self, peer: str) -> None:
        """Drop what is known of a peer that is gone for good."""
        self._peers.pop(peer, None)


def has_room(left: float, demand: float, share: float, unseen: float) -> bool:
    """Return whether a limit has more left than may be spent unseen.

    :param left: tokens left of the limit.
    :param demand: tokens that all gateways' requests ask for a second.
    :param share: part of the limit that falls to this gateway.
    :param unseen: tokens let in here that the others can't know of yet, beyond those
        that the limit's slack has room for.
    """
    return left > demand * UNSEEN_TIME.total_seconds() and unseen <= left * share


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
