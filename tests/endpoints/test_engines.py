"""Tests of the requests to engines."""

import json
from datetime import timedelta

import pytest

from sassafrasdale.endpoints.engines import FromPrompt, Recompute, open_stream
from tests.requests.fakes import FakeAdapter


@pytest.mark.parametrize("start", [FromPrompt(), Recompute(1, "own")])
def test_a_caller_can_not_set_reserved_fields(start):
    """A caller makes an engine fetch from an address of the caller's choice.

    Unknown fields of the body are forwarded to the engine. They must not include those
    that tell an engine where to fetch a KV cache.
    """
    adapter = FakeAdapter([[]])
    body = {
        "model": "reports",
        "top_k": 3,
        "continue_from": 7,
        "continuation": "x",
        "kv_transfer_params": {"remote_address": "10.0.0.1:80", "kv_handle": "h"},
    }
    open_stream(adapter, "id-1", body, start, timedelta(seconds=1))
    sent = json.loads(adapter.requests[0].body)
    assert sent["top_k"] == 3
    assert "kv_transfer_params" not in sent
    assert sent.get("continuation", "own") == "own"
    assert sent.get("continue_from", 1) == 1
