"""Errors while processing a request. A caller gets an Outcome, not an error."""

from sassafrasdale.exceptions import SassafrasdaleError


class RequestError(SassafrasdaleError):
    """Base class of errors while processing a request."""


class RequestNotHeld(RequestError):
    """No request with that id is held for that customer."""


class RequestIdTaken(RequestError):
    """The request id is already used by another request."""


class KeyReused(RequestError):
    """The idempotency key was used before for another request."""


class MalformedHandOver(RequestError):
    """A peer sent a malformed hand-over."""


class ClaimRefused(RequestError):
    """No claim was granted, and none will be: the request does not run."""


class EndpointLeaving(RequestError):
    """The endpoint is about to leave; the request continues on another one."""


class EntryStopping(RequestError):
    """The entry is stopping before the call was answered."""
