"""Messages between a gateway and the dispatcher of its zone about an attempt."""

from enum import IntEnum

from msgspec.msgpack import Decoder

from sassafrasdale.decisions.stream_versions import StreamBinding
from sassafrasdale.deployment import PromptPart, RequestTraits
from sassafrasdale.gateway.canary_reports import Count
from sassafrasdale.gateway.peer_states import Message


class AttemptResult(IntEnum):
    """How an attempt ended, for the endpoint's health."""

    SUCCEEDED = 0
    FAILED = 1
    # Refused, or the caller disconnected: no evidence of the endpoint's health.
    NEUTRAL = 2


class AssignmentRequest(Message):
    """Request for the endpoint that a caller's request should be sent to.

    :param number: identifies the attempt within one incarnation of the gateway.
    :param parts: names and tokens of the prompt's parts.
    :param tried: endpoints that the request was sent to before.
    :param backed_off: endpoints that want no requests from the gateway now.
    :param is_stream: whether the response is a stream of events.
    :param binding: service and version that the stream is bound to, if it has begun.
    """

    gateway: str
    incarnation: int
    number: int
    service: str
    prompt_tokens: Count
    parts: tuple[tuple[str, Count], ...]
    tried: tuple[str, ...] = ()
    backed_off: tuple[str, ...] = ()
    is_stream: bool = False
    binding: tuple[str, str] | None = None

    @classmethod
    def of(
        cls,
        gateway: str,
        incarnation: int,
        number: int,
        service: str,
        traits: RequestTraits,
        tried: tuple[str, ...],
        backed_off: tuple[str, ...] = (),
    ) -> "AssignmentRequest":
        """Return the assignment request for a caller's request."""
        parts = tuple((part.name, part.tokens) for part in traits.parts)
        tokens = traits.prompt_tokens or 0
        bound = traits.binding
        return cls(
            gateway,
            incarnation,
            number,
            service,
            tokens,
            parts,
            tried,
            backed_off,
            traits.is_stream,
            None if bound is None else (bound.service, bound.version),
        )

    @property
    def traits(self) -> RequestTraits:
        """The properties that decide on the endpoint."""
        return RequestTraits(
            "",
            prompt_tokens=self.prompt_tokens,
            parts=tuple(PromptPart(name, tokens) for name, tokens in self.parts),
            is_stream=self.is_stream,
            binding=None if self.binding is None else StreamBinding(*self.binding),
        )


class Assignment(Message):
    """The endpoint for an attempt, which counts as in progress there from now on.

    :param endpoint: its name; empty if none is available.
    :param source: engine from which it fetches the KV cache of shared prompt parts.
    :param prefill_tokens: prompt tokens that it has yet to prefill.
    :param queued_tokens: prefill tokens ahead of them.
    :param has_permit: whether the dispatcher has used a permit for it, as the endpoint
        has a rate limit.
    """

    endpoint: str
    source: str = ""
    prefill_tokens: Count = 0
    queued_tokens: Count = 0
    has_permit: bool = False


class FirstToken(Message):
    """Report that an endpoint has finished a prefill, or need not any more.

    :param took_s: time since the assignment request, in seconds; None without a
        prefill.
    """

    number: int
    took_s: float | None


class AttemptEnded(Message):
    """Report that an attempt is no longer in progress.

    :param gap_s: a low gap between the stream's events, in seconds; 0 for too few.
    """

    number: int
    result: AttemptResult
    gap_s: float = 0.0


class AttemptReport(Message):
    """Report on a gateway's attempts."""

    gateway: str
    incarnation: int
    first: tuple[FirstToken, ...] = ()
    ended: tuple[AttemptEnded, ...] = ()


# The dispatcher has no endpoint for an attempt.
NO_ASSIGNMENT = Assignment("")

ASSIGNMENT_REQUEST = Decoder(AssignmentRequest)
ASSIGNMENT = Decoder(Assignment)
ATTEMPT_REPORT = Decoder(AttemptReport)
