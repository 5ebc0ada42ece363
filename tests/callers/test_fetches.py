"""Fetches of requests that move from one entry to another meanwhile."""

from random import Random
from types import SimpleNamespace

import pytest

from sassafrasdale.callers.app import CallerApp
from sassafrasdale.callers.messages import HttpAnswer, HttpRequest
from sassafrasdale.callers.relays import RELAYED
from sassafrasdale.clock import ManualClock
from sassafrasdale.endpoints.engines import DONE
from sassafrasdale.requests.placement import Progress
from sassafrasdale.requests.registry import Registry
from tests.requests.fakes import LAST, Choices, generation, token

ANSWER = HttpAnswer(200, (), b"of a peer")


def _fetch(relay, registry, **headers):
    app = CallerApp(
        current=SimpleNamespace(text=SimpleNamespace(customers={"labs"})),
        dispatcher=SimpleNamespace(registry=registry),
        is_ready=lambda: True,
        takes_work=lambda: True,
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


def test_the_request_comes_here_while_a_peer_is_asked(registry):
    """A caller is told 404 although its request is held all the time.

    It asks the entry that is about to take the request. That one asks the giver,
    which has just dropped it, and nobody looks at home again.
    """

    def relay(request, request_id):
        progress = Progress([token("a"), LAST, DONE], None, None, sent=True)
        taken = generation(Choices(), progress=progress)
        registry.add(taken)
        taken.run()
        return

    answer = _fetch(relay, registry)
    assert answer.status == 200
    assert b"".join(answer.body).count(b"id: ") == 3


def test_the_request_goes_from_peer_to_peer_meanwhile(registry):
    """As above, but the receiver is asked too early, and the giver too late."""
    answers = [None, ANSWER]
    assert _fetch(lambda *asked: answers.pop(0), registry) is ANSWER


def test_nobody_holds_it(registry):
    answer = _fetch(lambda *asked: None, registry)
    assert (answer.status, dict(answer.headers)["X-Outcome"]) == (404, "unknown")


def test_a_relayed_fetch_is_answered_at_once(registry):
    asked = []
    _fetch(lambda *each: asked.append(each), registry, **{RELAYED.lower(): "1"})
    assert len(asked) == 1
