"""The observations of a soak, and the disruptions meanwhile."""

from collections.abc import Sequence
from dataclasses import dataclass
from datetime import timedelta
from functools import cached_property

from bench.soak.callers import SentRequest
from bench.soak.deployment import RESYNC_TIME
from standins.duty_calls import DutyCall
from standins.gateway_endpoints import Run

# Disruptions of the store, during which no request may be lost.
STORE_SPANS = frozenset({"store out", "store link"})
# Disruptions of endpoints, during which gateways still exchange what they know.
ENDPOINT_SPANS = frozenset({"endpoint link", "endpoint crash"})


@dataclass(slots=True)
class Span:
    """A time span in which something was disrupted.

    :param gateway: number of the affected gateway; None for all.
    :param ended: end of the disruption; None while it lasts.
    """

    what: str
    began: timedelta
    gateway: int | None = None
    ended: timedelta | None = None

    def affects(self, gateway: int, since: timedelta, until: timedelta) -> bool:
        """Return whether it disrupted a gateway in a time span."""
        if self.gateway is not None and self.gateway != gateway:
            return False
        return self.began <= until and (self.ended is None or self.ended >= since)


@dataclass(frozen=True, slots=True)
class ConfigurationChange:
    """An operators' change of the configuration, and when the store had it.

    :param added_route: number of the route that was added; 0 for none.
    :param revoked_key: the key that was revoked; empty for none.
    """

    at: timedelta
    added_route: int = 0
    revoked_key: str = ""


@dataclass(frozen=True, slots=True)
class DrainPeriod:
    """A time span in which an endpoint was registered as draining."""

    endpoint: str
    began: timedelta
    ended: timedelta


@dataclass(frozen=True, slots=True)
class Arrival:
    """A run of a request, and the endpoint that ran it."""

    endpoint: str
    run: Run


@dataclass(frozen=True)
class Record:
    """All observations of a soak."""

    requests: Sequence[SentRequest]
    arrivals: Sequence[Arrival]
    spans: Sequence[Span]
    changes: Sequence[ConfigurationChange]
    drains: Sequence[DrainPeriod]
    duty_calls: Sequence[DutyCall]

    @cached_property
    def by_id(self) -> dict[str, SentRequest]:
        """The callers' requests by their ids."""
        return {request.request_id: request for request in self.requests}

    @cached_property
    def ran(self) -> frozenset[str]:
        """Ids of the requests that ran."""
        return frozenset(arrival.run.request_id for arrival in self.arrivals)

    def undisturbed(
        self,
        gateway: int,
        since: timedelta,
        until: timedelta,
        ignoring: frozenset[str] = frozenset(),
    ) -> bool:
        """Return whether no disruption affected a gateway during or just before a time.

        Just before: within RESYNC_TIME, which a gateway needs to be in sync again.

        :param ignoring: disruptions that don't count.
        """
        return not any(
            span.affects(gateway, since - RESYNC_TIME, until)
            for span in self.spans
            if span.what not in ignoring
        )
