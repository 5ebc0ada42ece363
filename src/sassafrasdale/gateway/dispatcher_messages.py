"""Messages between a gateway and the dispatcher of its zone about an attempt."""

from datetime import timedelta
from enum import IntEnum
from typing import Annotated

from msgspec import Meta, structs
from msgspec.msgpack import Decoder

from sassafrasdale.decisions.stream_versions import StreamBinding
from sassafrasdale.deployment import PromptPart, RequestTraits
from sassafrasdale.gateway.admission.terms import AdmissionTerms
from sassafrasdale.gateway.canary_reports import Count
from sassafrasdale.gateway.peer_states import Message

# Longest time for which the dispatcher holds a call of an attempt that waits. Its
# gateway asks again then, so it notices a lost dispatcher soon after.
HOLD_TIME = timedelta(milliseconds=100)

# Bounded on decoding: a longer time, or one that is no number, is no timedelta.
Seconds = Annotated[float, Meta(ge=-1e6, le=1e6)]


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
    :param may_wait: whether it waits until an endpoint has room. An earlier version of
        a dispatcher or of a gateway doesn't know that.
    :param is_queued: whether it has a place in the queue, and waits for its turn.
    :param objective_s: seconds until its response should begin.
    :param deadline_s: seconds until its caller leaves.
    :param waited_s: seconds since its caller's first attempt, as estimated.
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
    may_wait: bool = False
    is_queued: bool = False
    customer: str = ""
    priority: Count = 0
    objective_s: Seconds = 0.0
    deadline_s: Seconds = 0.0
    waited_s: Seconds = 0.0

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

    def with_terms(
        self, terms: AdmissionTerms, now: timedelta, *, is_queued: bool
    ) -> "AssignmentRequest":
        """Return the request for an attempt that may wait.

        :param now: elapsed time at this gateway; clocks of others differ.
        """
        return structs.replace(
            self,
            may_wait=True,
            is_queued=is_queued,
            customer=terms.customer,
            priority=terms.priority,
            objective_s=(terms.objective_at - now).total_seconds(),
            deadline_s=(terms.deadline - now).total_seconds(),
            waited_s=(now - terms.arrived_at).total_seconds(),
        )

    def terms(self, now: timedelta) -> AdmissionTerms | None:
        """Return on which terms it waits; None if it doesn't.

        :param now: elapsed time at this gateway.
        """
        if not self.may_wait:
            return None
        return AdmissionTerms(
            self.customer,
            self.priority,
            now - timedelta(seconds=self.waited_s),
            now + timedelta(seconds=self.objective_s),
            now + timedelta(seconds=self.deadline_s),
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
    :param needed_s: seconds that it is expected to take there until its response
        begins; 0 if it did not wait.
    """

    endpoint: str
    source: str = ""
    prefill_tokens: Count = 0
    queued_tokens: Count = 0
    has_permit: bool = False
    needed_s: Seconds = 0.0


class Queued(Message):
    """Reply that an attempt waits for its turn; its gateway asks again at once."""


class AssignmentRejected(Message):
    """Reply that an attempt can't be served in time.

    :param retry_after_s: seconds after which its caller should come back.
    :param inputs: what decided, for the logs of its gateway.
    """

    reason: str
    retry_after_s: Seconds
    inputs: str = ""


class FirstToken(Message):
    """Report that an endpoint has finished a prefill, or need not any more.

    :param took_s: time since the assignment request, in seconds; None without a
        prefill.
    """

    number: int
    took_s: Seconds | None


class AttemptEnded(Message):
    """Report that an attempt is no longer in progress.

    :param gap_s: a low gap between the stream's events, in seconds; 0 for too few.
    """

    number: int
    result: AttemptResult
    gap_s: Seconds = 0.0


class AttemptReport(Message):
    """Report on a gateway's attempts."""

    gateway: str
    incarnation: int
    first: tuple[FirstToken, ...] = ()
    ended: tuple[AttemptEnded, ...] = ()


AssignmentReply = Assignment | Queued | AssignmentRejected

# The dispatcher has no endpoint for an attempt.
NO_ASSIGNMENT = Assignment("")

ASSIGNMENT_REQUEST = Decoder(AssignmentRequest)
ASSIGNMENT = Decoder(Assignment)
ASSIGNMENT_REJECTED = Decoder(AssignmentRejected)
ATTEMPT_REPORT = Decoder(AttemptReport)
