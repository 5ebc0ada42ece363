"""Takes checked calls, runs them by their service's rules, keeps what is held."""

import json
import random
from collections.abc import Callable
from datetime import timedelta
from uuid import UUID

from xxhash import xxh3_128_hexdigest

from sassafrasdale.clock import Clock
from sassafrasdale.decisions.budgets import RetryBudget
from sassafrasdale.endpoints.directory import Endpoint
from sassafrasdale.green import GreenThread, current_task, interrupt, spawn
from sassafrasdale.requests.claim_records import Claim
from sassafrasdale.requests.claimant import Claimant, ClaimIdentity
from sassafrasdale.requests.claims import Claims
from sassafrasdale.requests.exceptions import EntryStopping
from sassafrasdale.requests.execution import IdempotentExecution
from sassafrasdale.requests.gates import Gates
from sassafrasdale.requests.generation import Generation
from sassafrasdale.requests.guarded import GuardedExecution
from sassafrasdale.requests.hedges import Hedger
from sassafrasdale.requests.ledger import Ledger
from sassafrasdale.requests.placement import Placement, Progress
from sassafrasdale.requests.registry import Registry
from sassafrasdale.requests.selection import Selector
from sassafrasdale.requests.structures import (
    Answered,
    ModelCall,
    NotRun,
    Outcome,
    ServiceCall,
    Unknown,
)

# When a call that a stop has cut short is worth asking again, through another entry.
STOP_RETRY_AFTER = timedelta(seconds=1)
STOPS = "this entry stops"


class Dispatcher:
    """Runs calls.

    :param name: name of this entry.
    :param selector: chooses endpoints.
    :param gates: let requests into each service.
    :param registry: keeps generations.
    :param claims: claims of non-idempotent calls.
    :param ledger: counts how requests end.
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
        ledger: Ledger,
        is_alive: Callable[[str], bool],
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._name = name
        self._selector = selector
        self._gates = gates
        self._registry = registry
        self._claims = claims
        self._ledger = ledger
        self._is_entry_alive = is_alive
        self._clock = clock
        self._rng = rng
        # A process that starts again under its name is another holder: it knows
        # nothing of what the one before it sent.
        self._holder = f"{name}/{self._unique_id()}"
        self._serving: set[GreenThread] = set()
        self._budgets: dict[str, RetryBudget] = {}
        self._hedgers: dict[str, Hedger] = {}

    @property
    def registry(self) -> Registry:
        """The generations held."""
        return self._registry

    @property
    def calls_running(self) -> int:
        """Calls of plain services that are under way."""
        return len(self._serving)

    def serve(self, call: ServiceCall) -> Outcome:
        """Run a call of a plain service and return how it ended.

        :raises KeyReused: its idempotency key names another call.
        """
        began = self._ledger.begin(call.call)
        task = current_task()
        self._serving.add(task)
        outcome: Outcome | None = None
        try:
            outcome = self._enter_and_run(call)
        except EntryStopping as error:
            # It may have been sent, and a keyed one be claimed.
            outcome = Unknown(error.message, STOP_RETRY_AFTER)
        finally:
            self._serving.discard(task)
            self._ledger.end(call.call, outcome, began)
        return outcome

    def give_up_all(self) -> None:
        """Have every caller that is still waiting told what is known.

        A call of a plain service can't be handed over, as its answer comes on a
        connection of this entry; nor a keyed model call, whose claim is this
        entry's. Without an answer a caller could not tell a stop from a loss.
        """
        for task in tuple(self._serving):
            interrupt(task, EntryStopping(STOPS))
        for generation in self._registry.running:
            # Its end is written to the store, which must not hold up the others.
            spawn(generation.abandon, STOPS)

    def generate(
        self,
        call: ModelCall,
        *,
        on_end: Callable[[Generation], None] = lambda generation: None,
    ) -> Generation:
        """Start a model call and return it, held here.

        :param on_end: called when it has ended.
        :raises RequestIdTaken: its id names another request.
        """
        began = self._ledger.begin(call.call)

        def end(generation: Generation) -> None:
            self._registry.end(generation)
            self._ledger.end(
                call.call, generation.outcome, began, generation.first_event_at
            )
            self._ledger.count_usage(generation)
            on_end(generation)

        generation = Generation(
            call,
            self._placement(call),
            self._clock,
            gate=self._gates.of(call.call.service),
            on_end=end,
        )
        try:
            self._registry.add(generation)
        except BaseException:
            self._ledger.end(call.call, None, began)
            raise
        generation.start()
        return generation

    def generate_once(self, call: ModelCall) -> Generation | Outcome:
        """Run a keyed model call at most once; return it, or its first outcome.

        :raises KeyReused: its idempotency key names another call.
        :raises RequestIdTaken: its id names another request.
        """
        body = json.dumps(call.body, sort_keys=True).encode()
        claimant = self._claimant(call, xxh3_128_hexdigest(body))
        obtained = claimant.obtain()
        if not isinstance(obtained, Claim):
            return obtained

        def conclude(generation: Generation) -> None:
            match generation.outcome:
                case Answered() as answered:
                    claimant.settle(obtained, answered)
                case NotRun():
                    claimant.abandon(obtained)
                case _:
                    claimant.mark_unknown(obtained)

        try:
            return self.generate(call, on_end=conclude)
        except BaseException:
            claimant.abandon(obtained)
            raise

    def take_over(self, call: ModelCall, progress: Progress) -> Generation:
        """Hold a generation that another entry began.

        :param progress: how far the earlier holder came.
        :raises RequestIdTaken: it is held here already.
        """
        generation = Generation(
            call,
            self._placement(call),
            self._clock,
            progress=progress,
            on_end=self._registry.end,
        )
        self._registry.add(generation)
        generation.start()
        return generation

    def is_alive(self, holder: str) -> bool:
        """Return whether the process that made a claim may still run it."""
        name = holder.rpartition("/")[0]
        if name == self._name:
            return holder == self._holder
        return self._is_entry_alive(name)

    def _enter_and_run(self, call: ServiceCall) -> Outcome:
        gate = self._gates.of(call.call.service)
        ticket = gate.enter(call.call)
        if isinstance(ticket, NotRun):
            return ticket
        outcome: Outcome | None = None
        try:
            outcome = self._execution(call).run()
            return outcome
        finally:
            gate.leave(ticket, outcome)

    def _execution(self, call: ServiceCall) -> IdempotentExecution | GuardedExecution:
        about = call.call
        wanted = self._selector.wanted(about.service, about.deadline, about.priority)
        observe = self._selector.observe

        def choose(avoid: frozenset[str]) -> Endpoint | None:
            return self._selector.choose(wanted, avoid)

        if about.idempotent:
            budget = self._budgets.setdefault(about.service, RetryBudget())
            hedger = self._hedger(about.service)
            return IdempotentExecution(
                call, choose, observe, budget, hedger, self._clock
            )
        claimant = self._claimant(call, fingerprint(call))
        return GuardedExecution(call, claimant, choose, observe, self._clock)

    def _hedger(self, service: str) -> Hedger:
        if service not in self._hedgers:
            self._hedgers[service] = Hedger(self._gates.of(service), self._clock)
        return self._hedgers[service]

    def _claimant(self, call: ServiceCall | ModelCall, digest: str) -> Claimant:
        identity = ClaimIdentity(self._unique_id(), digest, self._holder)
        return Claimant(call.call, identity, self.is_alive, self._claims, self._clock)

    def _placement(self, call: ModelCall) -> Placement:
        """Return how a generation finds its engines."""
        wanted = self._selector.wanted(
            call.call.service,
            call.call.deadline,
            call.call.priority,
            prompt=call.prompt,
            opening=call.opening,
            max_tokens=call.max_tokens,
        )
        watch = self._selector.watch(call.call.request_id)
        return Placement(
            choose=lambda avoid: self._selector.choose(wanted, avoid, watch),
            observe=self._selector.observe,
            watch=watch,
        )

    def _unique_id(self) -> str:
        return str(UUID(int=self._rng.getrandbits(128), version=4))


def fingerprint(call: ServiceCall) -> str:
    """Return a hash of what a call asks for, whoever asks and when."""
    parts = (call.method.encode(), call.target.encode(), call.body)
    return xxh3_128_hexdigest(b"\0".join(parts))
