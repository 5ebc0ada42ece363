"""What engines are asked."""

import json
from datetime import timedelta

import pytest

from sassafrasdale.endpoints.engines import FromPrompt, Recompute, open_stream
from tests.requests.fakes import FakeAdapter


@pytest.mark.parametrize("start", [FromPrompt(), Recompute(1, "own")])
def test_a_caller_can_not_name_a_cache(start):
    """A caller makes an engine fetch from an address of the caller's choice.

    Fields that this system does not know go on to the engine, and among them
    were those by which it tells engines where to fetch a KV cache.
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
