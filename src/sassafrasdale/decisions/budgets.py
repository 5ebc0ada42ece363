"""Retry budget, as a fraction of the successes."""

from datetime import timedelta

RETRY_SHARE = 0.1
"""Retries per success."""

RETRY_FLOOR_PER_SECOND = 0.5
"""Retries per second that are allowed without any success."""

BUDGET_DEPTH = 10.0
"""Most retries that are saved up."""


class RetryBudget:
    """Token bucket for retries: successes add tokens, retries consume them.

    Usage::

        budget.deposit(clock.elapsed())  # after each success
        if budget.try_spend(clock.elapsed()):
            ...  # send again

    :param share: retries per success.
    :param floor: retries per second allowed without successes.
    :param depth: maximum number of saved retries.
    :param first: initial number of retries.
    """

    def __init__(
        self,
        share: float = RETRY_SHARE,
        floor: float = RETRY_FLOOR_PER_SECOND,
        depth: float = BUDGET_DEPTH,
        first: float = 1.0,
    ) -> None:
        self._share = share
        self._floor = floor
        self._depth = depth
        self._tokens = min(first, depth)
        self._updated = timedelta()

    @property
    def tokens(self) -> float:
        """Saved retries."""
        return self._tokens

    @property
    def depth(self) -> float:
        """Maximum number of saved retries."""
        return self._depth

    def set_depth(self, depth: float) -> None:
        """Set the maximum number of saved retries."""
        self._depth = depth

    def deposit(self, now: timedelta) -> None:
        """Record a success."""
        self._refill(now)
        self._tokens = min(self._tokens + self._share, self._depth)

    def try_spend(self, now: timedelta) -> bool:
        """Consume one retry if available."""
        self._refill(now)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def give_back(self) -> None:
        """Give back a retry that was consumed and not used."""
        self._tokens = min(self._tokens + 1, self._depth)

    def _refill(self, now: timedelta) -> None:
        elapsed = max((now - self._updated).total_seconds(), 0.0)
        self._updated = max(now, self._updated)
        self._tokens = min(self._tokens + elapsed * self._floor, self._depth)
