"""Encoding of rollout orders and statuses in the platform's store."""

import json
from datetime import timedelta

import pytest

from sassafrasdale.decisions.rollouts import (
    RolloutOrder,
    RolloutState,
    RolloutStatus,
)
from sassafrasdale.platform.exceptions import ValueMalformed
from sassafrasdale.platform.rollouts import (
    decode_order,
    decode_status,
    encode_status,
    order_key,
    status_key,
)

ORDER = {"service": "models", "target": "v2", "overS": 12}


def decoded(**changed):
    value = json.dumps(ORDER | changed).encode()
    return decode_order(order_key("models"), value)


def test_an_order():
    expected = RolloutOrder("models", "v2", timedelta(seconds=12))
    assert decoded() == expected
    assert decoded(somethingNew=1) == expected


@pytest.mark.parametrize(
    "changed",
    [
        {"service": "records"},
        {"service": ""},
        {"target": ""},
        {"target": 2},
        {"overS": 0},
        {"overS": "12"},
        {"overS": 1e300},
    ],
)
def test_a_malformed_order_is_rejected(changed):
    with pytest.raises(ValueMalformed):
        decoded(**changed)


@pytest.mark.parametrize("value", [b"", b"\xff", b"[]", b"null"])
def test_bytes_of_another_format_are_rejected(value):
    with pytest.raises(ValueMalformed):
        decode_order(order_key("models"), value)


@pytest.mark.parametrize("state", RolloutState)
def test_a_status_round_trip(state):
    status = RolloutStatus("models", "v2", state)
    assert decode_status(status_key("models"), encode_status(status)) == status


def test_the_format_of_a_status():
    status = RolloutStatus("models", "v2", RolloutState.ROLLED_BACK)
    document = json.loads(encode_status(status))
    assert document == {"state": "rolled_back", "target": "v2"}


def test_a_malformed_status_is_rejected():
    with pytest.raises(ValueMalformed):
        decode_status(status_key("models"), b'{"state": "done", "target": "v2"}')
