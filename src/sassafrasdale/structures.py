"""Data classes that several layers share."""

from dataclasses import dataclass
from datetime import datetime
from enum import StrEnum


class Role(StrEnum):
    """What an instance is for."""

    ENTRY = "entry"
    ENDPOINT = "endpoint"


class InstanceState(StrEnum):
    """State of an instance as the platform lists it."""

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

        :raises ValueError: if ``text`` has another form.
        """
        host, colon, port = text.rpartition(":")
        if not colon or not host or not port.isdecimal() or int(port) > 65535:
            raise ValueError(f"{text!r} is not of the form host:port")
        return cls(host, int(port))

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@dataclass(frozen=True, slots=True)
class Instance:
    """An instance as the platform lists it.

    :param name: the platform's identifier.
    :param role: entry or endpoint.
    :param availability_zone: where it runs.
    :param address: where it takes HTTP.
    :param peer_address: where an entry takes messages of its peers.
    :param service: name of the service that an endpoint serves.
    :param instance_class: the platform's class of machine.
    :param reclaimable: whether the platform may take it back.
    :param checks_fencing: whether it refuses orders with an old fencing number.
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
    """Announcement that an instance is about to be reclaimed.

    :param sequence: number of the notice; later notices have higher ones.
    :param instance: name of the instance.
    :param leaves_at: when the platform takes it.
    """

    sequence: int
    instance: str
    leaves_at: datetime
