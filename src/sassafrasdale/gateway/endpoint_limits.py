"""Rate limits that endpoints in need name in their responses."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from datetime import timedelta

from logbook import Logger

from sassafrasdale.clock import Clock
from sassafrasdale.deployment import EndpointSignals
from sassafrasdale.gateway.peer_states import EndpointLimitReport

log = Logger("endpoint limits")

# Shortest time between two lines on the same endpoint. An endpoint that names another
# value in each response must not fill the log.
LOG_INTERVAL = timedelta(seconds=1)
# Another gateway's news of an endpoint must be newer than its own by more than they are
# delayed on the way; otherwise two gateways would make old news look new.
PEER_MARGIN = timedelta(milliseconds=100)
# Time for which the other gateways are told that a limit has ended.
ENDED_RETENTION = timedelta(seconds=10)
# Time after which an endpoint that is not registered any more is forgotten.
GONE_RETENTION = timedelta(seconds=60)


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

    :param is_registered: returns whether an endpoint is registered.
    :param clock: source of elapsed time.
    :param count: counts an event by name, for metrics.
    """

    def __init__(
        self,
        is_registered: Callable[[str], bool],
        clock: Clock,
        count: Callable[..., None],
    ) -> None:
        self._is_registered = is_registered
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
        self._set(endpoint, rate, self._clock.elapsed(), "response")

    def mark_restarted(self, endpoint: str) -> None:
        """Record that an endpoint has restarted: what it said before is void."""
        if endpoint in self._beliefs:
            self._set(endpoint, None, self._clock.elapsed(), "restart")

    def report(self) -> dict[str, EndpointLimitReport]:
        """Return the limits in force, and those that have just ended, for peers."""
        now = self._clock.elapsed()
        return {
            endpoint: EndpointLimitReport(
                belief.rate, (now - belief.confirmed_at).total_seconds()
            )
            for endpoint, belief in self._beliefs.items()
            if belief.rate is not None or now - belief.confirmed_at <= ENDED_RETENTION
        }

    def receive(self, reports: Mapping[str, EndpointLimitReport]) -> None:
        """Receive what another gateway knows of endpoints' limits."""
        now = self._clock.elapsed()
        for endpoint, report in reports.items():
            confirmed_at = now - timedelta(seconds=report.age_s)
            if self._is_news(endpoint, report.rate, confirmed_at):
                self._set(endpoint, report.rate, confirmed_at, "peer")

    def remove_gone(self) -> None:
        """Forget endpoints that are gone, and limits that ended long ago."""
        now = self._clock.elapsed()
        for endpoint, belief in list(self._beliefs.items()):
            age = now - belief.confirmed_at
            is_over = belief.rate is None and age > ENDED_RETENTION
            is_gone = age > GONE_RETENTION and not self._is_registered(endpoint)
            if is_over or is_gone:
                del self._beliefs[endpoint]

    def _is_news(
        self, endpoint: str, rate: float | None, confirmed_at: timedelta
    ) -> bool:
        if not self._is_registered(endpoint):
            return False
        belief = self._beliefs.get(endpoint)
        if belief is None:
            return rate is not None
        return confirmed_at > belief.confirmed_at + PEER_MARGIN

    def _set(
        self, endpoint: str, rate: float | None, confirmed_at: timedelta, source: str
    ) -> None:
        belief = self._beliefs.setdefault(endpoint, _Belief())
        before, belief.rate = belief.rate, rate
        belief.confirmed_at = confirmed_at
        if before != rate:
            self._count("endpoint limit changed", source=source)
            self._log_change(endpoint, belief, before, source)

    def _log_change(
        self, endpoint: str, belief: _Belief, before: float | None, source: str
    ) -> None:
        now = self._clock.elapsed()
        if belief.logged_at is not None and now - belief.logged_at < LOG_INTERVAL:
            return
        belief.logged_at = now
        log.info(
            "endpoint limit changed",
            endpoint=endpoint,
            rate=belief.rate,
            before=before,
            source=source,
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
