"""A limit on the memory that all buffered bodies of a process take together."""

from collections.abc import Callable
from dataclasses import dataclass

from logbook import Logger

from sassafrasdale.http.exceptions import BodyTooLarge

log = Logger("bodies")

MIB = 1024 * 1024
# Maximum size of one endpoint's response, and of all of them together. A gateway has
# 300 MB, of which about 60 are in use without any body, and a body may exist twice for
# a moment as it is passed on.
MAX_BODY_BYTES = 8 * MIB
ENDPOINT_BODIES_BYTES = 48 * MIB
# The same for the responses of the store and of other gateways: a page of the store has
# 1 MB, and a change may bring many values. They have a limit of their own, so that no
# endpoint keeps a gateway from the store.
MAX_CONTROL_BODY_BYTES = 32 * MIB
CONTROL_BODIES_BYTES = 48 * MIB
# The same for the bodies of callers' requests that are being received or handled.
REQUEST_BODIES_BYTES = 48 * MIB


@dataclass(eq=False, slots=True)
class BodyLease:
    """What one body takes of a budget.

    :param stop: ends the reading of the body; None once it is whole, so that ending it
        would not free its memory.
    """

    budget: "BodyBudget"
    stop: Callable[[], None] | None
    size: int = 0

    def grow(self, size: int) -> None:
        """Take bytes from the budget.

        :raises BodyTooLarge: if there is no room, and this body is the largest of those
            that are being read.
        """
        self.budget.make_room(self, size)
        self.size += size
        self.budget.used += size

    def complete(self) -> None:
        """Record that the body is whole."""
        self.stop = None

    def release(self) -> None:
        """Give all bytes back."""
        self.budget.remove(self)


class BodyBudget:
    """A limit on the size of all buffered bodies together.

    Where there is no room, the largest body that is being read is given up: one that
    has no end grows until it is the largest.

    :param limit_bytes: size of all bodies together.
    :ivar used: size of all bodies now, in bytes.
    """

    def __init__(self, limit_bytes: int) -> None:
        self._limit_bytes = limit_bytes
        self._leases: set[BodyLease] = set()
        self.used = 0

    def lease(self, stop: Callable[[], None]) -> BodyLease:
        """Return a new lease of no bytes.

        :param stop: called if the body is given up in favour of others.
        """
        lease = BodyLease(self, stop)
        self._leases.add(lease)
        return lease

    def make_room(self, lease: BodyLease, size: int) -> None:
        """Give up larger bodies until there is room for a body to grow.

        :raises BodyTooLarge: if there is none.
        """
        if lease not in self._leases:
            raise BodyTooLarge("given up, as all bodies together are too large")
        while self.used + size > self._limit_bytes:
            largest = max(
                (each for each in self._leases if each.stop is not None),
                key=lambda each: each.size,
                default=lease,
            )
            if largest.size <= lease.size:
                raise BodyTooLarge(f"all bodies are over {self._limit_bytes} bytes")
            log.warning("largest body given up", bytes=largest.size, all=self.used)
            stop, largest.stop = largest.stop, None
            self.remove(largest)
            stop()

    def remove(self, lease: BodyLease) -> None:
        """Give all bytes of a lease back."""
        if lease in self._leases:
            self._leases.remove(lease)
            self.used -= lease.size
            lease.size = 0


# The budgets of this process.
ENDPOINT_BODIES = BodyBudget(ENDPOINT_BODIES_BYTES)
CONTROL_BODIES = BodyBudget(CONTROL_BODIES_BYTES)
REQUEST_BODIES = BodyBudget(REQUEST_BODIES_BYTES)
