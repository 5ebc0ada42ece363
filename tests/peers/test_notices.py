"""Tests of the log of reclaim notices."""

from datetime import UTC, datetime

from sassafrasdale.peers.notices import NoticeLog
from sassafrasdale.structures import Notice


def notice(sequence):
    return Notice(sequence, f"endpoint-{sequence}", datetime(2026, 1, 1, tzinfo=UTC))


def test_notice_is_new_only_once():
    log = NoticeLog()
    assert log.add(notice(3))
    assert not log.add(notice(3))


def test_receiver_gets_missing_notices_oldest_first():
    """Guards against requests to a zone that is about to be reclaimed.

    All peers of an entry received the zone's notices, but the entry itself did
    not. The next probe must include up to 128 of them, not sixteen per second.
    """
    log = NoticeLog()
    for sequence in range(1, 201):
        log.add(notice(sequence))
    while log.take(16):
        pass
    taken = log.take(16, above=10)
    assert [each.sequence for each in taken] == list(range(11, 11 + 128))


def test_notices_in_messages_are_bounded_and_expire():
    log = NoticeLog()
    for sequence in range(1, 41):
        log.add(notice(sequence))
    taken = list(iter(lambda: log.take(16), []))
    assert max(map(len, taken)) == 16
    assert {each.sequence for batch in taken for each in batch} == set(range(1, 41))
