"""Which requests have the same fingerprint."""

import pytest

from sassafrasdale.gateway.quarantine.fingerprints import fingerprint_of
from sassafrasdale.http.messages import Request

HEADERS = (("host", "labs.example"), ("request-id", "r-1"), ("deadline-ms", "900"))
FIRST = Request("POST", "/reports/7", HEADERS, b"cube 7")


def test_a_retry_has_the_same_fingerprint():
    headers = (("host", "labs.example"), ("request-id", "r-2"), ("deadline-ms", "400"))
    again = Request("POST", "/reports/7", headers, b"cube 7")
    assert fingerprint_of(again, "lab-a") == fingerprint_of(FIRST, "lab-a")


@pytest.mark.parametrize(
    ("request_", "customer"),
    [
        (Request("PUT", "/reports/7", HEADERS, b"cube 7"), "lab-a"),
        (Request("POST", "/reports/8", HEADERS, b"cube 7"), "lab-a"),
        (Request("POST", "/reports/7", HEADERS, b"cube 8"), "lab-a"),
        (Request("POST", "/reports/7", (("host", "b"),), b"cube 7"), "lab-a"),
        (FIRST, "lab-b"),
        (FIRST, ""),
        (Request("POST", "/reports/7c", HEADERS, b"ube 7"), "lab-a"),
    ],
)
def test_different_requests_have_different_fingerprints(request_, customer):
    assert fingerprint_of(request_, customer) != fingerprint_of(FIRST, "lab-a")
