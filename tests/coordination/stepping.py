"""Programs that stop before each call of the store, for model-based tests.

Each program is a greenlet. The test resumes the programs in any order, chooses the
fault of the call at which each one waits, and may stop them there.
"""

from collections.abc import Callable, Iterable

from greenlet import getcurrent, greenlet

from tests.coordination.fakes import FakeStore

FAULTS = (None, None, "lost_after", "lost_before", "late", "unreached")


class SteppedStore(FakeStore):
    """Store that stops its callers at each call until resumed with a fault."""

    def _call(self, effect: Callable, *, write: bool = True):
        if getcurrent().parent is not None:
            self.faults = [wait()]
        return super()._call(effect, write=write)


def wait() -> str | None:
    """Suspend the running program; return the fault that it is resumed with."""
    return getcurrent().parent.switch()


class Program:
    """A function that each step resumes until its next wait."""

    def __init__(self, function: Callable[[], None]) -> None:
        self._greenlet = greenlet(function)
        self._greenlet.switch()

    @property
    def done(self) -> bool:
        """Whether the function has returned."""
        return self._greenlet.dead

    def step(self, fault: str | None = None) -> None:
        """Resume the function until it waits again or returns."""
        self._greenlet.switch(fault)

    def step_all(self, faults: Iterable[str | None]) -> None:
        """Step once per fault, unless the function returns first."""
        for fault in faults:
            if not self.done:
                self.step(fault)

    def finish(self) -> None:
        """Resume the function without faults until it returns."""
        while not self.done:
            self.step()
