"""Takes checked calls, runs them by their service's rules, keeps what is held."""

import random
from collections.abc import Callable
from datetime import timedelta
from uuid import UUID

from xxhash import xxh3_128_hexdigest

from sassafrasdale.clock import Clock
from sassafrasdale.endpoints.directory import Endpoint
from sassafrasdale.requests.claims import Claims
from sassafrasdale.requests.execution import IdempotentExecution
from sassafrasdale.requests.generation import Generation
from sassafrasdale.requests.guarded import GuardedExecution
from sassafrasdale.requests.registry import Registry
from sassafrasdale.requests.selection import Selector
from sassafrasdale.requests.structures import ModelCall, Outcome, ServiceCall


class Dispatcher:
    """Runs calls.

    :param name: name of this entry, the holder of its claims.
    :param selector: chooses endpoints.
    :param registry: keeps generations.
    :param claims: claims of non-idempotent calls.
    :param is_alive: whether the entry of a name is alive, as far as is known.
    :param clock: source of time.
    :param rng: source of claim ids.
    """

    def __init__(
        self,
        name: str,
        *,
        selector: Selector,
        registry: Registry,
        claims: Claims,
        is_alive: Callable[[str], bool],
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._name = name
        self._selector = selector
        self._registry = registry
        self._claims = claims
        self._is_alive = is_alive
        self._clock = clock
        self._rng = rng
        self._calls_running = 0

    @property
    def registry(self) -> Registry:
        """The generations held."""
        return self._registry

    @property
    def calls_running(self) -> int:
        """Calls of plain services that are under way."""
        return self._calls_running

    def serve(self, call: ServiceCall) -> Outcome:
        """Run a call of a plain service and return how it ended.

        :raises KeyReused: its idempotency key names another call.
        """
        execution = self._execution(call)
        self._calls_running += 1
        try:
            return execution.run()
        finally:
            self._calls_running -= 1

    def generate(self, call: ModelCall) -> Generation:
        """Start a model call and return it, held here.

        :raises RequestIdTaken: its id names another request.
        """
        generation = Generation(
            call, self._choose_for_model, self._clock, on_end=self._registry.end
        )
        self._registry.add(generation)
        generation.start()
        return generation

    def take_over(
        self, call: ModelCall, events: list[bytes], endpoint: Endpoint | None
    ) -> Generation:
        """Hold a generation that another entry began.

        :param events: events that the earlier holder received.
        :param endpoint: where its stream runs.
        :raises RequestIdTaken: it is held here already.
        """
        generation = Generation(
            call,
            self._choose_for_model,
            self._clock,
            events=events,
            endpoint=endpoint,
            on_end=self._registry.end,
        )
        self._registry.add(generation)
        generation.start()
        return generation

    def _execution(self, call: ServiceCall) -> IdempotentExecution | GuardedExecution:
        def choose(avoid: frozenset[str]) -> Endpoint | None:
            return self._selector.choose(call.call.service, avoid)

        if call.call.idempotent:
            return IdempotentExecution(call, choose, lambda: True, self._clock)
        return GuardedExecution(
            call,
            claim_id=str(UUID(int=self._rng.getrandbits(128))),
            fingerprint=fingerprint(call),
            holder=self._name,
            choose=choose,
            is_alive=self._is_alive,
            claims=self._claims,
            clock=self._clock,
        )

    def _choose_for_model(
        self, call: ModelCall, avoid: frozenset[str]
    ) -> Endpoint | None:
        return self._selector.choose(call.call.service, avoid)


def fingerprint(call: ServiceCall) -> str:
    """Return a hash of what a call asks for, whoever asks and when."""
    parts = (call.method.encode(), call.target.encode(), call.body)
    return xxh3_128_hexdigest(b"\0".join(parts))


def remaining(call: ModelCall | ServiceCall, clock: Clock) -> timedelta:
    """Return the time left until the call's deadline."""
    return call.call.deadline - clock.elapsed()
