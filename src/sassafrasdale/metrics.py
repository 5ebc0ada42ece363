"""Metrics: OpenTelemetry instruments and the Prometheus scrape page.

The page is served by the HTTP server of the entry or gateway; the exporter's server is
not used.
"""

from datetime import timedelta

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Meter, Observation
from opentelemetry.sdk.metrics import AlwaysOffExemplarFilter, MeterProvider
from opentelemetry.sdk.metrics.view import ExplicitBucketHistogramAggregation, View
from opentelemetry.sdk.resources import Resource
from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.exposition import CONTENT_TYPE_LATEST

LATENCY = "sassafrasdale.request.duration"
LATENCY_BOUNDS = (
    0.001,
    0.0025,
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    5.0,
    10.0,
    30.0,
    60.0,
)


class Series:
    """Values by labels, read by an observable instrument at each scrape.

    Calling an instrument for each request costs ten times as much as updating this
    dictionary and letting the instrument read it at the scrape.
    """

    def __init__(self) -> None:
        self._values: dict[tuple[tuple[str, str], ...], int] = {}

    def add(self, count: int, **labels: str) -> None:
        """Add to the value with ``labels``."""
        key = tuple(labels.items())
        self._values[key] = self._values.get(key, 0) + count

    def set(self, value: int, **labels: str) -> None:
        """Replace the value with ``labels``."""
        self._values[tuple(labels.items())] = value

    def observe(self, _options: CallbackOptions) -> list[Observation]:
        """Return all values; the callback of an observable instrument."""
        return [Observation(value, dict(key)) for key, value in self._values.items()]


def _counter(meter: Meter, name: str, description: str) -> Series:
    series = Series()
    meter.create_observable_counter(
        f"sassafrasdale.{name}", [series.observe], description=description
    )
    return series


def _gauge(meter: Meter, name: str, description: str) -> Series:
    series = Series()
    meter.create_observable_gauge(
        f"sassafrasdale.{name}", [series.observe], description=description
    )
    return series


class Metrics:
    """Metrics of one entry or gateway.

    Labels are services, zones and outcomes, never customers or request ids: the size
    of the page must not depend on the number of callers.

    Usage::

        metrics = Metrics("entry-1", "cairo-a")
        metrics.request_ended("reports", "answered", timedelta(seconds=2))
        page = metrics.metrics_page()

    :param entry: name of the entry or gateway.
    :param availability_zone: its availability zone.
    """

    content_type = CONTENT_TYPE_LATEST

    def __init__(self, entry: str, availability_zone: str) -> None:
        self._registry = CollectorRegistry()
        reader = PrometheusMetricReader(
            registry=self._registry, scope_info_enabled=False
        )
        view = View(
            instrument_name=LATENCY,
            aggregation=ExplicitBucketHistogramAggregation(LATENCY_BOUNDS),
        )
        resource = Resource(
            {
                "service.name": "sassafrasdale",
                "service.instance.id": entry,
                "cloud.availability_zone": availability_zone,
            }
        )
        self._provider = MeterProvider(
            metric_readers=[reader],
            resource=resource,
            views=[view],
            shutdown_on_exit=False,
            exemplar_filter=AlwaysOffExemplarFilter(),
        )
        meter = self._provider.get_meter("sassafrasdale")
        self._latency = meter.create_histogram(
            LATENCY, unit="s", description="Time from a request to its whole answer."
        )
        self._requests = _counter(meter, "requests", "Requests that ended.")
        self._recomputed = _counter(
            meter, "endpoint.recomputed_tokens", "Tokens computed a second time."
        )
        self._claims = _counter(meter, "claims", "Claims of non-idempotent requests.")
        self._handovers = _counter(meter, "handovers", "Hand-overs between entries.")
        self._sheds = _counter(meter, "sheds", "Requests refused before they began.")
        self._retries = _counter(meter, "retries", "Requests sent to another endpoint.")
        self._events = _counter(meter, "events", "Events of a gateway by name.")
        self._in_flight = _gauge(meter, "requests.in_flight", "Requests in flight.")
        self._peers = _gauge(meter, "peers", "Peers by state.")
        self._revision = _gauge(meter, "text.revision", "Revision in force.")

    def request_began(self, service: str) -> None:
        """Count a request as in flight."""
        self._in_flight.add(1, service=service)

    def request_ended(self, service: str, outcome: str, latency: timedelta) -> None:
        """Count the end of a request, and record its duration."""
        self._in_flight.add(-1, service=service)
        self._requests.add(1, service=service, outcome=outcome)
        self._latency.record(
            latency.total_seconds(), {"service": service, "outcome": outcome}
        )

    def tokens_recomputed(self, service: str, count: int) -> None:
        """Count tokens that an endpoint recomputed."""
        self._recomputed.add(count, service=service)

    def claim_ended(self, service: str, outcome: str) -> None:
        """Count a claim by its outcome."""
        self._claims.add(1, service=service, outcome=outcome)

    def handover_ended(self, outcome: str) -> None:
        """Count a hand-over by its outcome."""
        self._handovers.add(1, outcome=outcome)

    def request_shed(self, service: str, reason: str) -> None:
        """Count a request that was shed before it started."""
        self._sheds.add(1, service=service, reason=reason)

    def request_retried(self, service: str) -> None:
        """Count a request that was sent to another endpoint."""
        self._retries.add(1, service=service)

    def set_peers(self, state: str, count: int) -> None:
        """Set the number of peers in a state."""
        self._peers.set(count, state=state)

    def set_revision(self, revision: int) -> None:
        """Set the configuration revision in force."""
        self._revision.set(revision)

    def count(self, name: str, **labels: str) -> None:
        """Count an event of a gateway by its name and labels."""
        self._events.add(1, event=name, **labels)

    def metrics_page(self) -> bytes:
        """Return the scrape page; its content type is :attr:`content_type`."""
        return generate_latest(self._registry)

    def close(self) -> None:
        """Shut the meter provider down."""
        self._provider.shutdown()
