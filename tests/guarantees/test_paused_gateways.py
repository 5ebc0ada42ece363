"""Gateways that don't run for a while, or stop, lose no stream."""

from collections import Counter
from collections.abc import Iterator
from datetime import timedelta
from itertools import cycle

import pytest

from sassafrasdale.green import sleep, spawn
from standins.gateway_fleet import CONT, STOP, TERM
from tests.guarantees.gateway_fleets import unlimited_configuration
from tests.guarantees.resuming_callers import StreamingFleet

SECOND = timedelta(seconds=1)
STREAMS = 40
SEND_INTERVAL = timedelta(milliseconds=50)
# When most streams are in flight, and others have yet to be sent.
DISRUPTED_AT = timedelta(seconds=1.3)
# Most log lines that a pause may leave on failed attempts.
FAILURES = ("send failed", "stream broken off", "endpoint link lost")


@pytest.fixture
def fleet() -> Iterator[StreamingFleet]:
    """Return three gateways before six engines of one version."""
    fleet = StreamingFleet(3, ("v1",) * 6)
    yield fleet
    fleet.close()


def play(fleet: StreamingFleet, disrupt, gateways: int = 3) -> None:
    """Have callers send streams to the first gateways during a disruption."""
    turns = cycle(range(gateways))

    def send(stream, number):
        sleep(SEND_INTERVAL * number)
        fleet.send(stream, next(turns))

    spawn(disrupt)
    fleet.run(STREAMS, send)


def check_whole(fleet: StreamingFleet) -> None:
    """Check that all streams came whole, run once, with no attempt given up."""
    assert not [stream for stream in fleet.streams if not stream.is_complete]
    runs = Counter(run for engine in fleet.engines for run in engine.request_ids)
    assert not [run for run, count in runs.items() if count > 1]
    lines = Counter(
        line["message"] for gateway in fleet.gateways for line in gateway.log_lines()
    )
    assert not {name: lines[name] for name in FAILURES if lines[name]}


@pytest.mark.parametrize("paused", [1, 3])
@pytest.mark.parametrize("seconds", [1.5, 3.0])
def test_a_pause_of_gateways_ends_nothing(fleet, paused, seconds):
    """Guards against timers that are due before what has arrived is read."""
    configuration = unlimited_configuration(version=8)
    configuration["limits"]["idleTimeoutMs"] = 600
    configuration["limits"]["headerTimeoutMs"] = 600
    fleet.fleet.store.put("op/config", configuration)

    def disrupt():
        sleep(DISRUPTED_AT)
        for gateway in fleet.gateways[:paused]:
            gateway.signal(STOP)
        sleep(seconds * SECOND)
        for gateway in fleet.gateways[:paused]:
            gateway.signal(CONT)

    play(fleet, disrupt)
    check_whole(fleet)


def test_a_pause_of_gateways_and_a_stall_of_engines_end_nothing(fleet):
    """Guards against gateways that blame engines as they come back into a stall."""

    def disrupt():
        sleep(DISRUPTED_AT)
        for gateway in fleet.gateways:
            gateway.signal(STOP)
        sleep(0.7 * SECOND)
        for engine in fleet.engines:
            engine.pause(1.6 * SECOND)
        sleep(0.5 * SECOND)
        for gateway in fleet.gateways:
            gateway.signal(CONT)

    play(fleet, disrupt)
    check_whole(fleet)


def test_a_stop_in_a_stall_of_all_engines_ends_nothing(fleet):
    """Guards against a drain that takes a silent stream for one that has ended."""

    def disrupt():
        sleep(DISRUPTED_AT)
        for engine in fleet.engines:
            engine.pause(2 * SECOND)
        sleep(0.2 * SECOND)
        fleet.gateways[0].signal(TERM)

    play(fleet, disrupt)
    check_whole(fleet)
