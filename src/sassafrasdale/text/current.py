"""The revision of the operators' text that is in force in this entry."""

from datetime import timedelta

from sassafrasdale.coordination.texts import TextRecord
from sassafrasdale.green import Event
from sassafrasdale.text.parser import parse_text
from sassafrasdale.text.structures import Text


class CurrentText:
    """The text in force; its revision only moves up."""

    def __init__(self) -> None:
        self._record: TextRecord | None = None
        self._text: Text | None = None
        self._waiters: list[Event] = []

    @property
    def record(self) -> TextRecord | None:
        """The accepted edit in force, or None before the first."""
        return self._record

    @property
    def text(self) -> Text | None:
        """The parsed text in force."""
        return self._text

    @property
    def revision(self) -> int:
        """Number of the revision in force, 0 before the first."""
        return self._record.revision if self._record else 0

    def accept(self, record: TextRecord) -> bool:
        """Put ``record`` in force if it is newer; return whether it was.

        :raises TextError: the text is faulty; the one in force stays.
        """
        # A watch, a peer and a read may bring revisions in any order and twice;
        # only a higher one counts, so none of them can bring an old text back.
        if record.revision <= self.revision:
            return False
        self._text = parse_text(record.text)
        self._record = record
        waiters, self._waiters = self._waiters, []
        for waiter in waiters:
            waiter.send(None)
        return True

    def wait_newer(self, revision: int, limit: timedelta) -> None:
        """Wait until a revision above ``revision`` is in force, or for ``limit``."""
        if self.revision > revision:
            return
        waiter = Event()
        self._waiters.append(waiter)
        waiter.wait(timeout=limit.total_seconds())
        if waiter in self._waiters:
            self._waiters.remove(waiter)
