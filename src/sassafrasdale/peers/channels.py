"""Pool of gRPC channels to peers, closed after an error or when least used."""

from collections import OrderedDict
from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import TypeVar

from grpclib.client import Channel
from grpclib.config import Configuration
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError
from h2.exceptions import H2Error

from sassafrasdale.peers.exceptions import PeerNotReached
from sassafrasdale.peers.generated.peers_grpc import PeersStub
from sassafrasdale.peers.timeouts import wait_within
from sassafrasdale.structures import Address

Reply = TypeVar("Reply")
Call = Callable[[PeersStub], Awaitable[Reply]]

MAX_CHANNELS = 20
PING_PERIOD = 10.0  # seconds
PING_TIMEOUT = 5.0  # seconds

CALL_ERRORS = (
    OSError,
    TimeoutError,
    GRPCError,
    ProtocolError,
    StreamTerminatedError,
    H2Error,
)

# HTTP/2 pings detect connections that broke while idle.
CLIENT_CONFIGURATION = Configuration(
    _keepalive_time=PING_PERIOD,
    _keepalive_timeout=PING_TIMEOUT,
    _http2_min_sent_ping_interval_without_data=PING_PERIOD,
)


class ChannelPool:
    """LRU pool of open channels.

    In a full mesh each node would need two connections per peer. With hundreds of
    nodes that exceeds the memory budget of control traffic, for connections on
    which a probe is sent only once in hundreds of seconds.

    :param limit: maximum number of open channels.
    """

    def __init__(self, limit: int = MAX_CHANNELS) -> None:
        self._limit = limit
        self._channels: OrderedDict[Address, Channel] = OrderedDict()
        self._in_use: dict[Channel, int] = {}

    def __len__(self) -> int:
        return len(self._channels)

    async def call(
        self, address: Address, call: Call[Reply], limit: timedelta
    ) -> Reply:
        """Make a call on the open channel, or on a new one.

        :raises PeerNotReached: if there was no reply; the channel is closed then.
        """
        channel = self._channel(address)
        self._in_use[channel] = self._in_use.get(channel, 0) + 1
        try:
            return await wait_within(limit, call(PeersStub(channel)))
        except CALL_ERRORS as error:
            self._drop(address, channel)
            raise PeerNotReached(f"{address}: {error!r}") from error
        finally:
            self._release(address, channel)

    async def call_with_retry(
        self, address: Address, call: Call[Reply], limit: timedelta
    ) -> Reply:
        """Make a call, and retry it once on a new channel if it fails.

        A connection can stay unresponsive while new ones work, because a device
        on its path dropped its state. This shows as a timeout; the new channel
        distinguishes it from a dead peer. Only for idempotent calls.

        :raises PeerNotReached: if the second attempt had no reply either.
        """
        try:
            return await self.call(address, call, limit)
        except PeerNotReached:
            return await self.call(address, call, limit)

    def close(self) -> None:
        """Close every channel."""
        for channel in self._channels.values():
            channel.close()
        self._channels.clear()

    def _channel(self, address: Address) -> Channel:
        channel = self._channels.get(address)
        if channel is None:
            channel = Channel(address.host, address.port, config=CLIENT_CONFIGURATION)
            self._channels[address] = channel
            self._evict()
        self._channels.move_to_end(address)
        return channel

    def _evict(self) -> None:
        idle = [
            address
            for address, channel in self._channels.items()
            if channel not in self._in_use
        ]
        excess = len(self._channels) - self._limit
        for address in idle[: max(0, excess)]:
            if address != next(reversed(self._channels)):
                self._channels.pop(address).close()

    def _drop(self, address: Address, channel: Channel) -> None:
        if self._channels.get(address) is channel:
            del self._channels[address]
        channel.close()

    def _release(self, address: Address, channel: Channel) -> None:
        self._in_use[channel] -= 1
        if self._in_use[channel]:
            return
        del self._in_use[channel]
        if self._channels.get(address) is not channel:
            # This call may have reconnected the channel after another call had
            # dropped it; that connection would never be closed.
            channel.close()
