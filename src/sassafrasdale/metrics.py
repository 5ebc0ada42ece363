"""The entry's metrics: OpenTelemetry instruments and the page that shows them.

The page is handed out by the entry's own HTTP server; the exporter's server
stays unused.
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
    """Values by labels that the scrape page reads when it is asked for.

    Calling an instrument for each request costs ten times as much as adding to a
    dictionary here and letting the instrument read it at the scrape.
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
        """Return all values, as an instrument's callback."""
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
    """Instruments of one entry.

    Labels are services, zones and outcomes, never customers or request ids: the
    page must stay small however many call.

    Usage::

        metrics = Metrics("entry-1", "cairo-a")
        metrics.request_ended("reports", "answered", timedelta(seconds=2))
        page = metrics.metrics_page()

    :param entry: name of the entry.
    :param availability_zone: where it runs.
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
        """Count a request that began earlier and its time."""
        self._in_flight.add(-1, service=service)
        self._requests.add(1, service=service, outcome=outcome)
        self._latency.record(
            latency.total_seconds(), {"service": service, "outcome": outcome}
        )

    def tokens_recomputed(self, service: str, count: int) -> None:
        """Count tokens that an endpoint computed a second time."""
        self._recomputed.add(count, service=service)

    def claim_ended(self, service: str, outcome: str) -> None:
        """Count a claim by what became of it."""
        self._claims.add(1, service=service, outcome=outcome)

    def handover_ended(self, outcome: str) -> None:
        """Count a hand-over by what became of it."""
        self._handovers.add(1, outcome=outcome)

    def request_shed(self, service: str, reason: str) -> None:
        """Count a request that was refused before it began."""
        self._sheds.add(1, service=service, reason=reason)

    def request_retried(self, service: str) -> None:
        """Count a request that was sent to another endpoint."""
        self._retries.add(1, service=service)

    def set_peers(self, state: str, count: int) -> None:
        """Show how many peers are in a state."""
        self._peers.set(count, state=state)

    def set_revision(self, revision: int) -> None:
        """Show the revision in force."""
        self._revision.set(revision)

    def count(self, name: str, **labels: str) -> None:
        """Count an event of a gateway; the page shows it as a labelled counter."""
        self._events.add(1, event=name, **labels)

    def metrics_page(self) -> bytes:
        """Return the scrape page; its type is :attr:`content_type`."""
        return generate_latest(self._registry)

    def close(self) -> None:
        """Release the reader."""
        self._provider.shutdown()
