"""Models that validate a configuration, used only for parsing.

They validate the input of an operator and convert it to the data classes of
``sassafrasdale.text.structures``. Checks across fields are in
``sassafrasdale.text.checks``.
"""

from datetime import timedelta
from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field

from sassafrasdale.text.durations import Duration, PositiveDuration
from sassafrasdale.text.structures import (
    Customer,
    EndpointPool,
    Objective,
    Rule,
    Service,
    ServiceKind,
    Text,
    Weights,
    Zone,
)

MAX_ZONES = 64
MAX_SERVICES = 512
MAX_CUSTOMERS = 4096
MAX_POOLS = 64
MAX_RULES = 64

NAME = r"^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$"
METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS")
PATH = r"^/[^?\[\]]*$"

Name = Annotated[str, Field(pattern=NAME)]


class StrictModel(BaseModel):
    """Base of the models: unknown keys and values of another type are faults."""

    model_config = ConfigDict(
        extra="forbid", frozen=True, strict=True, allow_inf_nan=False
    )


class ZoneModel(StrictModel):
    """An availability zone."""

    region: Name = Field(description="Region that the zone lies in.")
    one_way_delay: Duration | dict[Name, Duration] = Field(
        description="Network delay to the other zones, one way: one for all, or one "
        "for each by name."
    )
    client_delay: Duration = Field(
        default=timedelta(), description="Network delay to the callers, one way."
    )

    def build(self, name: str, zones: list[str]) -> Zone:
        """Return the data class, with the delays to all other zones."""
        others = [zone for zone in zones if zone != name]
        match self.one_way_delay:
            case timedelta() as delay:
                delays = dict.fromkeys(others, delay)
            case delays:
                pass
        return Zone(name, self.region, delays, self.client_delay)


class ObjectiveModel(StrictModel):
    """What a service promises its callers."""

    latency: PositiveDuration = Field(
        description="Time within which an answer is whole."
    )
    first_token: PositiveDuration | None = Field(
        default=None, description="Time within which a stream begins."
    )
    share: float = Field(
        gt=0, lt=1, description="Share of requests that are to be in time."
    )

    def build(self) -> Objective:
        """Return the data class."""
        return Objective(self.latency, self.first_token, self.share)


class WeightsModel(StrictModel):
    """What weighs in the decisions for a service."""

    latency_cost: float = Field(
        default=1.0, ge=0, le=1000, description="Weight of cost at the objective."
    )
    recomputed_tokens: float = Field(
        default=1.0, ge=0, le=1000, description="Weight of recomputed tokens."
    )

    def build(self) -> Weights:
        """Return the data class."""
        return Weights(self.latency_cost, self.recomputed_tokens)


class RuleModel(StrictModel):
    """Whether calls of one shape may be repeated."""

    method: Literal["*", *METHODS] = Field(
        description="HTTP method in upper case, or * for any."
    )
    path: Annotated[str, Field(pattern=PATH, max_length=256)] = Field(
        description="Pattern of the path within the service; * stands for any "
        "characters, a slash too."
    )
    idempotent: bool = Field(description="Whether such calls may be repeated.")

    def build(self) -> Rule:
        """Return the data class."""
        return Rule(self.method, self.path, self.idempotent)


class EndpointPoolModel(StrictModel):
    """Endpoints of one class that serve a service."""

    instance_class: Name = Field(description="One of the text's instance classes.")
    availability_zones: list[Name] = Field(
        min_length=1, max_length=MAX_ZONES, description="Zones that they may run in."
    )
    count: int = Field(ge=1, le=10_000, description="How many are wanted.")
    checks_fencing: bool = Field(
        default=False,
        description="Whether they refuse orders with an old fencing number.",
    )
    max_in_flight: int = Field(
        default=32, ge=1, le=10_000, description="Calls that one endpoint runs at once."
    )
    max_waiting: int = Field(
        default=64, ge=0, le=100_000, description="Calls that may wait for one."
    )

    def build(self) -> EndpointPool:
        """Return the data class."""
        return EndpointPool(
            self.instance_class,
            tuple(self.availability_zones),
            self.count,
            self.checks_fencing,
            self.max_in_flight,
            self.max_waiting,
        )


class ServiceModel(StrictModel):
    """A service that callers can name."""

    kind: Annotated[ServiceKind, Field(strict=False)] = Field(
        description="model for model engines, plain for any other HTTP service."
    )
    depends_on: list[Name] = Field(
        default=[], max_length=MAX_SERVICES, description="Services that it needs."
    )
    objective: ObjectiveModel = Field(description="What it promises its callers.")
    timeout: PositiveDuration = Field(
        description="Limit of a call that names none; at least the objective."
    )
    priority: int = Field(
        default=3, ge=0, le=7, description="0 goes first, 7 last (RFC 9218)."
    )
    weights: WeightsModel = Field(
        default=WeightsModel(), description="What weighs in its decisions."
    )
    rules: list[RuleModel] = Field(
        default=[],
        max_length=MAX_RULES,
        description="Idempotency rules; the first that matches counts.",
    )
    pools: list[EndpointPoolModel] = Field(
        min_length=1, max_length=MAX_POOLS, description="Where its endpoints run."
    )

    def build(self, name: str) -> Service:
        """Return the data class."""
        return Service(
            name,
            self.kind,
            tuple(self.depends_on),
            self.objective.build(),
            self.timeout,
            self.priority,
            self.weights.build(),
            tuple(rule.build() for rule in self.rules),
            tuple(pool.build() for pool in self.pools),
        )


class CustomerModel(StrictModel):
    """Somebody who calls."""

    weight: float = Field(
        gt=0, le=1000, description="Share of the room against the other customers."
    )
    requests_per_second: float | None = Field(
        default=None, gt=0, le=1_000_000, description="Limit; none if absent."
    )
    max_in_flight: int | None = Field(
        default=None, ge=1, le=1_000_000, description="Limit; none if absent."
    )

    def build(self, name: str) -> Customer:
        """Return the data class."""
        return Customer(name, self.weight, self.requests_per_second, self.max_in_flight)


class TextModel(StrictModel):
    """The whole text."""

    deployment: Name = Field(description="Name of the deployment.")
    instance_classes: list[Name] = Field(
        min_length=1, max_length=256, description="Classes of machine for pools."
    )
    availability_zones: dict[Name, ZoneModel] = Field(
        min_length=1, max_length=MAX_ZONES, description="Zones by name."
    )
    services: dict[Name, ServiceModel] = Field(
        min_length=1, max_length=MAX_SERVICES, description="Services by name."
    )
    customers: dict[Name, CustomerModel] = Field(
        min_length=1, max_length=MAX_CUSTOMERS, description="Customers by name."
    )

    def build(self) -> Text:
        """Return the data class."""
        zones = list(self.availability_zones)
        return Text(
            self.deployment,
            tuple(self.instance_classes),
            {k: zone.build(k, zones) for k, zone in self.availability_zones.items()},
            {k: service.build(k) for k, service in self.services.items()},
            {k: customer.build(k) for k, customer in self.customers.items()},
        )
