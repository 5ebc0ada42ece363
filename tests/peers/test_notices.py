"""Notices to pass on."""

from datetime import UTC, datetime

from sassafrasdale.peers.notices import NoticeBoard
from sassafrasdale.structures import Notice


def notice(sequence):
    return Notice(sequence, f"endpoint-{sequence}", datetime(2026, 1, 1, tzinfo=UTC))


def test_a_notice_is_news_once():
    board = NoticeBoard()
    assert board.add(notice(3))
    assert not board.add(notice(3))


def test_receiver_that_is_behind_gets_what_it_lacks_oldest_first():
    board = NoticeBoard()
    for sequence in range(1, 41):
        board.add(notice(sequence))
    taken = board.take(16, above=10)
    assert [each.sequence for each in taken] == list(range(11, 27))


def test_notices_in_messages_are_bounded_and_run_out():
    board = NoticeBoard()
    for sequence in range(1, 41):
        board.add(notice(sequence))
    taken = list(iter(lambda: board.take(16), []))
    assert max(map(len, taken)) == 16
    assert {each.sequence for batch in taken for each in batch} == set(range(1, 41))
