"""When a gateway reports to its dispatcher on its attempts."""

from datetime import timedelta

import pytest

from sassafrasdale.clock import SystemClock
from sassafrasdale.deployment import RequestTraits
from sassafrasdale.gateway.dispatcher_client import (
    BATCH_DELAY,
    MAX_REPORT_INTERVAL,
    DispatcherClient,
)
from sassafrasdale.gateway.dispatcher_messages import NO_ASSIGNMENT, AttemptResult
from sassafrasdale.gateway.peer_calls import ASSIGNMENT_TIMEOUT
from sassafrasdale.green import sleep, spawn
from tests.gateway.fleets import contact

SOON = BATCH_DELAY + timedelta(milliseconds=80)


class Gateway:
    """A gateway's dispatcher client, and what it has reported."""

    def __init__(self):
        self.dispatcher = contact("central")
        self.lookups = 0
        self.reports = []
        self.client = DispatcherClient(
            contact("g-1"), self._look_up, lambda *_: None, self._report, SystemClock()
        )
        self.task = spawn(self.client.run)

    def _look_up(self):
        self.lookups += 1
        return self.dispatcher

    def _report(self, _, report):
        self.reports.append(report)
        return True


@pytest.fixture
def gateway():
    gateway = Gateway()
    yield gateway
    gateway.task.kill()


def test_results_are_reported_soon_and_in_batches(gateway):
    """Guards against a dispatcher that considers engines busy long after an attempt."""
    sleep(MAX_REPORT_INTERVAL + SOON)
    gateway.client.add_attempt(1, lambda: None)
    gateway.client.record_first_token(1, timedelta())
    gateway.client.record_end(1, AttemptResult.SUCCEEDED)
    sleep(SOON)
    (report,) = gateway.reports
    assert len(report.first) == len(report.ended) == 1


def test_an_idle_client_wakes_up_rarely(gateway):
    """Guards against hundreds of idle gateways that wake up all the time."""
    sleep(1.5 * MAX_REPORT_INTERVAL)
    assert gateway.reports == []
    assert gateway.lookups <= 3


def test_a_new_dispatcher_is_found_without_results(gateway):
    """Guards against attempts that nobody counts after a change of the dispatcher."""
    local = []
    sleep(MAX_REPORT_INTERVAL + SOON)
    gateway.client.add_attempt(1, lambda: local.append(1))
    gateway.dispatcher = contact("other")
    sleep(MAX_REPORT_INTERVAL + SOON)
    assert local == [1]


def test_a_dispatcher_that_has_no_endpoint_is_asked_again():
    """Guards against a zone that chooses alone because all endpoints are limited."""
    asked = []

    def ask(_, request):
        asked.append(request.number)
        return NO_ASSIGNMENT

    client = DispatcherClient(
        contact("g-1"),
        lambda: contact("central"),
        ask,
        lambda *_: True,
        SystemClock(),
    )
    for _ in range(3):
        number = client.next_number()
        reply = client.request_assignment(number, "models", RequestTraits("r"), ())
        assert reply == NO_ASSIGNMENT
    assert asked == [1, 2, 3]


class SlowDispatcher:
    """A dispatcher that answers calls after a time, or never in time."""

    def __init__(self, takes):
        self.asked = []
        self._takes = takes
        self._client = DispatcherClient(
            contact("g-1"),
            lambda: contact("central"),
            self._ask,
            lambda *_: True,
            SystemClock(),
        )

    def _ask(self, _, request):
        self.asked.append(request.number)
        takes = self._takes[request.number - 1]
        sleep(min(takes, ASSIGNMENT_TIMEOUT))
        return None if takes > ASSIGNMENT_TIMEOUT else NO_ASSIGNMENT

    def request(self):
        number = self._client.next_number()
        return self._client.request_assignment(number, "models", RequestTraits("r"), ())


def test_a_dispatcher_that_answers_others_is_asked_again():
    """Guards against a gateway that chooses alone as one call has no answer."""
    never = 2 * ASSIGNMENT_TIMEOUT
    dispatcher = SlowDispatcher([never, ASSIGNMENT_TIMEOUT / 4, timedelta()])
    lost, answered = spawn(dispatcher.request), spawn(dispatcher.request)
    assert lost.wait() is None
    assert answered.wait() == NO_ASSIGNMENT
    assert dispatcher.request() == NO_ASSIGNMENT
    assert dispatcher.asked == [1, 2, 3]


def test_a_dispatcher_that_answers_nobody_is_not_asked_for_a_while():
    """Guards against requests that each wait for a dispatcher that has stalled."""
    never = 2 * ASSIGNMENT_TIMEOUT
    dispatcher = SlowDispatcher([timedelta(), never, never, timedelta()])
    assert dispatcher.request() == NO_ASSIGNMENT
    for task in [spawn(dispatcher.request) for _ in range(2)]:
        assert task.wait() is None
    assert dispatcher.request() is None
    assert dispatcher.asked == [1, 2, 3]
