"""Fetches of requests that are being handed over from one entry to another."""

from random import Random
from types import SimpleNamespace

import pytest

from sassafrasdale.callers.app import CallerApp
from sassafrasdale.callers.messages import HttpRequest, HttpResponse
from sassafrasdale.callers.relays import RELAYED
from sassafrasdale.clock import ManualClock
from sassafrasdale.endpoints.engines import DONE
from sassafrasdale.requests.placement import Progress
from sassafrasdale.requests.registry import Registry
from tests.requests.fakes import LAST, Choices, generation, token

PEER_RESPONSE = HttpResponse(200, (), b"of a peer")


def _fetch(relay, registry, **headers):
    app = CallerApp(
        current=SimpleNamespace(text=SimpleNamespace(customers={"labs"})),
        dispatcher=SimpleNamespace(registry=registry),
        is_ready=lambda: True,
        accepts_requests=lambda: True,
        relay=relay,
        metrics=None,
        clock=ManualClock(),
        rng=Random(1),
    )
    path = "/v1/requests/id-1"
    request = HttpRequest("GET", path, path, {}, {"x-customer": "labs", **headers}, b"")
    return app.fetch(request, "id-1")


@pytest.fixture
def registry():
    return Registry(ManualClock())


def test_request_is_received_while_a_peer_is_queried(registry):
    """A caller got a 404 although some entry held its request at all times.

    It asked the entry that was about to receive the request. That entry asked the
    sender of the hand-over, which had just dropped the request, and didn't search
    its own requests again.
    """

    def relay(request, request_id):
        progress = Progress([token("a"), LAST, DONE], None, None, sent=True)
        received = generation(Choices(), progress=progress)
        registry.add(received)
        received.run()
        return

    response = _fetch(relay, registry)
    assert response.status == 200
    assert b"".join(response.body).count(b"id: ") == 3


def test_request_is_handed_over_between_two_peers(registry):
    """As above, but the receiver is asked too early, and the sender too late."""
    responses = [None, PEER_RESPONSE]
    assert _fetch(lambda *_: responses.pop(0), registry) is PEER_RESPONSE


def test_request_that_no_entry_holds(registry):
    response = _fetch(lambda *_: None, registry)
    assert (response.status, dict(response.headers)["X-Outcome"]) == (404, "unknown")


def test_relayed_fetch_is_not_retried(registry):
    relayed = []
    _fetch(lambda *each: relayed.append(each), registry, **{RELAYED.lower(): "1"})
    assert len(relayed) == 1
