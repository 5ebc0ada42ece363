"""The current configuration of this entry."""

from datetime import timedelta

from sassafrasdale.coordination.texts import TextRecord
from sassafrasdale.green import Event
from sassafrasdale.text.parser import parse_text
from sassafrasdale.text.structures import Text


class CurrentText:
    """The current configuration; its revision only increases."""

    def __init__(self) -> None:
        self._record: TextRecord | None = None
        self._text: Text | None = None
        self._waiters: list[Event] = []

    @property
    def record(self) -> TextRecord | None:
        """The current accepted edit, or None before the first."""
        return self._record

    @property
    def text(self) -> Text | None:
        """The current configuration, parsed, or None before the first."""
        return self._text

    @property
    def revision(self) -> int:
        """Number of the current revision, 0 before the first."""
        return self._record.revision if self._record else 0

    def accept(self, record: TextRecord) -> bool:
        """Apply ``record`` if it is newer, and return whether it was.

        :raises TextError: the configuration is invalid; the current one stays.
        """
        # Revisions from the store's watch, peers and reads may arrive in any order
        # and more than once; only a higher one is applied, so none of them can
        # restore an old configuration.
        if record.revision <= self.revision:
            return False
        self._text = parse_text(record.text)
        self._record = record
        waiters, self._waiters = self._waiters, []
        for waiter in waiters:
            waiter.send(None)
        return True

    def wait_newer(self, revision: int, limit: timedelta) -> None:
        """Wait until the revision is above ``revision``, at most for ``limit``."""
        if self.revision > revision:
            return
        waiter = Event()
        self._waiters.append(waiter)
        waiter.wait(timeout=limit.total_seconds())
        if waiter in self._waiters:
            self._waiters.remove(waiter)
