"""HTTP headers between callers, gateways and endpoints."""

from dataclasses import replace
from datetime import timedelta

import pytest

from sassafrasdale.deployment import PromptPart
from sassafrasdale.http.messages import Request, ResponseHead
from sassafrasdale.platform.exceptions import ValueMalformed
from sassafrasdale.platform.headers import (
    EndpointHeaders,
    caller_headers,
    endpoint_request,
    is_signed,
    read_traits,
    states_not_run,
)
from sassafrasdale.structures import Address

ORDER = EndpointHeaders("i-1", "lab-a", timedelta(milliseconds=750))


def request(**headers: str) -> Request:
    named = tuple((name.replace("_", "-"), value) for name, value in headers.items())
    return Request("POST", "/a/?q=1", named, b"body")


def test_traits():
    traits = read_traits(
        request(
            request_id="9c",
            api_key="k",
            deadline_ms="6000",
            last_event_id="12",
            token_count="1460,80",
            prompt_prefix="5c1e:800, 91bd:410,e440:250",
        )
    )
    assert traits.request_id == "9c"
    assert traits.deadline == timedelta(seconds=6)
    assert traits.resume_after == 12
    assert (traits.prompt_tokens, traits.output_tokens) == (1460, 80)
    assert traits.parts[1] == PromptPart("91bd", 410)


def test_traits_without_headers():
    traits = read_traits(request())
    assert traits.deadline is None
    assert traits.prompt_tokens is None
    assert traits.parts == ()


@pytest.mark.parametrize(
    "headers",
    [
        {"deadline_ms": "soon"},
        {"deadline_ms": "9" * 40},
        {"token_count": "12"},
        {"token_count": "-1,2"},
        {"prompt_prefix": "5c1e"},
    ],
)
def test_malformed_headers(headers):
    with pytest.raises(ValueMalformed):
        read_traits(request(**headers))


def test_gateway_headers_of_callers_are_replaced():
    """Guards against a caller that chooses its own endpoint, customer or priority.

    It sends the headers that the gateway sets for endpoints. None of its values may
    reach an endpoint, nor may its API key.
    """
    forged = request(
        request_id="9c",
        api_key="secret",
        tenant="other",
        expect_replica="i-9",
        expect_version="3",
        request_priority="0",
        kv_hold="h",
        kv_from="1.2.3.4:5/h",
        kv_backup="1.2.3.4:5",
        kv_fetch="1.2.3.4:5",
        pin_ms="4000",
        deadline_ms="60000",
        last_event_id="4",
        model="m",
    )
    sent = endpoint_request(forged, ORDER)
    assert dict(sent.headers) == {
        "request-id": "9c",
        "model": "m",
        "deadline-ms": "750",
        "expect-replica": "i-1",
        "tenant": "lab-a",
    }
    assert (sent.method, sent.target, sent.body) == ("POST", "/a/?q=1", b"body")


def test_hop_by_hop_headers_are_dropped():
    sent = endpoint_request(
        request(
            connection="close, x-hop, request-id", x_hop="1", te="t", request_id="9"
        ),
        ORDER,
    )
    names = [name for name, _ in sent.headers]
    assert "x-hop" not in names
    assert "connection" not in names
    assert "te" not in names
    assert "request-id" in names


def test_an_endpoints_headers_are_forwarded_to_the_caller():
    head = ResponseHead(
        200,
        (
            ("replica-stamp", "s"),
            ("content-length", "3"),
            ("connection", "close"),
            ("keep-alive", "timeout=5"),
            ("x-own", "1"),
        ),
    )
    assert caller_headers(head) == (("replica-stamp", "s"), ("x-own", "1"))
    assert is_signed(head)


@pytest.mark.parametrize(
    ("head", "expected"),
    [
        (ResponseHead(503, (("not-run", "1"),)), True),
        (ResponseHead(421), True),
        (ResponseHead(503), False),
        (ResponseHead(500), False),
    ],
)
def test_not_run_requires_a_statement_of_the_endpoint(head, expected):
    assert states_not_run(head) is expected


def test_an_engine_gets_the_address_to_fetch_a_prompt_from():
    order = replace(ORDER, fetch_from=Address("10.1.0.4", 80))
    sent = endpoint_request(Request("POST", "/"), order)
    assert sent.header("kv-fetch") == "10.1.0.4:80"
