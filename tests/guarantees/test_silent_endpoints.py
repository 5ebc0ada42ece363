"""Endpoints that fall silent for a while and go on lose no stream."""

from collections.abc import Iterator
from datetime import timedelta
from itertools import cycle
from math import ceil

import pytest

from sassafrasdale.green import sleep, spawn
from tests.guarantees.gateway_fleets import unlimited_configuration
from tests.guarantees.resuming_callers import Stream, StreamingFleet

SECOND = timedelta(seconds=1)
STREAMS = 60
SEND_INTERVAL = timedelta(milliseconds=50)
# A configuration is put in force this long before endpoints fall silent.
CHANGE_LEAD = timedelta(milliseconds=100)
# When most streams are in flight.
FIRST_STALL = timedelta(seconds=1.3)
STALL_INTERVAL = timedelta(seconds=2.6)


@pytest.fixture
def fleet() -> Iterator[StreamingFleet]:
    """Return four gateways before six engines of one version."""
    fleet = StreamingFleet(4, ("v1",) * 6)
    yield fleet
    fleet.close()


def change_configuration(fleet: StreamingFleet, version: int, what: str) -> None:
    """Put a configuration in force that differs in one respect."""
    changed = unlimited_configuration(version=version)
    match what:
        case "idle":
            changed["limits"]["idleTimeoutMs"] -= 100 * version
        case "timeout":
            for route in changed["routes"]:
                route["timeoutMs"] += 10 * version
        case "route":
            added = {**changed["routes"][0], "name": "r-added", "prefix": "/added/"}
            changed["routes"].append(added)
        case _:
            return
    fleet.fleet.store.put("op/config", changed)


def play(
    fleet: StreamingFleet,
    stalls: list[tuple[float, float]],
    change: str,
) -> None:
    """Have callers send streams while engines stall.

    :param stalls: seconds and share of the engines, for stalls that follow each other.
    :param change: what the configuration changes before each; empty for none.
    """
    gateways = cycle(range(len(fleet.gateways)))

    def disrupt() -> None:
        sleep(FIRST_STALL - CHANGE_LEAD)
        for number, (seconds, share) in enumerate(stalls):
            change_configuration(fleet, 8 + number, change)
            sleep(CHANGE_LEAD)
            for engine in fleet.engines[: ceil(share * len(fleet.engines))]:
                engine.pause(seconds * SECOND)
            sleep(STALL_INTERVAL - CHANGE_LEAD)

    def send(stream: Stream, number: int) -> None:
        sleep(SEND_INTERVAL * number)
        fleet.send(stream, next(gateways))

    spawn(disrupt)
    fleet.run(STREAMS * len(stalls), send)


def incomplete(fleet: StreamingFleet) -> list[Stream]:
    """Return the streams whose callers did not get all events in one response."""
    return [stream for stream in fleet.streams if not stream.is_complete]


@pytest.mark.parametrize("change", ["", "idle"])
def test_a_stall_of_all_engines_breaks_no_stream_off(fleet, change):
    """Guards against sound runs that are abandoned before others can replace them."""
    play(fleet, [(1.3, 1.0)], change)
    assert not incomplete(fleet)


def test_stalls_in_a_row_break_no_stream_off(fleet):
    """Guards against retries that are spent in one stall and missing in the next."""
    play(fleet, [(1.3, 1.0), (1.1, 0.6), (1.4, 1.0)], "route")
    assert not incomplete(fleet)


def test_a_long_stall_of_all_engines_breaks_no_stream_off(fleet):
    """Guards against streams that are given up while no engine could resume them."""
    play(fleet, [(2.5, 1.0)], "timeout")
    assert not incomplete(fleet)


def test_one_engine_s_long_stall_moves_its_streams(fleet):
    """Guards against callers that wait for a silent engine while others respond."""
    play(fleet, [(3.5, 1 / 6)], "")
    assert not incomplete(fleet)
    assert max(stream.longest_gap for stream in fleet.streams) < 2.5 * SECOND
