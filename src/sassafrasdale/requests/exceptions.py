"""Errors of a request's life. What a caller is told is an Outcome, not an error."""

from sassafrasdale.exceptions import SassafrasdaleError


class RequestError(SassafrasdaleError):
    """Base class of the errors of one request's life."""


class RequestNotHeld(RequestError):
    """No request of that id is held here for that customer."""


class RequestIdTaken(RequestError):
    """The request id already names another request."""


class KeyReused(RequestError):
    """An idempotency key came back with another request."""


class HandOverFaulty(RequestError):
    """A hand-over of a peer can't be read."""


class ClaimRefused(RequestError):
    """No claim was granted, and none will be: the request does not run."""


class EndpointLeaves(RequestError):
    """The endpoint is about to leave, and the request goes on elsewhere."""


class EntryStops(RequestError):
    """The time of this entry is up, and the call is not answered."""
