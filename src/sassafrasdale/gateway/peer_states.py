"""What gateways tell each other: their own state, what they heard, stored values."""

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import field
from datetime import timedelta

from pydantic import TypeAdapter
from pydantic.dataclasses import dataclass

from sassafrasdale.decisions.news import ToldLoad
from sassafrasdale.decisions.quotas import SpendingReport
from sassafrasdale.gateway.usage import ClockReading
from sassafrasdale.structures import Address


@dataclass(frozen=True, slots=True)
class EndpointLoad:
    """What a gateway has under way at an endpoint."""

    in_flight: int
    unread_tokens: int


@dataclass(frozen=True, slots=True)
class DutyClaim:
    """That a gateway holds the duties, under a fencing number."""

    fencing_number: int


@dataclass(frozen=True, slots=True)
class PeerState:
    """State of one gateway at one moment.

    :param incarnation: distinguishes starts of the process; later ones are higher.
    :param sequence: grows with each state of an incarnation.
    :param address: where it takes exchanges.
    :param time: its clock when it made this state.
    :param revisions: how far it has followed each prefix of the store.
    :param loads: what it has under way, by endpoint.
    :param spending: what its callers ask and were given, by customer.
    :param usage: requests that began, by window and customer.
    :param work: engine time that its requests take a second, by service.
    :param leaving: whether it is stopping.
    """

    name: str
    incarnation: int
    sequence: int
    host: str
    port: int
    time: ClockReading
    revisions: Mapping[str, int] = field(default_factory=dict)
    loads: Mapping[str, EndpointLoad] = field(default_factory=dict)
    spending: Mapping[str, SpendingReport] = field(default_factory=dict)
    usage: Mapping[int, Mapping[str, int]] = field(default_factory=dict)
    work: Mapping[str, float] = field(default_factory=dict)
    duty: DutyClaim | None = None
    leaving: bool = False

    @property
    def address(self) -> Address:
        """Where it takes exchanges."""
        return Address(self.host, self.port)

    @property
    def age_key(self) -> tuple[int, int]:
        """Orders the states of one gateway."""
        return (self.incarnation, self.sequence)


@dataclass(frozen=True, slots=True)
class Exchange:
    """States that one gateway sends to another."""

    states: tuple[PeerState, ...]


@dataclass(frozen=True, slots=True)
class StoreValues:
    """Raw values below a prefix of the store, as of a revision.

    :param changed_revision: revision of the last change among them.
    """

    revision: int
    changed_revision: int
    values: Mapping[str, bytes]


EXCHANGE_FORM = TypeAdapter(Exchange)
STORE_VALUES_FORM = TypeAdapter(StoreValues)


def loads_by_endpoint(
    told: Iterable[tuple[PeerState, timedelta]],
) -> dict[str, ToldLoad]:
    """Return the load that all given gateways have at each endpoint.

    :param told: their states, and how long ago each was told.
    """
    in_flight: Counter[str] = Counter()
    unread: Counter[str] = Counter()
    aged: Counter[str] = Counter()
    for state, age in told:
        for endpoint, load in state.loads.items():
            in_flight[endpoint] += load.in_flight
            unread[endpoint] += load.unread_tokens
            aged[endpoint] += load.unread_tokens * age.total_seconds()
    return {
        endpoint: ToldLoad(
            count,
            unread[endpoint],
            timedelta(seconds=aged[endpoint] / max(unread[endpoint], 1)),
        )
        for endpoint, count in in_flight.items()
    }
