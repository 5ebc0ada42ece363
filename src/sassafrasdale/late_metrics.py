"""Metrics that are gathered before the library for them is loaded.

The library takes 0.07 s of 0.5 s until a gateway serves, and 4 MB of 38 MB. So it is
loaded when the page is first asked for, and what was gathered until then goes into it.
"""

from collections import Counter, deque
from datetime import timedelta
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sassafrasdale.metrics import Metrics

# Times of requests that are kept until the page is first asked for; counts have no
# bound. A gateway answers some ten requests a second and is asked every few seconds.
KEPT_TIMES = 10_000


class LateMetrics:
    """Metrics of a gateway, as :class:`~sassafrasdale.metrics.Metrics` shows them.

    :param name: name of the gateway.
    :param availability_zone: where it runs.
    """

    def __init__(self, name: str, availability_zone: str) -> None:
        self._name = name
        self._availability_zone = availability_zone
        self._loaded: Metrics | None = None
        self._began: Counter[str] = Counter()
        self._ended: deque[tuple[str, str, timedelta]] = deque(maxlen=KEPT_TIMES)
        self._events: Counter[tuple[str, tuple[tuple[str, str], ...]]] = Counter()

    @property
    def content_type(self) -> str:
        """Type of the page."""
        return self._load().content_type

    def request_began(self, service: str) -> None:
        """Count a request as in flight."""
        if self._loaded is not None:
            self._loaded.request_began(service)
        else:
            self._began[service] += 1

    def request_ended(self, service: str, outcome: str, took: timedelta) -> None:
        """Count a request that began earlier and its time."""
        if self._loaded is not None:
            self._loaded.request_ended(service, outcome, took)
            return
        if len(self._ended) == KEPT_TIMES:
            self._began[self._ended[0][0]] -= 1
        self._ended.append((service, outcome, took))

    def count(self, name: str, **labels: str) -> None:
        """Count an event of a gateway."""
        if self._loaded is not None:
            self._loaded.count(name, **labels)
        else:
            self._events[name, tuple(labels.items())] += 1

    def metrics_page(self) -> bytes:
        """Return the scrape page; its type is :attr:`content_type`."""
        return self._load().metrics_page()

    def _load(self) -> "Metrics":
        if self._loaded is not None:
            return self._loaded
        from sassafrasdale.metrics import Metrics

        loaded = Metrics(self._name, self._availability_zone)
        for service, count in self._began.items():
            for _ in range(count):
                loaded.request_began(service)
        for service, outcome, took in self._ended:
            loaded.request_ended(service, outcome, took)
        for (name, labels), count in self._events.items():
            for _ in range(count):
                loaded.count(name, **dict(labels))
        self._began.clear()
        self._ended.clear()
        self._events.clear()
        self._loaded = loaded
        return loaded
