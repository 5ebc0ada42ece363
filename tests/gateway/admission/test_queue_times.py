"""Objectives of waiting requests, less the time that endpoints queue them."""

from dataclasses import dataclass
from datetime import timedelta
from random import Random

from sassafrasdale.clock import ManualClock
from sassafrasdale.deployment import RequestTraits
from sassafrasdale.gateway.admission.attempt_queues import AttemptQueues, PendingAttempt
from sassafrasdale.gateway.admission.terms import AdmissionTerms

COST = timedelta(milliseconds=100)
OBJECTIVE = timedelta(milliseconds=800)
DEADLINE = timedelta(seconds=3)


@dataclass
class Times:
    """Times at the endpoints of one service.

    :param delay: time for which they queue what they are sent.
    """

    delay: timedelta

    def cost_of(self, service: str, traits: RequestTraits) -> timedelta:
        return COST

    def delay_of(self, service: str, priority: int) -> timedelta:
        return self.delay


class FullFleet:
    """One engine without room, which may queue prompts itself.

    :param queue_time: time for which it queues what it is sent.
    """

    report_age = timedelta()

    def __init__(self, queue_time: timedelta) -> None:
        self.endpoint_times = Times(queue_time)

    def capacity(self, service: str) -> float:
        return 1.0

    def is_full(self, service: str) -> bool:
        return False

    def start_local_attempt(self, *args: object, **kwargs: object) -> None:
        return None

    def may_get_room(self, *args: object) -> bool:
        return True


def _on_time(queue_time: timedelta) -> int:
    """Return how many of ten requests at once wait to be on time."""
    clock = ManualClock()
    queues = AttemptQueues(FullFleet(queue_time), lambda name: 1.0, clock, Random(1))
    now = clock.elapsed()
    terms = AdmissionTerms("lab-a", 0, now, now + OBJECTIVE, now + DEADLINE)
    for number in range(10):
        pending = PendingAttempt(
            ("front-a", 1, number), "models", RequestTraits("r"), (), (), terms
        )
        queues.request(pending, timedelta())
    [queue] = queues.describe()
    return queue["waiting"][0]


def test_the_queue_of_an_engine_counts_towards_the_objective():
    """Guards against requests that start in time, and are late behind others there."""
    without_queue = _on_time(timedelta())
    assert _on_time(2 * COST) == without_queue - 2
