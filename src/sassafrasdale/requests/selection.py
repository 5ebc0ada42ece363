"""Which endpoint a request goes to: what the entry knows, put to the policy."""

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
from sassafrasdale.requests.sends import Sends, SendWatch
from sassafrasdale.text.current import CurrentText
from sassafrasdale.text.structures import Service

# Length of a token, to estimate a prompt's tokens without a tokenizer.
CHARACTERS_PER_TOKEN = 4


@dataclass(frozen=True, slots=True)
class Wanted:
    """What a choice of an endpoint is for.

    :param service: name of the service.
    :param blocks: hashes of the prompt's blocks, empty for a plain call.
    :param conversation: hash of how the conversation begins, if it is one.
    :param prompt_tokens: estimated length of the prompt, in tokens.
    :param max_tokens: most tokens that the answer may have.
    :param priority: 0 goes first, 7 last.
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

    :param directory: the endpoints known.
    :param current: the text in force.
    :param availability_zone: where this entry runs.
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
        self._sends = Sends()
        self._present: set[str] = set()
        self._rings: dict[str, HashRing] = {}
        self._other_entries = 0
        self._prices: dict[tuple[str, str, bool], float] = {}
        self._health: dict[str, Health] = {}

    def wanted(
        self,
        service: str,
        deadline: timedelta,
        priority: int,
        *,
        prompt: str = "",
        opening: Sequence[str] = (),
        max_tokens: int = 0,
    ) -> Wanted:
        """Return what to choose an endpoint for; hashes the prompt once.

        :param prompt: text of all messages.
        :param opening: messages up to and including the user's first.
        """
        return Wanted(
            service=service,
            deadline=deadline,
            priority=priority,
            blocks=self._prefixes.blocks(prompt),
            conversation=conversation_key(opening) if opening else None,
            prompt_tokens=len(prompt) // CHARACTERS_PER_TOKEN,
            max_tokens=max_tokens,
        )

    def watch(self, request_id: str) -> SendWatch:
        """Return what follows the sends of one generation."""
        return SendWatch(request_id, self._sends, self._clock)

    def choose(
        self, wanted: Wanted, avoid: frozenset[str], watch: SendWatch | None = None
    ) -> Endpoint | None:
        """Return the endpoint for a request, or None if none takes it.

        :param avoid: names of endpoints not to take.
        :param watch: told what is expected of the endpoint.
        """
        text = self._current.text
        service = text.services.get(wanted.service) if text else None
        if service is None:
            return None
        now = self._clock.elapsed()
        policy = RoutingPolicy(
            latency_cost=service.weights.latency_cost,
            recomputed_tokens=service.weights.recomputed_tokens,
            mirrored_entries=float(self._other_entries),
        )
        matches = self._prefixes.matches(wanted.blocks) if wanted.blocks else {}
        home, second_home = self._homes(wanted)
        request = RoutingRequest(
            prompt_tokens=wanted.prompt_tokens,
            max_tokens=wanted.max_tokens,
            priority=wanted.priority,
            remaining=wanted.deadline - now,
            home_availability_zone=self._availability_zone,
            home=home,
            second_home=second_home,
        )
        fit = self._fit_endpoints(wanted.service, avoid, now)
        known = {name: tokens for name, tokens in matches.items() if name in fit}
        homes = [name for name in (home, second_home) if name in fit]
        drawn = draw_candidates(list(fit), known, homes, policy, self._rng)
        views = [
            self._view(fit[name], service, known.get(name, 0), now) for name in drawn
        ]
        chosen = choose(request, views, policy, self._rng)
        if chosen is None:
            return None
        if wanted.blocks:
            self._prefixes.record(chosen.name, wanted.blocks)
        if watch is not None:
            watch.expect(max(0, wanted.prompt_tokens - chosen.cached_tokens))
        return fit[chosen.name]

    def observe(
        self, endpoint: Endpoint, *, ok: bool, latency: timedelta | None = None
    ) -> None:
        """Note that an endpoint answered, or failed to.

        :param latency: time of an answer, for calls that take alike.
        """
        health = self._health_of(endpoint.instance.service)
        now = self._clock.elapsed()
        health.observe(endpoint.name, ok=ok, now=now, latency=latency)

    def ejected(self, service: str) -> frozenset[str]:
        """Return the endpoints that are left out for their failures at present."""
        weights = self._health_of(service).weights(self._clock.elapsed())
        return frozenset(name for name, weight in weights.items() if not weight)

    def set_prices(self, prices: Iterable[Price]) -> None:
        """Take the platform's prices."""
        self._prices = {
            (p.availability_zone, p.instance_class, p.reclaimable): p.price_per_hour
            for p in prices
        }

    def set_other_entries(self, count: int) -> None:
        """Take the number of other entries, which act on the same load reports."""
        self._other_entries = count

    def refresh(self) -> None:
        """Forget endpoints that the directory does not know any more."""
        names: dict[str, set[str]] = {}
        for endpoint in self._directory.endpoints:
            names.setdefault(endpoint.instance.service, set()).add(endpoint.name)
        for service, known in names.items():
            self._health_of(service).set_endpoints(frozenset(known))
        present = {endpoint.name for endpoint in self._directory.endpoints}
        for gone in self._present - present:
            self._prefixes.forget(gone)
            self._sends.forget(gone)
        if self._present != present:
            self._rings.clear()
        self._present = present

    def _homes(self, wanted: Wanted) -> tuple[str, str]:
        """Return the endpoints where entries meet that don't know a conversation."""
        if wanted.conversation is None:
            return "", ""
        ring = self._rings.get(wanted.service)
        if ring is None:
            serving = self._directory.serving(wanted.service)
            ring = self._rings[wanted.service] = HashRing(e.name for e in serving)
        return ring.homes(wanted.conversation)

    def _health_of(self, service: str) -> Health:
        if service not in self._health:
            self._health[service] = Health(self._rng)
        return self._health[service]

    def _fit_endpoints(
        self, service: str, avoid: frozenset[str], now: timedelta
    ) -> dict[str, Endpoint]:
        """Return the endpoints that take part in a choice, by name.

        If chance or their failures leave all of them out, all take part: an
        endpoint that is slow or was failing is better than none.
        """
        weights = self._health_of(service).weights(now)
        left = {
            endpoint.name: endpoint
            for endpoint in self._directory.serving(service)
            if endpoint.name not in avoid
        }
        fit = {
            name: endpoint
            for name, endpoint in left.items()
            if self._is_fit(endpoint, weights)
        }
        return fit or left

    def _is_fit(self, endpoint: Endpoint, weights: dict[str, float]) -> bool:
        """Return whether an endpoint takes part, by its health's weight.

        A readmitted endpoint takes part in a growing share of choices, so that
        it isn't overrun at once.
        """
        weight = weights.get(endpoint.name, 1.0)
        return weight >= 1.0 or self._rng.random() < weight

    def _view(
        self, endpoint: Endpoint, service: Service, cached: int, now: timedelta
    ) -> EndpointView:
        instance = endpoint.instance
        reported_at = endpoint.reported_at
        price_of = (
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
            own_at_report=endpoint.own_at_report,
            report_age=None if reported_at is None else now - reported_at,
            max_in_flight=max_in_flight(service, instance.instance_class),
            price_per_hour=self._prices.get(price_of, 0.0),
            distance=self._distance(instance.availability_zone),
            own_tokens=self._sends.tokens_waiting(endpoint.name),
            cached_tokens=cached,
            queueing=self._sends.queueing(endpoint.name, now),
            slowness=self._sends.slowness(endpoint.name, now),
        )

    def _distance(self, availability_zone: str) -> timedelta:
        zone = self._current.text.availability_zones.get(self._availability_zone)
        if zone is None:
            return timedelta()
        return zone.one_way_delay.get(availability_zone, timedelta())
