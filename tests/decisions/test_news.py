"""What old news of loads still says."""

from datetime import timedelta

from sassafrasdale.decisions.news import NO_LOAD, ToldLoad, still_unread, unseen_work

TOKEN_TIME = timedelta(microseconds=10)
MILLISECOND = timedelta(milliseconds=1)


def test_what_was_told_is_read_since():
    """An engine that has long been idle would be passed over until the next news.

    A peer told of 10,000 tokens, a tenth of a second of reading, 60 ms ago.
    """
    told = ToldLoad(3, 10_000, 60 * MILLISECOND)
    assert still_unread(told, TOKEN_TIME) == 4000


def test_no_more_is_read_than_was_told():
    assert still_unread(ToldLoad(3, 10_000, 900 * MILLISECOND), TOKEN_TIME) == 0
    assert still_unread(NO_LOAD, TOKEN_TIME) == 0


def test_unseen_work_grows_with_load_and_age_and_is_shared_by_endpoints():
    age = 200 * MILLISECOND
    assert unseen_work(1.5, age, 3) == 100 * MILLISECOND
    assert unseen_work(1.5, age, 6) == 50 * MILLISECOND
    assert unseen_work(0.0, age, 6) == timedelta()
    assert unseen_work(1.5, age, 0) == 300 * MILLISECOND
