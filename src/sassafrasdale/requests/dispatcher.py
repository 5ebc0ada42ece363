"""Runs validated calls according to their service and the kind of request."""

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
from sassafrasdale.requests.placement import Placement, Progress
from sassafrasdale.requests.registry import Registry
from sassafrasdale.requests.request_counters import RequestCounters
from sassafrasdale.requests.selection import Selector
from sassafrasdale.requests.structures import (
    Answered,
    ModelCall,
    NotRun,
    Outcome,
    ServiceCall,
    Unknown,
)

# Delay after which a caller should retry, through another entry, a call that a
# stop interrupted.
STOP_RETRY_AFTER = timedelta(seconds=1)
STOPS = "this entry stops"


class Dispatcher:
    """Runs calls of plain and model services.

    :param name: name of this entry.
    :param selector: chooses endpoints.
    :param gates: admit requests to each service.
    :param registry: holds generations.
    :param claims: claims of non-idempotent calls.
    :param ledger: counts requests by outcome.
    :param is_alive: whether the entry of a given name is considered alive.
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
        ledger: RequestCounters,
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
        # A process restarted under the same name is another holder: it does not
        # know what its predecessor sent.
        self._holder = f"{name}/{self._unique_id()}"
        self._serving: set[GreenThread] = set()
        self._budgets: dict[str, RetryBudget] = {}
        self._hedgers: dict[str, Hedger] = {}

    @property
    def registry(self) -> Registry:
        """The generations held here."""
        return self._registry

    @property
    def calls_running(self) -> int:
        """Number of running calls of plain services."""
        return len(self._serving)

    def serve(self, call: ServiceCall) -> Outcome:
        """Run a call of a plain service and return its outcome.

        :raises KeyReused: its idempotency key was used for another call.
        """
        began = self._ledger.begin(call.call)
        task = current_task()
        self._serving.add(task)
        outcome: Outcome | None = None
        try:
            outcome = self._admit_and_run(call)
        except EntryStopping as error:
            # It may have been sent, or claimed if it has an idempotency key.
            outcome = Unknown(error.message, STOP_RETRY_AFTER)
        finally:
            self._serving.discard(task)
            self._ledger.end(call.call, outcome, began)
        return outcome

    def abort_all(self) -> None:
        """Abort all running calls, so that every waiting caller gets an outcome.

        A call of a plain service can't be handed over, as its response comes on a
        connection of this entry; nor a model call with an idempotency key, whose
        claim this entry holds. Without a response a caller could not distinguish a
        stop from a crash.
        """
        for task in tuple(self._serving):
            interrupt(task, EntryStopping(STOPS))
        for generation in self._registry.running:
            # Its outcome may be written to the store, which must not delay the others.
            spawn(generation.abandon, STOPS)

    def generate(
        self,
        call: ModelCall,
        *,
        on_end: Callable[[Generation], None] = lambda generation: None,
    ) -> Generation:
        """Start a model call and return its generation, held here.

        :param on_end: called when it has ended.
        :raises RequestIdTaken: its id is used by another request.
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
        """Run a model call with an idempotency key at most once.

        :returns: its generation, or the outcome of its first execution.
        :raises KeyReused: its idempotency key was used for another call.
        :raises RequestIdTaken: its id is used by another request.
        """
        body = json.dumps(call.body, sort_keys=True).encode()
        claimant = self._claimant(call, xxh3_128_hexdigest(body))
        obtained = claimant.obtain()
        if not isinstance(obtained, Claim):
            return obtained

        def finish_claim(generation: Generation) -> None:
            match generation.outcome:
                case Answered() as answered:
                    claimant.store_response(obtained, answered)
                case NotRun():
                    claimant.release(obtained)
                case _:
                    claimant.mark_unknown(obtained)

        try:
            return self.generate(call, on_end=finish_claim)
        except BaseException:
            claimant.release(obtained)
            raise

    def take_over(self, call: ModelCall, progress: Progress) -> Generation:
        """Continue a generation that another entry started.

        :param progress: the previous holder's progress.
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
        """Return whether the process that made a claim may still run the request."""
        name = holder.rpartition("/")[0]
        if name == self._name:
            return holder == self._holder
        return self._is_entry_alive(name)

    def _admit_and_run(self, call: ServiceCall) -> Outcome:
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
        query = self._selector.query_for(about.service, about.deadline, about.priority)
        observe = self._selector.observe

        def choose(avoid: frozenset[str]) -> Endpoint | None:
            return self._selector.choose(query, avoid)

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
        """Return the means by which a generation finds its engines."""
        query = self._selector.query_for(
            call.call.service,
            call.call.deadline,
            call.call.priority,
            prompt=call.prompt,
            opening=call.opening,
            max_tokens=call.max_tokens,
        )
        tracker = self._selector.track(call.call.request_id)
        return Placement(
            choose=lambda avoid: self._selector.choose(query, avoid, tracker),
            observe=self._selector.observe,
            tracker=tracker,
        )

    def _unique_id(self) -> str:
        return str(UUID(int=self._rng.getrandbits(128), version=4))


def fingerprint(call: ServiceCall) -> str:
    """Return a hash of a call's content, without its caller and time."""
    parts = (call.method.encode(), call.target.encode(), call.body)
    return xxh3_128_hexdigest(b"\0".join(parts))
