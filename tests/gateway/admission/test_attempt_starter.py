"""Attempts that wait for an endpoint: at the dispatcher, or without it."""

import pytest

from sassafrasdale.gateway.dispatcher_client import FALLBACK_TIME
from sassafrasdale.gateway.dispatcher_messages import (
    HOLD_TIME,
    AttemptEnded,
    AttemptReport,
    AttemptResult,
)
from sassafrasdale.green import sleep
from tests.gateway.admission.zones import MS, WaitingZone

# Two holds of a call by the dispatcher.
HOLDS = 2 * HOLD_TIME + 40 * MS


class CallerLeft(Exception):
    """Raised by the check of a request whose caller has left."""


@pytest.fixture
def zone():
    return WaitingZone()


@pytest.fixture
def running(zone):
    """Return the attempt that occupies the engine."""
    return zone.request(0)


def busy_counts(zone):
    """Return how many attempts are counted at the dispatcher and by each gateway."""
    return [
        sum(gateway.in_flight_counts()) for gateway in (zone.central, *zone.gateways)
    ]


def test_an_attempt_gets_a_new_number_after_an_unanswered_call(zone, running):
    """Guards against a report of the first call's end that ends the second one."""
    zone.loses_replies = True
    zone.gateways[1].directory.records["i-0"].in_flight = 1
    waiting = zone.request_soon(1)
    zone.loses_replies = False
    zone.clock.advance(FALLBACK_TIME)
    sleep(HOLDS)
    first, *_, last = zone.numbers[1:]
    assert first != last
    ended = AttemptEnded(first, AttemptResult.NEUTRAL)
    zone.dispatcher.record_report(AttemptReport("g-1", 1, (), (ended,)))
    assert len(zone.central.queues) == 1
    waiting.kill()
