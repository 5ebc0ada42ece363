"""The deployment of a soak: settings, customers and a configuration that grows."""

from dataclasses import dataclass, field, replace
from datetime import timedelta
from typing import Any

from sassafrasdale.clock import milliseconds

HOST = "soak.example"
# Guarantees to callers, as the settings give them to the gateways.
APPLY_TIME = timedelta(seconds=2)
DRAIN_TIME = timedelta(seconds=2)
QUOTA_WINDOW = timedelta(seconds=5)
QUOTA_SLACK = 2_000
# Time that a gateway needs after a disruption to be in sync with the others again.
RESYNC_TIME = timedelta(seconds=3)
ZONES = ("a", "b")
# Events of each stream.
STREAM_EVENTS = 20
# Objective of each route, as a fraction of its timeout. Requests of such routes wait at
# the dispatcher of their zone while endpoints have no room.
OBJECTIVE_FRACTION = 0.15
# Software versions of the engines, which serve side by side.
VERSIONS = ("v1", "v2")
MODELS = "models"
RECORDS = "records"
# Every third endpoint is a plain service, the others are engines.
RECORDS_INTERVAL = 3

SETTINGS: dict[str, Any] = {
    "zones": dict.fromkeys(ZONES, "here"),
    "heartbeatMs": 1200,
    "bounds": {
        "drainMs": 2000,
        "graceS": 6,
        "configApplyMs": 2000,
        "retryRatio": 0.1,
        "retryWindowS": 9,
        "retrySlack": 33,
        "quotaWindowS": 5,
        "quotaSlack": QUOTA_SLACK,
        "leaseMs": 2500,
        "usageWindowS": 4,
        "usageLateS": 8,
        "retryAfterS": 5.0,
    },
}


@dataclass(frozen=True, slots=True)
class Customer:
    """A customer and its limit; a plain request counts as ``plain_tokens`` tokens.

    :param rate: tokens per second.
    """

    name: str
    keys: tuple[str, ...]
    rate: int = 1_000_000
    burst: int = 1_000_000
    plain_tokens: int = 200


STEADY = Customer("steady", ("key-steady",))
BUSY = Customer("busy", ("key-busy",), rate=2_000, burst=1_000)
# A customer whose keys are revoked one after another.
LEAVING = Customer("leaving", tuple(f"key-leaving-{number}" for number in range(40)))
CUSTOMERS = (STEADY, BUSY, LEAVING)


@dataclass(frozen=True, slots=True)
class RequestKind:
    """A kind of request.

    :param stream: whether an engine serves it, with a stream.
    :param at_most_once: whether it may run only once.
    :param body: body of each request.
    :param prompt: parts of the prompt of each stream.
    :param added_route: number of the route added during the soak that it uses; 0 for
        the initial routes.
    """

    name: str
    prefix: str
    method: str
    timeout: timedelta
    stream: bool = False
    at_most_once: bool = False
    body: bytes = b""
    prompt: str = "aa:300,bb:100"
    added_route: int = 0


CALL = RequestKind(
    "call", "/calls/", "POST", timedelta(seconds=2), at_most_once=True, body=b"call"
)
PAGE = RequestKind("page", "/pages/", "GET", timedelta(seconds=2))
STREAM = RequestKind(
    "stream", "/streams/", "POST", timedelta(seconds=6), stream=True, body=b"prompt"
)
KINDS = (CALL, PAGE, STREAM)
# A stream whose body crashes the engine that runs it.
CRASH_MARKER = b"crash"
CRASHING = replace(STREAM, name="crashing", body=CRASH_MARKER)
# Streams that are all different, but for a part of the prompt that has the same effect.
CRASH_PART = "bad0"
CRASHING_PART = replace(
    STREAM, name="crashing-part", prompt=f"aa:300,{CRASH_PART}:60,bb:100"
)


def is_plain(endpoint: int) -> bool:
    """Return whether an endpoint, by its number, is a plain service."""
    return endpoint % RECORDS_INTERVAL == 0


def added_route_kind(number: int) -> RequestKind:
    """Return the kind of request of a route that is added during the soak."""
    timeout = timedelta(seconds=2)
    return RequestKind(
        f"added-{number}", f"/added-{number}/", "GET", timeout, added_route=number
    )


@dataclass(slots=True)
class Configuration:
    """The operators' configuration as it grows.

    :param routes: number of routes added so far.
    :param revoked: keys revoked so far.
    """

    version: int = 1
    routes: int = 0
    revoked: list[str] = field(default_factory=list)

    def document(self) -> dict[str, Any]:
        """Return it as the platform stores it."""
        kinds = [
            *KINDS,
            *(added_route_kind(number + 1) for number in range(self.routes)),
        ]
        return {
            "version": self.version,
            "routes": [_route(kind) for kind in kinds],
            "services": [
                {
                    "name": MODELS,
                    "maxConns": 370,
                    "engine": {"slots": 64, "kvCap": 344_095},
                },
                {"name": RECORDS, "maxConns": 110},
            ],
            "tenants": [self._tenant(customer) for customer in CUSTOMERS],
        }

    def _tenant(self, customer: Customer) -> dict[str, Any]:
        return {
            "name": customer.name,
            "apiKeys": [key for key in customer.keys if key not in self.revoked],
            "unit": "tokens",
            "plainTokens": customer.plain_tokens,
            "ratePerS": customer.rate,
            "burst": customer.burst,
        }


def _route(kind: RequestKind) -> dict[str, Any]:
    plain = "non_idempotent" if kind.at_most_once else "idempotent"
    return {
        "name": kind.name,
        "host": HOST,
        "prefix": kind.prefix,
        "kind": "stream" if kind.stream else plain,
        "timeoutMs": milliseconds(kind.timeout),
        "goalMs": milliseconds(kind.timeout * OBJECTIVE_FRACTION),
        "service": MODELS if kind.stream else RECORDS,
        "maxTries": 3,
        "allowResume": kind.stream,
        "sessionAffinity": kind.stream,
    }
