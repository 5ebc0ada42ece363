"""Interface of green tasks to the entry's peers.

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
START_TIMEOUT = timedelta(seconds=10)
CALL_TIMEOUT = timedelta(seconds=5)
MILLISECOND = timedelta(milliseconds=1)


class PeerNode:
    """An entry among its peers; posts what it receives to ``inbox``.

    It posts :class:`TextOffered`, :class:`NoticeReceived`,
    :class:`MembersChanged`, :class:`HandOverOffered` and :class:`FindRequested`.
    The last two have a ``reply`` that must be called with the decision.

    :param settings: name, availability zone and addresses of this entry.
    :param clock: source of time.
    :param rng: source of random choices; used only in the peers' thread.
    :param inbox: green queue for the messages.
    :param timings: periods and timeouts.
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
        """Address of this entry's server for peers, once it is started."""
        return self._peer_address

    def start(self) -> None:
        """Start the thread, the server and the probes.

        :raises OSError: if the address cannot be bound.
        """
        sock = self._listen()
        self._mailbox = Mailbox()
        self._thread = LoopThread(self._mailbox)
        self._thread.start()
        self._agent = self._make_agent()
        service = PeersService(self._agent, self._post)
        self._thread.call(self._serve(service, sock), START_TIMEOUT)

    def stop(self) -> None:
        """Stop every task, the connections and the thread."""
        self._thread.call(self._agent.stop(), CALL_TIMEOUT)
        self._thread.stop()
        self._mailbox.close()

    def set_candidates(self, instances: Iterable[Instance]) -> None:
        """Apply the platform's list of instances."""
        self._thread.submit(self._agent.set_candidates, tuple(instances))

    def offer_text(self, record: TextRecord) -> None:
        """Keep ``record`` for the peers and announce it to them immediately."""
        self._thread.submit(self._agent.offer_text, record)

    def spread_notice(self, notice: Notice) -> None:
        """Send a reclaim notice to the peers immediately."""
        self._thread.submit(self._agent.spread_notice, notice)

    def announce_leaving(self) -> None:
        """Announce to the peers that this entry is leaving."""
        self._thread.submit(self._agent.announce_leaving)

    def members(self) -> tuple[Member, ...]:
        """Return the other entries as last seen, including dead ones, by name."""
        return self._members

    def receivers(self, request_id: str) -> tuple[Member, ...]:
        """Return the members to offer a hand-over to, the preferred ones first.

        These are the alive members of other availability zones, in the rendezvous
        order that :meth:`find` uses as well.
        """
        usable = [
            each
            for each in self._members
            if each.is_usable
            and each.availability_zone != self._settings.availability_zone
        ]
        return tuple(rendezvous(request_id, usable))

    def hand_over(
        self, peer_name: str, handover: HandOver, limit: timedelta = CALL_TIMEOUT
    ) -> bool:
        """Offer a request to a peer and return whether it accepted.

        This entry keeps a request that the peer hasn't accepted.
        """
        try:
            return self._thread.call(self._agent.hand_over(peer_name, handover), limit)
        except PeerCallTimeout:
            return False

    def find(self, request_id: str, limit: timedelta = CALL_TIMEOUT) -> Member | None:
        """Return the member that holds a request, or None if no member does."""
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
            # After a restart under the same name, the incarnation must be higher
            # than the one that the others know of the earlier process.
            incarnation=(self._clock.now() - epoch) // MILLISECOND,
        )
        membership = Membership(me, self._clock, self._rng, self._timings)
        return PeerAgent(membership, self._clock, self._rng, self._timings, self._post)

    async def _serve(self, service: PeersService, sock: socket.socket) -> None:
        await self._agent.serve(Server([service]), sock)

    def _post(self, message: object) -> None:
        """Post ``message`` from the loop to the green tasks."""
        self._mailbox.post(self._deliver, message)

    def _deliver(self, message: object) -> None:
        if isinstance(message, MembersChanged):
            self._members = message.members
        self._inbox.put(message)
