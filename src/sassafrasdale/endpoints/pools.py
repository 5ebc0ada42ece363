"""Pooled connections to one endpoint, closed together when one is unresponsive."""

from datetime import timedelta

from sassafrasdale.clock import Clock
from sassafrasdale.green_http import GreenHttpPool, http_pool
from sassafrasdale.structures import Address

# Minimum time between two losses for which a pool's connections are considered
# unresponsive together. A slow or crashed endpoint loses responses repeatedly; its
# calls are then retried only within the retry budget.
UNRESPONSIVE_INTERVAL = timedelta(seconds=30)


class ConnectionPool:
    """Connections opened since all earlier ones were closed.

    :param pool: the connections.

    :ivar has_responded: whether any call on them got a response.
    :ivar unresponsive: whether they are considered unresponsive together.
    """

    def __init__(self, pool: GreenHttpPool) -> None:
        self.pool = pool
        self.has_responded = False
        self.unresponsive = False


class ReplaceablePool:
    """The current pool of connections to one endpoint, replaced after a loss.

    :param address: the endpoint's address.
    :param connect_timeout: maximum time to connect.
    :param clock: source of time.
    """

    def __init__(
        self, address: Address, connect_timeout: timedelta, clock: Clock
    ) -> None:
        self._address = address
        self._connect_timeout = connect_timeout
        self._clock = clock
        self._unresponsive_at: timedelta | None = None
        self._current = self._new_pool()

    @property
    def current(self) -> ConnectionPool:
        """The pool for new calls."""
        return self._current

    def record_lost_response(self, used: ConnectionPool) -> bool:
        """Replace the pool on which a response was lost.

        :returns: whether the call should be retried on a fresh connection. It should
            if the pool has had responses before: a middlebox may have dropped the
            state of all its connections at once.
        """
        if used is not self._current:
            # An earlier loss replaced this pool; the current connections are fresh.
            return used.unresponsive
        self.drop()
        now = self._clock.elapsed()
        last = self._unresponsive_at
        if used.has_responded and (last is None or now - last >= UNRESPONSIVE_INTERVAL):
            used.unresponsive = True
            self._unresponsive_at = now
        return used.unresponsive

    def drop(self) -> None:
        """Close the idle connections; those in use are closed after their call."""
        old, self._current = self._current, self._new_pool()
        old.pool.close()

    def _new_pool(self) -> ConnectionPool:
        return ConnectionPool(
            http_pool(self._address, connect_timeout=self._connect_timeout)
        )
