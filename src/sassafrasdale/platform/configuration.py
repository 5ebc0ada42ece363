"""Decoder of the operators' configuration in the platform's store."""

from collections.abc import Mapping
from datetime import timedelta
from typing import Literal

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from sassafrasdale.decisions.fetching import CacheLink
from sassafrasdale.deployment import (
    CallerLimits,
    Configuration,
    Customer,
    EngineTraits,
    RequestKind,
    Route,
    ScaleBounds,
    Service,
    WeightedService,
)
from sassafrasdale.platform.exceptions import ValueMalformed

# Prefix of all keys that operators write.
OPERATORS_PREFIX = "op/"
CONFIGURATION_KEY = "op/config"


class _Model(BaseModel):
    model_config = ConfigDict(extra="ignore", frozen=True)


class _Split(_Model):
    service: str
    weight: float


class _Route(_Model):
    name: str
    host: str
    prefix: str
    kind: RequestKind
    timeout_ms: float = Field(alias="timeoutMs")
    goal_ms: float = Field(0, alias="goalMs")
    priority: int = 0
    service: str | None = None
    split: tuple[_Split, ...] = ()
    max_tries: int = Field(1, alias="maxTries")
    no_auth: bool = Field(False, alias="noAuth")
    session_affinity: bool = Field(False, alias="sessionAffinity")
    allow_resume: bool = Field(False, alias="allowResume")


class _Engine(_Model):
    slots: int
    kv_cap: int = Field(alias="kvCap")
    kv_token_bytes: float = Field(0, alias="kvTokenBytes")
    link_mbps: float = Field(0, alias="linkMbps")


class _Scale(_Model):
    min: int
    max: int
    boot_s: float = Field(alias="bootS")
    spot_price: float = Field(1.0, alias="spotPrice")
    zone_prices: Mapping[str, float] = Field({}, alias="zonePrices")


class _Service(_Model):
    name: str
    health_path: str = Field("", alias="healthPath")
    engine: _Engine | None = None
    scale: _Scale | None = None


class _Tenant(_Model):
    name: str
    api_keys: tuple[str, ...] = Field((), alias="apiKeys")
    priority: int | None = None
    unit: Literal["requests", "tokens"] | str = "requests"
    plain_tokens: int = Field(0, alias="plainTokens")
    rate_per_s: float = Field(0, alias="ratePerS")
    burst: float = 0


class _Limits(_Model):
    max_header_bytes: int = Field(16_384, alias="maxHeaderBytes")
    max_body_bytes: int = Field(4_194_304, alias="maxBodyBytes")
    header_timeout_ms: float = Field(3000, alias="headerTimeoutMs")
    idle_timeout_ms: float = Field(15_000, alias="idleTimeoutMs")


class _Configuration(_Model):
    version: int
    routes: tuple[_Route, ...] = ()
    services: tuple[_Service, ...] = ()
    tenants: tuple[_Tenant, ...] = ()
    limits: _Limits = _Limits()


def decode_configuration(value: bytes) -> Configuration:
    """Return the configuration in a stored value.

    :raises ValueMalformed: if it is malformed; the message names the field.
    """
    try:
        document = _Configuration.model_validate_json(value)
    except ValidationError as error:
        fault = error.errors()[0]
        path = ".".join(str(part) for part in fault["loc"])
        raise ValueMalformed(
            f"configuration: {path}: {fault['msg']}", field=path
        ) from error
    return Configuration(
        version=document.version,
        routes=tuple(_route(route) for route in document.routes),
        services={item.name: _service(item) for item in document.services},
        customers=tuple(_customer(tenant) for tenant in document.tenants),
        limits=_limits(document.limits),
    )


def _route(route: _Route) -> Route:
    parts = route.split or (_Split(service=route.service or "", weight=1),)
    return Route(
        name=route.name,
        host=route.host.lower(),
        prefix=route.prefix,
        kind=route.kind,
        services=tuple(WeightedService(part.service, part.weight) for part in parts),
        max_attempts=max(1, route.max_tries),
        timeout=timedelta(milliseconds=route.timeout_ms),
        priority=route.priority,
        public=route.no_auth,
        shares_prompts=route.session_affinity,
        resumable=route.allow_resume,
        objective=timedelta(milliseconds=route.goal_ms) if route.goal_ms > 0 else None,
    )


def _service(service: _Service) -> Service:
    engine = service.engine
    scale = service.scale
    return Service(
        name=service.name,
        engine=_engine(engine) if engine else None,
        scale=_scale(scale) if scale else None,
        health_path=service.health_path,
    )


def _engine(engine: _Engine) -> EngineTraits:
    link = None
    if engine.link_mbps and engine.kv_token_bytes:
        link = CacheLink(engine.kv_token_bytes, engine.link_mbps * 1e6)
    return EngineTraits(engine.slots, engine.kv_cap, link)


def _scale(scale: _Scale) -> ScaleBounds:
    return ScaleBounds(
        min_endpoints=scale.min,
        max_endpoints=scale.max,
        start_time=timedelta(seconds=scale.boot_s),
        reclaimable_price=scale.spot_price,
        zone_prices=dict(scale.zone_prices),
    )


def _customer(tenant: _Tenant) -> Customer:
    return Customer(
        name=tenant.name,
        keys=frozenset(tenant.api_keys),
        rate=tenant.rate_per_s,
        burst=tenant.burst,
        counts_tokens=tenant.unit == "tokens",
        default_tokens=tenant.plain_tokens,
        priority=tenant.priority,
    )


def _limits(limits: _Limits) -> CallerLimits:
    return CallerLimits(
        header_bytes=limits.max_header_bytes,
        body_bytes=limits.max_body_bytes,
        header_timeout=timedelta(milliseconds=limits.header_timeout_ms),
        idle_timeout=timedelta(milliseconds=limits.idle_timeout_ms),
    )
