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


def test_receiver_that_missed_a_wave_gets_what_it_lacks_oldest_first():
    """An entry would go on sending to a zone that is about to vanish.

    All of its peers had the news of a wave, and it was left out. The next probe
    must bring it all, not sixteen notices a second.
    """
    board = NoticeBoard()
    for sequence in range(1, 201):
        board.add(notice(sequence))
    while board.take(16):
        pass
    taken = board.take(16, above=10)
    assert [each.sequence for each in taken] == list(range(11, 11 + 128))


def test_notices_in_messages_are_bounded_and_run_out():
    board = NoticeBoard()
    for sequence in range(1, 41):
        board.add(notice(sequence))
    taken = list(iter(lambda: board.take(16), []))
    assert max(map(len, taken)) == 16
    assert {each.sequence for batch in taken for each in batch} == set(range(1, 41))
