"""Entries and endpoints of a replay, by policy."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from random import Random

from bench.admission.baselines import FixedLimit, NoAdmission
from bench.admission.replay import Entry
from bench.admission.servers import FakeEndpoint
from bench.admission.traces import ENTRIES
from sassafrasdale.decisions.admission import (
    Admission,
    AdmissionSettings,
    CustomerShare,
)
from sassafrasdale.decisions.budgets import RetryBudget
from sassafrasdale.decisions.fairness import FairQueue
from sassafrasdale.decisions.health import Health, HealthSettings
from sassafrasdale.decisions.hedging import Hedging
from sassafrasdale.decisions.limits import ConcurrencyLimit, LimitSettings

ZONES = ("a", "b", "c")


@dataclass(frozen=True, slots=True)
class EndpointShape:
    """Number and capacity of a service's endpoints.

    :param slots: requests that one endpoint runs at once.
    :param queue: requests that one endpoint queues.
    """

    count: int
    slots: int
    queue: float

    @property
    def capacity(self) -> int:
        """Slots of all endpoints."""
        return self.count * self.slots


MODEL_SHAPE = EndpointShape(count=6, slots=8, queue=4)
RECORDS_SHAPE = EndpointShape(count=3, slots=4, queue=4)


@dataclass(frozen=True, slots=True)
class Policy:
    """The decisions that the entries of one replay use.

    :param name: name in the tables.
    :param kind: ours, shared (one exact counter for all entries), none, fixed, or
        cut (a fixed limit per customer).
    """

    name: str
    kind: str = "ours"
    admission: AdmissionSettings = field(default_factory=AdmissionSettings)
    limits: LimitSettings = field(default_factory=LimitSettings)
    health: HealthSettings | None = field(default_factory=HealthSettings)
    budget: Callable[[], RetryBudget] | None = RetryBudget
    hedging: Callable[[], Hedging] | None = None
    limit: Callable[..., ConcurrencyLimit] = ConcurrencyLimit
    queue: Callable[..., FairQueue] = FairQueue


OURS = Policy("ours")
LIMIT = Policy("shared counter", kind="shared")
NONE = Policy("no admission", kind="none", health=None, budget=None)
FIXED = Policy("fixed limit", kind="fixed")
PER_CUSTOMER = Policy("cap per customer", kind="cut")
POLICIES = (NONE, FIXED, PER_CUSTOMER, OURS, LIMIT)


def make_endpoints(shape: EndpointShape, policy: Policy) -> list[FakeEndpoint]:
    """Return the endpoints, distributed over the zones."""
    queue = float("inf") if policy.kind == "none" else shape.queue
    return [
        FakeEndpoint(f"{index}", ZONES[index % len(ZONES)], shape.slots, queue)
        for index in range(shape.count)
    ]


def make_entries(
    policy: Policy,
    capacity: int,
    names: frozenset[str],
    customers: Mapping[str, CustomerShare],
) -> list[Entry]:
    """Return the entries, each with its own decisions.

    :param capacity: concurrent requests that the endpoints can take, as the
        configuration states.
    """
    if policy.kind == "shared":
        # All entries use one entry's decisions: the counter is exact, without delay.
        return [_make_entry(policy, 0, capacity, names, customers)] * ENTRIES
    return [
        _make_entry(policy, index, capacity, names, customers)
        for index in range(ENTRIES)
    ]


def _make_entry(policy, index, capacity, names, customers) -> Entry:
    rng = Random(index)
    admission = _admission(policy, capacity, customers, rng)
    entry = Entry(admission, rng, capacity=capacity)
    if policy.health is not None:
        entry.health = Health(rng, policy.health)
        entry.health.set_endpoints(names)
    if policy.budget is not None:
        entry.budget = policy.budget()
    if policy.hedging is not None:
        entry.hedging = policy.hedging()
    return entry


def _admission(policy, capacity, customers, rng):
    queue = policy.admission.queue_per_slot * capacity / ENTRIES
    match policy.kind:
        case "none":
            return NoAdmission()
        case "fixed":
            return FixedLimit(capacity / ENTRIES, queue)
        case "cut":
            return FixedLimit(capacity / ENTRIES, queue, len(customers))
        case "shared":
            exact_settings = LimitSettings(borrow=1.0, decrease=1.0)
            limit = ConcurrencyLimit(capacity, 1, exact_settings)
            return _SharedAdmission(limit, rng, customers, policy.admission)
    limit = policy.limit(capacity, ENTRIES, policy.limits)
    return Admission(limit, rng, customers, policy.admission, policy.queue)


class _SharedAdmission(Admission):
    """Admission that all entries share, as the upper bound of what is achievable."""

    def set_share(self, capacity: int, live_entries: int) -> None:
        super().set_share(capacity, 1)
