"""Handles the messages that an entry's tasks post, one at a time."""

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
    FindRequested,
    HandOverOffered,
    Member,
    MembersChanged,
    MemberState,
    NoticeReceived,
    TextOffered,
)
from sassafrasdale.requests.gates import Gates
from sassafrasdale.requests.mover import Mover
from sassafrasdale.requests.registry import Registry
from sassafrasdale.requests.request_counters import RequestCounters
from sassafrasdale.requests.selection import Selector
from sassafrasdale.requests.transfers import Transfers
from sassafrasdale.structures import Instance, InstanceState, Notice
from sassafrasdale.text.current import CurrentText
from sassafrasdale.text.exceptions import TextError

log = Logger("entry")

# A configuration received from a peer counts as the newest after this delay: by then
# every peer has been probed or has reported a newer revision.
PEER_TEXT_TRUST_DELAY = timedelta(seconds=3)

Leave = Callable[[datetime | None], None]


class Coordinator:
    """Passes the messages of the tasks on to the components of one entry.

    :param name: name of this entry.
    :param inbox: queue to which the tasks post their messages.
    :param lifecycle: lifecycle of the entry.
    :param leave: called when this entry has to shut down, with the announced time at
        which the platform takes its instance, or None.
    :param current: the current configuration.
    :param directory: the known endpoints.
    :param selector: chooses endpoints.
    :param gates: admission control of each service.
    :param counters: counts requests by outcome.
    :param metrics: the entry's metrics.
    :param peers: the other entries.
    :param registry: the generations that this entry holds.
    :param mover: moves generations away from leaving endpoints.
    :param transfers: hand-overs from and to peers.
    :param clock: source of time.
    """

    def __init__(
        self,
        name: str,
        *,
        inbox: Queue,
        lifecycle: Lifecycle,
        leave: Leave,
        current: CurrentText,
        directory: Directory,
        selector: Selector,
        gates: Gates,
        counters: RequestCounters,
        metrics: Metrics,
        peers: PeerNode,
        registry: Registry,
        mover: Mover,
        transfers: Transfers,
        clock: Clock,
    ) -> None:
        self._name = name
        self._inbox = inbox
        self._lifecycle = lifecycle
        self._leave = leave
        self._current = current
        self._directory = directory
        self._selector = selector
        self._gates = gates
        self._counters = counters
        self._metrics = metrics
        self._peers = peers
        self._registry = registry
        self._mover = mover
        self._transfers = transfers
        self._clock = clock
        self._has_instances = False
        self._text_trusted_at: timedelta | None = None
        self._prices: tuple[Price, ...] = ()

    @property
    def prices(self) -> tuple[Price, ...]:
        """Prices of instances, as the platform last listed them."""
        return self._prices

    def run(self) -> None:
        """Handle the messages of the other tasks, one at a time."""
        while True:
            message = self._inbox.get()
            try:
                self._handle(message)
            except Exception:
                log.exception("failed to handle message {}", type(message).__name__)

    def accept_from_store(self, record: TextRecord) -> None:
        """Apply an edit that the store holds or has just accepted."""
        self._text_trusted_at = self._clock.elapsed()
        self._accept(record)

    def update_readiness(self) -> None:
        """Become ready with a list of instances and a trusted configuration.

        An entry that starts while the store is unavailable gets the configuration
        from a peer, which may have an older revision; it is trusted once every peer
        has had time to report a newer one.
        """
        if not self._lifecycle.allows("prepare"):
            return
        if self._current.text is None or not self._has_instances:
            return
        if self._clock.elapsed() < self._text_trusted_at:
            return
        self._lifecycle.fire("prepare")
        log.info("ready with revision {}", self._current.revision)

    def _handle(self, message: object) -> None:
        match message:
            case TextAccepted(record):
                self.accept_from_store(record)
            case TextOffered(record):
                self._handle_peer_text(record)
            case InstancesListed(instances):
                self._handle_instances(instances)
            case PricesListed(prices):
                self._prices = prices
                self._selector.set_prices(prices)
            case NoticeGiven(notice):
                self._handle_notice(notice)
                self._peers.spread_notice(notice)
            case NoticeReceived(notice):
                self._handle_notice(notice)
            case MembersChanged(members):
                self._handle_members(members)
            case HandOverOffered(handover, reply):
                keeps_running = self._lifecycle.state == "ready"
                self._transfers.accept(handover, reply, stays=keeps_running)
            case FindRequested(request_id, reply):
                reply(self._registry.holds(request_id))

    def _handle_peer_text(self, record: TextRecord) -> None:
        if self._text_trusted_at is None:
            self._text_trusted_at = self._clock.elapsed() + PEER_TEXT_TRUST_DELAY
        self._accept(record)

    def _handle_instances(self, instances: tuple[Instance, ...]) -> None:
        self._has_instances = True
        self._peers.set_candidates(instances)
        for endpoint in self._directory.replace(instances):
            self._mover.drain(endpoint)
        self._refresh()
        listed = {instance.name: instance for instance in instances}
        own = listed.get(self._name)
        if own is not None and own.state is InstanceState.LEAVING:
            self._leave(None)

    def _handle_notice(self, notice: Notice) -> None:
        if notice.instance == self._name:
            self._leave(notice.leaves_at)
            return
        endpoint = self._directory.apply_notice(notice)
        if endpoint is None:
            return
        log.info("endpoint {} leaves at {}", endpoint.name, notice.leaves_at)
        self._refresh()
        self._mover.drain(endpoint)

    def _handle_members(self, members: tuple[Member, ...]) -> None:
        alive = sum(member.is_usable for member in members)
        self._gates.set_live_entries(alive + 1)
        self._selector.set_other_entries(alive)
        for state in MemberState:
            count = sum(member.state is state for member in members)
            self._metrics.set_peers(state.name.lower(), count)

    def _accept(self, record: TextRecord) -> None:
        """Apply an accepted edit in this entry, and offer it to the peers."""
        try:
            accepted = self._current.accept(record)
        except TextError as error:
            log.error("revision {} is invalid: {}", record.revision, error)
            return
        if not accepted:
            return
        self._gates.set_text(self._current.text)
        self._counters.set_text(self._current.text)
        self._metrics.set_revision(record.revision)
        self._peers.offer_text(record)
        log.info("revision {} is in force", record.revision)

    def _refresh(self) -> None:
        """Update the components that read the directory."""
        self._selector.refresh()
        self._gates.refresh()
