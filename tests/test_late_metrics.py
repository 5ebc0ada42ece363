"""Metrics that are gathered before the library for them is loaded."""

from datetime import timedelta

from sassafrasdale.late_metrics import KEPT_TIMES, LateMetrics
from sassafrasdale.metrics import Metrics

SECOND = timedelta(seconds=1)


def gather(metrics):
    metrics.request_began("models")
    metrics.request_began("models")
    metrics.request_ended("models", "answered", SECOND)
    metrics.count("request", outcome="answered", status="200")
    metrics.count("request", outcome="answered", status="200")


def test_the_page_is_the_one_of_metrics_that_were_there_from_the_start():
    late = LateMetrics("front-a-1", "a")
    early = Metrics("front-a-1", "a")
    gather(late)
    gather(early)
    assert late.metrics_page() == early.metrics_page()
    gather(late)
    gather(early)
    assert late.metrics_page() == early.metrics_page()
    assert late.content_type == early.content_type


def test_what_waits_for_the_first_page_is_bounded():
    """A gateway that is never asked would grow until it is killed."""
    late = LateMetrics("front-a-1", "a")
    for _ in range(KEPT_TIMES + 500):
        late.request_began("models")
        late.request_ended("models", "answered", SECOND)
    assert len(late._ended) == KEPT_TIMES
    assert f'_count{{outcome="answered",service="models"}} {KEPT_TIMES}' in (
        late.metrics_page().decode()
    )
