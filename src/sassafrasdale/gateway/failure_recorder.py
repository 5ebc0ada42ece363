"""Records what the failure of an attempt says of its endpoint."""

from dataclasses import dataclass
from functools import cached_property

from logbook import Logger

from sassafrasdale.clock import Clock, milliseconds, optional_milliseconds
from sassafrasdale.decisions.silence import blames_version
from sassafrasdale.decisions.strikes import PART_PREFIX
from sassafrasdale.gateway.admitted_requests import AdmittedRequest
from sassafrasdale.gateway.attempts import Attempt
from sassafrasdale.gateway.directory import EndpointRecord
from sassafrasdale.gateway.failures import (
    CONNECTION_LOST,
    NO_RESPONSE_IN_TIME,
    NOT_CONNECTED,
    AttemptFailed,
    AttemptOutcome,
)
from sassafrasdale.gateway.fleet import Fleet
from sassafrasdale.gateway.forwarding.paths import FORWARDER_LOST, EndpointPaths
from sassafrasdale.gateway.quarantine.fingerprints import RequestFeatures
from sassafrasdale.gateway.quarantine.quarantine import RequestQuarantine
from sassafrasdale.gateway.quarantine.soundness import RunProgress

log = Logger("exchange")

# Most parts of a prompt in one log line.
MAX_LOGGED_PARTS = 16


@dataclass(frozen=True, slots=True)
class SendState:
    """What is logged of a request as one of its attempts fails.

    :param sent: number of attempts so far.
    :param has_begun: whether its caller's response has begun.
    :param events: events of the stream that its caller has received.
    """

    sent: int
    has_begun: bool
    events: int


class FailureRecorder:
    """Records the failures of one request's attempts.

    :param admitted: the request.
    :param fleet: counts failures of endpoints and of their versions.
    :param quarantine: records endpoints that crash while they run the request.
    :param paths: knows which links are lost.
    :param clock: source of elapsed time.
    """

    def __init__(
        self,
        admitted: AdmittedRequest,
        fleet: Fleet,
        quarantine: RequestQuarantine,
        paths: EndpointPaths,
        clock: Clock,
    ) -> None:
        self._admitted = admitted
        self._fleet = fleet
        self._quarantine = quarantine
        self._paths = paths
        self._clock = clock
        self._may_have_run = False
        self._endpoint_crashed = False
        self._last_reason = ""

    @property
    def may_have_run(self) -> bool:
        """Whether an attempt that failed may have run."""
        return self._may_have_run

    @property
    def last_reason(self) -> str:
        """Why the last attempt failed; empty if none did."""
        return self._last_reason

    @property
    def is_crash_suspect(self) -> bool:
        """Whether the request may have crashed the endpoint that ran it last."""
        return self._endpoint_crashed and not self._quarantine.may_retry(self.features)

    @property
    def is_quarantined(self) -> bool:
        """Whether the request has been quarantined since it was admitted."""
        if self._admitted.is_trial or self._quarantine.is_empty:
            return False
        return bool(self._quarantine.refused_feature(self.features))

    @cached_property
    def features(self) -> RequestFeatures:
        """What a crash can be blamed on."""
        admitted = self._admitted
        return self._quarantine.features_of(
            admitted.request, admitted.customer_name, admitted.traits.parts
        )

    def note_send(self) -> None:
        """Record that a further attempt is being sent."""
        self._endpoint_crashed = False

    def record(
        self,
        attempt: Attempt,
        failure: AttemptFailed,
        progress: RunProgress,
        state: SendState,
    ) -> None:
        """Record the failure of an attempt.

        :param progress: what the endpoint had sent.
        """
        if failure.outcome is AttemptOutcome.UNKNOWN:
            self._may_have_run = True
        is_counted = failure.outcome is not AttemptOutcome.WITHHELD
        is_fault = failure.outcome is not AttemptOutcome.NOT_RUN
        if is_counted:
            self._fleet.record_failure(attempt, is_fault)
        # This probes the endpoint, which takes time, so the failure is counted first.
        crashed = self._check_crash(attempt, failure, progress)
        if is_counted and is_fault and not crashed:
            self._attribute(attempt, failure)
        if failure.reason in (CONNECTION_LOST, NOT_CONNECTED):
            self._fleet.doubt_version(attempt)
        self._last_reason = failure.reason
        self._log(attempt, failure, state, crashed)

    def record_outrun(
        self,
        attempt: Attempt,
        failure: AttemptFailed,
        state: SendState,
        *,
        is_fault: bool,
    ) -> None:
        """Record an attempt that its hedge has outrun.

        It speaks neither against the version nor of a crash.

        :param is_fault: whether its endpoint was silent while others responded.
        """
        self._may_have_run = True
        if is_fault:
            self._fleet.record_failure(attempt, is_fault)
        self._last_reason = failure.reason
        self._log(attempt, failure, state, None)

    def _log(
        self,
        attempt: Attempt,
        failure: AttemptFailed,
        state: SendState,
        crashed: bool | None,
    ) -> None:
        log.info(
            "send failed",
            endpoint=attempt.record.name,
            software=attempt.record.endpoint.version or None,
            endpoint_ended=crashed,
            forwarder=attempt.forwarder or None,
            fingerprint=self.features.fingerprint,
            parts=self._logged_parts() if crashed else None,
            outcome=str(failure.outcome),
            why=failure.reason,
            send=state.sent,
            begun=state.has_begun,
            events=state.events or None,
            left_ms=milliseconds(self._admitted.deadline - self._clock.elapsed()),
            endpoint_silent_ms=self._silence_of(attempt.record),
            all_silent_ms=optional_milliseconds(self._fleet.since_receipt()),
        )

    def _attribute(self, attempt: Attempt, failure: AttemptFailed) -> None:
        """Count a failure against the endpoint's version, or excuse the endpoint.

        A lost link of this gateway says nothing of the endpoint, and the forwarder
        knows best whether an endpoint that it has lost has crashed.
        """
        if failure.reason == FORWARDER_LOST:
            self._fleet.excuse_failure(attempt)
        elif attempt.forwarder:
            if failure.outcome is AttemptOutcome.NOT_SENT:
                self._fleet.withhold_report(attempt)
        elif self._paths.is_partitioned(attempt.record):
            self._fleet.excuse_failure(attempt)
        elif self._blames_version(failure):
            self._fleet.record_version_failure(attempt)

    def _blames_version(self, failure: AttemptFailed) -> bool:
        if failure.reason != NO_RESPONSE_IN_TIME:
            return True
        return blames_version(self._fleet.since_receipt())

    def _silence_of(self, record: EndpointRecord) -> int | None:
        received_at = record.pool.received_at
        if received_at is None:
            return None
        return milliseconds(self._clock.elapsed() - received_at)

    def _check_crash(
        self, attempt: Attempt, failure: AttemptFailed, progress: RunProgress
    ) -> bool | None:
        """Return whether the endpoint has crashed; None if nothing suggests it."""
        if failure.reason != CONNECTION_LOST or attempt.forwarder:
            return None
        self._paths.record_lost_connection(attempt.record)
        record = attempt.record
        self._endpoint_crashed = self._quarantine.record_lost_connection(
            self.features,
            record,
            progress,
            registered=self._fleet.is_registered(record),
        )
        return self._endpoint_crashed

    def _logged_parts(self) -> list[str] | None:
        """Return the first parts of the prompt that other requests may share."""
        shared = self.features.parts[:MAX_LOGGED_PARTS]
        return [part.removeprefix(PART_PREFIX) for part in shared] or None
