"""The dispatcher of a zone, which assigns engines to the attempts of all its gateways.

The aggregator of a zone is its dispatcher. It counts each attempt from the moment it
assigns the endpoint, so no two gateways choose the same engine from the same outdated
load reports. Its state is not replicated: a new dispatcher knows nothing of earlier
attempts, which their gateways count themselves from then on.
"""

from collections.abc import Collection
from dataclasses import dataclass, field
from datetime import timedelta

from logbook import Logger

from sassafrasdale.clock import Clock
from sassafrasdale.decisions.aggregators import EXPIRY_TIMEOUT
from sassafrasdale.decisions.queued_requests import Rejection
from sassafrasdale.gateway.admission.attempt_queues import (
    AttemptQueues,
    PendingAttempt,
    Started,
    Waiting,
)
from sassafrasdale.gateway.attempts import Attempt
from sassafrasdale.gateway.dispatcher_messages import (
    HOLD_TIME,
    Assignment,
    AssignmentRejected,
    AssignmentReply,
    AssignmentRequest,
    AttemptEnded,
    AttemptReport,
    AttemptResult,
    FirstToken,
    Queued,
)
from sassafrasdale.gateway.fleet import Fleet
from sassafrasdale.gateway.forwarding.paths import NON_IDEMPOTENT_MAX_IDLE

log = Logger("dispatcher")

# An attempt that its gateway doesn't report as open has ended, and the report of that
# was lost. Attempts younger than this are exempt: the assignment may still be on its
# way to the gateway.
RECONCILE_GRACE = timedelta(seconds=1)
# Time for which a gateway reuses a connection for any request, less the time that news
# of its release takes.
REUSE_TIME = NON_IDEMPOTENT_MAX_IDLE - timedelta(milliseconds=200)


@dataclass(slots=True)
class _GatewayAttempts:
    """Attempts of one incarnation of a gateway, by number.

    :param released_at: elapsed times at which it released connections, by endpoint.
    """

    incarnation: int
    last_seen_at: timedelta
    attempts: dict[int, Attempt] = field(default_factory=dict)
    released_at: dict[str, timedelta] = field(default_factory=dict)

    def connected(self, now: timedelta) -> frozenset[str]:
        """Return the endpoints to which the gateway has connections to reuse."""
        for endpoint, released_at in list(self.released_at.items()):
            if now - released_at > REUSE_TIME:
                del self.released_at[endpoint]
        return frozenset(self.released_at)


class Dispatcher:
    """Assigns endpoints to other gateways' attempts and tracks their results.

    :param fleet: chooses endpoints and counts the attempts in progress.
    :param queues: requests that wait for an endpoint.
    :param clock: source of elapsed time.
    """

    def __init__(self, fleet: Fleet, queues: AttemptQueues, clock: Clock) -> None:
        self._fleet = fleet
        self._queues = queues
        self._clock = clock
        self._gateways: dict[str, _GatewayAttempts] = {}

    def assign(self, request: AssignmentRequest) -> AssignmentReply | None:
        """Return the endpoint for an attempt, or that it waits; None if there is none.

        A request that may wait is held for a moment if it has a place in the queue.
        """
        now = self._clock.elapsed()
        terms = request.terms(now)
        connected = self._state_of(request.gateway, request.incarnation).connected(now)
        if terms is None:
            attempt = self._fleet.start_local_attempt(
                request.service,
                request.traits,
                request.tried,
                request.backed_off,
                is_retry=bool(request.tried),
                connected=connected,
            )
            return None if attempt is None else self._assignment(request, attempt)
        pending = PendingAttempt(
            (request.gateway, request.incarnation, request.number),
            request.service,
            request.traits,
            request.tried,
            request.backed_off,
            terms,
            connected,
        )
        hold = HOLD_TIME if request.is_queued else timedelta()
        match self._queues.request(pending, hold):
            case Started(attempt):
                if self._is_superseded(request):
                    self._fleet.finish_local_attempt(attempt)
                    return None
                return self._assignment(request, attempt)
            case Waiting():
                return Queued()
            case Rejection() as rejection:
                return AssignmentRejected(
                    rejection.reason,
                    rejection.retry_after.total_seconds(),
                    rejection.inputs,
                )
            case _:
                return None

    def _is_superseded(self, request: AssignmentRequest) -> bool:
        """Return whether the gateway has restarted while its call was held."""
        state = self._gateways.get(request.gateway)
        return state is not None and state.incarnation > request.incarnation

    def _assignment(self, request: AssignmentRequest, attempt: Attempt) -> Assignment:
        """Count an attempt as its gateway's, and return the reply."""
        state = self._state_of(request.gateway, request.incarnation)
        state.attempts[request.number] = attempt
        state.released_at.pop(attempt.record.name, None)
        source = attempt.source
        return Assignment(
            attempt.record.name,
            "" if source is None else source.name,
            attempt.prefill_tokens,
            max(attempt.queued_tokens, 0),
            attempt.has_permit,
            attempt.needed.total_seconds(),
        )

    def record_report(self, report: AttemptReport) -> None:
        """Apply a gateway's report on its attempts."""
        state = self._state_of(report.gateway, report.incarnation)
        for first in report.first:
            self._record_first_token(state, first)
        for ended in report.ended:
            self._record_end(state, ended)
            self._queues.remove((report.gateway, report.incarnation, ended.number))
        self._queues.place()

    def reconcile(
        self, gateway: str, incarnation: int, open_attempts: Collection[int]
    ) -> None:
        """Drop the attempts of a gateway that it doesn't report as open."""
        state = self._state_of(gateway, incarnation)
        now = self._clock.elapsed()
        reported = frozenset(open_attempts)
        for number, attempt in list(state.attempts.items()):
            if number not in reported and now - attempt.began_at > RECONCILE_GRACE:
                self._fleet.finish_local_attempt(state.attempts.pop(number))

    def drop_unresponsive(self) -> None:
        """Drop the attempts of gateways that have stopped responding."""
        now = self._clock.elapsed()
        for gateway, state in list(self._gateways.items()):
            if now - state.last_seen_at > EXPIRY_TIMEOUT:
                self._drop(gateway)

    def resign(self) -> None:
        """Drop all attempts: another gateway is the dispatcher from now on."""
        for gateway in list(self._gateways):
            self._drop(gateway)

    def _state_of(self, gateway: str, incarnation: int) -> _GatewayAttempts:
        now = self._clock.elapsed()
        state = self._gateways.get(gateway)
        if state is not None and state.incarnation != incarnation:
            self._drop(gateway)
            state = None
        if state is None:
            state = self._gateways[gateway] = _GatewayAttempts(incarnation, now)
        state.last_seen_at = now
        return state

    def _record_first_token(self, state: _GatewayAttempts, first: FirstToken) -> None:
        attempt = state.attempts.get(first.number)
        if attempt is None:
            return
        seconds = first.took_s
        took = None if seconds is None else timedelta(seconds=seconds)
        self._fleet.record_local_first_token(attempt, took)

    def _record_end(self, state: _GatewayAttempts, ended: AttemptEnded) -> None:
        attempt = state.attempts.pop(ended.number, None)
        if attempt is not None:
            attempt.result = ended.result
            if ended.result is AttemptResult.SUCCEEDED:
                state.released_at[attempt.record.name] = self._clock.elapsed()
            self._fleet.finish_local_attempt(attempt)
            gap = timedelta(seconds=ended.gap_s)
            self._fleet.record_remote_result(attempt.record, ended.result, gap)

    def _drop(self, gateway: str) -> None:
        state = self._gateways.pop(gateway)
        if state.attempts:
            log.info("sends dropped", gateway=gateway, sends=len(state.attempts))
        for attempt in state.attempts.values():
            self._fleet.finish_local_attempt(attempt)
