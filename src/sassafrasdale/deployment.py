"""Data classes of a deployment: routes, customers, endpoints, settings."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from datetime import timedelta
from enum import StrEnum
from functools import cached_property

from sassafrasdale.decisions.fetching import CacheLink
from sassafrasdale.decisions.stream_versions import StreamBinding
from sassafrasdale.structures import Address


class RequestKind(StrEnum):
    """Which retries a kind of request allows."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


class EndpointState(StrEnum):
    """Whether an endpoint accepts new requests."""

    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True, slots=True)
class WeightedService:
    """A service that gets a weighted share of a route's requests."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Routing rule for the requests of one host and path prefix.

    :param name: name in the configuration.
    :param host: value of the Host header, without a port.
    :param prefix: path prefix; it starts and ends with a slash.
    :param kind: which retries are allowed.
    :param services: services for the requests, by weight.
    :param max_attempts: number of endpoints to which one request may be sent.
    :param timeout: maximum duration of a request.
    :param priority: priority, 0 is the highest.
    :param public: whether requests need no API key.
    :param shares_prompts: whether requests name the shared parts of their prompts.
    :param resumable: whether a stream may be resumed at another endpoint.
    :param objective: time within which a response should begin, from the caller's
        arrival; None if the route names none.
    """

    name: str
    host: str
    prefix: str
    kind: RequestKind
    services: tuple[WeightedService, ...]
    max_attempts: int = 1
    timeout: timedelta = timedelta(seconds=30)
    priority: int = 0
    public: bool = False
    shares_prompts: bool = False
    resumable: bool = False
    objective: timedelta | None = None

    @property
    def repeatable(self) -> bool:
        """Whether a request may be executed more than once."""
        if self.kind is RequestKind.STREAM:
            return self.resumable
        return self.kind is RequestKind.IDEMPOTENT


@dataclass(frozen=True, slots=True)
class ScaleBounds:
    """Scaling limits of a service, and prices of its endpoints.

    :param min_endpoints: minimum in each availability zone.
    :param max_endpoints: maximum in each availability zone, over both kinds.
    :param start_time: time from an order until the endpoint serves requests.
    :param reclaimable_price: price of a reclaimable endpoint, as a fraction of the
        price of an on-demand one.
    :param zone_prices: price of an endpoint per second, by availability zone.
    """

    min_endpoints: int
    max_endpoints: int
    start_time: timedelta
    reclaimable_price: float
    zone_prices: Mapping[str, float]


@dataclass(frozen=True, slots=True)
class EngineTraits:
    """Capacity of a model engine.

    :param slots: maximum batch size in requests.
    :param cache_tokens: capacity of its KV cache in tokens.
    :param link: link to the KV caches of other engines; None if there is none.
    """

    slots: int
    cache_tokens: int
    link: CacheLink | None = None


@dataclass(frozen=True, slots=True)
class Service:
    """A service in the configuration.

    :param health_path: target of its endpoints' health checks; empty for none.
    """

    name: str
    engine: EngineTraits | None = None
    scale: ScaleBounds | None = None
    health_path: str = ""


@dataclass(frozen=True, slots=True)
class Customer:
    """A customer with its API keys and rate limit.

    :param rate: tokens or requests per second; 0 is no limit.
    :param burst: burst size in tokens or requests.
    :param counts_tokens: whether rate and burst count tokens.
    :param default_tokens: tokens of a request without a token count.
    :param priority: priority that overrides the route's; None for no override.
    """

    name: str
    keys: frozenset[str]
    rate: float = 0.0
    burst: float = 0.0
    counts_tokens: bool = False
    default_tokens: int = 0
    priority: int | None = None


def customer_name(customer: Customer | None) -> str:
    """Return a customer's name; empty without a customer, on a public route."""
    return customer.name if customer else ""


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on the size and duration of a caller's requests."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout: timedelta = timedelta(seconds=3)
    idle_timeout: timedelta = timedelta(seconds=15)


@dataclass(frozen=True)
class Configuration:
    """One version of the operators' configuration."""

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    customers: tuple[Customer, ...] = ()
    limits: CallerLimits = field(default_factory=CallerLimits)

    def service(self, name: str) -> Service:
        """Return a service, or one with defaults for an unknown name."""
        return self.services.get(name) or Service(name)

    def objective(self, service: str) -> timedelta | None:
        """Return the shortest objective of a service's routes; None without any."""
        return self._objectives.get(service)

    @cached_property
    def _objectives(self) -> Mapping[str, timedelta]:
        shortest: dict[str, timedelta] = {}
        for route in self.routes:
            if route.objective is None:
                continue
            for part in route.services:
                known = shortest.get(part.service, route.objective)
                shortest[part.service] = min(known, route.objective)
        return shortest

    def weight(self, customer: str) -> float:
        """Return a customer's weight where customers compete: its rate limit.

        One without a limit has the mean weight of the others.
        """
        return self._weights.get(customer, self._mean_weight)

    @cached_property
    def _weights(self) -> Mapping[str, float]:
        return {
            customer.name: customer.rate
            for customer in self.customers
            if customer.rate > 0
        }

    @cached_property
    def _mean_weight(self) -> float:
        weights = self._weights.values()
        return sum(weights) / len(weights) if weights else 1.0


@dataclass(frozen=True, slots=True)
class Endpoint:
    """An endpoint in the platform's list.

    :param reclaimable: whether the platform may reclaim it at short notice.
    :param born: start time, which distinguishes restarts under one name; None if it is
        unknown.
    :param version: version of its software.
    """

    name: str
    service: str
    address: Address
    availability_zone: str
    state: EndpointState
    slots: int = 1
    reclaimable: bool = False
    born: int | None = None
    version: str = ""


@dataclass(frozen=True, slots=True)
class Bounds:
    """Limits that the deployment guarantees to its users.

    :param endpoint_drain: time after which a draining endpoint must get no requests.
    :param configuration_delay: time in which a confirmed configuration must be in
        force.
    :param stop_grace: time from the stop signal until the process is killed.
    :param retry_share: maximum retries as a fraction of the requests.
    :param retry_slack: retries allowed beyond that fraction.
    :param quota_slack: tokens allowed beyond a customer's limit.
    :param lease: time within which leadership must not alternate between gateways.
    :param usage_window: length of a usage reporting window.
    :param usage_delay: time after a window in which its report is due.
    :param min_lease: minimum TTL that the store grants.
    :param checks_fencing: whether the platform rejects duty calls of former leaders.
    :param canary_share: fraction of a service's requests that a canary may get.
    """

    endpoint_drain: timedelta
    stop_grace: timedelta
    retry_share: float
    retry_slack: float
    quota_slack: float
    lease: timedelta
    usage_window: timedelta
    usage_delay: timedelta
    min_lease: timedelta = timedelta(seconds=1)
    configuration_delay: timedelta = timedelta(seconds=2)
    checks_fencing: bool = True
    canary_share: float = 0.1


@dataclass(frozen=True, slots=True)
class GatewaySettings:
    """Settings of one gateway process.

    :param name: name of the instance.
    :param address: listening address for callers.
    :param ready_address: listening address for the load balancer's readiness checks.
    :param peer_address: listening address for other gateways.
    :param store: address of the platform's store.
    :param cloud: address of the duty API; None if there are no duties.
    :param reports_usage: whether the leader reports customers' usage.
    :param orders_endpoints: whether the leader orders endpoints.
    :param cpu_cores: CPU seconds per second that the process may use.
    """

    name: str
    availability_zone: str
    availability_zones: tuple[str, ...]
    address: Address
    ready_address: Address
    peer_address: Address
    store: Address
    cloud: Address | None
    reports_usage: bool
    orders_endpoints: bool
    bounds: Bounds
    cpu_cores: float = 1.0


@dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt that several requests may have in common."""

    name: str
    tokens: int


@dataclass(frozen=True, slots=True)
class RequestTraits:
    """Request properties that decide on its endpoint; most are from a caller's headers.

    :param deadline: how long the caller waits; None if unknown.
    :param resume_after: last stream event that the caller has received.
    :param output_tokens: maximum number of tokens to generate.
    :param resumes: id of the attempt that brought the first event of the stream that
        the caller resumes; empty if it names none.
    :param is_stream: whether its response is a stream of events.
    :param binding: what its stream is bound to; None for one that has not begun.
    """

    request_id: str
    key: str = ""
    deadline: timedelta | None = None
    resume_after: int | None = None
    prompt_tokens: int | None = None
    output_tokens: int = 0
    parts: tuple[PromptPart, ...] = ()
    resumes: str = ""
    is_stream: bool = False
    binding: StreamBinding | None = None


@dataclass(frozen=True, slots=True)
class EndpointSignals:
    """What an endpoint advertises in one response.

    :param rate_limit: requests per second that it takes from all gateways together;
        None if it names no limit.
    :param has_malformed_limit: whether it names a limit that can't be used.
    :param is_leaving: whether it says that it is leaving.
    :param backoff: time for which it wants no requests from this gateway; None if it
        asks for none.
    :param malformed: headers that can't be used, with their values; they say nothing.
    :param brittleness: rejections within a second beyond which it fails; None if it
        advertises none.
    :param has_malformed_brittleness: whether it advertises some that can't be used.
    """

    rate_limit: float | None = None
    has_malformed_limit: bool = False
    is_leaving: bool = False
    backoff: timedelta | None = None
    malformed: tuple[str, ...] = ()
    brittleness: float | None = None
    has_malformed_brittleness: bool = False
