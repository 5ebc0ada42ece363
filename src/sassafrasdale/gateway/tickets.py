"""Sends that are under way."""

from dataclasses import dataclass
from datetime import timedelta

from sassafrasdale.gateway.assignment import SendEnd
from sassafrasdale.gateway.directory import EndpointRecord


@dataclass(slots=True)
class Attempt:
    """One send that is under way.

    :param unread_tokens: prompt tokens that the endpoint has yet to read for it.
    :param source: engine from which it fetches shared parts of the prompt.
    :param queued_tokens: what was sent there before and isn't read yet, as far as the
        one knows that has chosen.
    :param news_age: age of what was known of the other gateways' sends.
    :param number: number under which the dispatcher counts it; None where this gateway
        does by itself.
    :param named_by: the dispatcher that has named the endpoint, if one did.
    :param end: how it ended, once it has.
    :param pause: a low pause between its events.
    :param route: name of the request's route; empty where another gateway's is counted.
    """

    record: EndpointRecord
    service: str
    began_at: timedelta
    unread_tokens: int
    source: EndpointRecord | None = None
    queued_tokens: int = 0
    news_age: timedelta = timedelta()
    has_first: bool = False
    number: int | None = None
    named_by: str = ""
    end: SendEnd = SendEnd.OTHERWISE
    pause: timedelta | None = None
    route: str = ""
