"""Model-based test of the configuration: races, lost responses, late writes.

Editors replace the revision that they saw, through entries that stop before each
call of the store; each edit may be retried with its id. In any order, responses
are lost, writes take effect late, editors crash, and entries watch.
"""

from datetime import timedelta
from uuid import uuid4

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from sassafrasdale.clock import ManualClock
from sassafrasdale.coordination.exceptions import (
    StoreError,
    TextOutcomeUnknown,
)
from sassafrasdale.coordination.texts import (
    TEXT_KEY,
    WRITE_TIMEOUT,
    TextConflict,
    TextRecord,
    TextRegister,
    TextWatcher,
)
from sassafrasdale.green import Queue
from tests.coordination.stepping import FAULTS, Program, SteppedStore

WATCHERS = 2
indexes = st.integers(0, 99)
several_faults = st.lists(st.sampled_from(FAULTS), min_size=1, max_size=4)


class Edit:
    """One attempt of an editor to replace a revision."""

    def __init__(self, register: TextRegister, edit_id: str, expected: int) -> None:
        self.edit_id = edit_id
        self.expected = expected
        self.reported: str | None = None
        self._register = register
        self.program = Program(self._run)

    def _run(self) -> None:
        try:
            record = self._register.put(
                f"text of {self.edit_id}", self.expected, self.edit_id, "ana"
            )
        except TextConflict:
            self.reported = "conflict"
        except TextOutcomeUnknown:
            self.reported = "unknown"
        except StoreError:
            self.reported = "not accepted"
        else:
            self.reported = "accepted"
            assert record.edit_id == self.edit_id


class TextModel(RuleBasedStateMachine):
    """Editors and watchers, stepped in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.store = SteppedStore(ManualClock())
        self.register = TextRegister(self.store, self.store.clock, self._pass_time)
        self.edits: list[Edit] = []
        self.running: list[Edit] = []
        self.seen: dict[int, TextRecord] = {}
        self.inboxes = [Queue() for _ in range(WATCHERS)]
        self.watchers = [TextWatcher(self.register, inbox) for inbox in self.inboxes]
        self.watches: dict[int, Program] = {}
        self.posted = [0] * WATCHERS

    @rule(behind=st.sampled_from((0, 0, 0, 1)), faults=several_faults)
    def edit(self, behind, faults):
        expected = max(0, self._revision() - behind)
        self._start(Edit(self.register, uuid4().hex, expected), faults)

    @precondition(lambda self: self.edits)
    @rule(index=indexes, faults=several_faults)
    def retry(self, index, faults):
        edit = self.edits[index % len(self.edits)]
        self._start(Edit(self.register, edit.edit_id, edit.expected), faults)

    @precondition(lambda self: self.running)
    @rule(index=indexes, faults=several_faults)
    def step(self, index, faults):
        self.running[index % len(self.running)].program.step_all(faults)
        self._remove_finished()

    @precondition(lambda self: self.running)
    @rule(index=indexes)
    def crash(self, index):
        del self.running[index % len(self.running)]

    @precondition(lambda self: self.store.late)
    @rule(index=indexes)
    def land(self, index):
        self.store.apply_late(index % len(self.store.late))

    @rule(watcher=st.integers(0, WATCHERS - 1), faults=several_faults)
    def watch(self, watcher, faults):
        program = self.watches.get(watcher)
        if program is None or program.done:
            program = Program(lambda: self._watch(watcher))
            self.watches[watcher] = program
        program.step_all(faults)

    @invariant()
    def guarantees_hold(self):
        self.revision_only_increases()
        self.reported_outcomes_are_correct()
        self.watched_revisions_only_increase()

    def revision_only_increases(self):
        """Each accepted revision follows the one before and never changes."""
        stored = self.store.keys.get(TEXT_KEY)
        if stored is None:
            return
        current = TextRecord.from_json(stored.value)
        last = max(self.seen, default=0)
        assert current.revision in (last, last + 1)
        assert self.seen.setdefault(current.revision, current) == current

    def reported_outcomes_are_correct(self):
        accepted = [record.edit_id for record in self.seen.values()]
        assert len(accepted) == len(set(accepted))
        for edit in self.edits:
            attempts = [item for item in self.edits if item.edit_id == edit.edit_id]
            if edit.reported == "accepted":
                assert edit.edit_id in accepted
            if edit.reported == "conflict":
                assert edit.edit_id not in accepted
            if all(item.reported == "not accepted" for item in attempts):
                assert edit.edit_id not in accepted

    def watched_revisions_only_increase(self):
        for number, inbox in enumerate(self.inboxes):
            while not inbox.empty():
                record = inbox.get_nowait().record
                assert record.revision > self.posted[number]
                assert self.seen[record.revision] == record
                self.posted[number] = record.revision

    def teardown(self):
        """Without further faults, every watcher gets the current configuration."""
        for program in [edit.program for edit in self.running] + [
            *self.watches.values()
        ]:
            program.finish()
            self.revision_only_increases()
        while self.store.late:
            self.store.apply_late()
            self.revision_only_increases()
        self.reported_outcomes_are_correct()
        for watcher in self.watchers:
            watcher.step()
        self.watched_revisions_only_increase()
        assert self.posted == [self._revision()] * WATCHERS

    def _start(self, edit: Edit, faults: list[str | None]) -> None:
        self.edits.append(edit)
        edit.program.step_all(faults)
        self.running.append(edit)
        self._remove_finished()

    def _remove_finished(self) -> None:
        self.running = [item for item in self.running if not item.program.done]

    def _pass_time(self, _pause: timedelta) -> None:
        """Advance the clock so that a write may or may not reach its timeout."""
        self.store.clock.advance(WRITE_TIMEOUT / 3)

    def _revision(self) -> int:
        return max(self.seen, default=0)

    def _watch(self, number: int) -> None:
        try:
            self.watchers[number].step()
        except StoreError:
            return


TestTextModel = TextModel.TestCase
TestTextModel.settings = settings(
    max_examples=300, stateful_step_count=40, deadline=None
)
