"""What is done with the streams of an endpoint that is about to leave."""

from collections.abc import Sequence
from datetime import timedelta

from sassafrasdale.decisions.structures import (
    MoveCache,
    ReclaimPolicy,
    Recompute,
    StreamPlan,
    StreamView,
    WaitOut,
)


def plan_stream(
    stream: StreamView,
    notice: timedelta,
    target: str | None,
    policy: ReclaimPolicy,
    cached_tokens: int = 0,
) -> StreamPlan:
    """Return what to do with one stream.

    :param stream: the stream.
    :param notice: time until the endpoint leaves.
    :param target: endpoint that would go on with it; None if there is none.
    :param policy: constants.
    :param cached_tokens: tokens of the context that the target already holds.
    """
    usable = notice - policy.margin
    if stream.remaining_tokens * stream.token_delay <= usable:
        return WaitOut()
    if target is None:
        return WaitOut(fits=False)
    if move_time(stream, policy) <= usable:
        return MoveCache(target)
    return Recompute(target, max(0, stream.context_tokens - cached_tokens))


def plan_streams(
    streams: Sequence[StreamView],
    notice: timedelta,
    target: str | None,
    policy: ReclaimPolicy,
) -> dict[str, StreamPlan]:
    """Return what to do with each stream of one endpoint, by request id.

    Moves share the endpoint's link, one after the other; the longest contexts
    go first, since they save the most tokens.
    """
    plans: dict[str, StreamPlan] = {}
    left = notice
    for stream in sorted(streams, key=lambda stream: -stream.context_tokens):
        plan = plan_stream(stream, left, target, policy)
        if isinstance(plan, Recompute | MoveCache) and _ends(stream, notice, policy):
            plan = WaitOut()
        if isinstance(plan, MoveCache):
            left -= move_time(stream, policy)
        plans[stream.request_id] = plan
    return plans


def move_time(stream: StreamView, policy: ReclaimPolicy) -> timedelta:
    """Return the time to move a stream's cache to another endpoint."""
    return policy.move_setup + timedelta(
        seconds=stream.context_tokens / policy.move_rate
    )


def recomputed_tokens(plans: Sequence[StreamPlan]) -> int:
    """Return the tokens that ``plans`` have computed again."""
    return sum(plan.tokens for plan in plans if isinstance(plan, Recompute))


def _ends(stream: StreamView, notice: timedelta, policy: ReclaimPolicy) -> bool:
    """Return whether a stream ends before its endpoint leaves."""
    return stream.remaining_tokens * stream.token_delay <= notice - policy.margin
