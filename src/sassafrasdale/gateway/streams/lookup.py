"""Lookup of a stream at this gateway and at the aggregators of all zones."""

from collections.abc import Callable
from datetime import timedelta

from sassafrasdale.clock import Clock
from sassafrasdale.exceptions import SassafrasdaleError
from sassafrasdale.gateway.peer_states import Contact
from sassafrasdale.gateway.streams.messages import StreamAnswer, StreamQuery, StreamRow
from sassafrasdale.gateway.streams.records import StreamRecord, StreamRecords
from sassafrasdale.gateway.streams.replication import StreamReplicator
from sassafrasdale.green import Empty, Queue, spawn

# Time until a stream that nobody has told of counts as unknown: the time for which a
# query waits at an aggregator, and the way there and back on a busy instance.
LOOKUP_TIMEOUT = timedelta(milliseconds=400)
# Lookups at once. Callers may send ids that were never used.
MAX_LOOKUPS = 64


class TooManyLookups(SassafrasdaleError):
    """As many streams are looked up as may be."""


class StreamLookup:
    """Finds the record of a stream.

    :param records: streams that are known here.
    :param aggregators: returns the aggregators of all zones; not this gateway.
    :param query: sends a query, and returns the answer; None without one in time.
    """

    def __init__(
        self,
        records: StreamRecords,
        replicator: StreamReplicator,
        aggregators: Callable[[], list[Contact]],
        query: Callable[[Contact, StreamQuery], StreamAnswer | None],
        clock: Clock,
    ) -> None:
        self._records = records
        self._replicator = replicator
        self._aggregators = aggregators
        self._query = query
        self._clock = clock
        self._count = 0

    def find(self, name: bytes) -> tuple[StreamRecord, str] | None:
        """Return the record of a stream and who knew it; None if nobody does.

        :raises TooManyLookups: if too many are in progress.
        """
        record = self._records.get(name)
        if record is not None:
            return record, "this gateway"
        if self._count >= MAX_LOOKUPS:
            raise TooManyLookups("too many lookups of streams")
        self._count += 1
        try:
            return self._ask(name)
        finally:
            self._count -= 1

    def _ask(self, name: bytes) -> tuple[StreamRecord, str] | None:
        answers: Queue = Queue()
        contacts = self._aggregators()
        for contact in contacts:
            spawn(self._ask_one, contact, name, answers)
        # This gateway may be an aggregator whose members have yet to report.
        spawn(self._wait_here, name, answers)
        deadline = self._clock.elapsed() + LOOKUP_TIMEOUT
        for _ in range(len(contacts) + 1):
            left = max(deadline - self._clock.elapsed(), timedelta())
            try:
                source = answers.get(timeout=left.total_seconds())
            except Empty:
                break
            record = self._records.get(name)
            if source and record is not None:
                return record, source
        return None

    def _ask_one(self, contact: Contact, name: bytes, answers: Queue) -> None:
        answer = self._query(contact, StreamQuery(name))
        row: StreamRow | None = None if answer is None else answer.row
        if row is not None and row.name == name:
            self._replicator.learn(row)
            answers.put(contact.name)
        else:
            answers.put("")

    def _wait_here(self, name: bytes, answers: Queue) -> None:
        known = self._replicator.wait_for(name) is not None
        answers.put("this gateway" if known else "")
