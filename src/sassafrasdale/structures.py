"""Data classes shared by several layers."""

from dataclasses import dataclass
from datetime import datetime
from enum import StrEnum


class Role(StrEnum):
    """Purpose of an instance."""

    ENTRY = "entry"
    ENDPOINT = "endpoint"


class InstanceState(StrEnum):
    """State of an instance in the platform's list."""

    RUNNING = "running"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class Address:
    """An IP address and a port."""

    host: str
    port: int

    @classmethod
    def parse(cls, text: str) -> "Address":
        """Return the address written as ``host:port``.

        :raises ValueError: if ``text`` is malformed.
        """
        host, colon, port = text.rpartition(":")
        if not colon or not host or not port.isdecimal() or int(port) > 65535:
            raise ValueError(f"{text!r} is not of the form host:port")
        return cls(host, int(port))

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@dataclass(frozen=True, slots=True)
class Instance:
    """An instance in the platform's list.

    :param name: identifier of the instance on the platform.
    :param role: entry or endpoint.
    :param availability_zone: availability zone of the instance.
    :param address: its HTTP address.
    :param peer_address: address of an entry for messages from its peers.
    :param service: name of the service that an endpoint serves.
    :param instance_class: machine class on the platform.
    :param reclaimable: whether the platform may reclaim it.
    :param checks_fencing: whether it rejects orders with an old fencing number.
    :param state: running or leaving.
    """

    name: str
    role: Role
    availability_zone: str
    address: Address
    peer_address: Address | None = None
    service: str = ""
    instance_class: str = ""
    reclaimable: bool = True
    checks_fencing: bool = False
    state: InstanceState = InstanceState.RUNNING


@dataclass(frozen=True, slots=True)
class Notice:
    """Notice that an instance will be reclaimed.

    :param sequence: sequence number; later notices have higher ones.
    :param instance: name of the instance.
    :param leaves_at: time at which the platform reclaims it.
    """

    sequence: int
    instance: str
    leaves_at: datetime
