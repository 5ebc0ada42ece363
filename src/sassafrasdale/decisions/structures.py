"""Data that the decisions take in and give out."""

from dataclasses import dataclass, field
from datetime import timedelta


@dataclass(frozen=True, slots=True)
class EndpointView:
    """What one entry knows of an endpoint at the moment of a choice.

    :param name: the endpoint's instance name.
    :param availability_zone: where it runs.
    :param instance_class: the platform's class of machine.
    :param in_flight: requests of this entry that it holds now.
    :param own_tokens: prompt tokens, not expected to be cached, of those of them
        that have no first token yet.
    :param reported_load: running and waiting requests of all entries, as last
        reported.
    :param own_at_report: this entry's share of ``reported_load``: its requests in
        flight there when the report was measured.
    :param report_age: time since the report was measured; None without a report.
    :param max_in_flight: requests that it runs at once; more of them wait.
    :param price_per_hour: price of the instance.
    :param distance: one-way delay from this entry.
    :param cached_tokens: prompt tokens of the request expected in its cache.
    :param leaving: whether a reclaim of it was announced.
    :param queueing: time that requests are seen to queue there.
    :param slowness: recent time for a token over the median of its service; 1 is
        usual.
    """

    name: str
    availability_zone: str
    instance_class: str = ""
    in_flight: int = 0
    own_tokens: int = 0
    reported_load: int = 0
    own_at_report: int = 0
    report_age: timedelta | None = None
    max_in_flight: int = 16
    price_per_hour: float = 0.0
    distance: timedelta = timedelta()
    cached_tokens: int = 0
    leaving: bool = False
    queueing: timedelta = timedelta()
    slowness: float = 1.0


@dataclass(frozen=True, slots=True)
class RoutingRequest:
    """What a choice needs to know of a request.

    :param prompt_tokens: length of the prompt; 0 for a plain service.
    :param max_tokens: most tokens that it may generate.
    :param priority: 0 goes first, 7 last.
    :param remaining: time until its deadline.
    :param home_availability_zone: where the entry that holds it runs.
    :param home: endpoint that the hash of the conversation names, on every entry
        alike; empty if the request continues none.
    :param second_home: where it goes when the home is too busy, likewise.
    :param home_share: share of the prompt expected in the home's cache while
        nothing better is known.
    """

    prompt_tokens: int = 0
    max_tokens: int = 0
    priority: int = 3
    remaining: timedelta = timedelta(seconds=30)
    home_availability_zone: str = ""
    home: str = ""
    second_home: str = ""
    home_share: float = 0.6


@dataclass(frozen=True, slots=True)
class RoutingPolicy:
    """Weights of a service and constants of the choice of an endpoint.

    docs/ROUTING.md has the sweep behind each default.

    :param latency_cost: weight of the time to the first token.
    :param recomputed_tokens: weight of prompt tokens computed again.
    :param prefill_rate: prompt tokens that an endpoint computes in a second.
    :param queue_delay: seconds that each request in flight adds while it runs.
    :param wait_delay: seconds that each request above ``max_in_flight`` adds.
    :param price_delay: seconds of delay that are worth one unit of price an hour.
    :param report_half_life: age at which a report counts half, and the mean of
        all reports the other half.
    :param second_home_share: share expected in the second home's cache, as a part
        of the home's.
    :param mirrored_entries: other entries that are expected to have changed their
        requests at an endpoint as this one did since the report.
    :param queueing_trust: part of the queueing seen that is expected again.
    :param sampled_above: endpoints up to which all are candidates.
    :param sample_size: candidates drawn at random when there are more.
    :param best_matches: candidates drawn for their cached tokens besides.
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
    """A stream in flight on an endpoint that is leaving.

    :param request_id: the stream's id.
    :param context_tokens: prompt and generated tokens so far, which the cache holds.
    :param remaining_tokens: tokens that it may still generate.
    :param token_delay: recent time between its tokens.
    """

    request_id: str
    context_tokens: int
    remaining_tokens: int
    token_delay: timedelta


@dataclass(frozen=True, slots=True)
class StreamTarget:
    """Endpoint that could go on with a stream.

    :param name: its instance name.
    :param cached_tokens: tokens of the stream's context that it already holds.
    """

    name: str
    cached_tokens: int = 0


@dataclass(frozen=True, slots=True)
class ReclaimPolicy:
    """Constants of what is done with streams on a leaving endpoint.

    :param margin: time kept free before the endpoint leaves.
    :param move_setup: fixed time to export and import a cache.
    :param move_rate: cached tokens that an endpoint exports in a second.
    """

    margin: timedelta = timedelta(seconds=1)
    move_setup: timedelta = timedelta(milliseconds=200)
    move_rate: float = 50_000.0


@dataclass(frozen=True, slots=True)
class WaitOut:
    """Leave the stream where it is.

    :param fits: whether it is expected to end before the endpoint leaves.
    """

    fits: bool = True


@dataclass(frozen=True, slots=True)
class MoveCache:
    """Export the KV cache and continue on another endpoint.

    :param target: name of the endpoint to continue on.
    """

    target: str


@dataclass(frozen=True, slots=True)
class Recompute:
    """Continue on another endpoint, which computes the context again.

    :param target: name of the endpoint to continue on.
    :param tokens: context tokens that it computes again.
    """

    target: str
    tokens: int


StreamPlan = WaitOut | MoveCache | Recompute


@dataclass(frozen=True, slots=True)
class InstanceOffer:
    """A kind of instance that the cloud offers.

    :param availability_zone: where it would run.
    :param instance_class: the platform's class of machine.
    :param reclaimable: whether the platform may take it back.
    :param price_per_hour: its price.
    :param capacity: load that one carries at the latency target, in requests in
        flight.
    """

    availability_zone: str
    instance_class: str
    reclaimable: bool
    price_per_hour: float
    capacity: float


@dataclass(frozen=True, slots=True)
class RefusedStart:
    """Starts that the cloud refused, for one kind of instance.

    :param availability_zone: where it would have run.
    :param instance_class: the platform's class of machine.
    :param reclaimable: whether it was to be reclaimable.
    :param refusals: refusals in a row.
    :param age: time since the last of them.
    """

    availability_zone: str
    instance_class: str
    reclaimable: bool
    refusals: int
    age: timedelta


@dataclass(frozen=True, slots=True)
class RunningInstance:
    """An instance of a service that runs, starts or leaves.

    :param name: the platform's identifier.
    :param availability_zone: where it runs.
    :param instance_class: the platform's class of machine.
    :param reclaimable: whether the platform may take it back.
    :param in_flight: its requests in flight.
    :param leaving: whether a reclaim of it was announced.
    :param serving: whether it has come up.
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
    """What a service needs of its instances.

    :param service: name of the service.
    :param load: requests in flight, as a mean over the last minute.
    :param growth: change of the load in a second.
    :param availability_zones: where its instances may run.
    :param least_instances: number never to go below.
    """

    service: str
    load: float
    growth: float = 0.0
    availability_zones: tuple[str, ...] = ()
    least_instances: int = 1


@dataclass(frozen=True, slots=True)
class CapacityPolicy:
    """Constants of the capacity plan.

    :param headroom: load planned for, as a multiple of the present load.
    :param start_time: time from an order to an instance that serves.
    :param refusal_backoff: pause after one refused start; it doubles each time.
    :param longest_backoff: longest such pause.
    :param give_back_margin: spare capacity, as a share of what is needed, that is
        kept before an instance is given back.
    :param dear: multiple of the cheapest price of capacity from which an instance
        is replaced by a cheaper one.
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

    :param request_id: the same for the same want, so that it starts only once.
    :param service: name of the service.
    :param availability_zone: where it shall run.
    :param instance_class: the platform's class of machine.
    :param reclaimable: whether the platform may take it back.
    """

    request_id: str
    service: str
    availability_zone: str
    instance_class: str
    reclaimable: bool


@dataclass(frozen=True, slots=True)
class GiveBack:
    """Order to give one instance back.

    :param name: the platform's identifier.
    """

    name: str


CapacityOrder = StartInstance | GiveBack


@dataclass(frozen=True, slots=True)
class CapacityPlan:
    """Orders of one round of planning, and what they leave short.

    :param orders: starts and give-backs, in the order to send them.
    :param shortfall: load that no permitted offer can carry now.
    """

    orders: tuple[CapacityOrder, ...] = field(default=())
    shortfall: float = 0.0
