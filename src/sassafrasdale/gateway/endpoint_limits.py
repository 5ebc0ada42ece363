"""Rate limits that endpoints in need name in their responses."""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from logbook import Logger

from sassafrasdale.clock import Clock
from sassafrasdale.deployment import EndpointSignals

log = Logger("endpoint limits")

# Shortest time between two lines on the same endpoint. An endpoint that names another
# value in each response must not fill the log.
LOG_INTERVAL = timedelta(seconds=1)


@dataclass(slots=True)
class _Belief:
    """What is known of an endpoint's rate limit.

    :param rate: requests per second over all gateways; None for no limit.
    :param confirmed_at: elapsed time of the last response that said so.
    :param logged_at: elapsed time of the last line on it.
    """

    rate: float | None = None
    confirmed_at: timedelta = timedelta()
    logged_at: timedelta | None = None


class EndpointLimits:
    """Rate limits that endpoints have named.

    :param clock: source of elapsed time.
    :param count: counts an event by name, for metrics.
    """

    def __init__(self, clock: Clock, count: Callable[..., None]) -> None:
        self._clock = clock
        self._count = count
        self._beliefs: dict[str, _Belief] = {}
        self._malformed_logged_at: timedelta | None = None

    def rate_limit(self, endpoint: str) -> float | None:
        """Return the limit in force at an endpoint, in requests per second."""
        belief = self._beliefs.get(endpoint)
        return None if belief is None else belief.rate

    def observe(
        self, endpoint: str, signals: EndpointSignals, sent_at: timedelta
    ) -> None:
        """Apply what an endpoint says in a response.

        A response without a limit ends one only if its request was sent after the limit
        was last confirmed: responses on several connections overtake each other.

        :param sent_at: elapsed time at which the request was sent.
        """
        self._log_malformed(endpoint, signals)
        belief = self._beliefs.get(endpoint)
        rate = signals.rate_limit
        if rate is None and (
            signals.malformed
            or belief is None
            or belief.rate is None
            or sent_at < belief.confirmed_at
        ):
            return
        belief = self._beliefs.setdefault(endpoint, _Belief())
        before, belief.rate = belief.rate, rate
        belief.confirmed_at = self._clock.elapsed()
        if before != rate:
            self._count("endpoint limit changed")
            self._log_change(endpoint, belief, before)

    def forget(self, endpoint: str) -> None:
        """Drop what an endpoint said that is gone or has restarted."""
        self._beliefs.pop(endpoint, None)

    def _log_change(self, endpoint: str, belief: _Belief, before: float | None) -> None:
        now = self._clock.elapsed()
        if belief.logged_at is not None and now - belief.logged_at < LOG_INTERVAL:
            return
        belief.logged_at = now
        log.info(
            "endpoint limit changed",
            endpoint=endpoint,
            rate=belief.rate,
            before=before,
        )

    def _log_malformed(self, endpoint: str, signals: EndpointSignals) -> None:
        now = self._clock.elapsed()
        last = self._malformed_logged_at
        if not signals.malformed or (last is not None and now - last < LOG_INTERVAL):
            return
        self._malformed_logged_at = now
        log.warning(
            "endpoint header ignored",
            endpoint=endpoint,
            header=", ".join(signals.malformed),
        )
