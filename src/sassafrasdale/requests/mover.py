"""Moves generations from an endpoint that is about to be reclaimed."""

from datetime import timedelta

from sassafrasdale.clock import Clock
from sassafrasdale.decisions.reclaims import plan_streams
from sassafrasdale.decisions.structures import (
    KeepInPlace,
    MoveCache,
    ReclaimPolicy,
    Recompute,
    StreamTarget,
    StreamView,
)
from sassafrasdale.endpoints.directory import Endpoint
from sassafrasdale.green import spawn
from sassafrasdale.requests.generation import Generation
from sassafrasdale.requests.registry import Registry
from sassafrasdale.requests.selection import CHARACTERS_PER_TOKEN, Selector

# Assumed time between two tokens, for a stream without tokens.
DEFAULT_TOKEN_DELAY = timedelta(milliseconds=30)


class Mover:
    """Plans and starts the moves of one entry's generations.

    :param registry: the generations held here.
    :param selector: finds another endpoint that could continue them.
    :param clock: source of time.
    """

    def __init__(self, registry: Registry, selector: Selector, clock: Clock) -> None:
        self._registry = registry
        self._selector = selector
        self._clock = clock
        self._leaving: dict[str, Endpoint] = {}

    def drain(self, endpoint: Endpoint) -> None:
        """Start to move the streams that won't end before ``endpoint`` leaves."""
        self._leaving[endpoint.name] = endpoint
        self._plan(endpoint, self._streams_by_endpoint().get(endpoint.name, []))

    def update_plans(self) -> None:
        """Update the plans for leaving endpoints.

        A stream may take longer than planned, a target may have become available, or
        a peer may have handed over a stream on a leaving endpoint.
        """
        if not self._leaving:
            return
        streams = self._streams_by_endpoint()
        for endpoint in tuple(self._leaving.values()):
            if endpoint.state == "leaving":
                self._plan(endpoint, streams.get(endpoint.name, []))
            else:
                del self._leaving[endpoint.name]

    def _streams_by_endpoint(self) -> dict[str, list[Generation]]:
        streams: dict[str, list[Generation]] = {}
        for generation in self._registry.running:
            if generation.endpoint is not None and not generation.offered:
                streams.setdefault(generation.endpoint.name, []).append(generation)
        return streams

    def _plan(self, endpoint: Endpoint, streams: list[Generation]) -> None:
        if not streams or endpoint.leaves_at is None:
            return
        by_id = {each.call.call.request_id: each for each in streams}
        target = self._target(endpoint)
        plans = plan_streams(
            [stream_view(generation, self._clock) for generation in streams],
            endpoint.leaves_at - self._clock.now(),
            lambda stream: target,
            ReclaimPolicy(),
            link_share=len(streams) / max(len(streams), endpoint.reported_load),
        )
        for request_id, plan in plans.items():
            match plan:
                case MoveCache():
                    spawn(_move, by_id[request_id], endpoint)
                case Recompute():
                    spawn(by_id[request_id].recompute, endpoint)
                case KeepInPlace():
                    continue

    def _target(self, leaving: Endpoint) -> StreamTarget | None:
        """Return an endpoint that could continue the streams, or None."""
        query = self._selector.query_for(
            leaving.instance.service, self._clock.elapsed(), priority=0
        )
        target = self._selector.choose(query, frozenset({leaving.name}))
        return StreamTarget(target.name) if target else None


def _move(generation: Generation, endpoint: Endpoint) -> None:
    """Move a stream by its KV cache, or by recomputing its tokens if that fails."""
    if not generation.move(endpoint):
        generation.recompute(endpoint)


def stream_view(generation: Generation, clock: Clock) -> StreamView:
    """Return the properties of a generation that a plan needs."""
    tokens = len(generation.events)
    prompt_tokens = len(generation.call.prompt) // CHARACTERS_PER_TOKEN
    delay = DEFAULT_TOKEN_DELAY
    if generation.first_event_at is not None and tokens > 1:
        delay = (clock.elapsed() - generation.first_event_at) / tokens
    return StreamView(
        request_id=generation.call.call.request_id,
        context_tokens=prompt_tokens + tokens,
        remaining_tokens=max(0, generation.call.max_tokens - tokens),
        token_delay=delay,
    )
