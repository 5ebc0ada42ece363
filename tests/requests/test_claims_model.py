"""Model check: claims under lost responses, late writes, crashes and pauses.

Callers retry one key through several entries. In any order, entries pause between
two store calls, or between the claim and the attempt, and resume or crash; the store
loses responses and applies writes late.
"""

from uuid import uuid4

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from sassafrasdale.clock import ManualClock
from sassafrasdale.coordination.exceptions import StoreError
from sassafrasdale.requests.claims import (
    Answered,
    ClaimKey,
    Claims,
    Granted,
    StoredResponse,
)
from sassafrasdale.requests.exceptions import ClaimRefused
from tests.coordination.stepping import FAULTS, Program, SteppedStore, wait

ENTRIES = 3
KEY = ClaimKey("bookings", "association", "date-1")

entries = st.integers(0, ENTRIES - 1)
indexes = st.integers(0, 99)
several_faults = st.lists(st.sampled_from(FAULTS), min_size=1, max_size=5)


class Attempt:
    """One call of a caller, as one entry processes it."""

    def __init__(self, model: "ClaimsModel", entry: int) -> None:
        self.entry = entry
        self.ran = False
        self.may_block = False
        self.reply: str | None = None
        self.model = model
        self.claims = model.claims[entry]
        self.program = Program(self._run)

    def _run(self) -> None:
        try:
            result = self.claims.claim(KEY, "print", uuid4().hex, str(self.entry))
        except ClaimRefused:
            self.reply = "not run"
            self.model.record_refusal(self.claims)
            return
        match result:
            case Granted(claim):
                self._send(claim)
            case Answered(response):
                self._reply(response)
            case _:
                self.reply = "unknown"

    def _send(self, claim) -> None:
        match wait():
            case None:
                response = self._execute()
                self._reply(response)
                self.claims.store_response(claim, response)
            case "unreached":
                self.reply = "not run"
                self.claims.release(claim)
            case fault:
                if fault == "lost_after":
                    self._execute()
                if fault == "late":
                    self.model.store.late.append(self._execute)
                self.reply = "unknown"
                self.may_block = True
                self.claims.mark_unknown(claim)

    def _execute(self) -> StoredResponse:
        self.ran = True
        self.may_block = True
        self.model.runs += 1
        return StoredResponse(200, (), uuid4().bytes)

    def _reply(self, response: StoredResponse) -> None:
        self.reply = "answered"
        self.model.responses.add(response.body)


class ClaimsModel(RuleBasedStateMachine):
    """Entries that claim, send and write outcomes, stepped in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.store = SteppedStore(ManualClock())
        self.claims = [self._new_claims() for _ in range(ENTRIES)]
        self.outcome_writes: dict[int, Program] = {}
        self.attempts: list[Attempt] = []
        self.live: list[Attempt] = []
        self.runs = 0
        self.refused_after_run = False
        self.responses: set[bytes] = set()

    @rule(entry=entries, faults=several_faults)
    def call(self, entry, faults):
        attempt = Attempt(self, entry)
        self.attempts.append(attempt)
        self._step(attempt, faults)

    @precondition(lambda self: self.live)
    @rule(index=indexes, faults=several_faults)
    def step(self, index, faults):
        self._step(self.live[index % len(self.live)], faults)

    @precondition(lambda self: self.store.late)
    @rule(index=indexes)
    def land(self, index):
        self.store.apply_late(index % len(self.store.late))

    @precondition(
        lambda self: any(claims.outcome_writer.pending for claims in self.claims)
    )
    @rule(entry=entries, faults=several_faults)
    def write_outcome(self, entry, faults):
        program = self.outcome_writes.get(entry)
        if program is None or program.done:
            program = Program(lambda: self._write_outcome(entry))
            self.outcome_writes[entry] = program
        program.step_all(faults)

    @rule(entry=entries, is_due=st.sampled_from((False, False, False, True)))
    def crash(self, entry, is_due):
        if not is_due:
            return
        for attempt in self.attempts:
            attempt.may_block |= attempt.entry == entry
        self.live = [item for item in self.live if item.entry != entry]
        self.outcome_writes.pop(entry, None)
        self.claims[entry] = self._new_claims()

    def record_refusal(self, claims: Claims) -> None:
        """Record whether the process that refuses a retry has run the request."""
        mine = [item for item in self.attempts if item.claims is claims]
        self.refused_after_run |= any(item.ran for item in mine)

    @invariant()
    def retry_is_not_refused_by_the_process_that_ran_it(self):
        assert not self.refused_after_run

    @invariant()
    def runs_at_most_once(self):
        assert self.runs <= 1

    @invariant()
    def not_run_is_correct(self):
        assert not any(item.ran and item.reply == "not run" for item in self.attempts)

    @invariant()
    def one_response_per_key(self):
        assert len(self.responses) <= 1

    def teardown(self):
        """Check that, after all faults, no withdrawn attempt blocks the key."""
        for program in [item.program for item in self.live] + [
            *self.outcome_writes.values()
        ]:
            program.finish()
        for claims in self.claims:
            while claims.outcome_writer.pending:
                claims.outcome_writer.run_once()
        while self.store.late:
            self.store.apply_late()
        self.runs_at_most_once()
        self.not_run_is_correct()
        self.one_response_per_key()
        if not any(attempt.may_block for attempt in self.attempts):
            result = self.claims[0].claim(KEY, "print", uuid4().hex, "0")
            assert isinstance(result, Granted), result

    def _step(self, attempt: Attempt, faults: list[str | None]) -> None:
        attempt.program.step_all(faults)
        self.live = [item for item in self.attempts if self._is_live(item)]

    def _is_live(self, attempt: Attempt) -> bool:
        return attempt.claims in self.claims and not attempt.program.done

    def _write_outcome(self, entry: int) -> None:
        try:
            self.claims[entry].outcome_writer.run_once()
        except StoreError:
            return

    def _new_claims(self) -> Claims:
        return Claims(self.store, self.store.clock, start=lambda task: None)


TestClaimsModel = ClaimsModel.TestCase
TestClaimsModel.settings = settings(
    max_examples=500, stateful_step_count=20, deadline=None
)
