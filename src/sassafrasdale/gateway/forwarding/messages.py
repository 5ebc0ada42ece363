"""Messages of forwarding between gateways."""

from enum import StrEnum

from msgspec import Struct
from msgspec.msgpack import Decoder, Encoder

from sassafrasdale.decisions.links import Reachability
from sassafrasdale.gateway.peer_states import Contact
from sassafrasdale.http.messages import Headers, ResponseHead

FORWARD_TARGET = "/forward"
REACHABILITY_TARGET = "/reachability/"
CONTACTS_TARGET = "/contacts"

# Headers of a forwarder's response; an endpoint's headers of these names are dropped.
_OUTCOME = "forward-outcome"
_REASON = "forward-reason"
_IN_FLIGHT = "forward-in-flight"
_OWN_HEADERS = frozenset({_OUTCOME, _REASON, _IN_FLIGHT})


class ForwardOutcome(StrEnum):
    """What a forwarder knows of a request without a response of the endpoint.

    ``NOT_SENT``: the endpoint could not be reached. ``REFUSED``: the forwarder takes no
    forwards, or none to it. ``WITHHELD``: it holds back requests to the endpoint, its
    own ones, too. ``UNKNOWN``: the request may have run.
    """

    NOT_SENT = "not sent"
    REFUSED = "refused"
    WITHHELD = "withheld"
    UNKNOWN = "unknown"


class ForwardedRequest(Struct, frozen=True, array_like=True):
    """A request for an endpoint, as the endpoint is to get it.

    :param endpoint: name of the endpoint.
    :param expires_at: cluster time of its deadline, in seconds since 1970.
    :param left_s: time left as it was sent, in seconds.
    :param is_repeatable: whether it may run more than once.
    :param fingerprint: under which a crash of the endpoint counts against it.
    :param software: version that the endpoint must have, as the request resumes a
        stream; empty for any.
    :param is_trial: whether it is a trial of something that is quarantined.
    """

    endpoint: str
    expires_at: float
    left_s: float
    is_repeatable: bool
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes = b""
    fingerprint: str = ""
    software: str = ""
    is_trial: bool = False


class EndpointReachability(Struct, frozen=True, array_like=True):
    """Whether a gateway reaches an endpoint."""

    reachability: Reachability


class Contacts(Struct, frozen=True, array_like=True):
    """Gateways of a zone."""

    contacts: tuple[Contact, ...]


encode = Encoder().encode
FORWARDED_REQUEST = Decoder(ForwardedRequest)
ENDPOINT_REACHABILITY = Decoder(EndpointReachability)
CONTACTS = Decoder(Contacts)


def failure_headers(outcome: ForwardOutcome, reason: str, in_flight: int) -> Headers:
    """Return the headers of a response without one of the endpoint."""
    return ((_OUTCOME, str(outcome)), (_REASON, reason), *_load_headers(in_flight))


def response_headers(headers: Headers, in_flight: int) -> Headers:
    """Return the headers of an endpoint's response that is passed on."""
    return (*without_own_headers(headers), *_load_headers(in_flight))


def without_own_headers(headers: Headers) -> Headers:
    """Return headers without those of a forwarder."""
    return tuple((name, value) for name, value in headers if name not in _OWN_HEADERS)


def outcome_of(head: ResponseHead) -> ForwardOutcome | None:
    """Return the outcome without a response of the endpoint; None if there is one."""
    value = head.header(_OUTCOME)
    if not value:
        return None
    known = {str(outcome) for outcome in ForwardOutcome}
    return ForwardOutcome(value) if value in known else ForwardOutcome.UNKNOWN


def is_from_forwarder(head: ResponseHead) -> bool:
    """Return whether a response is a forwarder's; a peer may know no forwards."""
    return bool(head.header(_IN_FLIGHT))


def reason_in(head: ResponseHead) -> str:
    """Return why there was no response of the endpoint."""
    return head.header(_REASON)


def in_flight_at(head: ResponseHead) -> int:
    """Return the number of forwards in flight at the forwarder."""
    value = head.header(_IN_FLIGHT)
    return int(value) if value.isdecimal() and len(value) < 9 else 0


def _load_headers(in_flight: int) -> Headers:
    return ((_IN_FLIGHT, str(in_flight)),)
