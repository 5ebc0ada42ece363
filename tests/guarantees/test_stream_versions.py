"""A stream that has begun goes on only at the software version that began it."""

from collections.abc import Iterator
from datetime import timedelta

import pytest

from sassafrasdale.green import Event, sleep, spawn
from standins.gateway_fleet import CONT, KILL, STOP
from standins.kv_store import Fault
from tests.guarantees.resuming_callers import EVENT_TIME, Stream, StreamingFleet

MILLISECOND = timedelta(milliseconds=1)
STREAMS = 40
TWO_VERSIONS = ("v1", "v1", "v2", "v2")
THREE_VERSIONS = ("v1", "v1", "v2", "v2", "v3", "v3")
# Of the streams that are taken up, at least this share of the new ones' share goes on.
MIN_SHARE = 0.5
# A stream that can't go on is rejected well within the time that its caller has.
AT_ONCE = timedelta(milliseconds=800)


@pytest.fixture
def fleets() -> Iterator[list[StreamingFleet]]:
    """Return a list; fleets that are added to it are closed."""
    fleets: list[StreamingFleet] = []
    yield fleets
    for fleet in fleets:
        fleet.close()


@pytest.fixture
def fleet(fleets) -> StreamingFleet:
    """Return four gateways before two engines of each of two versions."""
    fleets.append(StreamingFleet(4, TWO_VERSIONS))
    return fleets[0]


def test_a_stream_resumed_within_its_answer_stays_at_its_version(fleet):
    """Guards against answers that two versions wrote after an engine's crash."""

    def play(stream: Stream, number: int) -> None:
        fleet.send(stream, number % 4)

    def crash() -> None:
        sleep(5 * EVENT_TIME)
        fleet.engines[0].crash()

    spawn(crash)
    fleet.run(STREAMS, play)
    assert len(fleet.mixed) == 0
    assert sum(stream.is_complete for stream in fleet.streams) >= STREAMS * MIN_SHARE


def test_a_stream_taken_up_at_another_gateway_stays_at_its_version(fleet):
    """Guards against streams that two versions wrote over a caller's attempts."""

    def play(stream: Stream, number: int) -> None:
        fleet.send(stream, number % 4, leave_after=5)
        fleet.take_up(stream, (number + 1) % 4, 100 * MILLISECOND)

    fleet.run(STREAMS, play)
    assert len(fleet.taken_up) == STREAMS
    assert len(fleet.mixed) == 0
    assert fleet.share_gone_on >= MIN_SHARE


def test_a_stream_of_a_killed_gateway_stays_at_its_version(fleet):
    """Guards against versions that only the killed gateway knew."""

    def play(stream: Stream, number: int) -> None:
        fleet.send(stream, 0)
        fleet.take_up(stream, 1 + number % 3, 40 * MILLISECOND)

    def kill() -> None:
        fleet.wait_until_begun(5)
        fleet.gateways[0].signal(KILL)

    spawn(kill)
    fleet.run(STREAMS, play)
    assert len(fleet.taken_up) > STREAMS / 2
    assert len(fleet.mixed) == 0
    assert fleet.share_gone_on >= MIN_SHARE


def test_a_stream_taken_up_right_after_its_first_event_stays_at_its_version(fleets):
    """Guards against a take-up that overtakes the record of the stream's version."""
    fleet = StreamingFleet(9, THREE_VERSIONS)
    fleets.append(fleet)

    def play(stream: Stream, number: int) -> None:
        fleet.send(stream, number % 9, leave_after=1)
        fleet.take_up(stream, (number + 1 + number % 7) % 9, 5 * MILLISECOND)

    fleet.run(STREAMS, play)
    assert len(fleet.mixed) == 0
    assert fleet.share_gone_on >= MIN_SHARE


def test_a_stream_of_a_paused_gateway_stays_at_its_version(fleet):
    """Guards against versions that only the paused gateway knows."""

    def play(stream: Stream, number: int) -> None:
        fleet.send(stream, 0, give_up_after=500 * MILLISECOND)
        fleet.take_up(stream, 1 + number % 3, MILLISECOND)

    def pause() -> None:
        fleet.wait_until_begun(5)
        fleet.gateways[0].signal(STOP)
        sleep(4000 * MILLISECOND)
        fleet.gateways[0].signal(CONT)

    spawn(pause)
    fleet.run(STREAMS, play)
    assert len(fleet.taken_up) > STREAMS / 2
    assert len(fleet.mixed) == 0
    assert fleet.share_gone_on >= MIN_SHARE


def run_over_a_restart_of_all(fleet: StreamingFleet) -> None:
    """Have all gateways killed and started again while streams run."""
    is_back = Event()

    def play(stream: Stream, number: int) -> None:
        fleet.send(stream, number % 4)
        is_back.wait()
        fleet.take_up(stream, (number + 1) % 4, MILLISECOND)

    def restart() -> None:
        fleet.wait_until_begun(5)
        for gateway in fleet.gateways:
            gateway.signal(KILL)
        sleep(200 * MILLISECOND)
        for gateway in fleet.gateways:
            gateway.launch()
        for gateway in fleet.gateways:
            gateway.wait_until_ready()
        is_back.send()

    spawn(restart)
    fleet.run(STREAMS, play)
    assert len(fleet.taken_up) > STREAMS / 2


def test_streams_of_gateways_that_all_restart_are_not_mixed(fleet):
    """Guards against a version that is guessed where nobody knows it."""
    run_over_a_restart_of_all(fleet)
    assert len(fleet.mixed) == 0


def test_streams_of_gateways_that_all_restart_go_on_at_the_only_version(fleets):
    """Guards against streams that are lost where there was never another version."""
    fleet = StreamingFleet(4, ("v1",) * 4)
    fleets.append(fleet)
    run_over_a_restart_of_all(fleet)
    assert fleet.share_gone_on >= MIN_SHARE


def test_a_killed_gateways_streams_go_on_while_the_store_is_out(fleet):
    """Guards against take-ups that only the store could decide."""

    def play(stream: Stream, number: int) -> None:
        fleet.send(stream, 0)
        fleet.take_up(stream, 1 + number % 3, 40 * MILLISECOND)

    def kill() -> None:
        fleet.wait_until_begun(3)
        fleet.fleet.store.fault = Fault.SILENT
        fleet.wait_until_begun(5)
        fleet.gateways[0].signal(KILL)

    spawn(kill)
    fleet.run(STREAMS, play)
    fleet.fleet.store.fault = Fault.NONE
    assert len(fleet.mixed) == 0
    assert fleet.share_gone_on >= MIN_SHARE


def test_a_stream_whose_version_is_gone_is_rejected_at_once(fleet):
    """Guards against streams that go on, or wait, where nothing may run them."""

    def play(stream: Stream, number: int) -> None:
        fleet.send(stream, number % 4, leave_after=5)
        sleep(1000 * MILLISECOND)
        fleet.take_up(stream, (number + 1) % 4, MILLISECOND)

    def remove() -> None:
        sleep(9 * EVENT_TIME)
        for engine in fleet.engines[:2]:
            engine.end()

    spawn(remove)
    fleet.run(STREAMS, play)
    assert len(fleet.mixed) == 0
    rejected = [
        stream.attempts[-1] for stream in fleet.taken_up if "v1" in stream.versions
    ]
    assert rejected
    assert {attempt.status for attempt in rejected} == {503}
    assert all(attempt.has_retry_after for attempt in rejected)
    assert max(attempt.took for attempt in rejected) < AT_ONCE


def test_a_stream_taken_up_three_times_stays_at_its_version(fleet):
    """Guards against a record that is only found under the last attempt's id."""

    def play(stream: Stream, number: int) -> None:
        for turn in range(3):
            fleet.send(stream, (number + turn) % 4, leave_after=3 + 3 * turn)
            sleep(30 * MILLISECOND)
        fleet.take_up(stream, (number + 3) % 4, MILLISECOND)

    fleet.run(STREAMS, play)
    assert len(fleet.mixed) == 0
    assert sum(stream.is_complete for stream in fleet.streams) >= STREAMS * MIN_SHARE


def test_an_engine_that_returns_as_another_version_resumes_no_stream(fleet):
    """Guards against what was known of an engine before it restarted."""

    def play(stream: Stream, number: int) -> None:
        sleep(number % 5 * EVENT_TIME)
        fleet.send(stream, number % 4)
        fleet.take_up(stream, (number + 1) % 4, 20 * MILLISECOND)

    def crash() -> None:
        sleep(5 * EVENT_TIME)
        fleet.engines[0].crash_into("v2")
        sleep(EVENT_TIME)
        fleet.engines[2].crash_into("v1")

    spawn(crash)
    fleet.run(STREAMS, play)
    assert len(fleet.mixed) == 0
