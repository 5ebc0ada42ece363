"""Lookup of a stream at this gateway and at the aggregators of all zones."""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from sassafrasdale.exceptions import SassafrasdaleError
from sassafrasdale.gateway.peer_states import Contact
from sassafrasdale.gateway.streams.messages import StreamAnswer, StreamQuery
from sassafrasdale.gateway.streams.records import StreamRecord, StreamRecords
from sassafrasdale.gateway.streams.replication import StreamReplicator
from sassafrasdale.green import Queue, Timeout, spawn, timeout

_HERE = "this gateway"
# Time until a stream counts as unknown: the time for which a query waits at an
# aggregator, and the way there and back on a busy instance.
LOOKUP_TIMEOUT = timedelta(milliseconds=400)
# Lookups at once. Callers may send ids that were never used.
MAX_LOOKUPS = 64


class TooManyLookups(SassafrasdaleError):
    """As many streams are looked up as may be."""


@dataclass(frozen=True, slots=True)
class LookupResult:
    """What a lookup found.

    :param record: the stream's record; None if nobody who answered knows it.
    :param source: who knew it.
    :param is_complete: whether all that may know it have answered.
    """

    record: StreamRecord | None = None
    source: str = ""
    is_complete: bool = True


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
    ) -> None:
        self._records = records
        self._replicator = replicator
        self._aggregators = aggregators
        self._query = query
        self._count = 0

    def find(self, name: bytes) -> LookupResult:
        """Return the record of a stream, from here or from another gateway.

        :raises TooManyLookups: if too many are in progress.
        """
        record = self._records.get(name)
        if record is not None:
            return LookupResult(record, _HERE)
        if self._count >= MAX_LOOKUPS:
            raise TooManyLookups("too many lookups of streams")
        self._count += 1
        try:
            return self._ask(name)
        finally:
            self._count -= 1

    def _ask(self, name: bytes) -> LookupResult:
        answers: Queue = Queue()
        contacts = self._aggregators()
        for contact in contacts:
            spawn(self._ask_one, contact, name, answers)
        # This gateway may be an aggregator whose members have yet to report.
        spawn(self._wait_here, name, answers)
        try:
            # Leaves answers that came in a pause of this process time to be read.
            with timeout(LOOKUP_TIMEOUT):
                return self._collect(name, answers, len(contacts) + 1)
        except Timeout:
            return LookupResult(is_complete=False)

    def _collect(self, name: bytes, answers: Queue, count: int) -> LookupResult:
        """Return what the answers say, up to the first with a record."""
        is_complete = True
        for _ in range(count):
            source = answers.get()
            record = self._records.get(name)
            if source and record is not None:
                return LookupResult(record, source)
            is_complete &= source is not None
        return LookupResult(is_complete=is_complete)

    def _ask_one(self, contact: Contact, name: bytes, answers: Queue) -> None:
        answer = self._query(contact, StreamQuery(name))
        if answer is None:
            answers.put(None)
        elif answer.row is None or answer.row.name != name:
            answers.put("")
        else:
            self._replicator.learn(answer.row)
            answers.put(contact.name)

    def _wait_here(self, name: bytes, answers: Queue) -> None:
        known = self._replicator.wait_for(name) is not None
        answers.put(_HERE if known else "")
