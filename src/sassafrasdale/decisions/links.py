"""Belief about the link from this gateway to one endpoint."""

from dataclasses import dataclass
from datetime import timedelta
from enum import StrEnum

# Checks in a row that must be answered before a lost link is used again.
CHECKS_TO_RECOVER = 2
CHECK_INTERVAL = timedelta(milliseconds=500)
MAX_CHECK_INTERVAL = timedelta(seconds=4)
# A link that is lost again so soon after its recovery is checked half as often.
FLAP_WINDOW = timedelta(seconds=10)
# Exchanges in a row that end without a byte before the link is diagnosed.
FAILURES_TO_DIAGNOSE = 2


class Reachability(StrEnum):
    """What a gateway knows of its own link to an endpoint."""

    REACHED = "reached"
    NOT_REACHED = "not reached"
    # It does not know this endpoint, or its own link is lost.
    UNKNOWN = "unknown"


def is_link_lost(own: Reachability, peers: tuple[Reachability, ...]) -> bool:
    """Return whether this gateway's link is lost, rather than the endpoint gone."""
    return own is not Reachability.REACHED and Reachability.REACHED in peers


def is_confirmed_crash(
    peers: tuple[Reachability, ...], *, has_peers: bool, reaches_others: bool
) -> bool:
    """Return whether an endpoint that refuses this gateway's connections has crashed.

    :param peers: what those peers report that have answered.
    :param has_peers: whether there are any peers to ask.
    :param reaches_others: whether this gateway reaches another endpoint.
    """
    if Reachability.REACHED in peers:
        return False
    return reaches_others or not has_peers


@dataclass(slots=True)
class LinkBelief:
    """Whether a link is lost, and when it is checked next.

    :param lost_at: elapsed time at which it was found lost; None while it is connected.
    """

    lost_at: timedelta | None = None
    _recovered_at: timedelta | None = None
    _interval: timedelta = CHECK_INTERVAL
    _next_check_at: timedelta = timedelta()
    _answered: int = 0

    @property
    def is_partitioned(self) -> bool:
        """Whether the link is lost."""
        return self.lost_at is not None

    def is_check_due(self, now: timedelta) -> bool:
        """Return whether a lost link is to be checked."""
        return self.is_partitioned and now >= self._next_check_at

    def mark_lost(self, now: timedelta) -> None:
        """Record that the link was found lost."""
        if self.is_partitioned:
            return
        self._interval = self._interval_after_loss(now)
        self.lost_at = now
        self._answered = 0
        self._next_check_at = now + self._interval

    def begin_check(self, now: timedelta) -> None:
        """Record that a check of the lost link begins."""
        self._next_check_at = now + self._interval

    def record_check(self, now: timedelta, *, is_answered: bool) -> bool:
        """Record the result of a check, and return whether the link has recovered."""
        self._answered = self._answered + 1 if is_answered else 0
        if not self.is_partitioned or self._answered < CHECKS_TO_RECOVER:
            return False
        self.lost_at = None
        self._recovered_at = now
        return True

    def _interval_after_loss(self, now: timedelta) -> timedelta:
        recovered_at = self._recovered_at
        if recovered_at is None or now - recovered_at > FLAP_WINDOW:
            return CHECK_INTERVAL
        return min(self._interval * 2, MAX_CHECK_INTERVAL)
