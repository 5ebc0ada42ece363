"""Transfers of the store's values between gateways."""

import json
import random

import pytest

from sassafrasdale.gateway.peer_states import MessageMalformed, StoreValues, encode
from sassafrasdale.gateway.value_transfers import (
    ACCEPTS_CODING,
    USES_CODING,
    read_values,
    values_response,
)
from sassafrasdale.http.messages import Request, Response
from sassafrasdale.platform.configuration import CONFIGURATION_KEY
from tests.platform.documents import configuration

MEMBERS = 24
LINK_BYTES_PER_SECOND = 10_000_000 / 8
# A change must take effect within two seconds; half of it is left for everything else.
TRANSFER_SECONDS = 1.0
ROUTES = 1500
ACCEPTING = Request("GET", "/values/7/op/", (ACCEPTS_CODING,))
PLAIN = Request("GET", "/values/7/op/")
SHORT = StoreValues(9, 8, {"op/flag": b"on"}, {"op/flag": 8})


@pytest.fixture
def large() -> StoreValues:
    """Return a configuration of many routes with names that have nothing in common."""
    rng = random.Random(3)
    [route, *_] = configuration()["routes"]
    routes = [
        {
            **route,
            "name": f"r-{rng.getrandbits(40):x}",
            "host": f"{rng.getrandbits(24):x}.example",
            "prefix": f"/{rng.getrandbits(40):x}/",
        }
        for _ in range(ROUTES)
    ]
    value = json.dumps(configuration(routes=routes)).encode()
    return StoreValues(9, 9, {CONFIGURATION_KEY: value}, {CONFIGURATION_KEY: 9})


def test_a_zone_gets_a_large_configuration_over_one_link(large):
    """Guards against a change that takes longer to forward than it may to apply."""
    sent = MEMBERS * len(values_response(ACCEPTING, large).body)
    assert sent <= TRANSFER_SECONDS * LINK_BYTES_PER_SECOND


@pytest.mark.parametrize("request_", [ACCEPTING, PLAIN], ids=["compressed", "plain"])
def test_values_arrive_as_they_were(large, request_):
    for values in (large, SHORT):
        assert read_values(values_response(request_, values)) == values


def test_an_earlier_version_gets_plain_values(large):
    response = values_response(PLAIN, large)
    assert response == Response(200, body=encode(large))


def test_short_values_are_not_compressed():
    assert values_response(ACCEPTING, SHORT).headers == ()


def test_an_unknown_prefix():
    assert values_response(ACCEPTING, None).status == 404


@pytest.mark.parametrize("kept", [0, 40, -1], ids=["nothing", "a part", "all but one"])
def test_malformed_values_are_rejected(large, kept):
    body = values_response(ACCEPTING, large).body[:kept]
    with pytest.raises(MessageMalformed):
        read_values(Response(200, (USES_CODING,), body))


def test_values_that_are_not_compressed_are_rejected():
    with pytest.raises(MessageMalformed):
        read_values(Response(200, (USES_CODING,), b"plain"))
