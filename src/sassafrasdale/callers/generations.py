"""Responses for a generation: a stream of events, or one complete response."""

import json
from collections.abc import Iterator
from datetime import timedelta

from sassafrasdale.callers.messages import (
    HttpResponse,
    outcome_response,
)
from sassafrasdale.endpoints.engines import DONE
from sassafrasdale.requests.generation import Generation
from sassafrasdale.requests.structures import (
    Answered,
    OutcomeName,
)

EVENT_STREAM = "text/event-stream"
# A reader without new events wakes up this often, to notice deadlines.
READ_INTERVAL = timedelta(seconds=5)
# Milliseconds after which a client of the event stream reconnects to another entry.
RECONNECT_MS = 50


def generation_response(generation: Generation, after: int = 0) -> HttpResponse:
    """Return the response to a caller of ``generation``.

    :param after: position of the last event that the caller has.
    """
    request_id = ("X-Request-Id", generation.call.call.request_id)
    if not generation.call.streamed:
        return _complete_response(generation).with_headers(request_id)
    events = _first_events(generation, after)
    if generation.outcome is not None and not events and after == 0:
        return outcome_response(generation.outcome).with_headers(request_id)
    headers = (
        ("Content-Type", EVENT_STREAM),
        ("Cache-Control", "no-store"),
        ("X-Outcome", OutcomeName.ANSWERED.value),
        request_id,
    )
    return HttpResponse(200, headers, _event_parts(generation, after, events))


def _first_events(generation: Generation, after: int) -> list[bytes]:
    """Wait for the first event, as a refused request needs its own HTTP status."""
    while True:
        events = generation.read(after, READ_INTERVAL)
        if events or generation.ended:
            return events


def _event_parts(
    generation: Generation, position: int, events: list[bytes]
) -> Iterator[bytes]:
    while True:
        if events:
            yield _join(position, events)
            position += len(events)
            if events[-1] == DONE:
                generation.mark_delivered()
                return
        elif generation.ended:
            if not isinstance(generation.outcome, Answered):
                yield _end_event(generation)
            return
        events = generation.read(position, READ_INTERVAL)


def _join(position: int, events: list[bytes]) -> bytes:
    """Return events with their positions, joined for a single write."""
    return b"".join(
        b"id: %d\n%b\n\n" % (number, event)
        for number, event in enumerate(events, position + 1)
    )


def _end_event(generation: Generation) -> bytes:
    """Return the event that ends an incomplete stream.

    Without it, a caller could take the truncated stream for a complete one.
    """
    if generation.handed_over:
        return moved_event(generation.call.call.request_id)
    response = outcome_response(generation.outcome)
    return b"event: error\ndata: %b\n\n" % response.body.strip()


def moved_event(request_id: str) -> bytes:
    """Return the event after which the caller resumes through another entry."""
    location = json.dumps({"location": f"/v1/requests/{request_id}"})
    return b"event: moved\nretry: %d\ndata: %b\n\n" % (RECONNECT_MS, location.encode())


def _complete_response(generation: Generation) -> HttpResponse:
    while not generation.ended:
        generation.read(len(generation.events), READ_INTERVAL)
    if generation.handed_over:
        location = f"/v1/requests/{generation.call.call.request_id}"
        return HttpResponse(303, (("Location", location),), b"")
    generation.mark_delivered()
    return outcome_response(generation.outcome)
