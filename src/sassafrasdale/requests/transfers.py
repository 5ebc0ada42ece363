"""Hands generations over to other entries, and accepts them from others."""

from collections import deque
from collections.abc import Callable
from datetime import timedelta

from logbook import Logger

from sassafrasdale.clock import Clock
from sassafrasdale.endpoints.directory import Directory
from sassafrasdale.green import spawn
from sassafrasdale.metrics import Metrics
from sassafrasdale.peers.node import PeerNode
from sassafrasdale.peers.structures import HandOver
from sassafrasdale.requests.dispatcher import Dispatcher
from sassafrasdale.requests.exceptions import (
    MalformedHandOver,
    RequestIdTaken,
    RequestNotHeld,
)
from sassafrasdale.requests.generation import Generation
from sassafrasdale.requests.handovers import IncomingGeneration, decode, encode
from sassafrasdale.requests.mover import stream_view
from sassafrasdale.requests.placement import Progress

# Maximum number of peers to which one generation is offered, one after the other.
MAX_RECEIVERS = 3
# Timeout of one offer, so that an unresponsive receiver leaves time for another.
OFFER_TIMEOUT = timedelta(seconds=1)
# Maximum number of delivered responses that are offered at the same time.
MAX_DELIVERED_OFFERS = 8

log = Logger("transfers")


class Transfers:
    """Hand-overs of one entry.

    :param name: name of this entry.
    :param dispatcher: runs the generations.
    :param directory: the known endpoints.
    :param peers: the other entries.
    :param metrics: the entry's metrics.
    :param clock: source of time.
    """

    def __init__(
        self,
        name: str,
        *,
        dispatcher: Dispatcher,
        directory: Directory,
        peers: PeerNode,
        metrics: Metrics,
        clock: Clock,
    ) -> None:
        self._name = name
        self._dispatcher = dispatcher
        self._directory = directory
        self._peers = peers
        self._metrics = metrics
        self._clock = clock
        self._offered_ids: set[str] = set()
        # Delivered responses to be offered, and the ids of all that were ever added.
        self._delivered: deque[Generation] = deque()
        self._delivered_ids: set[str] = set()
        self._delivered_tasks = 0

    @property
    def has_delivered(self) -> bool:
        """Whether responses whose callers may still come back are to be handed over."""
        is_offering = self._delivered_tasks > 0 or bool(self._delivered)
        return is_offering or bool(self._pending_delivered())

    def hand_over_unfinished(self, left: timedelta) -> None:
        """Start to hand over the generations that won't end within ``left``."""
        for generation in self._dispatcher.registry.running:
            view = stream_view(generation, self._clock)
            if view.remaining_tokens * view.token_delay > left:
                self._start(generation)

    def hand_over_undelivered(self) -> None:
        """Start to hand over complete responses that no caller has fetched yet."""
        for generation in self._dispatcher.registry.undelivered:
            self._start(generation)

    def hand_over_delivered(self) -> None:
        """Start to hand over the responses whose callers may still come back.

        Each one is offered once, as most callers have read theirs, and a few at a
        time, which leaves the peers to the offers above.
        """
        pending = self._pending_delivered()
        self._delivered_ids.update(each.call.call.request_id for each in pending)
        self._delivered.extendleft(reversed(pending))
        while self._delivered and self._delivered_tasks < MAX_DELIVERED_OFFERS:
            self._delivered_tasks += 1
            spawn(self._hand_over_delivered)

    def _pending_delivered(self) -> list[Generation]:
        return [
            generation
            for generation in self._dispatcher.registry.delivered_lately
            if generation.call.call.request_id not in self._delivered_ids
        ]

    def _hand_over_delivered(self) -> None:
        try:
            while self._delivered:
                self._hand_over(self._delivered.popleft())
        finally:
            self._delivered_tasks -= 1

    def accept(
        self, handover: HandOver, reply: Callable[[bool], None], *, stays: bool
    ) -> None:
        """Accept or reject a generation that a peer offers.

        :param reply: sends the peer whether it was accepted.
        :param stays: whether this entry is ready and not stopping. A stopping one
            would hand the request over again at once, with less time than its
            current holder has.
        """
        reply(stays and self._accept(handover))

    def _start(self, generation: Generation) -> None:
        request_id = generation.call.call.request_id
        # A call with an idempotency key stays, as the entry that made its claim must
        # store the outcome.
        if request_id in self._offered_ids or not generation.call.call.idempotent:
            return
        self._offered_ids.add(request_id)
        spawn(self._hand_over, generation)

    def _hand_over(self, generation: Generation) -> None:
        request_id = generation.call.call.request_id
        progress = generation.begin_offer()
        try:
            accepted = any(
                self._offer(generation, progress, receiver.name)
                for receiver in self._peers.receivers(request_id)[:MAX_RECEIVERS]
            )
        finally:
            self._offered_ids.discard(request_id)
            generation.end_offer()
        self._metrics.handover_ended("given" if accepted else "kept")
        if accepted:
            generation.release()
            self._dispatcher.registry.drop(generation)

    def _offer(self, generation: Generation, progress: Progress, receiver: str) -> bool:
        """Offer a generation to one peer; without an acknowledgement it stays here.

        If the acknowledgement is lost, there are two holders. Both read the same
        engine stream with the same events, and the caller may read from either, so
        no event is lost or out of order.
        """
        call = generation.call
        handover = HandOver(
            call.call.request_id, self._name, encode(call, progress, self._clock)
        )
        return self._peers.hand_over(receiver, handover, OFFER_TIMEOUT)

    def _accept(self, handover: HandOver) -> bool:
        try:
            incoming = decode(handover.request, self._clock)
            self._dispatcher.take_over(incoming.call, self._progress(incoming))
        except RequestIdTaken:
            # The offer is repeated because its first acknowledgement was lost.
            return self._holds_same(incoming)
        except MalformedHandOver as error:
            log.error("rejected hand-over from {}: {}", handover.holder, error)
            return False
        self._metrics.handover_ended("taken")
        return True

    def _progress(self, incoming: IncomingGeneration) -> Progress:
        endpoint = self._directory.get(incoming.endpoint)
        return Progress(
            incoming.events,
            endpoint,
            incoming.cache,
            incoming.sent,
            incoming.delivered_ago,
        )

    def _holds_same(self, incoming: IncomingGeneration) -> bool:
        """Return whether the request held here is the offered one.

        Callers choose the ids, so two customers may use the same one. Accepting then
        would make the holder drop a request that no other entry holds.
        """
        about = incoming.call.call
        try:
            held = self._dispatcher.registry.find(about.request_id, about.customer)
        except RequestNotHeld:
            return False
        return held.call.body == incoming.call.body
