"""Client of the zone's dispatcher: requests assignments and reports the results."""

from collections.abc import Callable, Collection
from contextlib import suppress
from datetime import timedelta
from itertools import count

from logbook import Logger

from sassafrasdale.clock import Clock
from sassafrasdale.decisions.queued_requests import RequestKey
from sassafrasdale.decisions.silence import has_peer_stalled
from sassafrasdale.deployment import RequestTraits
from sassafrasdale.gateway.admission.terms import AdmissionTerms
from sassafrasdale.gateway.dispatcher_messages import (
    AssignmentReply,
    AssignmentRequest,
    AttemptEnded,
    AttemptReport,
    AttemptResult,
    FirstToken,
)
from sassafrasdale.gateway.peer_states import Contact
from sassafrasdale.green import Empty, Queue, sleep

log = Logger("asking")

# Time in which the gateway chooses endpoints itself after the dispatcher has answered
# none of its calls. Its reports find out meanwhile whether there is another dispatcher.
FALLBACK_TIME = timedelta(milliseconds=500)
# Results are batched for this long. A dispatcher that learns of a first token so much
# later overestimates an engine's queue by two thousand tokens at the most.
BATCH_DELAY = timedelta(milliseconds=20)
# Longest time without results before the client checks whether there is another
# dispatcher.
MAX_REPORT_INTERVAL = timedelta(milliseconds=200)


class DispatcherClient:
    """Requests assignments from the dispatcher and reports on the assigned attempts.

    :param own: this gateway's contact.
    :param dispatcher: returns the current dispatcher; None if this gateway chooses
        endpoints itself.
    :param ask: sends an assignment request; returns None without a timely response.
    :param report: sends a report, and returns whether it arrived.
    :param clock: source of elapsed time.
    """

    def __init__(
        self,
        own: Contact,
        dispatcher: Callable[[], Contact | None],
        ask: Callable[[Contact, AssignmentRequest], AssignmentReply | None],
        report: Callable[[Contact, AttemptReport], bool],
        clock: Clock,
    ) -> None:
        self._own = own
        self._dispatcher = dispatcher
        self._ask = ask
        self._report = report
        self._clock = clock
        self._numbers = count(1)
        self._current: Contact | None = None
        self._suspended_until = timedelta()
        self._heard_at: timedelta | None = None
        self._open: dict[int, Callable[[], None]] = {}
        self._first: list[FirstToken] = []
        self._ended: list[AttemptEnded] = []
        self._wakeup: Queue = Queue()

    @property
    def dispatcher(self) -> str:
        """Name of the dispatcher that was last used; empty for none."""
        return "" if self._current is None else self._current.name

    @property
    def has_dispatcher(self) -> bool:
        """Whether another gateway is the dispatcher, even if it doesn't respond."""
        return self._dispatcher() is not None

    @property
    def open_attempts(self) -> tuple[int, ...]:
        """Numbers of the attempts that the dispatcher counts as in progress."""
        return tuple(self._open)

    def next_number(self) -> int:
        """Return the number of a new attempt."""
        return next(self._numbers)

    def key_of(self, number: int) -> RequestKey:
        """Return the key of an attempt among all gateways."""
        return self._own.name, self._own.incarnation, number

    def request_assignment(
        self,
        number: int,
        service: str,
        traits: RequestTraits,
        tried: Collection[str],
        backed_off: Collection[str] = (),
        terms: AdmissionTerms | None = None,
        *,
        is_queued: bool = False,
    ) -> AssignmentReply | None:
        """Return the dispatcher's reply for an attempt; None without one.

        :param number: number of the attempt.
        :param tried: endpoints that the request was sent to before.
        :param backed_off: endpoints that want no requests from this gateway now.
        :param terms: on which terms it may wait; None if it may not.
        :param is_queued: whether the dispatcher has replied that it waits.
        """
        contact = self._dispatcher()
        self._switch_dispatcher(contact)
        if contact is None or self._clock.elapsed() < self._suspended_until:
            if is_queued:
                self.cancel(number)
            return None
        own = self._own
        request = AssignmentRequest.of(
            own.name,
            own.incarnation,
            number,
            service,
            traits,
            tuple(tried),
            tuple(backed_off),
        )
        if terms is not None:
            now = self._clock.elapsed()
            request = request.with_terms(terms, now, is_queued=is_queued)
        asked_at = self._clock.elapsed()
        reply = self._ask(contact, request)
        self._record_answer(contact, asked_at, is_answered=reply is not None)
        if reply is None or self._current != contact:
            # The dispatcher may have counted the attempt, and must not keep doing so.
            self.cancel(number)
            return None
        return reply

    def _record_answer(
        self, contact: Contact, asked_at: timedelta, *, is_answered: bool
    ) -> None:
        """Record whether a call was answered; suspend a dispatcher that has stalled."""
        if self._current != contact:
            return
        now = self._clock.elapsed()
        if is_answered:
            self._heard_at = now
            return
        is_suspended = has_peer_stalled(asked_at, self._heard_at)
        if is_suspended:
            self._suspended_until = now + FALLBACK_TIME
        log.info("dispatcher gave no answer", peer=contact.name, suspended=is_suspended)

    def cancel(self, number: int) -> None:
        """Record that an attempt is not wanted any more, whether it was assigned."""
        self._queue_end(AttemptEnded(number, AttemptResult.NEUTRAL))

    def add_attempt(self, number: int, take_over: Callable[[], None]) -> None:
        """Add an attempt that starts as assigned.

        :param take_over: counts it locally once the dispatcher no longer does.
        """
        self._open[number] = take_over

    def record_first_token(self, number: int, took: timedelta | None) -> None:
        """Record that the endpoint has finished a prefill, or need not any more.

        :param took: time since it was sent; None if there was no prefill.
        """
        if number in self._open:
            seconds = None if took is None else took.total_seconds()
            self._first.append(FirstToken(number, seconds))
            self._wake()

    def record_end(
        self, number: int, result: AttemptResult, gap: timedelta | None = None
    ) -> None:
        """Record that an attempt is no longer in progress."""
        self._open.pop(number, None)
        seconds = 0.0 if gap is None else gap.total_seconds()
        self._queue_end(AttemptEnded(number, result, seconds))

    def _queue_end(self, ended: AttemptEnded) -> None:
        self._ended.append(ended)
        self._wake()

    def run(self) -> None:
        """Report on the attempts until the task is killed."""
        while True:
            self._wait_for_reports()
            sleep(BATCH_DELAY)
            self.step()

    def _wait_for_reports(self) -> None:
        """Wait for something to report, or until it is time to check the dispatcher."""
        with suppress(Empty):
            self._wakeup.get(timeout=MAX_REPORT_INTERVAL.total_seconds())

    def _wake(self) -> None:
        if self._wakeup.empty():
            self._wakeup.put(None)

    def step(self) -> None:
        """Report what was recorded since the last step."""
        contact = self._dispatcher()
        self._switch_dispatcher(contact)
        if not self._first and not self._ended:
            return
        first, self._first = tuple(self._first), []
        ended, self._ended = tuple(self._ended), []
        if contact is None:
            return
        own = self._own
        # A lost report is made up for by the next load report, which lists the open
        # attempts.
        report = AttemptReport(own.name, own.incarnation, first, ended)
        asked_at = self._clock.elapsed()
        if self._report(contact, report):
            self._record_answer(contact, asked_at, is_answered=True)

    def _switch_dispatcher(self, contact: Contact | None) -> None:
        """Count the open attempts locally if the dispatcher has changed."""
        if contact == self._current:
            return
        self._current = contact
        self._heard_at = None
        self._first.clear()
        self._ended.clear()
        former, self._open = self._open, {}
        for take_over in former.values():
            take_over()
