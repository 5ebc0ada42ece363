"""Plan for the streams of an endpoint that is being reclaimed."""

from collections.abc import Callable, Iterable, Sequence
from datetime import timedelta

from sassafrasdale.decisions.structures import (
    KeepInPlace,
    MoveCache,
    ReclaimPolicy,
    Recompute,
    StreamPlan,
    StreamTarget,
    StreamView,
)

TargetChooser = Callable[[StreamView], StreamTarget | None]
"""Returns the endpoint that would continue a stream, or None."""


def plan_stream(
    stream: StreamView,
    notice: timedelta,
    target: StreamTarget | None,
    policy: ReclaimPolicy,
    link_busy: timedelta = timedelta(),
) -> StreamPlan:
    """Return the plan for one stream.

    :param stream: the stream.
    :param notice: time until the reclaim.
    :param target: endpoint that would continue the stream; None if there is none.
    :param policy: constants.
    :param link_busy: time that earlier transfers occupy the endpoint's link.
    """
    usable = notice - policy.margin
    if stream.remaining_tokens * stream.token_delay <= usable:
        return KeepInPlace()
    if target is None:
        return KeepInPlace(finishes_in_time=False)
    recomputed = max(0, stream.context_tokens - target.cached_tokens)
    if recomputed and link_busy + move_time(stream, policy) <= usable:
        return MoveCache(target.name)
    return Recompute(target.name, recomputed)


def plan_streams(
    streams: Iterable[StreamView],
    notice: timedelta,
    choose_target: TargetChooser,
    policy: ReclaimPolicy,
    link_share: float = 1.0,
) -> dict[str, StreamPlan]:
    """Return the plan for each stream of one endpoint, by request id.

    Transfers share the endpoint's link one after the other; the longest contexts go
    first, since they save the most tokens.

    :param streams: this entry's streams on the endpoint.
    :param notice: time until the reclaim.
    :param choose_target: returns the endpoint to continue a stream.
    :param policy: constants.
    :param link_share: this entry's fraction of the requests on the endpoint, and so of
        its link; the other entries move theirs at the same time.
    """
    plans: dict[str, StreamPlan] = {}
    link_busy = timedelta()
    for stream in sorted(streams, key=lambda stream: -stream.context_tokens):
        target = choose_target(stream)
        plan = plan_stream(stream, notice, target, policy, link_busy)
        if isinstance(plan, MoveCache):
            link_busy += move_time(stream, policy) / link_share
        plans[stream.request_id] = plan
    return plans


def move_time(stream: StreamView, policy: ReclaimPolicy) -> timedelta:
    """Return the time to transfer a stream's cache to another endpoint."""
    return policy.move_setup + timedelta(
        seconds=stream.context_tokens / policy.move_rate
    )


def recomputed_tokens(plans: Sequence[StreamPlan]) -> int:
    """Return the number of tokens that ``plans`` recompute."""
    return sum(plan.tokens for plan in plans if isinstance(plan, Recompute))
