"""Inputs and results of the decision functions."""

from dataclasses import dataclass, field
from datetime import timedelta


@dataclass(frozen=True, slots=True)
class EndpointView:
    """What one entry knows of an endpoint when it routes a request.

    :param name: the endpoint's instance name.
    :param availability_zone: zone that the endpoint runs in.
    :param instance_class: the platform's machine class.
    :param in_flight: requests that this entry has in flight there now.
    :param prefill_tokens: prompt tokens of these requests that the endpoint has yet to
        process: not expected in its cache, and no first token received yet.
    :param reported_load: running and queued requests of all entries, as last reported.
    :param own_load_at_report: requests that this entry had in flight there when the
        report was measured; included in ``reported_load``.
    :param report_age: time since the report was measured; None without a report.
    :param max_in_flight: requests that the endpoint runs concurrently; further ones
        queue there.
    :param price_per_hour: price of the instance.
    :param network_delay: one-way network delay from this entry.
    :param cached_tokens: prompt tokens of the request that are expected in its cache.
    :param leaving: whether the platform has announced that it will reclaim the
        instance.
    :param queue_time: observed queueing time of requests at the endpoint.
    :param slowness: recent time per token divided by the median of its service; 1 is
        normal.
    """

    name: str
    availability_zone: str
    instance_class: str = ""
    in_flight: int = 0
    prefill_tokens: int = 0
    reported_load: int = 0
    own_load_at_report: int = 0
    report_age: timedelta | None = None
    max_in_flight: int = 16
    price_per_hour: float = 0.0
    network_delay: timedelta = timedelta()
    cached_tokens: int = 0
    leaving: bool = False
    queue_time: timedelta = timedelta()
    slowness: float = 1.0


@dataclass(frozen=True, slots=True)
class RoutingRequest:
    """Properties of a request that affect routing.

    :param prompt_tokens: length of the prompt; 0 for a service of kind plain.
    :param max_tokens: maximum number of tokens to generate.
    :param priority: 0 is the most urgent, 7 the least.
    :param remaining: time until the deadline.
    :param entry_availability_zone: zone of the entry that routes the request.
    :param owner: endpoint that the hash ring assigns to the conversation, the same on
        every entry; empty if the request continues no conversation.
    :param fallback_owner: endpoint that the ring assigns when the owner is overloaded,
        also the same on every entry.
    :param owner_cached_share: fraction of the prompt that is assumed to be in the
        owner's cache, without better information.
    """

    prompt_tokens: int = 0
    max_tokens: int = 0
    priority: int = 3
    remaining: timedelta = timedelta(seconds=30)
    entry_availability_zone: str = ""
    owner: str = ""
    fallback_owner: str = ""
    owner_cached_share: float = 0.6


@dataclass(frozen=True, slots=True)
class RoutingPolicy:
    """Weights and constants of endpoint selection.

    docs/ROUTING.md has the sweep behind each default.

    :param latency_cost: weight of the time to the first token.
    :param recomputed_tokens: weight of prompt tokens that are computed again.
    :param prefill_rate: prompt tokens that an endpoint processes per second.
    :param queue_delay: seconds that each request in flight adds while it runs.
    :param wait_delay: seconds that each request above ``max_in_flight`` adds.
    :param price_delay: seconds of delay that are considered equal to one unit of price
        per hour.
    :param report_half_life: age at which a load report and the mean over all reports
        are weighted equally.
    :param second_home_share: fraction of the prompt assumed in the fallback owner's
        cache, relative to the owner's.
    :param mirrored_entries: number of other entries that are assumed to have changed
        their load on an endpoint by the same amount as this one since the report.
    :param queueing_trust: fraction of the observed queueing time that is expected for
        the next request.
    :param sampled_above: number of endpoints up to which all are candidates.
    :param sample_size: candidates drawn at random when there are more.
    :param best_matches: candidates added for the length of their cached prefix.
    """

    latency_cost: float = 1.0
    recomputed_tokens: float = 1.0
    prefill_rate: float = 8000.0
    queue_delay: float = 0.02
    wait_delay: float = 0.2
    price_delay: float = 0.0
    report_half_life: timedelta = timedelta(seconds=4)
    second_home_share: float = 0.5
    mirrored_entries: float = 5.0
    queueing_trust: float = 1.0
    sampled_above: int = 8
    sample_size: int = 4
    best_matches: int = 3


@dataclass(frozen=True, slots=True)
class StreamView:
    """A stream in flight on an endpoint that is being reclaimed.

    :param request_id: the request's id.
    :param context_tokens: prompt and generated tokens so far, all of them in the KV
        cache.
    :param remaining_tokens: maximum number of tokens still to generate.
    :param token_delay: recent time between its tokens.
    """

    request_id: str
    context_tokens: int
    remaining_tokens: int
    token_delay: timedelta


@dataclass(frozen=True, slots=True)
class StreamTarget:
    """Endpoint that could continue a stream.

    :param name: its instance name.
    :param cached_tokens: tokens of the stream's context that are already in its cache.
    """

    name: str
    cached_tokens: int = 0


@dataclass(frozen=True, slots=True)
class ReclaimPolicy:
    """Constants for moving streams off an endpoint that is being reclaimed.

    :param margin: time reserved before the reclaim.
    :param move_setup: fixed time to export and import a cache.
    :param move_rate: cached tokens that an endpoint exports per second.
    """

    margin: timedelta = timedelta(seconds=1)
    move_setup: timedelta = timedelta(milliseconds=200)
    move_rate: float = 50_000.0


@dataclass(frozen=True, slots=True)
class KeepInPlace:
    """Leave the stream on its endpoint.

    :param finishes_in_time: whether the stream is expected to end before the reclaim.
    """

    finishes_in_time: bool = True


@dataclass(frozen=True, slots=True)
class MoveCache:
    """Export the KV cache and continue on another endpoint.

    :param target: endpoint to continue on.
    """

    target: str


@dataclass(frozen=True, slots=True)
class Recompute:
    """Continue on another endpoint, which computes the context again.

    :param target: endpoint to continue on.
    :param tokens: context tokens that it computes again.
    """

    target: str
    tokens: int


StreamPlan = KeepInPlace | MoveCache | Recompute


@dataclass(frozen=True, slots=True)
class InstanceOffer:
    """A kind of instance that the cloud offers.

    :param availability_zone: zone that it would run in.
    :param instance_class: the platform's machine class.
    :param reclaimable: whether the platform may reclaim it.
    :param price_per_hour: its price.
    :param capacity: load that one instance carries at the latency target, in requests
        in flight.
    """

    availability_zone: str
    instance_class: str
    reclaimable: bool
    price_per_hour: float
    capacity: float


@dataclass(frozen=True, slots=True)
class RefusedStart:
    """Starts of one kind of instance that the cloud refused.

    :param availability_zone: zone that was requested.
    :param instance_class: the platform's machine class.
    :param reclaimable: whether a reclaimable instance was requested.
    :param refusals: consecutive refusals.
    :param age: time since the last refusal.
    """

    availability_zone: str
    instance_class: str
    reclaimable: bool
    refusals: int
    age: timedelta


@dataclass(frozen=True, slots=True)
class RunningInstance:
    """An instance of a service that is starting, running or being reclaimed.

    :param name: the platform's identifier.
    :param availability_zone: zone that it runs in.
    :param instance_class: the platform's machine class.
    :param reclaimable: whether the platform may reclaim it.
    :param in_flight: its requests in flight.
    :param leaving: whether the platform has announced that it will reclaim it.
    :param serving: whether it has started and serves requests.
    """

    name: str
    availability_zone: str
    instance_class: str
    reclaimable: bool
    in_flight: int = 0
    leaving: bool = False
    serving: bool = True


@dataclass(frozen=True, slots=True)
class ServiceDemand:
    """Load of a service and constraints on its instances.

    :param service: name of the service.
    :param load: requests in flight, averaged over the last minute.
    :param growth: change of the load per second.
    :param availability_zones: zones that its instances may run in.
    :param min_instances: minimum number of instances.
    """

    service: str
    load: float
    growth: float = 0.0
    availability_zones: tuple[str, ...] = ()
    min_instances: int = 1


@dataclass(frozen=True, slots=True)
class CapacityPolicy:
    """Constants of capacity planning.

    :param headroom: capacity to provide, as a multiple of the current load.
    :param start_time: time from a start order until the instance serves.
    :param refusal_backoff: delay after one refused start; it doubles with each further
        refusal.
    :param longest_backoff: upper bound of that delay.
    :param give_back_margin: spare capacity to keep when an instance is released, as a
        fraction of the required capacity.
    :param dear: multiple of the cheapest price per capacity above which an instance is
        replaced by a cheaper one.
    """

    headroom: float = 1.25
    start_time: timedelta = timedelta(seconds=60)
    refusal_backoff: timedelta = timedelta(seconds=20)
    longest_backoff: timedelta = timedelta(minutes=2)
    give_back_margin: float = 0.1
    dear: float = 1.5


@dataclass(frozen=True, slots=True)
class StartInstance:
    """Order to start one instance.

    :param request_id: idempotency key; derived from the order, so that a repeated order
        starts only one instance.
    :param service: name of the service.
    :param availability_zone: zone to run in.
    :param instance_class: the platform's machine class.
    :param reclaimable: whether the platform may reclaim it.
    """

    request_id: str
    service: str
    availability_zone: str
    instance_class: str
    reclaimable: bool


@dataclass(frozen=True, slots=True)
class ReleaseInstance:
    """Order to release one instance.

    :param name: the platform's identifier.
    """

    name: str


CapacityOrder = StartInstance | ReleaseInstance


@dataclass(frozen=True, slots=True)
class CapacityPlan:
    """Orders of one planning round.

    :param orders: starts and releases, in the order to send them.
    :param shortfall: load that no available offer can carry now.
    """

    orders: tuple[CapacityOrder, ...] = field(default=())
    shortfall: float = 0.0
