"""Quarantine of requests under which endpoints have crashed.

Each such crash is recorded as a strike against the request.
"""

from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass
from datetime import timedelta

from logbook import Logger

from sassafrasdale.clock import Clock
from sassafrasdale.decisions.quarantine import (
    Strike,
    StrikeLedger,
    TrackedStrike,
    trial_scope,
)
from sassafrasdale.gateway.directory import EndpointRecord
from sassafrasdale.gateway.quarantine.crash_detection import CrashDetector
from sassafrasdale.gateway.quarantine.fingerprints import fingerprint_of
from sassafrasdale.gateway.quarantine.trials import Trials
from sassafrasdale.gateway.usage import ClusterTime
from sassafrasdale.green import spawn
from sassafrasdale.http.connections import ProbeResult
from sassafrasdale.http.messages import Request

log = Logger("suspects")

# Longest time after a lost connection in which a crash of the endpoint is taken as its
# cause. The directory shows a crash within seconds: the registration expires, or shows
# a later start time.
MAX_LOST_AGE = timedelta(seconds=10)
# Most runs that are kept whose connection was lost, so far without evidence of a
# crash.
MAX_LOST_RUNS = 500


@dataclass(frozen=True, slots=True)
class LostRun:
    """A request's run at an endpoint that ended without a response.

    :param version: of the endpoint's software.
    :param begun: whether the run had produced events.
    """

    fingerprint: str
    endpoint: str
    version: str
    begun: bool


@dataclass(frozen=True, slots=True)
class Verdict:
    """Whether a request may be sent to endpoints.

    :param fingerprint: of the request; empty if no request is quarantined.
    :param is_refused: whether no endpoint may get it.
    :param avoided: endpoints that must not get it.
    """

    fingerprint: str = ""
    is_refused: bool = False
    avoided: frozenset[str] = frozenset()


NO_RESTRICTION = Verdict()


class RequestQuarantine:
    """Records which requests crash endpoints, and refuses those that do so repeatedly.

    :param name: this gateway's name.
    :param ledger: strikes of all gateways.
    :param trials: trial attempts of refused requests, of all gateways.
    :param time: cluster time, which strikes are dated by.
    :param count: counts an event for the metrics.
    :param confirm_crash: returns whether an endpoint that this gateway can't reach is
        at fault, rather than the gateway's own link to it.
    """

    def __init__(
        self,
        name: str,
        ledger: StrikeLedger,
        trials: Trials,
        time: ClusterTime,
        clock: Clock,
        count: Callable[[str], None],
        confirm_crash: Callable[[EndpointRecord], bool] = lambda record: True,
    ) -> None:
        self._name = name
        self._ledger = ledger
        self._trials = trials
        self._time = time
        self._clock = clock
        self._count = count
        self._crash_detector = CrashDetector(clock, confirm_crash)
        self._lost_runs: list[tuple[timedelta, LostRun]] = []
        self._quarantined: frozenset[str] = frozenset()

    def check(
        self, request: Request, customer: str, endpoints: Collection[EndpointRecord]
    ) -> Verdict:
        """Return whether a request may be sent to endpoints.

        :param customer: name of the customer; empty for a public route.
        :param endpoints: those that it might be sent to.
        """
        if not self._ledger.quarantined:
            return NO_RESTRICTION
        fingerprint = fingerprint_of(request, customer)
        if fingerprint not in self._ledger.quarantined:
            return Verdict(fingerprint)
        strikes = self._ledger.open_strikes(fingerprint)
        tried_versions = {tracked.strike.version for tracked in strikes}
        versions = {record.name: record.endpoint.version for record in endpoints}
        scope = trial_scope(tried_versions, versions)
        if self._trials.try_claim(
            fingerprint, strikes[-1].strike.at, has_new=scope.has_new_version
        ):
            return Verdict(fingerprint, avoided=scope.excluded_endpoints)
        self._count("quarantined request refused")
        return Verdict(fingerprint, is_refused=True)

    def record_lost_connection(
        self, fingerprint: str, record: EndpointRecord, *, begun: bool, registered: bool
    ) -> bool:
        """Record a lost connection and return whether the endpoint has crashed.

        A leaving endpoint stops as planned, whatever it runs, so that is no strike.

        :param fingerprint: of the request.
        :param begun: whether the endpoint had produced events for it.
        :param registered: whether the endpoint is registered as ready.
        """
        run = LostRun(fingerprint, record.name, record.endpoint.version, begun)
        now = self._clock.elapsed()
        has_crashed = record.is_unreachable or self._crash_detector.has_crashed(record)
        if not registered and not record.is_unreachable:
            return has_crashed
        if has_crashed:
            self._record_strike(run, now)
            return True
        self._lost_runs = [
            kept for kept in self._lost_runs if now - kept[0] <= MAX_LOST_AGE
        ]
        self._lost_runs = [*self._lost_runs, (now, run)][-MAX_LOST_RUNS:]
        return False

    def handle_expiry(self, record: EndpointRecord) -> None:
        """Handle a registration that disappeared without the endpoint leaving.

        If its instance has lost power, connections are not reset, and its requests
        would wait until their deadlines.
        """
        has_lost = any(run.endpoint == record.name for _, run in self._lost_runs)
        if record.connections or has_lost:
            spawn(self._probe_expired, record)

    def _probe_expired(self, record: EndpointRecord) -> None:
        result = self._crash_detector.probe_repeatedly(record)
        if result is ProbeResult.OPEN:
            # It has lost its connection to the store, or is leaving.
            return
        if not self._crash_detector.confirm(record):
            return
        self.record_crash(record.name)
        if result is ProbeResult.UNANSWERED and record.connections:
            self._abort_requests(record)

    def _abort_requests(self, record: EndpointRecord) -> None:
        log.notice(
            "endpoint gone dark", endpoint=record.name, runs=len(record.connections)
        )
        record.is_unreachable = True
        for connection in list(record.connections):
            connection.close()

    def record_crash(self, endpoint: str) -> None:
        """Record the crash of an endpoint that had lost connections before."""
        now = self._clock.elapsed()
        lost, self._lost_runs = self._lost_runs, []
        for lost_at, run in lost:
            if run.endpoint != endpoint:
                self._lost_runs.append((lost_at, run))
            elif now - lost_at <= MAX_LOST_AGE:
                self._record_strike(run, lost_at)

    def record_success(self, request: Request, customer: str) -> None:
        """Clear a request's strikes as an endpoint has completed it."""
        if not len(self._ledger):
            return
        fingerprint = fingerprint_of(request, customer)
        if self._ledger.clear(fingerprint):
            log.info("strikes cleared", fingerprint=fingerprint, why="answered")
            self.log_changes()

    def release(self, fingerprint: str) -> bool:
        """Release a request from quarantine, as an operator asks."""
        released = self._ledger.clear(fingerprint)
        if released:
            log.notice(
                "strikes cleared", fingerprint=fingerprint, why="lifted by an operator"
            )
            self.log_changes()
        return released

    def may_retry(self, fingerprint: str) -> bool:
        """Return whether a request may be retried at another endpoint."""
        return self._ledger.may_retry(fingerprint)

    def log_changes(self) -> None:
        """Log which requests have entered or left quarantine."""
        now = self._ledger.quarantined
        for fingerprint in sorted(now - self._quarantined):
            self._count("request quarantined")
            ends = self._describe_strikes(self._ledger.open_strikes(fingerprint))
            log.warning("request quarantined", fingerprint=fingerprint, ends=ends)
        for fingerprint in sorted(self._quarantined - now):
            log.notice("quarantine ended", fingerprint=fingerprint)
        self._quarantined = now

    def describe(self) -> list[dict[str, object]]:
        """Return the requests that have open strikes, for an operator."""
        return [
            {
                "fingerprint": strikes[0].strike.fingerprint,
                "quarantined": strikes[0].strike.fingerprint in self._quarantined,
                "ends": self._describe_strikes(strikes),
            }
            for strikes in (
                [tracked for tracked in request_strikes if tracked.is_open]
                for request_strikes in self._ledger.by_request()
            )
            if strikes
        ]

    def _describe_strikes(
        self, strikes: Iterable[TrackedStrike]
    ) -> list[dict[str, object]]:
        now = self._time.seconds
        return [
            {
                "endpoint": tracked.strike.endpoint,
                "version": tracked.strike.version,
                "witness": tracked.strike.witness,
                "age_s": round(now - tracked.strike.at, 3),
                "begun": tracked.strike.begun,
            }
            for tracked in strikes
        ]

    def _record_strike(self, run: LostRun, lost_at: timedelta) -> None:
        self._count("endpoint ended under a request")
        age = (self._clock.elapsed() - lost_at).total_seconds()
        strike = Strike(
            run.fingerprint,
            run.endpoint,
            run.version,
            run.begun,
            self._time.seconds - age,
            self._name,
        )
        self._ledger.add(strike)
        self.log_changes()
