"""Responses without a length or chunks, which end with their connection."""

import pytest

from sassafrasdale.http.connections import ConnectionPool, ProbeResult
from standins.gateway_fleet import status_of
from tests.gateway.test_exchange import STREAM, body_of, only_reports
from tests.gateway.world import CrashingEndpoint, World, event, request
from tests.platform.documents import configuration

ENDED = b"0\r\n\r\n"


def unframed(*, crashes: bool, events: int) -> CrashingEndpoint:
    return CrashingEndpoint(lambda: crashes, events, framed=False)


def events_until(last: int) -> bytes:
    return b"".join(event(number) for number in range(1, last + 1))


def test_a_whole_stream_is_relayed_whole():
    world = World(routes=only_reports())
    world.add("i-1", "models", unframed(crashes=False, events=3))
    response = world.ask(request("/reports/7", **STREAM))
    assert body_of(response) == events_until(3)
    assert response.endswith(ENDED)


def test_a_stream_goes_on_elsewhere_if_its_engine_has_crashed():
    """Guards against a stream that ends early between two events and looks whole."""
    world = World(routes=only_reports())
    crashes = iter([True, False])
    for number in range(2):
        endpoint = CrashingEndpoint(lambda: next(crashes), 4, framed=False)
        world.add(f"i-{number}", "models", endpoint)
    response = world.ask(request("/reports/7", **STREAM))
    assert body_of(response) == events_until(8)
    assert response.endswith(ENDED)


def test_a_stream_that_cannot_be_resumed_is_aborted_if_its_engine_has_crashed():
    """Guards against a clean end of a stream that was broken off."""
    world = World(routes=only_reports(allowResume=False))
    world.add("i-1", "models", unframed(crashes=True, events=4))
    response = world.ask(request("/reports/7", **STREAM))
    assert events_until(4) == body_of(response)
    assert not response.endswith(ENDED)


def test_a_crash_soon_after_a_whole_stream_is_noticed():
    """Guards against the last check of an endpoint that is taken for this one's."""
    world = World(routes=only_reports(allowResume=False))
    crashes = iter([False, True])
    endpoint = CrashingEndpoint(lambda: next(crashes), 4, framed=False)
    world.add("i-1", "models", endpoint)
    assert world.ask(request("/reports/7", **STREAM)).endswith(ENDED)
    broken_off = world.ask(request("/reports/8", "r-2", **STREAM))
    assert not broken_off.endswith(ENDED)
    assert world.quarantine.describe()


@pytest.mark.parametrize("events", [0, 4])
def test_a_crash_is_a_strike_and_not_a_success(events):
    """Guards against an answer that was broken off and clears strikes."""
    world = World(routes=only_reports(allowResume=False))
    world.add("i-1", "models", unframed(crashes=True, events=events))
    world.ask(request("/reports/7", **STREAM))
    found = {row["fingerprint"] for row in world.quarantine.describe()}
    assert "part-aa" in found
    assert len(found) == 2


def test_a_plain_answer_is_withheld_if_its_endpoint_has_crashed():
    """Guards against part of a body that is passed on as the whole."""
    world = World()
    world.add("i-1", "records", unframed(crashes=True, events=1))
    response = world.ask(request("/certificates/7"))
    assert status_of(response) == 502


def test_an_idempotent_request_is_sent_again_if_its_endpoint_has_crashed():
    world = World(routes=configuration()["routes"])
    world.add("i-1", "records", unframed(crashes=True, events=1))
    world.add("i-2", "records", unframed(crashes=False, events=1))
    for number in range(3):
        response = world.ask(request("/reports/open/7", f"r-{number}"))
        assert status_of(response) == 200
        assert event(1) in response


@pytest.mark.parametrize(
    "results",
    [
        (ProbeResult.UNANSWERED,),
        (ProbeResult.OPEN, ProbeResult.REFUSED),
        (ProbeResult.OPEN, ProbeResult.UNANSWERED),
    ],
)
def test_a_stream_is_not_whole_unless_its_engine_still_serves(monkeypatch, results):
    """Guards against a crash whose sockets are closed one after the other.

    The stream ends between two events a moment before the engine's listener is closed,
    or the probe that should show the crash gets no reply.
    """
    world = World(routes=only_reports(allowResume=False))
    world.add("i-1", "models", unframed(crashes=False, events=4))
    probes = iter(results)
    monkeypatch.setattr(
        ConnectionPool, "probe", lambda pool: next(probes, ProbeResult.REFUSED)
    )
    assert not world.ask(request("/reports/7", **STREAM)).endswith(ENDED)
