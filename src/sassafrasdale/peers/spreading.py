"""Spreads updates to the peers in rounds."""

import asyncio
import math
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from random import Random

from sassafrasdale.clock import Clock
from sassafrasdale.peers.membership import Membership
from sassafrasdale.peers.structures import Member, PeerTimings
from sassafrasdale.structures import Notice

FANOUT = 4
MAX_BROADCAST_SIZE = 16
EXTRA_HOPS = 2
UPDATES_PER_ROUND = 64


@dataclass(frozen=True, slots=True)
class SpreadRound:
    """Updates that one round sends.

    :param receivers: members to send the updates to.
    :param members: members whose state has changed.
    :param notices: reclaim notices.
    :param hops_left: how many more times receivers forward the updates.
    """

    receivers: list[Member]
    members: list[Member]
    notices: list[Notice]
    hops_left: int


class Spreader:
    """Collects updates and sends them in rounds.

    :param membership: state of the other entries, as known here.
    :param clock: source of time.
    :param rng: source of the random choice of receivers.
    :param timings: periods and timeouts.
    :param send: sends one round.
    """

    def __init__(
        self,
        membership: Membership,
        clock: Clock,
        rng: Random,
        timings: PeerTimings,
        send: Callable[[SpreadRound], None],
    ) -> None:
        self._membership = membership
        self._clock = clock
        self._rng = rng
        self._timings = timings
        self._send = send
        self._members: dict[str, Member] = {}
        self._notices: list[Notice] = []
        self._hops_left = 0
        self._round: asyncio.TimerHandle | None = None
        self._spread_at = -timings.spread_interval

    @property
    def first_hops(self) -> int:
        """Number of times that receivers forward an update that starts here."""
        size = len(self._membership.reachable)
        if size <= MAX_BROADCAST_SIZE:
            return 0
        return math.ceil(math.log(size, FANOUT)) + EXTRA_HOPS

    def add_member(self, member: Member, hops: int) -> None:
        """Add a changed member state; a later one replaces it."""
        self._members[member.name] = member
        self.spread_soon(hops)

    def add_notice(self, notice: Notice, hops: int) -> None:
        """Add a reclaim notice."""
        self._notices.append(notice)
        self.spread_soon(hops)

    def spread_soon(self, hops: int) -> None:
        """Schedule a round after a short delay, so that updates are batched.

        The first update is sent after ``coalesce``; later ones wait for
        ``spread_interval``. This bounds the number of messages per second when all
        members change at the same time. Every round includes the sender's own
        state and revision.
        """
        if hops < 0:
            return
        self._hops_left = max(self._hops_left, hops)
        if self._round is None:
            loop = asyncio.get_running_loop()
            self._round = loop.call_later(self._delay().total_seconds(), self._spread)

    def stop(self) -> None:
        """Cancel the scheduled round."""
        if self._round is not None:
            self._round.cancel()

    def _delay(self) -> timedelta:
        since = self._clock.elapsed() - self._spread_at
        return max(self._timings.coalesce, self._timings.spread_interval - since)

    def _spread(self) -> None:
        self._round = None
        self._spread_at = self._clock.elapsed()
        # Updates beyond the maximum of one round are left to the probes' gossip.
        members = list(self._members.values())[-UPDATES_PER_ROUND:]
        notices, self._notices = self._notices, []
        hops, self._hops_left = self._hops_left, 0
        self._members = {}
        self._send(SpreadRound(self._receivers(), members, notices, hops))

    def _receivers(self) -> list[Member]:
        reachable = self._membership.reachable
        if len(reachable) <= MAX_BROADCAST_SIZE:
            return reachable
        return self._rng.sample(self._membership.neighbours, FANOUT)
