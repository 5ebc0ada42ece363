"""One model request: reads its stream, serves its events, handles interruptions.

A generation runs in its own task. It reads the engine's stream and keeps every event;
callers read the kept events independently. So a caller may disconnect and resume by
request id without affecting the engine, and the stream may continue on another engine
without affecting the caller. Each event has a position, counted from 1.
"""

from collections.abc import Callable
from dataclasses import replace
from datetime import timedelta

from logbook import Logger

from sassafrasdale.charts import Lifecycle, load_chart
from sassafrasdale.clock import Clock
from sassafrasdale.decisions.silence import REATTACH_TIME, RESPONDING_TIME
from sassafrasdale.endpoints.adapters import EventStream
from sassafrasdale.endpoints.directory import Endpoint
from sassafrasdale.endpoints.engines import (
    DONE,
    JSON_TYPE,
    cancel,
    open_stream,
)
from sassafrasdale.endpoints.exceptions import (
    EndpointError,
    NotSent,
    Refused,
    Rejected,
    ResponseLost,
    StreamUnknown,
)
from sassafrasdale.green import GreenThread, sleep, spawn
from sassafrasdale.requests.exceptions import EndpointLeaving
from sassafrasdale.requests.gate import Gate
from sassafrasdale.requests.placement import Placement, Progress
from sassafrasdale.requests.stream_source import (
    EngineState,
    StreamSource,
    check_engine,
)
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

# Number of engines that may fail in one generation before it is given up.
MAX_INTERRUPTIONS = 8
RETRY_AFTER = timedelta(seconds=1)
# Interval at which a started generation without an endpoint tries to choose one.
CHOOSE_INTERVAL = timedelta(milliseconds=200)
# First byte of a server-sent comment, which has no content for the caller.
COMMENT = b":"


class Generation:
    """One model request that this entry holds.

    :param call: the caller's request.
    :param placement: finds endpoints for the call.
    :param clock: source of time.
    :param gate: admits the request to its service; None if it is admitted already.
    :param progress: progress of the previous holder.
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
        self._source = StreamSource(call, self._transcript, progress)
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
        self._delivered_at: timedelta | None = None
        if progress.delivered_ago is not None:
            self._delivered_at = self._started_at - progress.delivered_ago

    @property
    def call(self) -> ModelCall:
        """The caller's request."""
        return self._call

    @property
    def state(self) -> str:
        """State in the request statechart."""
        return self._lifecycle.state

    @property
    def outcome(self) -> Outcome | None:
        """The request's outcome, or None while it runs."""
        return self._outcome

    @property
    def ended(self) -> bool:
        """Whether this holder will add no more events."""
        return self._outcome is not None or self._handed_over

    @property
    def handed_over(self) -> bool:
        """Whether another entry holds the request now."""
        return self._handed_over

    @property
    def endpoint(self) -> Endpoint | None:
        """The engine that runs the stream now."""
        return self._source.endpoint

    @property
    def events(self) -> list[bytes]:
        """Events so far; the first has position 1."""
        return self._transcript.events

    @property
    def progress(self) -> Progress:
        """Progress, from which another holder can continue."""
        return self._source.progress

    @property
    def offered(self) -> bool:
        """Whether it is being offered to another entry."""
        return self._offered

    @property
    def started_at(self) -> timedelta:
        """Elapsed time of the clock when this holder started."""
        return self._started_at

    @property
    def first_event_at(self) -> timedelta | None:
        """Elapsed time of the clock at the first event."""
        return self._first_event_at

    @property
    def last_read_at(self) -> timedelta:
        """Elapsed time of the clock when a caller last read events."""
        return self._last_read_at

    @property
    def delivered_at(self) -> timedelta | None:
        """Elapsed time of the clock when a caller was last sent the response's end."""
        return self._delivered_at

    def mark_delivered(self) -> None:
        """Record that a caller was sent the end of the response.

        It may not have read it: its connection may be broken.
        """
        self._delivered_at = self._clock.elapsed()

    def ending(self) -> Ending | None:
        """Return the content of the last chunk, or None if it was not received."""
        return self._transcript.ending()

    def start(self) -> None:
        """Start the generation in its own task."""
        self._thread = spawn(self.run)

    def run(self) -> None:
        """Run the generation to its end."""
        ticket = self._gate.enter(self._call.call) if self._gate else None
        if isinstance(ticket, NotRun):
            self._end(ticket)
            return
        self._lifecycle.fire("admit")
        try:
            self._end(self._run_to_outcome())
        finally:
            if self._gate:
                self._gate.leave(ticket, self._outcome)

    def read(self, after: int, limit: timedelta) -> list[bytes]:
        """Return the events after position ``after``, waiting for at least one.

        :param limit: maximum wait, after which an empty list is returned; so it is
            when the generation has ended.
        """
        self._last_read_at = self._clock.elapsed()
        if self._last_read_at >= self._call.call.deadline:
            self.abandon("the deadline has passed")
        if len(self.events) <= after and not self.ended:
            remaining = self._call.call.deadline - self._last_read_at
            self._transcript.wait(min(limit, remaining))
        return self.events[after:]

    def move(self, endpoint: Endpoint) -> bool:
        """Export the KV cache of ``endpoint`` before it leaves.

        :returns: whether the engine exported it.
        """
        if self.ended:
            return False
        return self._source.move(endpoint)

    def recompute(self, endpoint: Endpoint) -> None:
        """Leave ``endpoint`` now and recompute the tokens on another one."""
        if self.ended or not self._reading or not self._source.may_recompute(endpoint):
            return
        self._cancel()
        # The engine may not respond to the cancellation, so the task is interrupted.
        self._thread.kill(EndpointLeaving(f"{endpoint.name} leaves"))

    def begin_offer(self) -> Progress:
        """Return the progress to offer to another entry, after any running export.

        Offered generations are not moved: with an export in the meantime the receiver
        would continue a stream that has ended, and the tokens would be recomputed.
        """
        self._offered = True
        self._source.wait_for_export()
        if self._delivered_at is None:
            return self.progress
        ago = self._clock.elapsed() - self._delivered_at
        return replace(self.progress, delivered_ago=ago)

    def end_offer(self) -> None:
        """Continue here: no other entry took the generation."""
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
        # If the acknowledgement of the hand-over was lost, the previous holder
        # continues as well. It reads the same stream, so this one must not cancel it.
        if not self._taken_over:
            self._cancel()
        self._stop_reading()
        self._end(self._give_up(reason))

    def _run_to_outcome(self) -> Outcome:
        try:
            return self._run_on_engines()
        except EndpointError as error:
            return Unknown(error.message, RETRY_AFTER)
        except Exception:
            # Without an outcome the caller would wait until its deadline for a task
            # that has failed.
            log.exception("generation {} failed", self._call.call.request_id)
            return Unknown("an unforeseen error", RETRY_AFTER)

    def _run_on_engines(self) -> Outcome:
        """Return the outcome, using as many engines as necessary."""
        if self._transcript.is_closed:
            return self._answer()
        self._source.choose_start()
        avoid: set[str] = set()
        interruptions = 0
        refusal: Refused | None = None
        while self._clock.elapsed() < self._call.call.deadline:
            endpoint = self._source.endpoint or self._choose(frozenset(avoid))
            if endpoint is None:
                if not self._source.sent:
                    return self._refuse(refusal)
                # A started request must not get the outcome "unknown" because all
                # engines are briefly full or unreachable: a reclaim moves many streams
                # to few engines.
                avoid.clear()
                sleep(CHOOSE_INTERVAL)
                continue
            try:
                complete = self._read_stream(endpoint) or self._close_if_complete()
                if complete:
                    self._observe(endpoint, ok=True)
                    return self._answer()
                self._resume_after_break(endpoint, avoid)
            except EndpointLeaving:
                self._source.switch_endpoint(endpoint, avoid)
            except Refused as error:
                refusal = error
                self._source.switch_endpoint(endpoint, avoid)
            except Rejected as error:
                if self._transcript.events:
                    raise
                return Answered(error.status, error.headers, error.body)
            except NotSent:
                self._observe(endpoint, ok=False)
                self._source.switch_endpoint(endpoint, avoid)
            except StreamUnknown:
                interruptions += 1
                self._source.switch_endpoint(endpoint, avoid)
            except ResponseLost:
                if self._close_if_complete():
                    return self._answer()
                interruptions += not self._resume_after_break(endpoint, avoid)
            if interruptions > MAX_INTERRUPTIONS:
                return self._give_up("too many engines broke off")
        return self._give_up("the deadline has passed")

    def _close_if_complete(self) -> bool:
        """Return whether the response is complete; add the end marker if it was lost.

        The engine's last chunk has the finish reason. If the connection breaks right
        after it, only the end marker was lost; requesting the stream again would
        repeat the last chunk.
        """
        if self._transcript.ending() is None:
            return False
        if not self._transcript.is_closed:
            self._transcript.extend([DONE])
        return True

    def _read_stream(self, endpoint: Endpoint) -> bool:
        """Read the stream from ``endpoint``; return whether it is complete."""
        self._source.record_endpoint(endpoint)
        self._reading = True
        if self._lifecycle.allows("send"):
            self._lifecycle.fire("send")
        endpoint.in_flight += 1
        self._tracker.start(endpoint.name)
        if not self._call.call.idempotent and not self._source.sent:
            # On an unresponsive pooled connection the outcome would be unknown, and a
            # call with an idempotency key is not sent again.
            endpoint.adapter.drop_connections()
        try:
            remaining = self._call.call.deadline - self._clock.elapsed()
            stream = open_stream(
                endpoint.adapter,
                self._call.call.request_id,
                self._call.body,
                self._source.start,
                min(REATTACH_TIME, max(remaining, timedelta(milliseconds=1))),
            )
            self._source.record_response()
            return self._collect_events(stream)
        except ResponseLost:
            self._source.sent = True
            raise
        except EndpointLeaving:
            # It may have been raised after the first byte was sent.
            self._source.sent = True
            raise
        finally:
            self._reading = False
            self._tracker.end()
            endpoint.in_flight -= 1

    def _collect_events(self, stream: EventStream) -> bool:
        for events in stream:
            content_events = [
                event for event in events if not event.startswith(COMMENT)
            ]
            if not content_events:
                continue
            if self._first_event_at is None:
                self._first_event_at = self._clock.elapsed()
            self._transcript.extend(content_events)
            self._tracker.record_tokens(len(content_events))
            if content_events[-1] == DONE:
                stream.release()
                return True
        return False

    def _resume_after_break(self, endpoint: Endpoint, avoid: set[str]) -> bool:
        """Choose how to continue an interrupted or unresponsive stream.

        :returns: False if the engine is considered dead.
        """
        excluded = frozenset({*avoid, endpoint.name})
        if self._source.resume_after_break(
            endpoint, lambda: self._others_responding(excluded)
        ):
            return True
        self._observe(endpoint, ok=False)
        self._source.switch_endpoint(endpoint, avoid)
        return False

    def _others_responding(self, excluded: frozenset[str]) -> timedelta | None:
        """Return for how long an engine that could take over has been responding.

        :param excluded: engines that can't.
        """
        other = self._choose(excluded)
        if other is None or check_engine(other) is not EngineState.RESPONDS:
            return None
        responded_at = self._clock.elapsed()
        # Engines that have stalled together don't go on in the same instant.
        sleep(RESPONDING_TIME)
        return self._clock.elapsed() - responded_at

    def _answer(self) -> Outcome:
        ending = self._transcript.ending()
        if ending is None:
            raise ResponseLost("the engine ended its stream without a reason")
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
        if self._source.sent:
            return Unknown(reason, retry_after)
        return NotRun(reason, retry_after)

    def _cancel(self) -> None:
        endpoint = self._source.endpoint
        if endpoint is not None:
            spawn(_cancel_quietly, endpoint, self._call.call.request_id)

    def _stop_reading(self) -> None:
        """Kill the task, which closes its own connection."""
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
    """Cancel a stream; an unreachable engine stops it by itself."""
    try:
        cancel(endpoint.adapter, stream_id)
    except EndpointError:
        return
