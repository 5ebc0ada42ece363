"""Moves generations off an endpoint that is about to be reclaimed."""

from datetime import timedelta

from sassafrasdale.clock import Clock
from sassafrasdale.decisions.reclaims import plan_streams
from sassafrasdale.decisions.structures import (
    MoveCache,
    ReclaimPolicy,
    Recompute,
    StreamTarget,
    StreamView,
    WaitOut,
)
from sassafrasdale.endpoints.directory import Endpoint
from sassafrasdale.green import spawn
from sassafrasdale.requests.generation import Generation
from sassafrasdale.requests.registry import Registry
from sassafrasdale.requests.selection import CHARACTERS_PER_TOKEN, Selector

# Time between two tokens that is assumed of a stream without any yet.
USUAL_TOKEN_DELAY = timedelta(milliseconds=30)


class Mover:
    """Decides and begins the moves of one entry's generations.

    :param registry: the generations held.
    :param selector: knows whether another endpoint could go on with them.
    :param clock: source of time.
    """

    def __init__(self, registry: Registry, selector: Selector, clock: Clock) -> None:
        self._registry = registry
        self._selector = selector
        self._clock = clock

    def empty(self, endpoint: Endpoint) -> None:
        """Begin to move what runs on ``endpoint`` and doesn't fit its notice."""
        streams = {
            generation.call.call.request_id: generation
            for generation in self._registry.running
            if generation.endpoint is endpoint
        }
        if not streams or endpoint.leaves_at is None:
            return
        target = self._target(endpoint)
        plans = plan_streams(
            [stream_view(generation, self._clock) for generation in streams.values()],
            endpoint.leaves_at - self._clock.now(),
            lambda stream: target,
            ReclaimPolicy(),
        )
        for request_id, plan in plans.items():
            generation = streams[request_id]
            match plan:
                case MoveCache():
                    spawn(generation.move, endpoint)
                case Recompute() if generation.call.call.idempotent:
                    spawn(generation.recompute, endpoint)
                case Recompute() | WaitOut():
                    continue

    def _target(self, leaving: Endpoint) -> StreamTarget | None:
        """Return an endpoint that could go on, if there is one."""
        wanted = self._selector.wanted(
            leaving.instance.service, self._clock.elapsed(), priority=0
        )
        target = self._selector.choose(wanted, frozenset({leaving.name}))
        return StreamTarget(target.name) if target else None


def stream_view(generation: Generation, clock: Clock) -> StreamView:
    """Return what a plan needs to know of a generation."""
    tokens = len(generation.events)
    prompt_tokens = len(generation.call.prompt) // CHARACTERS_PER_TOKEN
    delay = USUAL_TOKEN_DELAY
    if generation.first_event_at is not None and tokens > 1:
        delay = (clock.elapsed() - generation.first_event_at) / tokens
    return StreamView(
        request_id=generation.call.call.request_id,
        context_tokens=prompt_tokens + tokens,
        remaining_tokens=max(0, generation.call.max_tokens - tokens),
        token_delay=delay,
    )
