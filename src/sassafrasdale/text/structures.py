"""Data classes of the configuration, as used by the rest of the package."""

from collections.abc import Mapping
from dataclasses import dataclass
from datetime import timedelta
from enum import StrEnum
from fnmatch import translate
from functools import lru_cache
from re import Pattern
from re import compile as compile_pattern

SAFE_METHODS = frozenset({"GET", "HEAD"})
ANY_METHOD = "*"
MAX_PATTERNS = 32_768
_AMBIGUOUS = frozenset("%\\;")


class ServiceKind(StrEnum):
    """Kind of a service's endpoints."""

    MODEL = "model"
    PLAIN = "plain"


@dataclass(frozen=True, slots=True)
class Zone:
    """An availability zone.

    :param name: its name at the platform.
    :param region: its region.
    :param one_way_delay: network delay to every other zone, one way.
    :param client_delay: network delay to the callers, one way.
    """

    name: str
    region: str
    one_way_delay: Mapping[str, timedelta]
    client_delay: timedelta


@dataclass(frozen=True, slots=True)
class Objective:
    """Service level objective of a service.

    :param latency: time until a response is complete.
    :param first_token: time until a stream begins; None for no objective.
    :param share: fraction of requests that must be in time, above 0 and below 1.
    """

    latency: timedelta
    first_token: timedelta | None
    share: float


@dataclass(frozen=True, slots=True)
class Weights:
    """Weights of the costs in the decisions for a service.

    :param latency_cost: weight of the cost at the latency objective.
    :param recomputed_tokens: weight of tokens computed a second time.
    """

    latency_cost: float
    recomputed_tokens: float


@lru_cache(maxsize=MAX_PATTERNS)
def compile_path(pattern: str) -> Pattern[str]:
    """Return a rule's path as a regular expression.

    The cache of the re module has only a few hundred patterns; with more rules it
    would compile them again for each request.
    """
    return compile_pattern(translate(pattern))


@dataclass(frozen=True, slots=True)
class Rule:
    """Whether calls with a given method and path may be retried.

    :param method: HTTP method, or ``*`` for any.
    :param path: pattern of the path; ``*`` matches any characters.
    :param idempotent: whether such calls may be retried.
    """

    method: str
    path: str
    idempotent: bool

    def matches(self, method: str, path: str) -> bool:
        """Return whether the rule applies to a call."""
        if self.method not in (ANY_METHOD, method):
            return False
        return compile_path(self.path).match(path) is not None


def is_canonical(path: str) -> bool:
    """Return whether every endpoint interprets ``path`` in the same way.

    An endpoint may resolve ``/lookups/../certificates``, ``//certificates`` or a path
    that is still encoded to ``/certificates``. Compared literally, such a path could
    match the rule for lookups; the call would be retried and issue two certificates.
    """
    segments = path.split("/")
    if not {".", ".."}.isdisjoint(segments) or "" in segments[1:-1]:
        return False
    return path.isprintable() and _AMBIGUOUS.isdisjoint(path)


@dataclass(frozen=True, slots=True)
class EndpointPool:
    """Endpoints of one instance class that serve a service.

    :param instance_class: the platform's instance class.
    :param availability_zones: zones in which they may run.
    :param count: target number of endpoints.
    :param checks_fencing: whether they refuse orders with an old fencing number.
    :param max_in_flight: maximum concurrent calls of one endpoint.
    :param max_waiting: maximum calls that wait for one endpoint.
    """

    instance_class: str
    availability_zones: tuple[str, ...]
    count: int
    checks_fencing: bool
    max_in_flight: int
    max_waiting: int


@dataclass(frozen=True, slots=True)
class Service:
    """A service that callers can name.

    :param name: its name.
    :param kind: model engines or plain HTTP.
    :param depends_on: services that it requires.
    :param objective: its service level objective.
    :param timeout: timeout of calls without one of their own.
    :param priority: 0 (first) to 7, as in RFC 9218.
    :param weights: weights of the costs in its decisions.
    :param rules: idempotency rules; the first match applies.
    :param pools: its endpoints.
    """

    name: str
    kind: ServiceKind
    depends_on: tuple[str, ...]
    objective: Objective
    timeout: timedelta
    priority: int
    weights: Weights
    rules: tuple[Rule, ...]
    pools: tuple[EndpointPool, ...]

    def is_idempotent(self, method: str, path: str) -> bool:
        """Return whether a call may be retried.

        Without a matching rule, calls of models may be retried, and calls of plain
        services only if they are GET or HEAD. A call of a plain service with a path
        that is not canonical may never be retried.

        :param method: HTTP method in upper case.
        :param path: decoded path within the service, beginning with a slash.
        """
        if self.kind is ServiceKind.PLAIN and not is_canonical(path):
            return False
        for rule in self.rules:
            if rule.matches(method, path):
                return rule.idempotent
        return self.kind is ServiceKind.MODEL or method in SAFE_METHODS


@dataclass(frozen=True, slots=True)
class Customer:
    """A customer, on whose behalf callers send requests.

    :param name: value of the header ``X-Customer``.
    :param weight: share of the capacity, relative to the other customers' weights.
    :param requests_per_second: rate limit; None for no limit.
    :param max_in_flight: limit of concurrent requests; None for no limit.
    """

    name: str
    weight: float
    requests_per_second: float | None = None
    max_in_flight: int | None = None


@dataclass(frozen=True, slots=True)
class Text:
    """A configuration that has passed all checks.

    :param deployment: name of the deployment.
    :param instance_classes: instance classes that pools may use.
    :param availability_zones: zones by name.
    :param services: services by name.
    :param customers: customers by name.
    """

    deployment: str
    instance_classes: tuple[str, ...]
    availability_zones: Mapping[str, Zone]
    services: Mapping[str, Service]
    customers: Mapping[str, Customer]
