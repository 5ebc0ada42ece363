"""What endpoints advertise in their responses, shared among the gateways.

Each gateway reads the responses to its own attempts. All gateways learn of it with the
reports between them; the latest evidence counts.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from datetime import timedelta
from typing import Generic, TypeVar

from logbook import Logger

from sassafrasdale.clock import Clock
from sassafrasdale.deployment import EndpointSignals
from sassafrasdale.gateway.peer_states import BeliefReport, Contact

log = Logger("endpoints")

Value = TypeVar("Value")

# Shortest time between two lines on the same endpoint. An endpoint that says something
# else in each response must not fill the log.
LOG_INTERVAL = timedelta(seconds=1)
# Another gateway's evidence must be later than a gateway's own by more than a report
# takes; otherwise two gateways would make old evidence look later each time.
PEER_MARGIN = timedelta(milliseconds=100)
# Time after a change in which each report to another gateway tells of it.
CHANGE_REPORTING = timedelta(seconds=1)
# Interval between reports of all beliefs to a gateway, which may have missed some.
FULL_REPORT_INTERVAL = timedelta(seconds=4)
# Time for which the other gateways are told that a belief has ended.
ENDED_RETENTION = timedelta(seconds=10)
# Time after which an endpoint that is not registered any more is forgotten.
GONE_RETENTION = timedelta(seconds=60)


@dataclass(slots=True)
class _Belief(Generic[Value]):
    """What is known of an endpoint.

    :param value: what it advertises; None for nothing.
    :param confirmed_at: elapsed time of the last evidence of that.
    :param changed_at: elapsed time at which this gateway began to believe it, or at
        which another gateway contradicted it with older evidence.
    :param began_at: elapsed time at which it began to believe that there is something.
    :param ended_at: elapsed time at which it began to believe that there is nothing.
    :param logged_at: elapsed time of the last line on it.
    """

    value: Value | None = None
    confirmed_at: timedelta = timedelta()
    changed_at: timedelta = timedelta()
    began_at: timedelta = timedelta()
    ended_at: timedelta = timedelta()
    logged_at: timedelta | None = None


class EndpointBeliefs(Generic[Value]):
    """What each endpoint advertises of one matter.

    :param matter: name of the matter in logs and metrics.
    :param is_registered: returns whether an endpoint is registered.
    :param clock: source of elapsed time.
    :param count: counts an event by name, for metrics.
    """

    def __init__(
        self,
        matter: str,
        is_registered: Callable[[str], bool],
        clock: Clock,
        count: Callable[..., None],
    ) -> None:
        self._event = f"endpoint {matter} changed"
        self._is_registered = is_registered
        self._clock = clock
        self._count = count
        self._beliefs: dict[str, _Belief[Value]] = {}
        self._fully_reported_at: dict[tuple[str, int], timedelta] = {}

    def __bool__(self) -> bool:
        """Whether anything is known of any endpoint."""
        return bool(self._beliefs)

    def value(self, endpoint: str) -> Value | None:
        """Return what an endpoint advertises; None for nothing."""
        belief = self._beliefs.get(endpoint)
        return None if belief is None else belief.value

    def began_at(self, endpoint: str) -> timedelta:
        """Return the elapsed time since which a known endpoint advertises something."""
        return self._beliefs[endpoint].began_at

    def confirmed_at(self, endpoint: str) -> timedelta:
        """Return the elapsed time of the last evidence of a known endpoint."""
        return self._beliefs[endpoint].confirmed_at

    def set(self, endpoint: str, value: Value | None, source: str) -> None:
        """Set what an endpoint advertises as of now.

        :param source: what the evidence is, for the logs.
        """
        if value is not None or self.value(endpoint) is not None:
            self._set(endpoint, value, self._clock.elapsed(), source)

    def mark_restarted(self, endpoint: str) -> None:
        """Record that an endpoint has restarted: what it advertised before is void."""
        self.set(endpoint, None, "restart")

    def report_for(self, receiver: Contact) -> dict[str, BeliefReport]:
        """Return what another gateway may lack: recent changes, now and then all.

        One that has just started lacks all.
        """
        now = self._clock.elapsed()
        start = (receiver.name, receiver.incarnation)
        last = self._fully_reported_at.get(start)
        is_full = last is None or now - last >= FULL_REPORT_INTERVAL
        if is_full:
            self._fully_reported_at[start] = now
        return {
            endpoint: BeliefReport(
                belief.value, (now - belief.confirmed_at).total_seconds()
            )
            for endpoint, belief in self._beliefs.items()
            if is_full or now - belief.changed_at <= CHANGE_REPORTING
        }

    def receive(self, reports: Mapping[str, BeliefReport]) -> None:
        """Receive what another gateway knows."""
        now = self._clock.elapsed()
        for endpoint, report in reports.items():
            confirmed_at = now - timedelta(seconds=report.age_s)
            if self._is_later(endpoint, report.value, confirmed_at):
                self._set(endpoint, report.value, confirmed_at, "peer")
            elif self._is_outdated(endpoint, report.value, confirmed_at):
                # Tells the other gateway soon, not only with the next full report.
                self._beliefs[endpoint].changed_at = now

    def remove_gone(self) -> None:
        """Forget endpoints that are gone, and beliefs that ended long ago."""
        now = self._clock.elapsed()
        for endpoint, belief in list(self._beliefs.items()):
            age = now - belief.confirmed_at
            is_over = belief.value is None and age > ENDED_RETENTION
            is_gone = age > GONE_RETENTION and not self._is_registered(endpoint)
            if is_over or is_gone:
                del self._beliefs[endpoint]
        self._fully_reported_at = {
            start: at
            for start, at in self._fully_reported_at.items()
            if now - at <= GONE_RETENTION
        }

    def _is_later(
        self, endpoint: str, value: Value | None, confirmed_at: timedelta
    ) -> bool:
        if not self._is_registered(endpoint):
            return False
        belief = self._beliefs.get(endpoint)
        if belief is None:
            return value is not None
        return confirmed_at > belief.confirmed_at + PEER_MARGIN

    def _is_outdated(
        self, endpoint: str, value: Value | None, confirmed_at: timedelta
    ) -> bool:
        """Return whether this gateway has later evidence of something else."""
        belief = self._beliefs.get(endpoint)
        if belief is None or belief.value == value:
            return False
        return belief.confirmed_at > confirmed_at + PEER_MARGIN

    def _confirm_end(self, endpoint: str) -> None:
        """Record that an endpoint still advertises nothing, for a while after the end.

        Until then, other gateways may have older evidence that looks later.
        """
        belief = self._beliefs[endpoint]
        now = self._clock.elapsed()
        if now - belief.ended_at <= ENDED_RETENTION:
            belief.confirmed_at = now

    def _set(
        self,
        endpoint: str,
        value: Value | None,
        confirmed_at: timedelta,
        source: str,
    ) -> None:
        belief = self._beliefs.setdefault(endpoint, _Belief())
        before, belief.value = belief.value, value
        belief.confirmed_at = confirmed_at
        if before != value:
            belief.changed_at = self._clock.elapsed()
            if value is None:
                belief.ended_at = belief.changed_at
            elif before is None:
                belief.began_at = belief.changed_at
            self._count(self._event, source=source)
            self._log_change(endpoint, belief, before, source)

    def _log_change(
        self, endpoint: str, belief: _Belief, before: Value | None, source: str
    ) -> None:
        now = self._clock.elapsed()
        if belief.logged_at is not None and now - belief.logged_at < LOG_INTERVAL:
            return
        belief.logged_at = now
        log.info(
            self._event,
            endpoint=endpoint,
            value=belief.value,
            before=before,
            source=source,
        )


class AdvertisedNumbers(EndpointBeliefs[float]):
    """Numbers that endpoints advertise in each response while they hold."""

    def _observe(
        self,
        endpoint: str,
        number: float | None,
        sent_at: timedelta,
        *,
        is_malformed: bool,
    ) -> None:
        """Apply what an endpoint advertises in a response.

        A response without a number ends one only if its request was sent after it was
        last confirmed: responses on several connections overtake each other.

        :param sent_at: elapsed time at which the request was sent.
        :param is_malformed: whether there was a number that can't be used.
        """
        if number is not None:
            self.set(endpoint, number, "response")
            return
        if is_malformed or endpoint not in self._beliefs:
            return
        if sent_at < self.confirmed_at(endpoint):
            return
        if self.value(endpoint) is None:
            self._confirm_end(endpoint)
        else:
            self.set(endpoint, None, "response")


class EndpointLimits(AdvertisedNumbers):
    """Rate limits of endpoints, in requests per second."""

    def rate_limit(self, endpoint: str) -> float | None:
        """Return the limit in force at an endpoint."""
        return self.value(endpoint)

    def observe(
        self, endpoint: str, signals: EndpointSignals, sent_at: timedelta
    ) -> None:
        """Apply what an endpoint advertises in a response to a request."""
        self._observe(
            endpoint,
            signals.rate_limit,
            sent_at,
            is_malformed=signals.has_malformed_limit,
        )


class BrittleEndpoints(AdvertisedNumbers):
    """Rejections within a second beyond which endpoints fail."""

    def is_brittle(self, endpoint: str) -> bool:
        """Return whether an endpoint advertises that it is brittle."""
        return self.value(endpoint) is not None

    def observe(
        self, endpoint: str, signals: EndpointSignals, sent_at: timedelta
    ) -> None:
        """Apply what an endpoint advertises in a response to a request."""
        self._observe(
            endpoint,
            signals.brittleness,
            sent_at,
            is_malformed=signals.has_malformed_brittleness,
        )


class Departures(EndpointBeliefs[bool]):
    """Endpoints that have said in a response that they are leaving.

    One that leaves says so until its end, so a response without it ends nothing: it was
    made before.
    """

    def is_leaving(self, endpoint: str) -> bool:
        """Return whether an endpoint has said that it is leaving."""
        return bool(self.value(endpoint))

    def observe(self, endpoint: str, signals: EndpointSignals) -> None:
        """Apply what an endpoint advertises in a response."""
        if signals.is_leaving:
            self.set(endpoint, True, "response")


class MalformedSignalLog:
    """Logs malformed headers of endpoints, a bounded number of lines.

    :param clock: source of elapsed time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._logged_at: timedelta | None = None

    def record(self, endpoint: str, signals: EndpointSignals) -> None:
        """Log the malformed headers of a response, if no others just were."""
        now = self._clock.elapsed()
        last = self._logged_at
        if not signals.malformed or (last is not None and now - last < LOG_INTERVAL):
            return
        self._logged_at = now
        log.warning(
            "endpoint header ignored",
            endpoint=endpoint,
            header=", ".join(signals.malformed),
        )
