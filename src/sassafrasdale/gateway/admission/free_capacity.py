"""Which endpoints have room for a request that may wait instead."""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from datetime import timedelta

from sassafrasdale.decisions.endpoint_room import has_room
from sassafrasdale.decisions.load_reports import (
    NO_LOAD,
    ReportedLoad,
    remaining_prefill_tokens,
)
from sassafrasdale.deployment import Configuration
from sassafrasdale.gateway.directory import EndpointRecord
from sassafrasdale.gateway.peer_loads import PeerLoads
from sassafrasdale.gateway.prefill_times import PrefillTimes


@dataclass(frozen=True, slots=True)
class _RoomTerms:
    """What the room at a service's endpoints depends on, besides their load.

    :param slots: requests that an engine runs at once; None for plain endpoints, which
        have their own numbers.
    :param token_times: time that each engine takes to prefill a token.
    """

    objective: timedelta
    slots: int | None
    token_times: Mapping[str, timedelta]


class FreeCapacity:
    """Finds endpoints with room, and remembers which services have none.

    While requests wait, every call of a gateway asks for room, and a service without
    any has none until a request there ends or new reports come in.

    :param registered: returns the endpoints of a service.
    :param slowness: returns the factors by which engines are slower than the fastest.
    """

    def __init__(
        self,
        configuration: Callable[[], Configuration],
        registered: Callable[[str], Sequence[EndpointRecord]],
        slowness: Callable[[Sequence[str]], Mapping[str, float]],
        prefill_times: PrefillTimes,
        peer_loads: PeerLoads,
    ) -> None:
        self._configuration = configuration
        self._registered = registered
        self._slowness = slowness
        self._prefill_times = prefill_times
        self._peer_loads = peer_loads
        self._terms: dict[str, _RoomTerms | None] = {}
        self._full: set[str] = set()

    def refresh(self) -> None:
        """Discard what was remembered: there are new reports."""
        self._terms.clear()
        self._full.clear()

    def is_full(self, service: str) -> bool:
        """Return whether a service is known to have no endpoint with room."""
        return service in self._full

    def mark_full(self, service: str) -> None:
        """Remember that no endpoint of a service has room."""
        self._full.add(service)

    def record_release(self, record: EndpointRecord) -> None:
        """Record that a request at an endpoint, or its prefill, has ended."""
        service = record.endpoint.service
        if service in self._full and self.with_room(service, [record]):
            self._full.discard(service)

    def with_room(
        self, service: str, records: Sequence[EndpointRecord]
    ) -> Sequence[EndpointRecord]:
        """Return those of a service's endpoints that have room."""
        terms = self._terms_of(service)
        if terms is None:
            return records
        loads = self._peer_loads.by_endpoint
        return [
            record
            for record in records
            if _has_room(record, loads.get(record.name, NO_LOAD), terms)
        ]

    def _terms_of(self, service: str) -> _RoomTerms | None:
        """Return a service's terms; None if none of its routes names an objective."""
        if service not in self._terms:
            self._terms[service] = self._build_terms(service)
        return self._terms[service]

    def _build_terms(self, service: str) -> _RoomTerms | None:
        configuration = self._configuration()
        objective = configuration.objective(service)
        if objective is None:
            return None
        engine = configuration.service(service).engine
        if engine is None:
            return _RoomTerms(objective, None, {})
        names = [record.name for record in self._registered(service)]
        slowness = self._slowness(names)
        token_time = self._prefill_times.token_time(service)
        token_times = {name: token_time * slowness.get(name, 1.0) for name in names}
        return _RoomTerms(objective, engine.slots, token_times)


def _has_room(record: EndpointRecord, load: ReportedLoad, terms: _RoomTerms) -> bool:
    in_flight = record.in_flight + load.in_flight
    slots = terms.slots or record.endpoint.slots
    # Most endpoints are idle or full, where the queue's time does not matter.
    if not 0 < in_flight < slots:
        return in_flight <= 0
    token_time = terms.token_times.get(record.name, timedelta())
    queued = timedelta()
    if token_time:
        tokens = remaining_prefill_tokens(load, token_time)
        queued = token_time * (record.prefill_tokens + tokens)
    return has_room(in_flight, slots, queued, terms.objective)
