"""Complete events of a stream."""

from time import process_time

import pytest

from sassafrasdale.gateway.events import MAX_IDLE_BYTES, EventSplitter
from sassafrasdale.http.exceptions import MalformedResponse


def feed_often(splitter: EventSplitter, data: bytes) -> None:
    """Feed the same bytes until they are twice what may come without a new event."""
    for _ in range(2 * MAX_IDLE_BYTES // len(data) + 1):
        splitter.feed(data)


def test_only_complete_events_are_returned():
    splitter = EventSplitter()
    assert splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda") == b"id: 1\ndata: a\n\n"
    assert splitter.last_id == 1
    assert splitter.has_partial
    assert splitter.feed(b"ta: b\n\n") == b"id: 2\ndata: b\n\n"
    assert splitter.last_id == 2
    assert splitter.count == 2


def test_a_partial_event_is_dropped():
    """Guards against part of an event followed by the same event in full.

    The first endpoint crashes in the middle of event 2; the second one resumes after
    event 1.
    """
    splitter = EventSplitter()
    splitter.feed(b"id: 1\ndata: a\n\nid: 2\ndata: half")
    splitter.drop_partial()
    assert splitter.last_id == 1
    assert splitter.feed(b"id: 2\ndata: b\n\n") == b"id: 2\ndata: b\n\n"


def test_a_separator_split_over_two_reads():
    splitter = EventSplitter(7)
    assert splitter.feed(b"id: 8\r\ndata: a\r\n\r") == b""
    assert splitter.last_id == 7
    assert splitter.feed(b"\n") == b"id: 8\r\ndata: a\r\n\r\n"
    assert splitter.last_id == 8


def test_an_id_within_the_data_is_ignored():
    splitter = EventSplitter()
    splitter.feed(b"id: 1\ndata: id: 99\n\n")
    assert splitter.last_id == 1


@pytest.mark.parametrize("end", [b"\n\n", b"\r\n\r\n", b"\n\r\n"])
def test_events_are_split_the_same_however_their_bytes_come(end):
    """Guards against ends of events that are missed where reads divide them."""
    data = b"".join(b"id: %d\ndata: a" % number + end for number in range(1, 4))
    for size in range(1, len(data) + 1):
        splitter = EventSplitter()
        parts = [data[at : at + size] for at in range(0, len(data), size)]
        assert b"".join(splitter.feed(part) for part in parts) == data
        assert (splitter.last_id, splitter.count) == (3, 3)
        assert not splitter.has_partial


def test_the_cost_per_byte_is_constant():
    """Guards against scans of the whole partial event at each read."""
    splitter = EventSplitter()
    part = b"x" * 64
    began_at = process_time()
    for _ in range(MAX_IDLE_BYTES // len(part)):
        assert splitter.feed(part) == b""
    assert process_time() - began_at < 1


def test_an_event_without_end_is_malformed():
    """Guards against partial events that take more and more memory."""
    splitter = EventSplitter()
    with pytest.raises(MalformedResponse):
        feed_often(splitter, b"x" * 65_536)
    splitter.drop_partial()
    assert splitter.feed(b"id: 1\ndata: a\n\n") == b"id: 1\ndata: a\n\n"


@pytest.mark.parametrize(
    "block", [b": filler\n\n", b"data: x\n\n", b"id: 1\ndata: again\n\n", b"\n\n"]
)
def test_blocks_without_a_new_id_come_only_so_often(block):
    """Guards against comments and repeated events that are relayed without end."""
    splitter = EventSplitter()
    splitter.feed(b"id: 1\ndata: a\n\n")
    with pytest.raises(MalformedResponse):
        feed_often(splitter, block * 1000)


def test_ids_that_alternate_do_not_advance_a_stream():
    """Guards against events that go back and forth without end."""
    splitter = EventSplitter()
    splitter.feed(b"id: 2\ndata: a\n\n")
    for number in (1, 2, 1, 2):
        splitter.feed(b"id: %d\ndata: a\n\n" % number)
        assert not splitter.has_advanced


def test_keep_alive_comments_between_events_are_relayed():
    splitter = EventSplitter()
    for number in range(1, 40):
        assert splitter.feed(b": filler\n\n") == b": filler\n\n"
        assert not splitter.has_advanced
        splitter.feed(b"id: %d\ndata: %b\n\n" % (number, b"x" * 65_536))
        assert splitter.has_advanced


def test_a_stream_without_ids_is_advanced_by_its_data():
    splitter = EventSplitter()
    for _ in range(40):
        splitter.feed(b"data: %b\n\n" % (b"x" * 65_536))
        assert splitter.has_advanced


def test_an_id_without_end_is_malformed():
    """Guards against a conversion that fails for very long numbers."""
    with pytest.raises(MalformedResponse):
        EventSplitter().feed(b"id: " + b"9" * 5000 + b"\ndata: a\n\n")
