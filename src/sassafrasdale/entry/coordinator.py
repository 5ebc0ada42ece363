"""Heeds the messages of an entry's tasks, one after the other."""

from collections.abc import Callable
from datetime import datetime, timedelta

from logbook import Logger

from sassafrasdale.charts import Lifecycle
from sassafrasdale.clock import Clock
from sassafrasdale.coordination.clouds import (
    InstancesListed,
    NoticeGiven,
    Price,
    PricesListed,
)
from sassafrasdale.coordination.texts import TextAccepted, TextRecord
from sassafrasdale.endpoints.directory import Directory
from sassafrasdale.green import Queue
from sassafrasdale.metrics import Metrics
from sassafrasdale.peers.node import PeerNode
from sassafrasdale.peers.structures import (
    FindAsked,
    HandOverOffered,
    Member,
    MembersChanged,
    MemberState,
    NoticeHeard,
    TextOffered,
)
from sassafrasdale.requests.gates import Gates
from sassafrasdale.requests.ledger import Ledger
from sassafrasdale.requests.mover import Mover
from sassafrasdale.requests.registry import Registry
from sassafrasdale.requests.selection import Selector
from sassafrasdale.requests.transfers import Transfers
from sassafrasdale.structures import Instance, InstanceState, Notice
from sassafrasdale.text.current import CurrentText
from sassafrasdale.text.exceptions import TextError

log = Logger("entry")

# A text that came from a peer is trusted to be the newest after this time, in
# which every peer has been probed or has told of a newer one.
PEER_TEXT_SETTLE = timedelta(seconds=3)

Leave = Callable[[datetime | None], None]


class Coordinator:
    """Brings what the tasks tell to the parts of one entry that need it.

    :param name: name of this entry.
    :param inbox: where the tasks post.
    :param life: lifecycle of the entry.
    :param leave: called when this entry is to leave, with the time if announced.
    :param current: the text in force.
    :param directory: the endpoints known.
    :param selector: chooses endpoints.
    :param gates: let requests into each service.
    :param ledger: counts how requests end.
    :param metrics: the entry's metrics.
    :param peers: the other entries.
    :param registry: the generations held.
    :param mover: moves generations off leaving endpoints.
    :param transfers: hand-overs from and to peers.
    :param clock: source of time.
    """

    def __init__(
        self,
        name: str,
        *,
        inbox: Queue,
        life: Lifecycle,
        leave: Leave,
        current: CurrentText,
        directory: Directory,
        selector: Selector,
        gates: Gates,
        ledger: Ledger,
        metrics: Metrics,
        peers: PeerNode,
        registry: Registry,
        mover: Mover,
        transfers: Transfers,
        clock: Clock,
    ) -> None:
        self._name = name
        self._inbox = inbox
        self._life = life
        self._leave = leave
        self._current = current
        self._directory = directory
        self._selector = selector
        self._gates = gates
        self._ledger = ledger
        self._metrics = metrics
        self._peers = peers
        self._registry = registry
        self._mover = mover
        self._transfers = transfers
        self._clock = clock
        self._listed = False
        self._text_trusted_at: timedelta | None = None
        self._prices: tuple[Price, ...] = ()

    @property
    def prices(self) -> tuple[Price, ...]:
        """The platform's prices, as last listed."""
        return self._prices

    def run(self) -> None:
        """Take messages of the other tasks, one after the other."""
        while True:
            message = self._inbox.get()
            try:
                self._heed(message)
            except Exception:
                log.exception("message {} was not heeded", type(message).__name__)

    def accept_from_store(self, record: TextRecord) -> None:
        """Put an edit in force that the store holds or has just accepted."""
        self._text_trusted_at = self._clock.elapsed()
        self._accept(record)

    def prepare(self) -> None:
        """Become ready once there is a list of instances and a trusted text.

        An entry that starts while the store is out takes the text from a peer,
        which may itself be behind; it is trusted once every peer had time to
        tell of a newer one.
        """
        if not self._life.allows("prepare"):
            return
        if self._current.text is None or not self._listed:
            return
        if self._clock.elapsed() < self._text_trusted_at:
            return
        self._life.fire("prepare")
        log.info("ready with revision {}", self._current.revision)

    def _heed(self, message: object) -> None:
        match message:
            case TextAccepted(record):
                self.accept_from_store(record)
            case TextOffered(record):
                self._heed_peer_text(record)
            case InstancesListed(instances):
                self._heed_instances(instances)
            case PricesListed(prices):
                self._prices = prices
                self._selector.set_prices(prices)
            case NoticeGiven(notice):
                self._heed_notice(notice)
                self._peers.spread_notice(notice)
            case NoticeHeard(notice):
                self._heed_notice(notice)
            case MembersChanged(members):
                self._heed_members(members)
            case HandOverOffered(handover, reply):
                stays = self._life.state == "ready"
                self._transfers.take(handover, reply, stays=stays)
            case FindAsked(request_id, reply):
                reply(self._registry.holds(request_id))

    def _heed_peer_text(self, record: TextRecord) -> None:
        if self._text_trusted_at is None:
            self._text_trusted_at = self._clock.elapsed() + PEER_TEXT_SETTLE
        self._accept(record)

    def _heed_instances(self, instances: tuple[Instance, ...]) -> None:
        self._listed = True
        self._peers.set_candidates(instances)
        for endpoint in self._directory.replace(instances):
            self._mover.empty(endpoint)
        self._refresh()
        listed = {instance.name: instance for instance in instances}
        own = listed.get(self._name)
        if own is not None and own.state is InstanceState.LEAVING:
            self._leave(None)

    def _heed_notice(self, notice: Notice) -> None:
        if notice.instance == self._name:
            self._leave(notice.leaves_at)
            return
        endpoint = self._directory.heed(notice)
        if endpoint is None:
            return
        log.info("endpoint {} leaves at {}", endpoint.name, notice.leaves_at)
        self._refresh()
        self._mover.empty(endpoint)

    def _heed_members(self, members: tuple[Member, ...]) -> None:
        alive = sum(member.is_usable for member in members)
        self._gates.set_live_entries(alive + 1)
        self._selector.set_other_entries(alive)
        for state in MemberState:
            count = sum(member.state is state for member in members)
            self._metrics.set_peers(state.name.lower(), count)

    def _accept(self, record: TextRecord) -> None:
        """Put an accepted edit in force here, and tell the peers of it."""
        try:
            accepted = self._current.accept(record)
        except TextError as error:
            log.error("revision {} is faulty: {}", record.revision, error)
            return
        if not accepted:
            return
        self._gates.set_text(self._current.text)
        self._ledger.set_text(self._current.text)
        self._metrics.set_revision(record.revision)
        self._peers.offer_text(record)
        log.info("revision {} is in force", record.revision)

    def _refresh(self) -> None:
        """Take over what the directory knows now."""
        self._selector.refresh()
        self._gates.refresh()
