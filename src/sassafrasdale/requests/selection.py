"""Chooses endpoints by the routing policy, from the entry's data about them."""

import random
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from datetime import timedelta

from sassafrasdale.clock import Clock
from sassafrasdale.coordination.clouds import Price
from sassafrasdale.decisions.affinity import HashRing, PrefixIndex, conversation_key
from sassafrasdale.decisions.health import Health
from sassafrasdale.decisions.routing import choose, draw_candidates
from sassafrasdale.decisions.structures import (
    EndpointView,
    RoutingPolicy,
    RoutingRequest,
)
from sassafrasdale.endpoints.directory import Directory, Endpoint
from sassafrasdale.requests.gates import max_in_flight
from sassafrasdale.requests.sends import AttemptTracker, OwnAttempts
from sassafrasdale.text.current import CurrentText
from sassafrasdale.text.structures import Service

# Assumed length of a token, to estimate a prompt's tokens without a tokenizer.
CHARACTERS_PER_TOKEN = 4


@dataclass(frozen=True, slots=True)
class EndpointQuery:
    """Request properties that matter for the choice of an endpoint.

    :param service: name of the service.
    :param blocks: hashes of the prompt's blocks, empty for a plain call.
    :param conversation: hash of the conversation's first messages, or None.
    :param prompt_tokens: estimated length of the prompt, in tokens.
    :param max_tokens: maximum length of the response, in tokens.
    :param priority: from 0, the most urgent, to 7.
    :param deadline: elapsed time of the clock by which it must be answered.
    """

    service: str
    deadline: timedelta
    priority: int = 3
    blocks: tuple[int, ...] = ()
    conversation: int | None = None
    prompt_tokens: int = 0
    max_tokens: int = 0


class Selector:
    """Chooses endpoints for one entry.

    :param directory: the known endpoints.
    :param current: the current configuration.
    :param availability_zone: this entry's availability zone.
    :param clock: source of time.
    :param rng: source of randomness.
    """

    def __init__(
        self,
        directory: Directory,
        current: CurrentText,
        availability_zone: str,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._directory = directory
        self._current = current
        self._availability_zone = availability_zone
        self._clock = clock
        self._rng = rng
        self._prefixes = PrefixIndex()
        self._own_attempts = OwnAttempts()
        self._present: set[str] = set()
        self._rings: dict[str, HashRing] = {}
        self._other_entries = 0
        self._prices: dict[tuple[str, str, bool], float] = {}
        self._health: dict[str, Health] = {}

    def query_for(
        self,
        service: str,
        deadline: timedelta,
        priority: int,
        *,
        prompt: str = "",
        opening: Sequence[str] = (),
        max_tokens: int = 0,
    ) -> EndpointQuery:
        """Return the query for a request, with the prompt's hashes.

        :param prompt: text of all messages.
        :param opening: messages up to and including the user's first.
        """
        return EndpointQuery(
            service=service,
            deadline=deadline,
            priority=priority,
            blocks=self._prefixes.blocks(prompt),
            conversation=conversation_key(opening) if opening else None,
            prompt_tokens=len(prompt) // CHARACTERS_PER_TOKEN,
            max_tokens=max_tokens,
        )

    def track(self, request_id: str) -> AttemptTracker:
        """Return a tracker for the attempts of one generation."""
        return AttemptTracker(request_id, self._own_attempts, self._clock)

    def choose(
        self,
        query: EndpointQuery,
        avoid: frozenset[str],
        tracker: AttemptTracker | None = None,
    ) -> Endpoint | None:
        """Return the endpoint for a request, or None if none is available.

        :param avoid: names of endpoints to avoid.
        :param tracker: receives the prompt tokens not cached on the endpoint.
        """
        text = self._current.text
        service = text.services.get(query.service) if text else None
        if service is None:
            return None
        now = self._clock.elapsed()
        policy = RoutingPolicy(
            latency_cost=service.weights.latency_cost,
            recomputed_tokens=service.weights.recomputed_tokens,
            mirrored_entries=float(self._other_entries),
        )
        matches = self._prefixes.matches(query.blocks) if query.blocks else {}
        owner, fallback_owner = self._owners(query)
        request = RoutingRequest(
            prompt_tokens=query.prompt_tokens,
            max_tokens=query.max_tokens,
            priority=query.priority,
            remaining=query.deadline - now,
            entry_availability_zone=self._availability_zone,
            owner=owner,
            fallback_owner=fallback_owner,
        )
        candidates = self._candidates(query.service, avoid, now)
        cached_tokens = {
            name: tokens for name, tokens in matches.items() if name in candidates
        }
        owners = [name for name in (owner, fallback_owner) if name in candidates]
        sampled = draw_candidates(
            list(candidates), cached_tokens, owners, policy, self._rng
        )
        views = [
            self._view(candidates[name], service, cached_tokens.get(name, 0), now)
            for name in sampled
        ]
        chosen = choose(request, views, policy, self._rng)
        if chosen is None:
            return None
        if query.blocks:
            self._prefixes.record(chosen.name, query.blocks)
        if tracker is not None:
            tracker.set_uncached(max(0, query.prompt_tokens - chosen.cached_tokens))
        return candidates[chosen.name]

    def observe(
        self, endpoint: Endpoint, *, ok: bool, latency: timedelta | None = None
    ) -> None:
        """Record that an endpoint responded, or failed to.

        :param latency: response time, for calls of comparable duration.
        """
        health = self._health_of(endpoint.instance.service)
        now = self._clock.elapsed()
        health.observe(endpoint.name, ok=ok, now=now, latency=latency)

    def ejected(self, service: str) -> frozenset[str]:
        """Return the endpoints that are currently ejected for their failures."""
        weights = self._health_of(service).weights(self._clock.elapsed())
        return frozenset(name for name, weight in weights.items() if not weight)

    def set_prices(self, prices: Iterable[Price]) -> None:
        """Set the platform's prices."""
        self._prices = {
            (p.availability_zone, p.instance_class, p.reclaimable): p.price_per_hour
            for p in prices
        }

    def set_other_entries(self, count: int) -> None:
        """Set the number of other entries, which use the same load reports."""
        self._other_entries = count

    def refresh(self) -> None:
        """Drop the data of endpoints that are no longer in the directory."""
        names: dict[str, set[str]] = {}
        for endpoint in self._directory.endpoints:
            names.setdefault(endpoint.instance.service, set()).add(endpoint.name)
        for service, known in names.items():
            self._health_of(service).set_endpoints(frozenset(known))
        present = {endpoint.name for endpoint in self._directory.endpoints}
        for gone in self._present - present:
            self._prefixes.forget(gone)
            self._own_attempts.forget(gone)
        if self._present != present:
            self._rings.clear()
        self._present = present

    def _owners(self, query: EndpointQuery) -> tuple[str, str]:
        """Return the conversation's owner and fallback owner.

        Entries that have not seen a conversation before choose the same endpoints
        for it by consistent hashing.
        """
        if query.conversation is None:
            return "", ""
        ring = self._rings.get(query.service)
        if ring is None:
            serving = self._directory.serving(query.service)
            ring = self._rings[query.service] = HashRing(e.name for e in serving)
        return ring.owners(query.conversation)

    def _health_of(self, service: str) -> Health:
        if service not in self._health:
            self._health[service] = Health(self._rng)
        return self._health[service]

    def _candidates(
        self, service: str, avoid: frozenset[str], now: timedelta
    ) -> dict[str, Endpoint]:
        """Return the candidates for a choice, by name.

        If random selection or ejection excludes all of them, all are candidates: a
        slow or failing endpoint is better than none.
        """
        weights = self._health_of(service).weights(now)
        available = {
            endpoint.name: endpoint
            for endpoint in self._directory.serving(service)
            if endpoint.name not in avoid
        }
        candidates = {
            name: endpoint
            for name, endpoint in available.items()
            if self._is_candidate(endpoint, weights)
        }
        return candidates or available

    def _is_candidate(self, endpoint: Endpoint, weights: dict[str, float]) -> bool:
        """Return whether an endpoint is a candidate, at random by its health weight.

        A readmitted endpoint is a candidate for a growing share of the requests, so
        that it isn't overloaded at once.
        """
        weight = weights.get(endpoint.name, 1.0)
        return weight >= 1.0 or self._rng.random() < weight

    def _view(
        self, endpoint: Endpoint, service: Service, cached: int, now: timedelta
    ) -> EndpointView:
        instance = endpoint.instance
        reported_at = endpoint.reported_at
        price_key = (
            instance.availability_zone,
            instance.instance_class,
            instance.reclaimable,
        )
        return EndpointView(
            name=endpoint.name,
            availability_zone=instance.availability_zone,
            instance_class=instance.instance_class,
            in_flight=endpoint.in_flight,
            reported_load=endpoint.reported_load,
            own_load_at_report=endpoint.own_load_at_report,
            report_age=None if reported_at is None else now - reported_at,
            max_in_flight=max_in_flight(service, instance.instance_class),
            price_per_hour=self._prices.get(price_key, 0.0),
            network_delay=self._network_delay(instance.availability_zone),
            prefill_tokens=self._own_attempts.prefill_tokens(endpoint.name),
            cached_tokens=cached,
            queue_time=self._own_attempts.queue_time(endpoint.name, now),
            slowness=self._own_attempts.slowness(endpoint.name, now),
        )

    def _network_delay(self, availability_zone: str) -> timedelta:
        zone = self._current.text.availability_zones.get(self._availability_zone)
        if zone is None:
            return timedelta()
        return zone.one_way_delay.get(availability_zone, timedelta())
