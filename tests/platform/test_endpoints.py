"""Decoding of endpoint registrations, from endpoints and from other writers."""

import json

import pytest

from sassafrasdale.deployment import EndpointState
from sassafrasdale.platform.endpoints import decode_endpoint
from sassafrasdale.platform.exceptions import ValueMalformed

REGISTRATION = {
    "service": "records",
    "addr": "10.1.0.4:8080",
    "zone": "a",
    "slots": 6,
    "state": "ready",
}


def decode(**changed):
    return decode_endpoint("servers/i-1", json.dumps(REGISTRATION | changed).encode())


def test_a_registration():
    endpoint = decode(spot=True, born=1_790_000_000_000, calls=4, version="v2")
    assert endpoint.name == "i-1"
    assert endpoint.state is EndpointState.READY
    assert endpoint.reclaimable
    assert endpoint.born == 1_790_000_000_000
    assert endpoint.version == "v2"


def test_a_registration_without_a_start_time():
    assert decode().born is None


@pytest.mark.parametrize(
    "changed",
    [
        {"slots": "6"},
        {"slots": 0},
        {"slots": -3},
        {"slots": 10**12},
        {"slots": 1.5},
        {"slots": True},
        {"state": "starting"},
        {"state": None},
        {"service": ""},
        {"service": 7},
        {"zone": ["a"]},
        {"addr": "nowhere"},
        {"addr": {"ip": "10.1.0.4"}},
        {"spot": "yes"},
        {"born": "now"},
        {"born": -1},
        {"version": 2},
    ],
    ids=str,
)
def test_a_malformed_field_is_rejected(changed):
    """Guards against requests to an address that no endpoint registered.

    Another program writes below the same prefix. Its fields have the same names, and
    values that no endpoint writes.
    """
    with pytest.raises(ValueMalformed):
        decode(**changed)


@pytest.mark.parametrize("missing", ["service", "addr", "zone", "state"])
def test_a_missing_field_is_rejected(missing):
    registration = {
        name: value for name, value in REGISTRATION.items() if name != missing
    }
    with pytest.raises(ValueMalformed):
        decode_endpoint("servers/i-1", json.dumps(registration).encode())


@pytest.mark.parametrize("value", [b"", b"\xff\xfe", b"[]", b"7", b"{", b"null"])
def test_bytes_of_another_format_are_rejected(value):
    with pytest.raises(ValueMalformed):
        decode_endpoint("servers/i-1", value)
