"""Attempts that are in progress."""

from dataclasses import dataclass
from datetime import timedelta

from sassafrasdale.decisions.stream_versions import StreamBinding
from sassafrasdale.gateway.directory import EndpointRecord
from sassafrasdale.gateway.dispatcher_messages import AttemptResult


@dataclass(slots=True)
class Attempt:
    """One attempt that is in progress.

    :param prefill_tokens: prompt tokens that the endpoint has yet to prefill for it.
    :param source: engine from which it fetches the KV cache of shared prompt parts.
    :param queued_tokens: prefill tokens ahead of it at the endpoint, as far as the
        gateway knew that chose it.
    :param peer_report_age: age of the other gateways' load reports at the time.
    :param number: number under which the dispatcher counts it; None if this gateway
        counts it itself.
    :param assigned_by: the dispatcher that assigned the endpoint, if one did.
    :param result: how it ended, once it has.
    :param gap: a low gap between its events.
    :param has_permit: whether it has a permit for an endpoint with a rate limit.
    :param route: name of the request's route; empty for another gateway's attempt.
    :param binding: what the stream is bound to that it resumes, if it does.
    :param forwarder: the peer that it is forwarded through, if it is.
    :param priority: its request's priority, if that was in this gateway's queue.
    :param needed: time that it is expected to take until its response begins; zero if
        its request did not wait.
    """

    record: EndpointRecord
    service: str
    began_at: timedelta
    prefill_tokens: int
    source: EndpointRecord | None = None
    queued_tokens: int = 0
    peer_report_age: timedelta = timedelta()
    has_first_token: bool = False
    number: int | None = None
    assigned_by: str = ""
    result: AttemptResult = AttemptResult.NEUTRAL
    gap: timedelta | None = None
    route: str = ""
    has_permit: bool = False
    forwarder: str = ""
    binding: StreamBinding | None = None
    priority: int | None = None
    needed: timedelta = timedelta()
