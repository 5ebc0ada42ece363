"""Quarantine of requests and parts of prompts under which endpoints have crashed.

Each such crash is recorded as a strike against each feature of the requests that ran.
"""

from collections.abc import Callable, Collection, Iterable, Sequence
from dataclasses import dataclass
from datetime import timedelta

from logbook import Logger

from sassafrasdale.clock import Clock
from sassafrasdale.decisions.quarantine import StrikeLedger, trial_scope
from sassafrasdale.decisions.strikes import TrackedStrike
from sassafrasdale.deployment import PromptPart
from sassafrasdale.gateway.directory import EndpointRecord
from sassafrasdale.gateway.quarantine.crash_detection import CrashDetector
from sassafrasdale.gateway.quarantine.fingerprints import (
    RequestFeatures,
    fingerprint_of,
    part_features,
    shared_part_features,
)
from sassafrasdale.gateway.quarantine.soundness import RunProgress, SoundParts
from sassafrasdale.gateway.quarantine.strike_recorder import LostRun, StrikeRecorder
from sassafrasdale.gateway.quarantine.trials import Trials
from sassafrasdale.gateway.usage import ClusterTime
from sassafrasdale.green import spawn
from sassafrasdale.http.connections import ProbeResult
from sassafrasdale.http.messages import Request

log = Logger("suspects")

# Reason of a rejected request, and the count of these.
QUARANTINED = "quarantined"
REFUSALS = "quarantined request refused"
# Retry-After for a quarantined request: it is not allowed again for minutes, if at all,
# so an earlier retry gets the same response.
QUARANTINE_RETRY_AFTER = timedelta(seconds=60)
# Longest time after a lost connection in which a crash of the endpoint is taken as its
# cause. The directory shows a crash within seconds: the registration expires, or shows
# a later start time.
MAX_LOST_AGE = timedelta(seconds=10)
# Most runs that are kept whose connection was lost, so far without evidence of a
# crash.
MAX_LOST_RUNS = 500


@dataclass(frozen=True, slots=True)
class Verdict:
    """Whether a request may be sent to endpoints.

    :param fingerprint: of its feature that is quarantined; empty if none is.
    :param is_refused: whether no endpoint may get it.
    :param is_trial: whether it is a trial of that feature.
    :param avoided: endpoints that must not get it.
    """

    fingerprint: str = ""
    is_refused: bool = False
    is_trial: bool = False
    avoided: frozenset[str] = frozenset()


NO_RESTRICTION = Verdict()


class RequestQuarantine:
    """Records which requests crash endpoints, and refuses those that do so repeatedly.

    :param name: this gateway's name.
    :param ledger: strikes of all gateways.
    :param sound_parts: parts of prompts that have run well here.
    :param trials: trial attempts of refused requests, of all gateways.
    :param time: cluster time, which strikes are dated by.
    :param count: counts an event for the metrics.
    :param confirm_crash: returns whether an endpoint that this gateway can't reach is
        at fault, rather than the gateway's own link to it.
    :param is_overload: returns whether an endpoint's crash at a time may be due to the
        requests that it had to reject, rather than to one that it ran.
    """

    def __init__(
        self,
        name: str,
        ledger: StrikeLedger,
        sound_parts: SoundParts,
        trials: Trials,
        time: ClusterTime,
        clock: Clock,
        count: Callable[[str], None],
        confirm_crash: Callable[[EndpointRecord], bool] = lambda record: True,
        is_overload: Callable[[str, timedelta], bool] = lambda endpoint, at: False,
    ) -> None:
        self._ledger = ledger
        self._sound_parts = sound_parts
        self._trials = trials
        self._time = time
        self._clock = clock
        self._count = count
        self._crash_detector = CrashDetector(clock, confirm_crash)
        self._is_overload = is_overload
        self._lost_runs: list[tuple[timedelta, LostRun]] = []
        self._quarantined: frozenset[str] = frozenset()
        self._recorder = StrikeRecorder(name, ledger, sound_parts, time)

    def check(
        self,
        request: Request,
        customer: str,
        parts: Sequence[PromptPart],
        endpoints: Collection[EndpointRecord],
    ) -> Verdict:
        """Return whether a request may be sent to endpoints.

        :param customer: name of the customer; empty for a public route.
        :param parts: parts of its prompt.
        :param endpoints: those that it might be sent to.
        """
        if self.is_empty:
            return NO_RESTRICTION
        is_trial = False
        avoided: frozenset[str] = frozenset()
        for feature in self.features_of(request, customer, parts).all:
            # Claiming a trial takes time, in which another feature may be cleared.
            if feature not in self._ledger.quarantined:
                continue
            verdict = self._check_feature(feature, endpoints)
            if verdict.is_refused:
                self._count(REFUSALS)
                return verdict
            is_trial = True
            avoided |= verdict.avoided
        return Verdict(is_trial=is_trial, avoided=avoided)

    def features_of(
        self, request: Request, customer: str, parts: Sequence[PromptPart]
    ) -> RequestFeatures:
        """Return what a crash under a request may be blamed on."""
        return RequestFeatures(
            fingerprint_of(request, customer), shared_part_features(parts)
        )

    @property
    def is_empty(self) -> bool:
        """Whether nothing is quarantined."""
        return not self._ledger.quarantined

    def refused_feature(self, features: RequestFeatures) -> str:
        """Return a feature for which a request is refused by now; empty if none.

        It may have been admitted before that feature was quarantined.
        """
        quarantined = self._ledger.quarantined
        found = (feature for feature in features.all if feature in quarantined)
        feature = next(found, "")
        if feature:
            self._count(REFUSALS)
            log.info("no longer admitted", fingerprint=feature)
        return feature

    def _check_feature(
        self, feature: str, endpoints: Collection[EndpointRecord]
    ) -> Verdict:
        """Return whether a quarantined feature may be tried again."""
        strikes = self._ledger.open_strikes(feature)
        tried_versions = {tracked.strike.version for tracked in strikes}
        versions = {record.name: record.endpoint.version for record in endpoints}
        scope = trial_scope(tried_versions, versions)
        is_trial = self._trials.try_claim(
            feature, strikes[-1].strike.at, has_new=scope.has_new_version
        )
        if is_trial:
            return Verdict(feature, is_trial=True, avoided=scope.excluded_endpoints)
        return Verdict(feature, is_refused=True)

    def record_lost_connection(
        self,
        features: RequestFeatures,
        record: EndpointRecord,
        progress: RunProgress,
        *,
        registered: bool,
    ) -> bool:
        """Record a lost connection and return whether the endpoint has crashed.

        A leaving endpoint stops as planned, whatever it runs, so that is no strike.

        :param features: of the request.
        :param progress: how far its answer had come.
        :param registered: whether the endpoint is registered as ready.
        """
        run = LostRun(features, record.name, record.endpoint.version, progress)
        now = self._clock.elapsed()
        has_crashed = self.has_crashed(record)
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

    def has_crashed(self, record: EndpointRecord) -> bool:
        """Return whether an endpoint that has just closed a connection has crashed."""
        return record.is_unreachable or self._crash_detector.has_crashed(record)

    def is_serving(self, record: EndpointRecord) -> bool:
        """Return whether an endpoint that has just closed a connection still serves."""
        return not record.is_unreachable and self._crash_detector.is_serving(record)

    def record_success(
        self, request: Request, customer: str, parts: Sequence[PromptPart]
    ) -> None:
        """Clear the strikes of a request's features as an endpoint has completed it."""
        features = part_features(parts)
        self._sound_parts.note(features)
        if not self._ledger.has_open_strikes:
            self._ledger.note_answered(features)
            return
        for feature in (fingerprint_of(request, customer), *features):
            if self._ledger.clear(feature):
                log.info("strikes cleared", fingerprint=feature, why="answered")
        self.log_changes()

    def record_progress(self, parts: Sequence[PromptPart]) -> None:
        """Note that an endpoint has been writing a request's answer for a while."""
        features = part_features(parts)
        self._sound_parts.note(features)
        for feature in features:
            self._ledger.note_sound(feature)

    def release(self, fingerprint: str) -> bool:
        """Release a request from quarantine, as an operator asks."""
        released = self._ledger.clear(fingerprint)
        if released:
            log.notice(
                "strikes cleared", fingerprint=fingerprint, why="lifted by an operator"
            )
            self.log_changes()
        return released

    def may_retry(self, features: RequestFeatures) -> bool:
        """Return whether a request may be retried at another endpoint."""
        return self._ledger.may_retry(features.all)

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
        """Return the features that have open strikes, for an operator."""
        return [
            {
                "fingerprint": strikes[0].strike.fingerprint,
                "quarantined": strikes[0].strike.fingerprint in self._quarantined,
                "ends": self._describe_strikes(strikes),
            }
            for strikes in (
                [tracked for tracked in feature_strikes if tracked.is_open]
                for feature_strikes in self._ledger.by_feature()
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
                "known_sound": tracked.is_known_sound,
                "request": tracked.strike.request,
            }
            for tracked in strikes
        ]

    def _record_strike(self, run: LostRun, lost_at: timedelta) -> None:
        if self._is_overload(run.endpoint, lost_at):
            self._count("endpoint overloaded under a request")
            return
        self._count("endpoint ended under a request")
        self._recorder.record(run, self._clock.elapsed() - lost_at)
        self.log_changes()
