"""Complete events of a stream."""

from sassafrasdale.gateway.events import EventSplitter


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
