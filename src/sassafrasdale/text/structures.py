"""The operators' text as data classes, as the rest of the package reads it."""

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
    """What a service's endpoints are."""

    MODEL = "model"
    PLAIN = "plain"


@dataclass(frozen=True, slots=True)
class Zone:
    """An availability zone.

    :param name: the platform's name of it.
    :param region: region that it lies in.
    :param one_way_delay: network delay to every other zone, one way.
    :param client_delay: network delay to the callers, one way.
    """

    name: str
    region: str
    one_way_delay: Mapping[str, timedelta]
    client_delay: timedelta


@dataclass(frozen=True, slots=True)
class Objective:
    """What a service promises its callers.

    :param latency: time within which an answer is whole.
    :param first_token: time within which a stream begins; None for no promise.
    :param share: share of requests that are to be in time, above 0 and below 1.
    """

    latency: timedelta
    first_token: timedelta | None
    share: float


@dataclass(frozen=True, slots=True)
class Weights:
    """What a service holds against a decision.

    :param latency_cost: weight of the cost at the latency objective.
    :param recomputed_tokens: weight of tokens computed a second time.
    """

    latency_cost: float
    recomputed_tokens: float


@lru_cache(maxsize=MAX_PATTERNS)
def compile_path(pattern: str) -> Pattern[str]:
    """Return a rule's path as a regular expression.

    The library keeps only a few hundred patterns itself; with more rules it would
    compile them anew for each request.
    """
    return compile_pattern(translate(pattern))


@dataclass(frozen=True, slots=True)
class Rule:
    """Whether calls of one shape may be repeated.

    :param method: HTTP method, or ``*`` for any.
    :param path: pattern of the path; ``*`` stands for any characters.
    :param idempotent: whether such calls may be repeated.
    """

    method: str
    path: str
    idempotent: bool

    def matches(self, method: str, path: str) -> bool:
        """Return whether the rule speaks about a call."""
        if self.method not in (ANY_METHOD, method):
            return False
        return compile_path(self.path).match(path) is not None


def is_canonical(path: str) -> bool:
    """Return whether every endpoint reads ``path`` the same way.

    An endpoint may take ``/lookups/../certificates``, ``//certificates`` or a path
    that is still encoded for ``/certificates``. Judged by its letters, such a call
    would match the rule of the lookups, be repeated, and issue two certificates.
    """
    segments = path.split("/")
    if not {".", ".."}.isdisjoint(segments) or "" in segments[1:-1]:
        return False
    return path.isprintable() and _AMBIGUOUS.isdisjoint(path)


@dataclass(frozen=True, slots=True)
class EndpointPool:
    """Endpoints of one class that serve a service.

    :param instance_class: the platform's class of machine.
    :param availability_zones: zones that they may run in.
    :param count: how many are wanted.
    :param checks_fencing: whether they refuse orders with an old fencing number.
    :param max_in_flight: calls that one endpoint runs at a time.
    :param max_waiting: calls that may wait for one endpoint.
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
    :param depends_on: services that it cannot work without.
    :param objective: what it promises.
    :param timeout: limit of a call that names none.
    :param priority: 0 (first) to 7, as in RFC 9218.
    :param weights: what weighs in its decisions.
    :param rules: idempotency rules; the first that matches counts.
    :param pools: where its endpoints run.
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
        """Return whether a call may be repeated.

        Without a rule, a model's calls may; of plain services only GET and HEAD,
        and only if the path is canonical.

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
    """Somebody who calls.

    :param name: value of the header ``X-Customer``.
    :param weight: share of the room against other customers' weights.
    :param requests_per_second: limit of requests; None for no limit.
    :param max_in_flight: limit of requests at a time; None for no limit.
    """

    name: str
    weight: float
    requests_per_second: float | None = None
    max_in_flight: int | None = None


@dataclass(frozen=True, slots=True)
class Text:
    """A whole operators' text that passed every check.

    :param deployment: name of the deployment.
    :param instance_classes: classes of machine that pools may name.
    :param availability_zones: zones by name.
    :param services: services by name.
    :param customers: customers by name.
    """

    deployment: str
    instance_classes: tuple[str, ...]
    availability_zones: Mapping[str, Zone]
    services: Mapping[str, Service]
    customers: Mapping[str, Customer]
