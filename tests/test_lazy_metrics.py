"""Metrics that are recorded before the metrics library is imported."""

from datetime import timedelta

from sassafrasdale.lazy_metrics import MAX_BUFFERED_DURATIONS, LazyMetrics
from sassafrasdale.metrics import Metrics

SECOND = timedelta(seconds=1)


def record_requests(metrics):
    metrics.request_began("models")
    metrics.request_began("models")
    metrics.request_ended("models", "answered", SECOND)
    metrics.count("request", outcome="answered", status="200")
    metrics.count("request", outcome="answered", status="200")


def test_the_page_equals_that_of_directly_recorded_metrics():
    lazy = LazyMetrics("front-a-1", "a")
    direct = Metrics("front-a-1", "a")
    record_requests(lazy)
    record_requests(direct)
    assert lazy.metrics_page() == direct.metrics_page()
    record_requests(lazy)
    record_requests(direct)
    assert lazy.metrics_page() == direct.metrics_page()
    assert lazy.content_type == direct.content_type


def test_the_buffer_before_the_first_scrape_is_bounded():
    """Guards against unbounded memory growth of a gateway without scrapes."""
    lazy = LazyMetrics("front-a-1", "a")
    for _ in range(MAX_BUFFERED_DURATIONS + 500):
        lazy.request_began("models")
        lazy.request_ended("models", "answered", SECOND)
    assert len(lazy._ended) == MAX_BUFFERED_DURATIONS
    assert (
        f'_count{{outcome="answered",service="models"}} {MAX_BUFFERED_DURATIONS}'
        in (lazy.metrics_page().decode())
    )
