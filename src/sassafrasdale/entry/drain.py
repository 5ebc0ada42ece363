"""The stop of an entry: finishes what fits, hands over what doesn't."""

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

# Time for the balancer to see that the entry is not ready any more.
UNREADY_LEAD = timedelta(seconds=1)
# Share of a short notice that the lead takes at most.
LEAD_SHARE = 0.25
DRAIN_POLL = timedelta(milliseconds=50)
# What is left this long before the end of a stop is handed over.
HAND_OVER_RESERVE = timedelta(seconds=2)
# What is relayed is ended this long before, and callers go on through others.
RELAY_RESERVE = timedelta(seconds=1)
# Whoever still waits is told what is known this long before.
ANSWER_RESERVE = timedelta(milliseconds=300)
# A connection that was accepted last still gets its answer within this time.
LAST_CALL = timedelta(milliseconds=100)


class Drain:
    """One stop of one entry.

    :param timeout: longest time of a planned stop.
    :param life: lifecycle of the entry.
    :param server: the callers' server.
    :param relay: fetches that go on to peers.
    :param peers: the other entries.
    :param dispatcher: the requests held.
    :param transfers: hand-overs to peers.
    :param clock: source of time.
    """

    def __init__(
        self,
        timeout: timedelta,
        *,
        life: Lifecycle,
        server: CallerServer,
        relay: Relay,
        peers: PeerNode,
        dispatcher: Dispatcher,
        transfers: Transfers,
        clock: Clock,
    ) -> None:
        self._timeout = timeout
        self._life = life
        self._server = server
        self._relay = relay
        self._peers = peers
        self._dispatcher = dispatcher
        self._transfers = transfers
        self._clock = clock
        self._leave_by: datetime | None = None
        self._takes_work = True

    @property
    def takes_work(self) -> bool:
        """Whether new requests are still taken."""
        return self._takes_work

    def announce(self, leave_by: datetime) -> None:
        """Take the time at which the platform takes this instance."""
        self._leave_by = leave_by

    def run(self, listener: socket.socket) -> None:
        """Finish what is in flight, hand over what doesn't fit.

        Connections are taken until the end: peers fetch here what this entry
        still holds, for callers who come back through them.
        """
        began = self._clock.elapsed()
        self._life.fire("leave")
        self._peers.announce_leaving()
        left = self._time_to_leave(began)
        log.info("leaving within {}", left)
        self._transfers.give_what_does_not_fit(left)
        sleep(min(UNREADY_LEAD, left * LEAD_SHARE))
        self._takes_work = False
        self._server.close_connections()
        while (left := self._time_to_leave(began)) and self._is_busy():
            if left < HAND_OVER_RESERVE:
                self._transfers.give_what_does_not_fit(timedelta())
            if left < RELAY_RESERVE:
                self._relay.release()
            if left < ANSWER_RESERVE:
                self._dispatcher.give_up_all()
            self._transfers.give_undelivered()
            sleep(DRAIN_POLL)
        listener.close()
        sleep(min(LAST_CALL, self._time_to_leave(began)))
        self._life.fire("drained")
        log.info("stopped")

    def _time_to_leave(self, began: timedelta) -> timedelta:
        """Return what is left of a stop that began at ``began``.

        A notice may come during a planned stop, and then counts if it is sooner.
        """
        left = began + self._timeout - self._clock.elapsed()
        if self._leave_by is not None:
            left = min(left, self._leave_by - self._clock.now())
        return max(timedelta(), left)

    def _is_busy(self) -> bool:
        registry = self._dispatcher.registry
        return bool(
            self._server.open_answers or registry.running or registry.undelivered
        )
