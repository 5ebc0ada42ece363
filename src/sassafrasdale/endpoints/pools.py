"""Pooled connections to one endpoint, dropped together when one falls silent."""

from datetime import timedelta

from sassafrasdale.clock import Clock
from sassafrasdale.green_http import GreenHttpPool, http_pool
from sassafrasdale.structures import Address

# Connections of one endpoint are held to have fallen silent together at most
# this often. An endpoint that is slow or down loses answers again and again; its
# calls are then repeated only as far as the retry budget goes.
SILENCE_INTERVAL = timedelta(seconds=30)


class ConnectionPool:
    """Connections opened since the last time that all were dropped.

    :param pool: the connections.
    """

    def __init__(self, pool: GreenHttpPool) -> None:
        self.pool = pool
        self.answered = False
        self.silent = False


class PoolKeeper:
    """Keeps the present pool of connections to one endpoint.

    :param address: the endpoint's address.
    :param connect_limit: longest time to connect.
    :param clock: source of time.
    """

    def __init__(
        self, address: Address, connect_limit: timedelta, clock: Clock
    ) -> None:
        self._address = address
        self._connect_limit = connect_limit
        self._clock = clock
        self._silenced_at: timedelta | None = None
        self._current = self._fresh()

    @property
    def current(self) -> ConnectionPool:
        """The pool for new calls."""
        return self._current

    def lose(self, used: ConnectionPool) -> bool:
        """Drop the pool on which an answer was lost.

        :returns: whether the call is worth trying on a fresh connection. So it is
            for every call on a pool that answered before: something between the
            two ends may have lost track of all its connections at once.
        """
        if used is not self._current:
            # An earlier loss dropped it; the connections since then are fresh.
            return used.silent
        self.drop()
        now = self._clock.elapsed()
        last = self._silenced_at
        if used.answered and (last is None or now - last >= SILENCE_INTERVAL):
            used.silent = True
            self._silenced_at = now
        return used.silent

    def drop(self) -> None:
        """Close all connections that are idle; those in use close after it."""
        old, self._current = self._current, self._fresh()
        old.pool.close()

    def _fresh(self) -> ConnectionPool:
        return ConnectionPool(
            http_pool(self._address, connect_timeout=self._connect_limit)
        )
