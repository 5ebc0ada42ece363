"""Tests of the observed queueing times."""

from datetime import timedelta

from sassafrasdale.decisions.queues import NO_TIME, QUEUE_HALF_LIFE, QueueTimes

SECOND = timedelta(seconds=1)


def test_overdue_request_shows_a_queue_before_it_ends():
    """Guards against requests that queue behind prompts of another entry.

    Another entry sent long prompts to a replica, and the load report still shows it
    idle.
    """
    queues = QueueTimes()
    queues.sent("a", "r1", NO_TIME, SECOND)
    assert queues.queue_time("a", 0.5 * SECOND) == NO_TIME
    assert queues.queue_time("a", 3 * SECOND) == 2 * SECOND
    assert queues.queue_time("b", 3 * SECOND) == NO_TIME


def test_observed_queueing_time_decays():
    queues = QueueTimes()
    queues.sent("a", "r1", NO_TIME, SECOND)
    queues.answered("a", "r1", 5 * SECOND)
    assert queues.queue_time("a", 5 * SECOND) == 4 * SECOND
    assert queues.queue_time("a", 5 * SECOND + QUEUE_HALF_LIFE) == 2 * SECOND


def test_withdrawn_request_is_ignored():
    queues = QueueTimes()
    queues.sent("a", "r1", NO_TIME, SECOND)
    queues.withdrawn("a", "r1")
    assert queues.queue_time("a", 9 * SECOND) == NO_TIME
