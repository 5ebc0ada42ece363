"""One model request: its events, whoever reads them, and what interrupts it.

A generation is a task of its own. It reads the engine's stream and keeps every
event; callers read the kept events at their own pace, so a caller may leave and
come back by request id, and the engine may change under way, without either
noticing. Each event has a position, counted from 1.
"""

from collections.abc import Callable
from dataclasses import replace
from datetime import timedelta

from logbook import Logger

from sassafrasdale.charts import Lifecycle, load_chart
from sassafrasdale.clock import Clock
from sassafrasdale.endpoints.adapters import EventStream
from sassafrasdale.endpoints.directory import Endpoint
from sassafrasdale.endpoints.engines import (
    DONE,
    JSON_TYPE,
    cancel,
    open_stream,
)
from sassafrasdale.endpoints.exceptions import (
    AnswerLost,
    EndpointError,
    NotSent,
    Refused,
    Rejected,
    StreamUnknown,
)
from sassafrasdale.green import GreenThread, sleep, spawn
from sassafrasdale.requests.course import Course
from sassafrasdale.requests.exceptions import EndpointLeaving
from sassafrasdale.requests.gate import Gate
from sassafrasdale.requests.placement import Placement, Progress
from sassafrasdale.requests.structures import (
    Answered,
    ModelCall,
    NotRun,
    Outcome,
    Unknown,
    end_event,
)
from sassafrasdale.requests.transcript import Ending, Transcript

log = Logger("generation")

# Longest silence of an engine before the stream is asked for again on a fresh
# connection: the old one may be silent for good while the engine works on.
SILENCE_LIMIT = timedelta(seconds=2)
# Engines that went silent or away in a row before the generation is given up.
MAX_INTERRUPTIONS = 8
RETRY_AFTER = timedelta(seconds=1)
# Pause before a begun generation looks again for an endpoint that takes it.
CHOOSE_AGAIN = timedelta(milliseconds=200)
# First byte of a server-sent comment, which carries nothing for the caller.
COMMENT = b":"


class Generation:
    """One model request that this entry holds.

    :param call: what the caller asked for.
    :param placement: finds endpoints for the call.
    :param clock: source of time.
    :param gate: lets the request into its service; None if it is in already.
    :param progress: how far an earlier holder came.
    :param on_end: called once with the generation when it has ended.

    Usage::

        generation.start()
        events = generation.read(after=0, limit=timedelta(seconds=5))
    """

    def __init__(
        self,
        call: ModelCall,
        placement: Placement,
        clock: Clock,
        *,
        gate: Gate | None = None,
        progress: Progress | None = None,
        on_end: Callable[["Generation"], None] = lambda generation: None,
    ) -> None:
        self._call = call
        self._choose = placement.choose
        self._observe = placement.observe
        self._tracker = placement.tracker
        self._clock = clock
        self._gate = gate
        self._taken_over = progress is not None
        progress = progress or Progress([], None, None, sent=False)
        self._transcript = Transcript(progress.events)
        self._course = Course(call, self._transcript, progress)
        self._on_end = on_end
        self._lifecycle = Lifecycle(load_chart("request"))
        self._outcome: Outcome | None = None
        self._thread: GreenThread | None = None
        self._reading = False
        self._offered = False
        self._handed_over = False
        self._started_at = clock.elapsed()
        self._first_event_at: timedelta | None = None
        self._last_read_at = self._started_at
        self._delivered = False

    @property
    def call(self) -> ModelCall:
        """What the caller asked for."""
        return self._call

    @property
    def state(self) -> str:
        """State of the request's chart."""
        return self._lifecycle.state

    @property
    def outcome(self) -> Outcome | None:
        """How the request ended, or None while it runs."""
        return self._outcome

    @property
    def ended(self) -> bool:
        """Whether no event will come any more from this holder."""
        return self._outcome is not None or self._handed_over

    @property
    def handed_over(self) -> bool:
        """Whether another entry holds the request now."""
        return self._handed_over

    @property
    def endpoint(self) -> Endpoint | None:
        """Where the stream runs now."""
        return self._course.endpoint

    @property
    def events(self) -> list[bytes]:
        """Events so far; the first has position 1."""
        return self._transcript.events

    @property
    def progress(self) -> Progress:
        """How far it has come, for another holder."""
        return self._course.progress

    @property
    def offered(self) -> bool:
        """Whether it is being offered to another entry."""
        return self._offered

    @property
    def started_at(self) -> timedelta:
        """Elapsed time of the clock at which this holder began."""
        return self._started_at

    @property
    def first_event_at(self) -> timedelta | None:
        """Elapsed time of the clock at the first event."""
        return self._first_event_at

    @property
    def last_read_at(self) -> timedelta:
        """Elapsed time of the clock at which somebody last asked for events."""
        return self._last_read_at

    @property
    def delivered(self) -> bool:
        """Whether a caller was given the end of the answer."""
        return self._delivered

    def mark_delivered(self) -> None:
        """Note that a caller was given the end of the answer."""
        self._delivered = True

    def ending(self) -> Ending | None:
        """Return what the engine's last chunk said, or None if it hasn't come."""
        return self._transcript.ending()

    def start(self) -> None:
        """Begin in a task of its own."""
        self._thread = spawn(self.run)

    def run(self) -> None:
        """Bring the generation to its end."""
        ticket = self._gate.enter(self._call.call) if self._gate else None
        if isinstance(ticket, NotRun):
            self._end(ticket)
            return
        self._lifecycle.fire("admit")
        try:
            self._end(self._outcome_of_run())
        finally:
            if self._gate:
                self._gate.leave(ticket, self._outcome)

    def read(self, after: int, limit: timedelta) -> list[bytes]:
        """Return the events after position ``after``, waiting for at least one.

        :param limit: longest wait; an empty list is returned after it, or when
            the generation has ended.
        """
        self._last_read_at = self._clock.elapsed()
        if self._last_read_at >= self._call.call.deadline:
            self.abandon("the deadline has passed")
        if len(self.events) <= after and not self.ended:
            remaining = self._call.call.deadline - self._last_read_at
            self._transcript.wait(min(limit, remaining))
        return self.events[after:]

    def move(self, endpoint: Endpoint) -> bool:
        """Move the KV cache off ``endpoint`` before it leaves.

        :returns: whether the engine exported it.
        """
        if self.ended:
            return False
        return self._course.move(endpoint)

    def recompute(self, endpoint: Endpoint) -> None:
        """Leave ``endpoint`` now and compute the tokens again elsewhere."""
        if self.ended or not self._reading or not self._course.may_leave(endpoint):
            return
        self._cancel()
        # The engine need not answer the cancel, so its stream is left from here.
        self._thread.kill(EndpointLeaving(f"{endpoint.name} leaves"))

    def begin_offer(self) -> Progress:
        """Stay where it is while another entry is offered it; return how far it is.

        A cache moved meanwhile would leave the receiver with a stream that has
        ended, and the tokens would be computed again.
        """
        self._offered = True
        self._course.wait_for_move()
        return self.progress

    def end_offer(self) -> None:
        """Go on as before: no other entry took it."""
        self._offered = False

    def release(self) -> None:
        """Stop reading: another entry holds the request now."""
        if self.ended:
            return
        self._handed_over = True
        self._lifecycle.fire("hand_over")
        self._stop_reading()
        self._transcript.wake_readers()

    def abandon(self, reason: str) -> None:
        """End the generation at once, for ``reason``."""
        if self.ended:
            return
        # An earlier holder whose acknowledgement was lost goes on as well. It
        # reads the same stream, so this one must not cancel it.
        if not self._taken_over:
            self._cancel()
        self._stop_reading()
        self._end(self._give_up(reason))

    def _outcome_of_run(self) -> Outcome:
        try:
            return self._complete()
        except EndpointError as error:
            return Unknown(error.message, RETRY_AFTER)
        except Exception:
            # Without an end the caller would wait until its deadline for a task
            # that is no more.
            log.exception("generation {} failed", self._call.call.request_id)
            return Unknown("an unforeseen error", RETRY_AFTER)

    def _complete(self) -> Outcome:
        """Return the outcome, after as many engines as it takes."""
        if self._transcript.is_closed:
            return self._answer()
        self._course.begin()
        avoid: set[str] = set()
        interruptions = 0
        refusal: Refused | None = None
        while self._clock.elapsed() < self._call.call.deadline:
            endpoint = self._course.endpoint or self._choose(frozenset(avoid))
            if endpoint is None:
                if not self._course.sent:
                    return self._refuse(refusal)
                # Others must not be told "unknown" because every engine is full
                # or away just now: a reclaim sends their streams to few engines.
                avoid.clear()
                sleep(CHOOSE_AGAIN)
                continue
            try:
                whole = self._follow(endpoint) or self._complete_events()
                if whole:
                    self._observe(endpoint, ok=True)
                    return self._answer()
                self._go_on_after_break(endpoint, avoid)
            except EndpointLeaving:
                self._course.go_on_elsewhere(endpoint, avoid)
            except Refused as error:
                refusal = error
                self._course.go_on_elsewhere(endpoint, avoid)
            except Rejected as error:
                if self._transcript.events:
                    raise
                return Answered(error.status, error.headers, error.body)
            except NotSent:
                self._observe(endpoint, ok=False)
                self._course.go_on_elsewhere(endpoint, avoid)
            except StreamUnknown:
                interruptions += 1
                self._course.go_on_elsewhere(endpoint, avoid)
            except AnswerLost:
                if self._complete_events():
                    return self._answer()
                interruptions += not self._go_on_after_break(endpoint, avoid)
            if interruptions > MAX_INTERRUPTIONS:
                return self._give_up("too many engines broke off")
        return self._give_up("the deadline has passed")

    def _complete_events(self) -> bool:
        """Return whether the answer is whole, and add a lost end mark.

        The engine's last chunk says why the answer ended. If the connection
        breaks right after it, only the mark that nothing follows was lost; asking
        again would bring that chunk a second time.
        """
        if self._transcript.ending() is None:
            return False
        if not self._transcript.is_closed:
            self._transcript.extend([DONE])
        return True

    def _follow(self, endpoint: Endpoint) -> bool:
        """Read the stream from ``endpoint``; return whether it came to its end."""
        self._course.runs_at(endpoint)
        self._reading = True
        if self._lifecycle.allows("send"):
            self._lifecycle.fire("send")
        endpoint.in_flight += 1
        self._tracker.start(endpoint.name)
        if not self._call.call.idempotent and not self._course.sent:
            # On a connection that is silent for good the call would be lost in
            # doubt, and a keyed call is not sent again.
            endpoint.adapter.drop_connections()
        try:
            remaining = self._call.call.deadline - self._clock.elapsed()
            stream = open_stream(
                endpoint.adapter,
                self._call.call.request_id,
                self._call.body,
                self._course.start,
                min(SILENCE_LIMIT, max(remaining, timedelta(milliseconds=1))),
            )
            self._course.opened()
            return self._pass_on(stream)
        except AnswerLost:
            self._course.sent = True
            raise
        except EndpointLeaving:
            # It may have been thrown after the first byte went out.
            self._course.sent = True
            raise
        finally:
            self._reading = False
            self._tracker.end()
            endpoint.in_flight -= 1

    def _pass_on(self, stream: EventStream) -> bool:
        for events in stream:
            kept = [event for event in events if not event.startswith(COMMENT)]
            if not kept:
                continue
            if self._first_event_at is None:
                self._first_event_at = self._clock.elapsed()
            self._transcript.extend(kept)
            self._tracker.record_tokens(len(kept))
            if kept[-1] == DONE:
                stream.release()
                return True
        return False

    def _go_on_after_break(self, endpoint: Endpoint, avoid: set[str]) -> bool:
        """Choose how to go on after the stream broke off or fell silent.

        :returns: False if the engine is taken to be gone.
        """
        if self._course.go_on_after_break(endpoint):
            return True
        self._observe(endpoint, ok=False)
        self._course.go_on_elsewhere(endpoint, avoid)
        return False

    def _answer(self) -> Outcome:
        ending = self._transcript.ending()
        if ending is None:
            raise AnswerLost("the engine ended its stream without a reason")
        if self._call.streamed:
            return Answered(200, (), b"")
        body = self._transcript.completion(self._call.call.request_id, ending)
        return Answered(200, (JSON_TYPE,), body)

    def _refuse(self, refusal: Refused | None) -> Outcome:
        if refusal is None:
            return self._give_up("no endpoint takes the request now")
        given_up = self._give_up(refusal.message, refusal.retry_after)
        if isinstance(given_up, NotRun):
            return replace(given_up, overloaded=True)
        return given_up

    def _give_up(self, reason: str, retry_after: timedelta | None = None) -> Outcome:
        retry_after = retry_after or RETRY_AFTER
        if self._course.sent:
            return Unknown(reason, retry_after)
        return NotRun(reason, retry_after)

    def _cancel(self) -> None:
        endpoint = self._course.endpoint
        if endpoint is not None:
            spawn(_cancel_quietly, endpoint, self._call.call.request_id)

    def _stop_reading(self) -> None:
        """End the task, which closes its own connection as it unwinds."""
        if self._thread is not None:
            self._thread.kill()

    def _end(self, outcome: Outcome) -> None:
        if self._outcome is not None:
            return
        self._outcome = outcome
        event = end_event(outcome)
        if self._lifecycle.allows(event):
            self._lifecycle.fire(event)
        self._transcript.wake_readers()
        self._on_end(self)


def _cancel_quietly(endpoint: Endpoint, stream_id: str) -> None:
    """Cancel a stream; an engine that can't be told stops it by itself."""
    try:
        cancel(endpoint.adapter, stream_id)
    except EndpointError:
        return
