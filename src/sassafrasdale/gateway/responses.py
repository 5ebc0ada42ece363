"""Responses of endpoints, as far as they have been read."""

from dataclasses import dataclass

from sassafrasdale.http.messages import ResponseHead


@dataclass(frozen=True, slots=True)
class EndpointResponse:
    """What has been read of an endpoint's response.

    :param body: the whole body; None if it is still to be read, as that of a stream.
    :param received: what was read of a stream's body so far; ends with no bytes if that
        was all.
    """

    head: ResponseHead
    body: bytes | None = None
    received: tuple[bytes, ...] = ()
