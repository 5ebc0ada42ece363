"""Lookups of streams at other gateways."""

import socket
from datetime import timedelta

from sassafrasdale.clock import SystemClock
from sassafrasdale.decisions.stream_versions import StreamBinding
from sassafrasdale.gateway.peer_calls import PeerCalls
from sassafrasdale.gateway.peer_states import Contact, encode
from sassafrasdale.gateway.roster import Roster
from sassafrasdale.gateway.streams.lookup import LOOKUP_TIMEOUT, StreamLookup
from sassafrasdale.gateway.streams.messages import StreamAnswer, StreamRow
from sassafrasdale.gateway.streams.records import StreamRecords
from sassafrasdale.gateway.streams.replication import StreamReplicator
from sassafrasdale.green import sleep, spawn
from tests.gateway.fleets import contact
from tests.stalls import hold_up

CLOCK = SystemClock()
MILLISECOND = timedelta(milliseconds=1)
NAME = b"n" * 16
BINDING = StreamBinding("models", "v1")
KNOWN = StreamAnswer(StreamRow(NAME, BINDING.service, BINDING.version, 9.0))


class PlainAggregator:
    """An aggregator whose socket works while this process is held up."""

    def __init__(self, name: str, answer: StreamAnswer) -> None:
        self._listener = socket.create_server(("127.0.0.1", 0))
        self._answer = answer
        self._connection: socket.socket | None = None
        port = self._listener.getsockname()[1]
        self.contact = Contact(name, "b", "127.0.0.1", port, 1)

    def answer(self) -> None:
        """Answer the query that has come."""
        self._connection, _ = self._listener.accept()
        assert self._connection.recv(65536)
        body = encode(self._answer)
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
        self._connection.sendall(head + body)

    def close(self) -> None:
        """Close all sockets."""
        self._listener.close()
        if self._connection is not None:
            self._connection.close()


class PausedLookup:
    """A lookup in which this process pauses until after the time-out.

    :param answers: what the aggregators answer meanwhile; None for no answer.
    """

    def __init__(self, *answers: StreamAnswer | None) -> None:
        records = StreamRecords(CLOCK)
        calls = PeerCalls(Roster(contact("front-a-1"), CLOCK), CLOCK)
        self._answers = answers
        self._aggregators = [
            PlainAggregator(f"front-b-{number}", answer or StreamAnswer(None))
            for number, answer in enumerate(answers)
        ]
        self._lookup = StreamLookup(
            records,
            StreamReplicator("front-a-1", 1, records, CLOCK),
            lambda: [each.contact for each in self._aggregators],
            calls.query_stream,
        )

    def find(self):
        """Return the result of the lookup."""
        task = spawn(self._lookup.find, NAME)
        # The queries are sent, and the wait for a record here is over.
        sleep(LOOKUP_TIMEOUT / 2)
        hold_up(LOOKUP_TIMEOUT, self._answer)
        try:
            return task.wait()
        finally:
            for each in self._aggregators:
                each.close()

    def _answer(self) -> None:
        for aggregator, answer in zip(self._aggregators, self._answers, strict=True):
            if answer is not None:
                aggregator.answer()


def test_an_answer_that_came_in_a_pause_counts():
    """Guards against a known stream that is rejected after a pause of the gateway."""
    result = PausedLookup(KNOWN).find()
    assert result.record is not None
    assert result.record.binding == BINDING


def test_an_answer_that_came_in_a_pause_counts_beside_one_that_did_not():
    """Guards against one aggregator without an answer that hides another's."""
    result = PausedLookup(None, KNOWN).find()
    assert result.record is not None


def test_answers_that_came_in_a_pause_make_a_lookup_complete():
    """Guards against callers who return for a stream that nobody knows."""
    result = PausedLookup(StreamAnswer(None), StreamAnswer(None)).find()
    assert result.record is None
    assert result.is_complete


def test_a_lookup_without_an_answer_ends_soon_after_a_pause():
    """Guards against a time-out that begins anew with each pause."""
    began_at = CLOCK.elapsed()
    result = PausedLookup(None, KNOWN, None).find()
    assert result.record is not None
    result = PausedLookup(None).find()
    assert not result.is_complete
    assert CLOCK.elapsed() - began_at < 2 * (1.5 * LOOKUP_TIMEOUT + 100 * MILLISECOND)
