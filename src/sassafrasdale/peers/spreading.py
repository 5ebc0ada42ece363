"""News on its way to the peers: what is to be told, when and to whom."""

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

FAN_OUT = 4
SPREAD_TO_ALL = 16
SPARE_HOPS = 2
UPDATES_A_SPREAD = 64


@dataclass(frozen=True, slots=True)
class News:
    """What one round of spreading tells.

    :param receivers: whom it goes to.
    :param members: changed beliefs about members.
    :param notices: reclaim notices.
    :param hops_left: how often it is to be passed on.
    """

    receivers: list[Member]
    members: list[Member]
    notices: list[Notice]
    hops_left: int


class Spreader:
    """Gathers news and gives it out in rounds.

    :param membership: what is believed of the others.
    :param clock: source of time.
    :param rng: source of the choice of receivers.
    :param timings: periods and limits.
    :param send: sends the news of one round.
    """

    def __init__(
        self,
        membership: Membership,
        clock: Clock,
        rng: Random,
        timings: PeerTimings,
        send: Callable[[News], None],
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
        """How often news that begins here is to be passed on."""
        size = len(self._membership.reachable)
        if size <= SPREAD_TO_ALL:
            return 0
        return math.ceil(math.log(size, FAN_OUT)) + SPARE_HOPS

    def add_member(self, member: Member, hops: int) -> None:
        """Tell of a changed belief; the latest about a member counts."""
        self._members[member.name] = member
        self.spread_soon(hops)

    def add_notice(self, notice: Notice, hops: int) -> None:
        """Tell of a reclaim notice."""
        self._notices.append(notice)
        self.spread_soon(hops)

    def spread_soon(self, hops: int) -> None:
        """Spread what is new after a moment, so that news travels together.

        The first news goes at once, what follows waits for the least interval. So
        a fleet in which everything changes at once spends no more than a fixed
        number of messages a second on saying so. The sender's own state and
        revision go along in any case.
        """
        if hops < 0:
            return
        self._hops_left = max(self._hops_left, hops)
        if self._round is None:
            loop = asyncio.get_running_loop()
            self._round = loop.call_later(self._pause().total_seconds(), self._spread)

    def stop(self) -> None:
        """Tell nothing any more."""
        if self._round is not None:
            self._round.cancel()

    def _pause(self) -> timedelta:
        since = self._clock.elapsed() - self._spread_at
        return max(self._timings.coalesce, self._timings.spread_interval - since)

    def _spread(self) -> None:
        self._round = None
        self._spread_at = self._clock.elapsed()
        # What is too much for one round is left to the probes.
        members = list(self._members.values())[-UPDATES_A_SPREAD:]
        notices, self._notices = self._notices, []
        hops, self._hops_left = self._hops_left, 0
        self._members = {}
        self._send(News(self._receivers(), members, notices, hops))

    def _receivers(self) -> list[Member]:
        reachable = self._membership.reachable
        if len(reachable) <= SPREAD_TO_ALL:
            return reachable
        return self._rng.sample(self._membership.neighbours, FAN_OUT)
