"""Tests of the queueing times that an entry sees."""

from datetime import timedelta

from sassafrasdale.decisions.queues import NO_TIME, QUEUE_HALF_LIFE, QueueTimes

SECOND = timedelta(seconds=1)


def test_a_request_that_is_overdue_tells_of_a_queue_before_it_ends():
    """One caller after the other waits behind prompts that others sent.

    Another entry sent long prompts to a replica. The load report still shows it
    idle, and each request that this entry adds waits behind them.
    """
    queues = QueueTimes()
    queues.sent("a", "r1", NO_TIME, SECOND)
    assert queues.queueing("a", 0.5 * SECOND) == NO_TIME
    assert queues.queueing("a", 3 * SECOND) == 2 * SECOND
    assert queues.queueing("b", 3 * SECOND) == NO_TIME


def test_what_was_seen_fades():
    queues = QueueTimes()
    queues.sent("a", "r1", NO_TIME, SECOND)
    queues.answered("a", "r1", 5 * SECOND)
    assert queues.queueing("a", 5 * SECOND) == 4 * SECOND
    assert queues.queueing("a", 5 * SECOND + QUEUE_HALF_LIFE) == 2 * SECOND


def test_a_withdrawn_request_is_not_waited_for():
    queues = QueueTimes()
    queues.sent("a", "r1", NO_TIME, SECOND)
    queues.withdrawn("a", "r1")
    assert queues.queueing("a", 9 * SECOND) == NO_TIME
