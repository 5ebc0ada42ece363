"""The order of closes at a planned stop.

The balancer goes on sending new connections until it has missed two answers, and
callers go on using connections they have. So the gateway serves on at first, with
each answer ending its connection; then it closes what is idle, and waits for the
rest until shortly before the process would be killed.
"""

from datetime import timedelta

from logbook import Logger

from sassafrasdale.clock import Clock
from sassafrasdale.green import sleep
from sassafrasdale.http.server import HttpServer

log = Logger("drain")

# The balancer asks once a second and takes a gateway out after two misses.
SERVE_ON = timedelta(seconds=3.2)
# Until then a request is taken however long it may last. Later, only one that must
# end within the grace period is: the balancer has moved on, and its caller can, too.
TAKE_ALL = timedelta(seconds=2.7)
# What is left of the grace period for the last words.
MARGIN = timedelta(milliseconds=500)
STEP = timedelta(milliseconds=50)


class Drain:
    """Ends a server's connections without cutting off an answer.

    :param server: the server for callers.
    :param grace: time until the process is killed.
    :param clock: source of elapsed time.
    """

    def __init__(self, server: HttpServer, grace: timedelta, clock: Clock) -> None:
        self._server = server
        self._grace = grace
        self._clock = clock
        self._began: timedelta | None = None

    @property
    def last_end(self) -> timedelta | None:
        """Elapsed time by which a new request must end; None if there is no bound."""
        if self._began is None or self._clock.elapsed() < self._began + TAKE_ALL:
            return None
        return self._end(self._began)

    def run(self) -> None:
        """Return when all is answered, or when the time is up."""
        began = self._began = self._clock.elapsed()
        end = self._end(began)
        self._wait(min(began + SERVE_ON, end))
        self._server.close()
        self._server.close_idle()
        log.info("no more connections taken", busy=self._server.busy_connections)
        while self._server.busy_connections and self._clock.elapsed() < end:
            sleep(STEP)
            self._server.close_idle()

    def _end(self, began: timedelta) -> timedelta:
        return began + self._grace - MARGIN

    def _wait(self, until: timedelta) -> None:
        while self._clock.elapsed() < until:
            sleep(STEP)
