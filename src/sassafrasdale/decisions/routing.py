"""Selection of the endpoint for a request.

Each candidate gets a cost in seconds, and the lowest cost wins. The functions are
stateless, so an entry may call them as often as needed.

Usage::

    view = choose(request, views, RoutingPolicy(), rng)
"""

from collections.abc import Mapping, Sequence
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
    """Return the endpoint to send ``request`` to, or None if all are being reclaimed.

    :param request: the request.
    :param views: the candidates, without those already tried.
    :param policy: weights of the service and constants.
    :param rng: breaks ties.
    """
    candidates = [view for view in views if not view.leaving]
    mean = _mean_of_others(candidates)
    best = None
    best_cost = float("inf")
    for view in candidates:
        cost = expected_cost(request, view, policy, mean)
        if cost < best_cost or (cost == best_cost and rng.random() < 0.5):
            best = view
            best_cost = cost
    return best


def draw_candidates(
    names: Sequence[str],
    matches: Mapping[str, int],
    owners: Sequence[str],
    policy: RoutingPolicy,
    rng: Random,
) -> list[str]:
    """Return the candidates: a random sample, the owners and the best cache matches.

    Building a view costs more than evaluating it, so candidates are drawn from the
    names.

    :param names: all endpoints of the service that this entry uses.
    :param matches: expected cached tokens by endpoint.
    :param owners: the conversation's owner and fallback owner; empty names are
        ignored.
    :param policy: constants.
    :param rng: draws the sample.
    """
    if len(names) <= policy.sampled_above:
        return list(names)
    drawn = dict.fromkeys(rng.sample(names, policy.sample_size))
    # A match only counts if it is longer than any in the sample. Otherwise a template
    # that most endpoints hold would add the same few endpoints to the candidates of
    # every entry, and all entries would send to these.
    common = max(matches.get(name, 0) for name in drawn)
    ranked = [
        (tokens, rng.random(), name)
        for name, tokens in matches.items()
        if tokens > common
    ]
    ranked.sort(reverse=True)
    drawn.update(dict.fromkeys(name for *_, name in ranked[: policy.best_matches]))
    drawn.update(dict.fromkeys(owner for owner in owners if owner))
    return list(drawn)


def expected_load(view: EndpointView, policy: RoutingPolicy, mean: float) -> float:
    """Return the requests of all entries expected in flight at an endpoint.

    Own requests are known. Those of the other entries are estimated: the older the
    report, the closer the estimate is to their mean. If old reports were taken as
    current, every entry would send to the endpoint that was idle then.

    :param view: the endpoint.
    :param policy: constants.
    :param mean: mean over the endpoints of the other entries' reported requests.
    """
    if view.report_age is None:
        return view.in_flight + mean
    others = max(0, view.reported_load - view.own_load_at_report)
    report_weight = 0.5 ** (view.report_age / policy.report_half_life)
    mirrored = (view.in_flight - view.own_load_at_report) * policy.mirrored_entries
    return view.in_flight + mean + (others + mirrored - mean) * report_weight


def expected_cost(
    request: RoutingRequest, view: EndpointView, policy: RoutingPolicy, mean: float
) -> float:
    """Return the cost of sending ``request`` to an endpoint, in seconds."""
    load = expected_load(view, policy, mean)
    cached = view.cached_tokens
    if view.name == request.owner:
        cached = max(cached, request.owner_cached_share * request.prompt_tokens)
    elif view.name == request.fallback_owner:
        cached = max(
            cached,
            policy.second_home_share
            * request.owner_cached_share
            * request.prompt_tokens,
        )
    compute = max(0.0, request.prompt_tokens - cached) / policy.prefill_rate
    running = load * policy.queue_delay
    waiting = max(0.0, load + 1 - view.max_in_flight) * policy.wait_delay
    ahead = view.prefill_tokens / policy.prefill_rate
    ahead += policy.queueing_trust * view.queue_time.total_seconds()
    delay = (compute + running + waiting + ahead) * view.slowness
    delay += 2 * view.network_delay.total_seconds()
    latency = policy.latency_cost * delay
    recomputed = policy.recomputed_tokens * compute
    return latency + recomputed + policy.price_delay * view.price_per_hour


def _mean_of_others(views: Sequence[EndpointView]) -> float:
    """Return the mean of the requests that other entries reported in flight."""
    reported = [view for view in views if view.report_age is not None]
    if not reported:
        return 0.0
    others = sum(
        max(0, view.reported_load - view.own_load_at_report) for view in reported
    )
    return others / len(reported)
