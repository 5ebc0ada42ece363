"""An entry's side towards its peers, for green tasks.

Usage::

    node = PeerNode(settings, SystemClock(), Random(), inbox)
    node.start()
    node.set_candidates(instances)
    node.offer_text(record)
"""

import socket
from collections.abc import Iterable
from datetime import datetime, timedelta
from random import Random

from grpclib.server import Server

from sassafrasdale.clock import Clock
from sassafrasdale.coordination.texts import TextRecord
from sassafrasdale.green import Queue
from sassafrasdale.peers.agent import PeerAgent
from sassafrasdale.peers.bridge import LoopThread, Mailbox
from sassafrasdale.peers.exceptions import PeerCallTimeout
from sassafrasdale.peers.membership import Membership
from sassafrasdale.peers.rendezvous import rendezvous
from sassafrasdale.peers.service import PeersService
from sassafrasdale.peers.structures import (
    HandOver,
    Member,
    MembersChanged,
    NodeSettings,
    PeerTimings,
)
from sassafrasdale.structures import Address, Instance, Notice

BACKLOG = 512
START_LIMIT = timedelta(seconds=10)
CALL_LIMIT = timedelta(seconds=5)
MILLISECOND = timedelta(milliseconds=1)


class PeerNode:
    """An entry among its peers; posts what it hears to ``inbox``.

    It posts :class:`TextOffered`, :class:`NoticeHeard`, :class:`MembersChanged`,
    :class:`HandOverOffered` and :class:`FindAsked`. The last two carry a
    ``reply`` that must be called with the decision.

    :param settings: name, availability zone and addresses of this entry.
    :param clock: source of time.
    :param rng: source of random choices; used by the peers' thread alone.
    :param inbox: green queue that takes the messages.
    :param timings: periods and limits.
    """

    def __init__(
        self,
        settings: NodeSettings,
        clock: Clock,
        rng: Random,
        inbox: Queue,
        timings: PeerTimings | None = None,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._rng = rng
        self._inbox = inbox
        self._timings = timings or PeerTimings()
        self._members: tuple[Member, ...] = ()
        self._mailbox: Mailbox | None = None
        self._thread: LoopThread | None = None
        self._agent: PeerAgent | None = None
        self._peer_address = settings.peer_address

    @property
    def peer_address(self) -> Address:
        """Where this entry takes messages of its peers, once started."""
        return self._peer_address

    def start(self) -> None:
        """Take messages and begin to probe.

        :raises OSError: if the address cannot be bound.
        """
        sock = self._listen()
        self._mailbox = Mailbox()
        self._thread = LoopThread(self._mailbox)
        self._thread.start()
        self._agent = self._make_agent()
        service = PeersService(self._agent, self._post)
        self._thread.call(self._serve(service, sock), START_LIMIT)

    def stop(self) -> None:
        """End every task and connection and the thread."""
        self._thread.call(self._agent.stop(), CALL_LIMIT)
        self._thread.stop()
        self._mailbox.close()

    def set_candidates(self, instances: Iterable[Instance]) -> None:
        """Take in the platform's list of instances."""
        self._thread.submit(self._agent.set_candidates, tuple(instances))

    def offer_text(self, record: TextRecord) -> None:
        """Hold ``record`` for the peers and tell them at once."""
        self._thread.submit(self._agent.offer_text, record)

    def spread_notice(self, notice: Notice) -> None:
        """Tell the peers of a reclaim notice at once."""
        self._thread.submit(self._agent.spread_notice, notice)

    def announce_leaving(self) -> None:
        """Tell the peers that this entry is leaving."""
        self._thread.submit(self._agent.announce_leaving)

    def members(self) -> tuple[Member, ...]:
        """Return the other entries as last seen, dead ones too, by name."""
        return self._members

    def receivers(self, request_id: str) -> tuple[Member, ...]:
        """Return whom to offer a hand-over, the first choice first.

        Alive members of other availability zones, in the order in which
        :meth:`find` asks.
        """
        usable = [
            each
            for each in self._members
            if each.is_usable
            and each.availability_zone != self._settings.availability_zone
        ]
        return tuple(rendezvous(request_id, usable))

    def hand_over(
        self, peer_name: str, handover: HandOver, limit: timedelta = CALL_LIMIT
    ) -> bool:
        """Offer a request to a peer and return whether it acknowledged.

        What is not acknowledged is still this entry's.
        """
        try:
            return self._thread.call(self._agent.hand_over(peer_name, handover), limit)
        except PeerCallTimeout:
            return False

    def find(self, request_id: str, limit: timedelta = CALL_LIMIT) -> Member | None:
        """Return the member that holds a request, or None if none says so."""
        try:
            return self._thread.call(self._agent.find(request_id), limit)
        except PeerCallTimeout:
            return None

    def _listen(self) -> socket.socket:
        address = self._settings.peer_address
        sock = socket.create_server((address.host, address.port), backlog=BACKLOG)
        sock.setblocking(False)
        host, port = sock.getsockname()[:2]
        self._peer_address = Address(host, port)
        return sock

    def _make_agent(self) -> PeerAgent:
        epoch = datetime.fromtimestamp(0, tz=self._clock.now().tzinfo)
        me = Member(
            name=self._settings.name,
            availability_zone=self._settings.availability_zone,
            address=self._settings.address,
            peer_address=self._peer_address,
            # A process that starts again under its name must be newer than what
            # the others remember of the one before.
            incarnation=(self._clock.now() - epoch) // MILLISECOND,
        )
        membership = Membership(me, self._clock, self._rng, self._timings)
        return PeerAgent(membership, self._clock, self._rng, self._timings, self._post)

    async def _serve(self, service: PeersService, sock: socket.socket) -> None:
        await self._agent.serve(Server([service]), sock)

    def _post(self, message: object) -> None:
        """Bring ``message`` from the loop to the green side."""
        self._mailbox.post(self._deliver, message)

    def _deliver(self, message: object) -> None:
        if isinstance(message, MembersChanged):
            self._members = message.members
        self._inbox.put(message)
