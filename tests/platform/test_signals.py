"""What endpoints say of themselves in the headers of their responses."""

from datetime import timedelta

import pytest

from sassafrasdale.deployment import EndpointSignals
from sassafrasdale.http.messages import ResponseHead
from sassafrasdale.platform.signals import read_signals


def signals(*values: str, status: int = 200) -> EndpointSignals | None:
    headers = tuple(("server-limit", value) for value in values)
    return read_signals(ResponseHead(status, headers))


@pytest.mark.parametrize(
    ("value", "rate"),
    [("1", 1.0), ("2.5", 2.5), ("0", 0.0), ("0.33333333333333", 1 / 3)],
)
def test_a_limit_is_a_decimal_number(value: str, rate: float) -> None:
    assert signals(value).rate_limit == pytest.approx(rate)
    assert not signals(value).malformed


@pytest.mark.parametrize(
    "value", ["", "-1", "nan", "inf", "1e300", "9" * 400, "1,5", "two", "٣", "0x10"]
)
def test_a_malformed_limit_says_nothing(value: str) -> None:
    assert signals(value).rate_limit is None
    assert signals(value).malformed
    assert signals(value).has_malformed_limit


def test_of_two_limits_the_lower_counts() -> None:
    assert signals("5", "2").rate_limit == 2.0
    assert signals("junk", "2").rate_limit == 2.0


def test_another_endpoint_says_nothing_of_the_intended_one() -> None:
    assert signals("1", status=421) is None
    assert signals("1", status=503).rate_limit == 1.0


@pytest.mark.parametrize(
    ("value", "leaves", "malformed"),
    [
        ("1", True, 0),
        ("0", False, 0),
        ("", False, 1),
        ("yes", False, 1),
        ("2", False, 1),
    ],
)
def test_leaving_is_a_flag(value: str, leaves: bool, malformed: int) -> None:
    read = read_signals(ResponseHead(200, (("server-leaving", value),)))
    assert read.is_leaving is leaves
    assert len(read.malformed) == malformed
    assert not read.has_malformed_limit


@pytest.mark.parametrize(
    ("values", "status", "seconds", "malformed"),
    [
        (("3",), 503, 3, 0),
        (("1.5",), 503, 1.5, 0),
        (("2", "4"), 503, 4, 0),
        (("31536000",), 503, 31_536_000, 0),
        (("",), 503, None, 1),
        (("-3",), 503, None, 1),
        (("1e9",), 503, None, 1),
        (("Thu, 03 Dec 2026 16:00:00 GMT",), 503, None, 1),
        (("3",), 200, None, 0),
        (("3",), 429, None, 0),
    ],
)
def test_a_refusal_may_ask_for_backoff(values, status, seconds, malformed) -> None:
    headers = tuple(("retry-after", value) for value in values)
    read = read_signals(ResponseHead(status, headers))
    assert read.backoff == (None if seconds is None else timedelta(seconds=seconds))
    assert len(read.malformed) == malformed
