"""Shutdown of an entry: finishes requests in time, hands over the others."""

import socket
from datetime import datetime, timedelta

from logbook import Logger

from sassafrasdale.callers.relays import Relay
from sassafrasdale.callers.server import CallerServer
from sassafrasdale.charts import Lifecycle
from sassafrasdale.clock import Clock
from sassafrasdale.green import sleep
from sassafrasdale.peers.node import PeerNode
from sassafrasdale.requests.dispatcher import Dispatcher
from sassafrasdale.requests.transfers import Transfers

log = Logger("entry")

# Time for the load balancer to see that the entry is no longer ready.
UNREADY_DELAY = timedelta(seconds=1)
# Largest fraction of the remaining time that the above may take, for short notices.
MAX_UNREADY_FRACTION = 0.25
DRAIN_POLL = timedelta(milliseconds=50)
# All generations still running this long before the end are handed over.
HAND_OVER_RESERVE = timedelta(seconds=2)
# Relayed streams are ended this long before the end; callers resume them through
# other entries.
RELAY_RESERVE = timedelta(seconds=1)
# Callers that still wait this long before the end get a response with what is known
# of their request.
RESPONSE_RESERVE = timedelta(milliseconds=300)
# Time for the response on the connection that was accepted last.
LAST_RESPONSE_TIME = timedelta(milliseconds=100)


class Drain:
    """Shutdown of one entry.

    :param timeout: longest time of a planned shutdown.
    :param lifecycle: lifecycle of the entry.
    :param server: HTTP server for the callers.
    :param relay: fetches that are relayed to peers.
    :param peers: the other entries.
    :param dispatcher: runs the requests that this entry holds.
    :param transfers: hands generations over to peers.
    :param clock: source of time.
    """

    def __init__(
        self,
        timeout: timedelta,
        *,
        lifecycle: Lifecycle,
        server: CallerServer,
        relay: Relay,
        peers: PeerNode,
        dispatcher: Dispatcher,
        transfers: Transfers,
        clock: Clock,
    ) -> None:
        self._timeout = timeout
        self._lifecycle = lifecycle
        self._server = server
        self._relay = relay
        self._peers = peers
        self._dispatcher = dispatcher
        self._transfers = transfers
        self._clock = clock
        self._leave_by: datetime | None = None
        self._accepts_requests = True

    @property
    def accepts_requests(self) -> bool:
        """Whether new requests are still accepted."""
        return self._accepts_requests

    def set_departure_time(self, leave_by: datetime) -> None:
        """Set the time at which the platform takes this instance away."""
        self._leave_by = leave_by

    def run(self, listener: socket.socket) -> None:
        """Finish the requests in flight, and hand over those that take too long.

        Connections are accepted until the end: peers fetch from here what this
        entry still holds, for callers that reconnect through them.
        """
        began = self._clock.elapsed()
        self._lifecycle.fire("leave")
        self._peers.announce_leaving()
        left = self._remaining_time(began)
        log.info("leaving within {}", left)
        self._transfers.hand_over_unfinished(left)
        sleep(min(UNREADY_DELAY, left * MAX_UNREADY_FRACTION))
        self._accepts_requests = False
        self._server.close_connections()
        while (left := self._remaining_time(began)) and self._is_busy():
            if left < HAND_OVER_RESERVE:
                self._transfers.hand_over_unfinished(timedelta())
            if left < RELAY_RESERVE:
                self._relay.release()
            if left < RESPONSE_RESERVE:
                self._dispatcher.abort_all()
            self._transfers.hand_over_undelivered()
            self._transfers.hand_over_delivered()
            sleep(DRAIN_POLL)
        if self._transfers.has_delivered:
            log.warning("stopping before all delivered responses were handed over")
        listener.close()
        sleep(min(LAST_RESPONSE_TIME, self._remaining_time(began)))
        self._lifecycle.fire("drained")
        log.info("stopped")

    def _remaining_time(self, began: timedelta) -> timedelta:
        """Return the time left of a shutdown that began at ``began``.

        A notice may arrive during a planned shutdown; the earlier end counts.
        """
        left = began + self._timeout - self._clock.elapsed()
        if self._leave_by is not None:
            left = min(left, self._leave_by - self._clock.now())
        return max(timedelta(), left)

    def _is_busy(self) -> bool:
        registry = self._dispatcher.registry
        return bool(
            self._server.open_responses
            or registry.running
            or registry.undelivered
            or self._transfers.has_delivered
        )
