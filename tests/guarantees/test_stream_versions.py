"""A stream that has begun goes on only at the software version that began it."""

from collections.abc import Iterator
from datetime import timedelta

import pytest

from sassafrasdale.green import sleep, spawn
from standins.gateway_fleet import KILL
from tests.guarantees.resuming_callers import EVENT_TIME, Stream, StreamingFleet

MILLISECOND = timedelta(milliseconds=1)
STREAMS = 40
TWO_VERSIONS = ("v1", "v1", "v2", "v2")
# Of the streams that are taken up, at least this share of the new ones' share goes on.
MIN_SHARE = 0.5


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
        sleep(6 * EVENT_TIME)
        fleet.gateways[0].signal(KILL)

    spawn(kill)
    fleet.run(STREAMS, play)
    assert len(fleet.taken_up) > STREAMS / 2
    assert len(fleet.mixed) == 0
    assert fleet.share_gone_on >= MIN_SHARE
