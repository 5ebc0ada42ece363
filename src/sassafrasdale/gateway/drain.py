"""Graceful shutdown of a gateway's connections.

The balancer keeps sending new connections until two of its health checks have failed,
and callers keep using their open connections. So the gateway continues to serve at
first, closing each connection after its response; then it closes idle connections, and
waits for the rest until shortly before the process would be killed.
"""

from collections.abc import Callable
from datetime import timedelta

from logbook import Logger

from sassafrasdale.clock import Clock
from sassafrasdale.green import sleep
from sassafrasdale.http.server import HttpServer

log = Logger("drain")

# New connections are accepted for this time after the stop signal: the balancer checks
# once a second and removes a gateway after two failures.
SERVE_ON = timedelta(seconds=3.2)
# During this time a request is accepted however long it may take. Later, only one that
# must end within the grace period is: the balancer has switched to another gateway, and
# the caller can, too.
ACCEPT_ALL_PERIOD = timedelta(seconds=2.7)
# Part of the grace period that is reserved for the final steps.
MARGIN = timedelta(milliseconds=500)
STEP = timedelta(milliseconds=50)


class Drain:
    """Closes a server's connections without interrupting a response.

    :param server: the server for callers.
    :param grace: time until the process is killed.
    :param clock: source of elapsed time.
    :param forwards: returns the number of peers' requests that are being forwarded.
    """

    def __init__(
        self,
        server: HttpServer,
        grace: timedelta,
        clock: Clock,
        forwards: Callable[[], int] = lambda: 0,
    ) -> None:
        self._server = server
        self._grace = grace
        self._clock = clock
        self._forwards = forwards
        self._began_at: timedelta | None = None

    @property
    def last_end(self) -> timedelta | None:
        """Elapsed time by which a new request must end; None for no limit."""
        if (
            self._began_at is None
            or self._clock.elapsed() < self._began_at + ACCEPT_ALL_PERIOD
        ):
            return None
        return self._deadline(self._began_at)

    def run(self) -> None:
        """Return when all requests are complete, or when the time is up."""
        began_at = self._began_at = self._clock.elapsed()
        deadline = self._deadline(began_at)
        self._wait(min(began_at + SERVE_ON, deadline))
        self._server.close()
        self._server.close_idle()
        log.info("no more connections taken", busy=self._server.busy_connections)
        while self._is_busy() and self._clock.elapsed() < deadline:
            sleep(STEP)
            self._server.close_idle()

    def _is_busy(self) -> bool:
        return self._server.busy_connections > 0 or self._forwards() > 0

    def _deadline(self, began_at: timedelta) -> timedelta:
        return began_at + self._grace - MARGIN

    def _wait(self, deadline: timedelta) -> None:
        while self._clock.elapsed() < deadline:
            sleep(STEP)
