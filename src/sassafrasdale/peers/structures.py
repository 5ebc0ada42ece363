"""Data classes of the communication between entries, and the messages it posts."""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from enum import IntEnum
from typing import Protocol

from sassafrasdale.coordination.texts import TextRecord
from sassafrasdale.structures import Address, Notice


class MemberState(IntEnum):
    """State of a member; at equal incarnations the higher value wins."""

    ALIVE = 0
    LEAVING = 1
    SUSPECT = 2
    DEAD = 3


@dataclass(frozen=True, slots=True)
class Member:
    """An entry as known to this entry.

    :param name: the platform's name of the instance.
    :param availability_zone: availability zone of the instance.
    :param address: address of its HTTP server.
    :param peer_address: address of its server for peers.
    :param state: its last known state.
    :param incarnation: number that the member raises with each state it announces.
    :param revision: highest configuration revision received from it, 0 if none.
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
        """Whether it is alive and not leaving."""
        return self.state is MemberState.ALIVE

    @property
    def precedence(self) -> tuple[int, int]:
        """Sort key for two states of one member: the greater one wins."""
        return (self.incarnation, int(self.state))


@dataclass(frozen=True, slots=True)
class HandOver:
    """A request that its holder transfers to another entry.

    :param request_id: id with which the client resumes the request.
    :param holder: name of the entry that transfers it.
    :param request: the request and its progress, encoded by the caller.
    """

    request_id: str
    holder: str
    request: bytes


@dataclass(frozen=True, slots=True)
class TextOffered:
    """Message: a newer configuration was pulled from a peer."""

    record: TextRecord


@dataclass(frozen=True, slots=True)
class NoticeReceived:
    """Message: a peer sent a reclaim notice that was new here."""

    notice: Notice


@dataclass(frozen=True, slots=True)
class MembersChanged:
    """Message: the membership as seen from this entry has changed."""

    members: tuple[Member, ...]


@dataclass(frozen=True, slots=True)
class HandOverOffered:
    """Message: a peer offers a hand-over; call ``reply`` with the decision."""

    handover: HandOver
    reply: Callable[[bool], None]


@dataclass(frozen=True, slots=True)
class FindRequested:
    """Message: a peer asks whether this entry holds a request; call ``reply``."""

    request_id: str
    reply: Callable[[bool], None]


class NodeSettings(Protocol):
    """The process settings that this package reads."""

    name: str
    availability_zone: str
    address: Address
    peer_address: Address


@dataclass(frozen=True, slots=True)
class PeerTimings:
    """Periods and timeouts of the communication between entries.

    :param period: time between two probes.
    :param probe_timeout: timeout of the first probe.
    :param retry_timeout: timeout of the retry on a new connection and of indirect
        probes.
    :param suspicion: time that a suspect member has to refute.
    :param forget: time after which a dead member that isn't listed is removed.
    :param pause: delay of a period from which this process counts as paused.
    :param call_timeout: timeout of one attempt of any other call.
    :param coalesce: delay before a round, to batch updates.
    :param spread_interval: minimum time between two rounds.
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
