"""Model check: the operators' text under races, lost answers and late writes.

Editors replace the revision that they saw, through entries that stop before any
call of the store; each edit may be tried again with its id. In any order, answers
are lost, writes land late, editors give up, and entries watch.
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
    WRITE_LIMIT,
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
    """One try of an editor to replace a revision."""

    def __init__(self, register: TextRegister, edit_id: str, expected: int) -> None:
        self.edit_id = edit_id
        self.expected = expected
        self.told: str | None = None
        self._register = register
        self.program = Program(self._run)

    def _run(self) -> None:
        try:
            record = self._register.put(
                f"text of {self.edit_id}", self.expected, self.edit_id, "ana"
            )
        except TextConflict:
            self.told = "conflict"
        except TextOutcomeUnknown:
            self.told = "unknown"
        except StoreError:
            self.told = "not accepted"
        else:
            self.told = "accepted"
            assert record.edit_id == self.edit_id


class TextModel(RuleBasedStateMachine):
    """Editors and watchers, stepped in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.store = SteppedStore(ManualClock())
        self.register = TextRegister(self.store, self.store.clock, self._pass_time)
        self.edits: list[Edit] = []
        self.live: list[Edit] = []
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
    def try_again(self, index, faults):
        edit = self.edits[index % len(self.edits)]
        self._start(Edit(self.register, edit.edit_id, edit.expected), faults)

    @precondition(lambda self: self.live)
    @rule(index=indexes, faults=several_faults)
    def step(self, index, faults):
        self.live[index % len(self.live)].program.step_all(faults)
        self._forget_done()

    @precondition(lambda self: self.live)
    @rule(index=indexes)
    def crash(self, index):
        del self.live[index % len(self.live)]

    @precondition(lambda self: self.store.late)
    @rule(index=indexes)
    def land(self, index):
        self.store.land(index % len(self.store.late))

    @rule(watcher=st.integers(0, WATCHERS - 1), faults=several_faults)
    def watch(self, watcher, faults):
        program = self.watches.get(watcher)
        if program is None or program.done:
            program = Program(lambda: self._watch(watcher))
            self.watches[watcher] = program
        program.step_all(faults)

    @invariant()
    def guarantees_hold(self):
        self.revision_only_moves_up()
        self.editors_are_told_the_truth()
        self.watchers_only_move_up()

    def revision_only_moves_up(self):
        """Each accepted revision follows the one before, and is never replaced."""
        stored = self.store.keys.get(TEXT_KEY)
        if stored is None:
            return
        current = TextRecord.from_json(stored.value)
        last = max(self.seen, default=0)
        assert current.revision in (last, last + 1)
        assert self.seen.setdefault(current.revision, current) == current

    def editors_are_told_the_truth(self):
        accepted = [record.edit_id for record in self.seen.values()]
        assert len(accepted) == len(set(accepted))
        for edit in self.edits:
            tries = [item for item in self.edits if item.edit_id == edit.edit_id]
            if edit.told == "accepted":
                assert edit.edit_id in accepted
            if edit.told == "conflict":
                assert edit.edit_id not in accepted
            if all(item.told == "not accepted" for item in tries):
                assert edit.edit_id not in accepted

    def watchers_only_move_up(self):
        for number, inbox in enumerate(self.inboxes):
            while not inbox.empty():
                record = inbox.get_nowait().record
                assert record.revision > self.posted[number]
                assert self.seen[record.revision] == record
                self.posted[number] = record.revision

    def teardown(self):
        """With the faults over, every watcher has the text in force."""
        for program in [edit.program for edit in self.live] + [*self.watches.values()]:
            program.finish()
            self.revision_only_moves_up()
        while self.store.late:
            self.store.land()
            self.revision_only_moves_up()
        self.editors_are_told_the_truth()
        for watcher in self.watchers:
            watcher.step()
        self.watchers_only_move_up()
        assert self.posted == [self._revision()] * WATCHERS

    def _start(self, edit: Edit, faults: list[str | None]) -> None:
        self.edits.append(edit)
        edit.program.step_all(faults)
        self.live.append(edit)
        self._forget_done()

    def _forget_done(self) -> None:
        self.live = [item for item in self.live if not item.program.done]

    def _pass_time(self, _pause: timedelta) -> None:
        """Pass so much time that both ends of an editor's patience are met."""
        self.store.clock.advance(WRITE_LIMIT / 3)

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
