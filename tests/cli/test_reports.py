"""Tests of ``sassafrasdale status`` and ``sassafrasdale report burn``."""

import json

import pytest

from sassafrasdale.burn import WINDOWS, ServiceBurn, WindowCount, burns_to_json
from tests.cli.scripted import Response, json_response

STATUS = {
    "entry": "entry-1",
    "availability_zone": "cairo-a",
    "state": "ready",
    "revision": 7,
    "peers": [
        {
            "name": "entry-2",
            "availability_zone": "cairo-b",
            "state": "alive",
            "revision": 7,
        }
    ],
    "endpoints": [
        {
            "name": f"i-{number}",
            "service": "reports",
            "availability_zone": f"cairo-{'ab'[number % 2]}",
            "state": "ready",
            "in_flight": number,
        }
        for number in range(4)
    ],
    "requests_in_flight": {"generations": 5, "calls": 1},
    "something_new": True,
}


def burn_response(name: str, late: int) -> Response:
    windows = tuple(
        WindowCount(window, 100 * number, 100 * number - late)
        for number, window in enumerate(WINDOWS, start=1)
    )
    idle = tuple(WindowCount(window, 0, 0) for window in WINDOWS)
    burns = [
        ServiceBurn("reports", 0.95, windows),
        ServiceBurn("records", 0.99, idle),
    ]
    return json_response({"entry": name, "services": burns_to_json(burns)})


def burn_handler(name: str, late: int, peers: tuple[str, ...] = ()):
    def handle(request) -> Response:
        if request.path == "/admin/v1/burn":
            return burn_response(name, late)
        listed_peers = [{"name": "peer", "address": peer} for peer in peers]
        return json_response({**STATUS, "peers": listed_peers})

    return handle


def test_status_shows_what_an_entry_knows(run, entry, snapshot):
    first = entry(json_response(STATUS))

    result = run("status", "--entry", first.address)

    assert result.code == 0
    assert result.out == snapshot


def test_status_as_json(run, entry):
    first = entry(json_response(STATUS))

    result = run("status", "--json", "--entry", first.address)

    assert json.loads(result.out)["endpoints"] == STATUS["endpoints"]


@pytest.mark.parametrize(
    "response",
    [Response(200, "not JSON"), json_response([]), json_response({"entry": "x"})],
    ids=["not JSON", "a list", "fields missing"],
)
def test_response_that_is_not_understood_is_reported(run, entry, response):
    result = run("status", "--entry", entry(response).address)

    assert result.code == 4
    assert "is not understood" in result.err


def test_burn_sums_the_entries_and_their_peers(run, entry, unused_address, snapshot):
    peer = entry(burn_handler("entry-2", 20))
    first = entry(burn_handler("entry-1", 0, peers=(peer.address, unused_address)))

    result = run("report", "burn", "--entry", first.address)

    assert result.code == 0
    assert result.out == snapshot
    assert result.err == f"not reached, so not counted: {unused_address}\n"


def test_an_entry_given_twice_counts_once(run, entry):
    peer = entry(burn_handler("entry-1", 10))
    first = entry(burn_handler("entry-1", 10, peers=(peer.address,)))

    result = run("report", "burn", "--json", "--entry", first.address)

    document = json.loads(result.out)
    assert document["entries"] == ["entry-1"]
    reports = document["services"][1]
    assert reports["windows"][0] == {
        "seconds": 300,
        "total": 100,
        "in_time": 90,
        "burn_rate": 2.0,
    }


def test_burn_of_unreachable_entries(run, unused_address):
    result = run("report", "burn", "--entry", unused_address)

    assert (result.code, result.out) == (4, "")


def test_plot_is_written(run, entry, tmp_path):
    first = entry(burn_handler("entry-1", 10))
    name = tmp_path / "burn.svg"

    good = run("report", "burn", "--plot", str(name), "--entry", first.address)
    bad = run("report", "burn", "--plot", "burn.odd", "--entry", first.address)

    assert good.code == 0
    assert "<svg" in name.read_text(encoding="utf-8")
    assert (bad.code, bad.out) == (2, "")
