"""Metrics that import the metrics library lazily.

The import takes 0.07 s of the 0.5 s until a gateway serves, and 4 MB of its 38 MB. So
the library is imported at the first scrape, and the values recorded until then are
replayed into it.
"""

from collections import Counter, deque
from datetime import timedelta
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sassafrasdale.metrics import Metrics

# Maximum number of request durations buffered until the first scrape; event counts need
# no limit. A gateway serves about ten requests per second, scraped every few seconds.
MAX_BUFFERED_DURATIONS = 10_000


class LazyMetrics:
    """Metrics of a gateway, buffered for :class:`~sassafrasdale.metrics.Metrics`.

    :param name: name of the gateway.
    :param availability_zone: availability zone of the gateway.
    """

    def __init__(self, name: str, availability_zone: str) -> None:
        self._name = name
        self._availability_zone = availability_zone
        self._metrics: Metrics | None = None
        self._began: Counter[str] = Counter()
        self._ended: deque[tuple[str, str, timedelta]] = deque(
            maxlen=MAX_BUFFERED_DURATIONS
        )
        self._events: Counter[tuple[str, tuple[tuple[str, str], ...]]] = Counter()

    @property
    def content_type(self) -> str:
        """Content type of the metrics page."""
        return self._load().content_type

    def request_began(self, service: str) -> None:
        """Count a request as in flight."""
        if self._metrics is not None:
            self._metrics.request_began(service)
        else:
            self._began[service] += 1

    def request_ended(self, service: str, outcome: str, took: timedelta) -> None:
        """Count the end of a request, and record its duration."""
        if self._metrics is not None:
            self._metrics.request_ended(service, outcome, took)
            return
        if len(self._ended) == MAX_BUFFERED_DURATIONS:
            self._began[self._ended[0][0]] -= 1
        self._ended.append((service, outcome, took))

    def count(self, name: str, **labels: str) -> None:
        """Count an event of a gateway."""
        if self._metrics is not None:
            self._metrics.count(name, **labels)
        else:
            self._events[name, tuple(labels.items())] += 1

    def metrics_page(self) -> bytes:
        """Return the metrics page; its type is :attr:`content_type`."""
        return self._load().metrics_page()

    def _load(self) -> "Metrics":
        if self._metrics is not None:
            return self._metrics
        from sassafrasdale.metrics import Metrics

        metrics = Metrics(self._name, self._availability_zone)
        for service, count in self._began.items():
            for _ in range(count):
                metrics.request_began(service)
        for service, outcome, took in self._ended:
            metrics.request_ended(service, outcome, took)
        for (name, labels), count in self._events.items():
            for _ in range(count):
                metrics.count(name, **dict(labels))
        self._began.clear()
        self._ended.clear()
        self._events.clear()
        self._metrics = metrics
        return metrics
