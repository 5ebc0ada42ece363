"""Errors of the connections to endpoints, by what they say about a run."""

from sassafrasdale.exceptions import SassafrasdaleError


class EndpointError(SassafrasdaleError):
    """Base class of the errors of one call of an endpoint."""


class NotSent(EndpointError):
    """Not one byte of the request went out."""


class Refused(EndpointError):
    """The endpoint said that it refused before anything ran."""


class AnswerLost(EndpointError):
    """The request went out, and no whole answer came back."""


class StreamUnknown(EndpointError):
    """The engine does not know the stream that was to be resumed."""
