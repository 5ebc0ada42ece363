"""Whole events of a stream."""

from sassafrasdale.gateway.events import EventSplitter


def test_only_whole_events_come_out():
    splitter = EventSplitter()
    assert splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda") == b"id: 1\ndata: a\n\n"
    assert splitter.last_id == 1
    assert splitter.has_partial
    assert splitter.feed(b"ta: b\n\n") == b"id: 2\ndata: b\n\n"
    assert splitter.last_id == 2
    assert splitter.count == 2


def test_an_event_cut_in_the_middle_is_dropped():
    """A caller would get half an event, and then the same event whole.

    The first endpoint crashes in the middle of event 2; the second one goes on
    after event 1.
    """
    splitter = EventSplitter()
    splitter.feed(b"id: 1\ndata: a\n\nid: 2\ndata: half")
    splitter.drop_partial()
    assert splitter.last_id == 1
    assert splitter.feed(b"id: 2\ndata: b\n\n") == b"id: 2\ndata: b\n\n"


def test_a_separator_in_two_reads():
    splitter = EventSplitter(7)
    assert splitter.feed(b"id: 8\r\ndata: a\r\n\r") == b""
    assert splitter.last_id == 7
    assert splitter.feed(b"\n") == b"id: 8\r\ndata: a\r\n\r\n"
    assert splitter.last_id == 8


def test_an_id_within_the_data_is_none():
    splitter = EventSplitter()
    splitter.feed(b"id: 1\ndata: id: 99\n\n")
    assert splitter.last_id == 1
