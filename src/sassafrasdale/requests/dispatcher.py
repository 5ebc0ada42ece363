"""Takes checked calls, runs them by their service's rules, keeps what is held."""

import random
from collections.abc import Callable
from uuid import UUID

from xxhash import xxh3_128_hexdigest

from sassafrasdale.clock import Clock
from sassafrasdale.decisions.budgets import RetryBudget
from sassafrasdale.endpoints.directory import Endpoint
from sassafrasdale.requests.claims import Claims
from sassafrasdale.requests.execution import IdempotentExecution
from sassafrasdale.requests.gates import Gates
from sassafrasdale.requests.generation import Generation
from sassafrasdale.requests.guarded import GuardedExecution
from sassafrasdale.requests.registry import Registry
from sassafrasdale.requests.selection import Selector
from sassafrasdale.requests.structures import (
    Answered,
    ModelCall,
    NotRun,
    Outcome,
    ServiceCall,
)


class Dispatcher:
    """Runs calls.

    :param name: name of this entry, the holder of its claims.
    :param selector: chooses endpoints.
    :param gates: let requests into each service.
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
        gates: Gates,
        registry: Registry,
        claims: Claims,
        is_alive: Callable[[str], bool],
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._name = name
        self._selector = selector
        self._gates = gates
        self._registry = registry
        self._claims = claims
        self._is_alive = is_alive
        self._clock = clock
        self._rng = rng
        self._calls_running = 0
        self._budgets: dict[str, RetryBudget] = {}

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
        gate = self._gates.of(call.call.service)
        entered = gate.enter(call.call)
        if isinstance(entered, NotRun):
            return entered
        self._calls_running += 1
        outcome: Outcome | None = None
        try:
            outcome = execution.run()
            return outcome
        finally:
            self._calls_running -= 1
            gate.leave(entered, ok=isinstance(outcome, Answered))

    def generate(self, call: ModelCall) -> Generation:
        """Start a model call and return it, held here.

        :raises RequestIdTaken: its id names another request.
        """
        generation = Generation(
            call,
            self._chooser(call),
            self._clock,
            gate=self._gates.of(call.call.service),
            observe=self._selector.observe,
            on_end=self._registry.end,
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
            self._chooser(call),
            self._clock,
            events=events,
            endpoint=endpoint,
            observe=self._selector.observe,
            on_end=self._registry.end,
        )
        self._registry.add(generation)
        generation.start()
        return generation

    def _execution(self, call: ServiceCall) -> IdempotentExecution | GuardedExecution:
        about = call.call
        wanted = self._selector.wanted(about.service, about.deadline, about.priority)
        budget = self._budgets.setdefault(about.service, RetryBudget())

        def choose(avoid: frozenset[str]) -> Endpoint | None:
            return self._selector.choose(wanted, avoid)

        if about.idempotent:
            return IdempotentExecution(
                call, choose, self._selector.observe, budget, self._clock
            )
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

    def _chooser(self, call: ModelCall) -> Callable[[frozenset[str]], Endpoint | None]:
        wanted = self._selector.wanted(
            call.call.service,
            call.call.deadline,
            call.call.priority,
            prompt=call.prompt,
            max_tokens=call.max_tokens,
        )
        return lambda avoid: self._selector.choose(wanted, avoid)


def fingerprint(call: ServiceCall) -> str:
    """Return a hash of what a call asks for, whoever asks and when."""
    parts = (call.method.encode(), call.target.encode(), call.body)
    return xxh3_128_hexdigest(b"\0".join(parts))
