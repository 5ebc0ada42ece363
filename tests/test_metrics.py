"""Tests of the scrape page."""

from datetime import timedelta

import pytest

from sassafrasdale.metrics import Metrics


@pytest.fixture
def metrics():
    metrics = Metrics("entry-1", "cairo-a")
    yield metrics
    metrics.close()


def test_page_contains_every_instrument(metrics):
    metrics.request_began("reports")
    metrics.request_ended("reports", "answered", timedelta(milliseconds=30))
    metrics.request_began("reports")
    metrics.tokens_recomputed("reports", 12)
    metrics.claim_ended("records", "granted")
    metrics.handover_ended("acknowledged")
    metrics.request_shed("reports", "overload")
    metrics.request_retried("reports")
    metrics.set_peers("alive", 3)
    metrics.set_revision(7)

    lines = metrics.metrics_page().decode().splitlines()

    for expected in (
        'sassafrasdale_requests_total{outcome="answered",service="reports"} 1.0',
        'sassafrasdale_request_duration_seconds_bucket{le="0.025",outcome="answered",'
        'service="reports"} 0.0',
        'sassafrasdale_request_duration_seconds_bucket{le="0.05",outcome="answered",'
        'service="reports"} 1.0',
        'sassafrasdale_endpoint_recomputed_tokens_total{service="reports"} 12.0',
        'sassafrasdale_claims_total{outcome="granted",service="records"} 1.0',
        'sassafrasdale_handovers_total{outcome="acknowledged"} 1.0',
        'sassafrasdale_sheds_total{reason="overload",service="reports"} 1.0',
        'sassafrasdale_retries_total{service="reports"} 1.0',
        'sassafrasdale_requests_in_flight{service="reports"} 1.0',
        'sassafrasdale_peers{state="alive"} 3.0',
        "sassafrasdale_text_revision 7.0",
    ):
        assert expected in lines
    target = next(line for line in lines if line.startswith("target_info{"))
    assert 'service_instance_id="entry-1"' in target


def test_two_entries_in_one_process_do_not_share_counts(metrics):
    other = Metrics("entry-2", "cairo-b")
    metrics.request_retried("reports")

    assert b"sassafrasdale_retries_total" not in other.metrics_page()
    other.close()
