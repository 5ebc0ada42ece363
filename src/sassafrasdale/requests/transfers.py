"""Hands generations over to other entries, and takes them from others."""

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
from sassafrasdale.requests.handovers import Parcel, pack, unpack
from sassafrasdale.requests.mover import stream_view
from sassafrasdale.requests.placement import Progress

# Peers that are asked in turn to take one generation.
MAX_RECEIVERS = 3
# Limit of one offer, so that a dead receiver leaves time for another.
OFFER_LIMIT = timedelta(seconds=1)

log = Logger("transfers")


class Transfers:
    """Hand-overs of one entry.

    :param name: name of this entry.
    :param dispatcher: holds the generations.
    :param directory: the endpoints known.
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
        self._under_way: set[str] = set()

    def give_what_does_not_fit(self, left: timedelta) -> None:
        """Begin to hand over each generation that won't end within ``left``."""
        for generation in self._dispatcher.registry.running:
            view = stream_view(generation, self._clock)
            if view.remaining_tokens * view.token_delay > left:
                self._begin(generation)

    def give_undelivered(self) -> None:
        """Begin to hand over whole answers whose caller has not come yet."""
        for generation in self._dispatcher.registry.undelivered:
            self._begin(generation)

    def take(
        self, handover: HandOver, reply: Callable[[bool], None], *, stays: bool
    ) -> None:
        """Take a generation that a peer offers, and tell it whether it was taken.

        :param stays: whether this entry is ready and stays. One that leaves would
            pass the request on at once, with less time than its holder has.
        """
        reply(stays and self._take(handover))

    def _begin(self, generation: Generation) -> None:
        request_id = generation.call.call.request_id
        # A keyed call's claim is settled by the entry that made it, so it stays.
        if request_id in self._under_way or not generation.call.call.idempotent:
            return
        self._under_way.add(request_id)
        spawn(self._give, generation)

    def _give(self, generation: Generation) -> None:
        request_id = generation.call.call.request_id
        progress = generation.begin_offer()
        try:
            given = any(
                self._offer(generation, progress, receiver.name)
                for receiver in self._peers.receivers(request_id)[:MAX_RECEIVERS]
            )
        finally:
            self._under_way.discard(request_id)
            generation.end_offer()
        self._metrics.handover_ended("given" if given else "kept")
        if given:
            generation.release()
            self._dispatcher.registry.drop(generation)

    def _offer(self, generation: Generation, progress: Progress, receiver: str) -> bool:
        """Offer a generation to one peer; without its word it stays here.

        An offer whose acknowledgement is lost leaves two holders. Both read the
        same engine stream, which is the same for both, and the caller follows
        whichever it reaches; so nothing is lost or mixed up.
        """
        call = generation.call
        handover = HandOver(
            call.call.request_id, self._name, pack(call, progress, self._clock)
        )
        return self._peers.hand_over(receiver, handover, OFFER_LIMIT)

    def _take(self, handover: HandOver) -> bool:
        try:
            parcel = unpack(handover.request, self._clock)
            self._dispatcher.take_over(parcel.call, self._progress(parcel))
        except RequestIdTaken:
            # The same offer came twice, its first acknowledgement was lost.
            return self._holds_same(parcel)
        except MalformedHandOver as error:
            log.error("hand-over of {}: {}", handover.holder, error)
            return False
        self._metrics.handover_ended("taken")
        return True

    def _progress(self, parcel: Parcel) -> Progress:
        endpoint = self._directory.get(parcel.endpoint)
        return Progress(parcel.events, endpoint, parcel.cache, parcel.sent)

    def _holds_same(self, parcel: Parcel) -> bool:
        """Return whether the request held here is the one that is offered.

        Ids are the callers' own: two customers may have chosen the same one, and
        a yes would then have the holder drop a request that nobody holds.
        """
        about = parcel.call.call
        try:
            held = self._dispatcher.registry.find(about.request_id, about.customer)
        except RequestNotHeld:
            return False
        return held.call.body == parcel.call.body
