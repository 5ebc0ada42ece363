"""Data classes of the peers' layer and the messages that it posts."""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from enum import IntEnum
from typing import Protocol

from sassafrasdale.coordination.texts import TextRecord
from sassafrasdale.structures import Address, Notice


class MemberState(IntEnum):
    """What is believed of a member; at equal incarnation the higher one wins."""

    ALIVE = 0
    LEAVING = 1
    SUSPECT = 2
    DEAD = 3


@dataclass(frozen=True, slots=True)
class Member:
    """An entry as this entry knows it.

    :param name: the platform's identifier.
    :param availability_zone: where it runs.
    :param address: where it takes HTTP.
    :param peer_address: where it takes messages of its peers.
    :param state: what is believed of it.
    :param incarnation: counts what the member has said about itself.
    :param revision: newest text revision heard from it, 0 if none.
    """

    name: str
    availability_zone: str
    address: Address
    peer_address: Address
    state: MemberState = MemberState.ALIVE
    incarnation: int = 0
    revision: int = 0

    @property
    def is_usable(self) -> bool:
        """Whether it is alive and stays."""
        return self.state is MemberState.ALIVE

    @property
    def precedence(self) -> tuple[int, int]:
        """Order of two beliefs about one member: the greater one holds."""
        return (self.incarnation, int(self.state))


@dataclass(frozen=True, slots=True)
class HandOver:
    """A request that its holder gives to another entry.

    :param request_id: id by which the caller resumes.
    :param holder: name of the entry that gives it away.
    :param request: the request and its progress, encoded by the caller.
    """

    request_id: str
    holder: str
    request: bytes


@dataclass(frozen=True, slots=True)
class TextOffered:
    """A peer holds a newer text."""

    record: TextRecord


@dataclass(frozen=True, slots=True)
class NoticeHeard:
    """A peer passed on a reclaim notice that was new here."""

    notice: Notice


@dataclass(frozen=True, slots=True)
class MembersChanged:
    """The membership as seen from here has changed."""

    members: tuple[Member, ...]


@dataclass(frozen=True, slots=True)
class HandOverOffered:
    """A peer wants to hand a request over; call ``reply`` with the decision."""

    handover: HandOver
    reply: Callable[[bool], None]


@dataclass(frozen=True, slots=True)
class FindAsked:
    """A peer asks whether a request is held here; call ``reply`` with that."""

    request_id: str
    reply: Callable[[bool], None]


class NodeSettings(Protocol):
    """The part of the process settings that this layer reads."""

    name: str
    availability_zone: str
    address: Address
    peer_address: Address


@dataclass(frozen=True, slots=True)
class PeerTimings:
    """Periods and limits of the peers' messages.

    :param period: time between two probes.
    :param probe_timeout: limit of a first probe.
    :param retry_timeout: limit of the probe on a fresh connection and through
        others.
    :param suspicion: time in which a suspect member may refute.
    :param forget: how long a dead member that the platform does not list is kept.
    :param pause: lateness of a period that shows that this process was paused.
    :param call_timeout: limit of one attempt at any other call.
    :param coalesce: how long news waits for more of it before it is spread.
    :param spread_interval: least time between two rounds of spreading.
    """

    period: timedelta = timedelta(seconds=1)
    probe_timeout: timedelta = timedelta(milliseconds=500)
    retry_timeout: timedelta = timedelta(milliseconds=700)
    suspicion: timedelta = timedelta(milliseconds=1500)
    forget: timedelta = timedelta(seconds=60)
    pause: timedelta = timedelta(seconds=2)
    call_timeout: timedelta = timedelta(seconds=2)
    coalesce: timedelta = timedelta(milliseconds=10)
    spread_interval: timedelta = timedelta(milliseconds=200)
