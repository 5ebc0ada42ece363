"""Choice of the endpoint for a request.

Each candidate gets a cost in seconds; the lowest wins. Nothing here keeps state,
so an entry may ask as often as it likes.

Usage::

    view = choose(request, views, RoutingPolicy(), rng)
"""

from collections.abc import Sequence
from random import Random

from sassafrasdale.decisions.structures import (
    EndpointView,
    RoutingPolicy,
    RoutingRequest,
)


def choose(
    request: RoutingRequest,
    views: Sequence[EndpointView],
    policy: RoutingPolicy,
    rng: Random,
) -> EndpointView | None:
    """Return the endpoint to send ``request`` to, or None if all are leaving.

    :param request: the request.
    :param views: every endpoint that may serve it, without those already tried.
    :param policy: weights of the service and constants.
    :param rng: draws the sample and breaks ties.
    """
    candidates = _candidates(views, policy, rng)
    best = None
    best_cost = float("inf")
    for view in candidates:
        cost = expected_cost(request, view, policy)
        if cost < best_cost or (cost == best_cost and rng.random() < 0.5):
            best = view
            best_cost = cost
    return best


def expected_load(view: EndpointView, policy: RoutingPolicy) -> float:
    """Return the requests expected in flight at an endpoint, of all entries."""
    if view.report_age is None:
        return float(view.in_flight)
    others = max(0, view.reported_load - view.own_at_report)
    half_lives = view.report_age / policy.report_half_life
    return view.in_flight + others * 0.5**half_lives


def expected_cost(
    request: RoutingRequest, view: EndpointView, policy: RoutingPolicy
) -> float:
    """Return the cost of sending ``request`` to an endpoint, in seconds."""
    load = expected_load(view, policy)
    uncached = max(0, request.prompt_tokens - view.cached_tokens)
    compute = uncached / policy.prefill_rate
    running = load * policy.queue_delay
    waiting = max(0.0, load - view.max_in_flight) * policy.wait_delay
    ahead = view.own_tokens / policy.prefill_rate
    delay = (compute + running + waiting + ahead) * view.slowness
    delay += 2 * view.distance.total_seconds()
    latency = policy.latency_cost * delay
    recomputed = policy.recomputed_tokens * compute
    return latency + recomputed + policy.price_delay * view.price_per_hour


def _candidates(
    views: Sequence[EndpointView], policy: RoutingPolicy, rng: Random
) -> list[EndpointView]:
    """Return a random sample and every endpoint that has cached tokens."""
    staying = [view for view in views if not view.leaving]
    if len(staying) <= policy.sample_size:
        return staying
    sample = rng.sample(staying, policy.sample_size)
    sample += [view for view in staying if view.cached_tokens and view not in sample]
    return sample
