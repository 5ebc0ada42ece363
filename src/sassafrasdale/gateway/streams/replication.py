"""Replication of stream records to the aggregators of all zones.

A gateway reports its streams to the aggregator of its zone, as soon as they begin. The
aggregators exchange those of their zones; an update contains the rows that the receiver
has not confirmed, so lost updates are sent again.
"""

from collections import deque
from collections.abc import Callable
from contextlib import suppress
from datetime import timedelta

from sassafrasdale.clock import Clock
from sassafrasdale.decisions.stream_versions import StreamBinding
from sassafrasdale.gateway.confirmations import Confirmations
from sassafrasdale.gateway.streams.messages import (
    MAX_LIFE_S,
    StreamAnswer,
    StreamQuery,
    StreamRow,
    StreamRows,
    StreamUpdate,
)
from sassafrasdale.gateway.streams.records import Origin, StreamRecord, StreamRecords
from sassafrasdale.green import Empty, Queue, sleep

# Time for which new rows are collected before they are reported.
BATCH_DELAY = timedelta(milliseconds=10)
# Delay before rows are reported again that the aggregator did not confirm.
RETRY_DELAY = timedelta(milliseconds=100)
# Longest time without new rows before the replicator checks whether there is another
# aggregator.
CHECK_INTERVAL = timedelta(milliseconds=200)
# Most rows in one message.
MAX_ROWS = 1_000
# A caller may come back before the record of its stream has arrived. A query waits for
# the record this many times this long.
QUERY_POLLS = 20
QUERY_POLL_INTERVAL = timedelta(milliseconds=5)
# Queries that wait at once; further ones are answered at once.
MAX_WAITING_QUERIES = 256


class StreamReplicator:
    """Reports this gateway's streams, and keeps and exchanges those of others.

    :param name: this gateway's name.
    :param incarnation: this gateway's own.
    :param records: streams that are known here.
    :param query_polls: how often a query looks for the record of an unknown stream.
    """

    def __init__(
        self,
        name: str,
        incarnation: int,
        records: StreamRecords,
        clock: Clock,
        query_polls: int = QUERY_POLLS,
    ) -> None:
        self._query_polls = query_polls
        self._name = name
        self._incarnation = incarnation
        self._records = records
        self._clock = clock
        self._peers: dict[str, Confirmations] = {}
        # Names of the zone's streams with their numbers, in order.
        self._zone_log: deque[tuple[int, bytes]] = deque()
        self._last_number = 0
        self._pending: list[bytes] = []
        self._aggregator: tuple[str, int] | None = None
        self._wakeup: Queue = Queue()
        self._waiting = 0

    def record_begin(
        self, name: bytes, binding: StreamBinding, left: timedelta, customer: str
    ) -> None:
        """Record a stream of this gateway, and have it reported.

        :param left: time for which its caller may take it up.
        """
        if self._records.add(name, binding, left, Origin.OWN, customer):
            self._log_row(name)
            self._pending.append(name)
            if self._wakeup.empty():
                self._wakeup.put(None)

    def receive_rows(self, rows: StreamRows) -> None:
        """Record the streams that a gateway of the zone reports."""
        for row in rows.rows:
            if self._add(row, Origin.ZONE, rows.sender):
                self._log_row(row.name)

    def answer(self, query: StreamQuery) -> StreamAnswer:
        """Return what is known of a stream, once its record may have arrived."""
        record = self.wait_for(query.name)
        return StreamAnswer(None if record is None else self._row(query.name, record))

    def wait_for(self, name: bytes) -> StreamRecord | None:
        """Return the record of a stream, once it may have arrived."""
        record = self._records.get(name)
        if record is not None or self._waiting >= MAX_WAITING_QUERIES:
            return record
        self._waiting += 1
        try:
            for _ in range(self._query_polls):
                sleep(QUERY_POLL_INTERVAL)
                record = self._records.get(name)
                if record is not None:
                    return record
            return None
        finally:
            self._waiting -= 1

    def learn(self, row: StreamRow) -> None:
        """Record a stream that another gateway has told on a query."""
        self._add(row, Origin.ELSEWHERE, "")

    def run(
        self,
        aggregator: Callable[[], tuple[str, int] | None],
        report: Callable[[StreamRows], bool],
    ) -> None:
        """Report this gateway's streams until the task is killed.

        :param aggregator: returns name and incarnation of the zone's aggregator; None
            if this gateway is one.
        :param report: sends rows to it, and returns whether it confirmed them.
        """
        while True:
            with suppress(Empty):
                self._wakeup.get(timeout=CHECK_INTERVAL.total_seconds())
            sleep(BATCH_DELAY)
            if not self.step(aggregator(), report):
                sleep(RETRY_DELAY)

    def step(
        self,
        aggregator: tuple[str, int] | None,
        report: Callable[[StreamRows], bool],
    ) -> bool:
        """Report what is due, and return whether that succeeded."""
        self._records.remove_expired()
        self._drop_logged()
        if aggregator != self._aggregator:
            # It may know nothing of the streams that were reported to another one.
            self._aggregator = aggregator
            self._pending = [name for name, _ in self._records.of_origin(Origin.OWN)]
        if aggregator is None:
            self._pending.clear()
            return True
        while self._pending:
            names, rest = self._pending[:MAX_ROWS], self._pending[MAX_ROWS:]
            if not report(StreamRows(self._name, self._rows(names))):
                return False
            # More may have come while the call waited.
            self._pending = rest + self._pending[len(names) + len(rest) :]
        return True

    def update_for(self, name: str) -> StreamUpdate:
        """Return the update for another aggregator: all that it has not confirmed."""
        peer = self._peers.setdefault(name, Confirmations())
        unconfirmed = []
        for number, stream in reversed(self._zone_log):
            if number <= peer.acked:
                break
            unconfirmed.append((number, stream))
        batch = unconfirmed[::-1][:MAX_ROWS]
        until = batch[-1][0] if batch else self._last_number
        return StreamUpdate(
            peer.acked,
            until,
            self._rows([stream for _, stream in batch]),
            peer.received,
            peer.received_from,
        )

    def apply(self, name: str, incarnation: int, update: StreamUpdate | None) -> None:
        """Apply another aggregator's update, and note what it has confirmed."""
        if update is None:
            return
        peer = self._peers.setdefault(name, Confirmations())
        peer.note_update(incarnation, update.since, update.until)
        peer.note_ack(update.received, update.received_from, self._incarnation)
        for row in update.rows:
            self._add(row, Origin.ELSEWHERE, name)

    def forget(self, is_gone: Callable[[str], bool]) -> None:
        """Drop the replication state for gateways that are gone for good."""
        for name in [name for name in self._peers if is_gone(name)]:
            del self._peers[name]

    def _add(self, row: StreamRow, origin: Origin, group: str) -> bool:
        left = timedelta(seconds=row.left_s)
        group = f"gateway {group}"
        return self._records.add(row.name, row.binding, left, origin, group)

    def _log_row(self, name: bytes) -> None:
        self._last_number += 1
        self._zone_log.append((self._last_number, name))

    def _drop_logged(self) -> None:
        while self._zone_log and self._records.get(self._zone_log[0][1]) is None:
            self._zone_log.popleft()

    def _rows(self, names: list[bytes]) -> tuple[StreamRow, ...]:
        records = ((name, self._records.get(name)) for name in names)
        return tuple(
            self._row(name, record) for name, record in records if record is not None
        )

    def _row(self, name: bytes, record: StreamRecord) -> StreamRow:
        left = (record.expires_at - self._clock.elapsed()).total_seconds()
        binding = record.binding
        left = min(max(left, 0.0), MAX_LIFE_S)
        return StreamRow(name, binding.service, binding.version, left)
