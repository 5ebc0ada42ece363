"""The observations of a soak, and the disruptions meanwhile."""

from collections import defaultdict
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
ENDPOINT_SPANS = frozenset({"endpoint link", "endpoint crash", "endless"})


@dataclass(slots=True)
class Span:
    """A time span in which something was disrupted.

    :param gateway: number of the affected gateway; None for all.
    :param ended: end of the disruption; None while it lasts.
    :param endpoint: name of the endpoint that has the fault; empty for none.
    """

    what: str
    began: timedelta
    gateway: int | None = None
    ended: timedelta | None = None
    endpoint: str = ""

    def affects(self, gateway: int, since: timedelta, until: timedelta) -> bool:
        """Return whether it disrupted a gateway in a time span."""
        if self.gateway is not None and self.gateway != gateway:
            return False
        return self.overlaps(since, until)

    def overlaps(self, since: timedelta, until: timedelta) -> bool:
        """Return whether it lasted at some point of a time span."""
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


@dataclass(frozen=True, slots=True)
class Usage:
    """What a gateway's process uses.

    :param incarnation: number of starts of the process so far.
    :param resident: resident memory in bytes.
    :param processor_time: in seconds, since its start.
    """

    gateway: int
    incarnation: int
    at: timedelta
    resident: int
    processor_time: float


@dataclass(frozen=True)
class Record:
    """All observations of a soak."""

    requests: Sequence[SentRequest]
    arrivals: Sequence[Arrival]
    spans: Sequence[Span]
    changes: Sequence[ConfigurationChange]
    drains: Sequence[DrainPeriod]
    duty_calls: Sequence[DutyCall]
    usage: Sequence[Usage] = ()

    @cached_property
    def by_id(self) -> dict[str, SentRequest]:
        """The callers' requests by their ids."""
        return {request.request_id: request for request in self.requests}

    @cached_property
    def ran(self) -> frozenset[str]:
        """Ids of the requests that ran."""
        return frozenset(arrival.run.request_id for arrival in self.arrivals)

    @cached_property
    def endpoints_by_id(self) -> dict[str, set[str]]:
        """Names of the endpoints that ran a request, by its id."""
        names = defaultdict(set)
        for arrival in self.arrivals:
            names[arrival.run.request_id].add(arrival.endpoint)
        return names

    def has_sound_endpoints(self, request: SentRequest) -> bool:
        """Return whether no endpoint that ran a request had a fault meanwhile.

        A pause is none.
        """
        names = self.endpoints_by_id[request.request_id]
        return not any(
            span.endpoint in names and span.overlaps(request.sent_at, request.ended_at)
            for span in self.spans
        )

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
