"""Size and processor time of the scrape page, by the number of services.

Usage::

    python -m bench.capacity telemetry
"""

import gzip
from datetime import timedelta

from bench.capacity.results import Panel, Row, fit_columns, plot, write
from bench.capacity.usage import own_cpu
from sassafrasdale.metrics import Metrics

SERVICE_COUNTS = (4, 16, 64, 256)
OUTCOMES = ("answered", "not-run", "unknown")
PAGES = 20
MILLISECONDS = 1000


def measure() -> None:
    """Measure every number of services and write the table and the plot."""
    rows = [_measure_services(count) for count in SERVICE_COUNTS]
    slopes = {
        f"{y} by services": fit_columns(rows, "services", y)
        for y in ("page_bytes", "page_gzip_bytes", "page_cpu_ms")
    }
    write("telemetry", {"pages": rows}, slopes, "python -m bench.capacity telemetry")
    panels = (
        Panel("services", ("page_bytes", "page_gzip_bytes"), "scrape page, bytes"),
        Panel("services", ("page_cpu_ms",), "processor time of a page, ms"),
    )
    plot("capacity-telemetry", rows, panels)


def _measure_services(count: int) -> Row:
    metrics = Metrics("entry-0", "zone-a")
    for number in range(count):
        service = f"service-{number}"
        metrics.request_began(service)
        for outcome in OUTCOMES:
            metrics.request_ended(service, outcome, timedelta(milliseconds=7))
        metrics.request_shed(service, "deadline")
        metrics.request_retried(service)
        metrics.tokens_recomputed(service, 5)
        metrics.claim_ended(service, "granted")
    cpu = own_cpu()
    for _ in range(PAGES):
        page = metrics.metrics_page()
    row: Row = {
        "services": count,
        "page_bytes": len(page),
        "page_gzip_bytes": len(gzip.compress(page)),
        "page_cpu_ms": (own_cpu() - cpu) / PAGES * MILLISECONDS,
    }
    metrics.close()
    print(row, flush=True)
    return row
