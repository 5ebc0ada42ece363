"""When to hedge an idempotent request: send it again before the first response."""

from datetime import timedelta

from sassafrasdale.decisions.budgets import RetryBudget
from sassafrasdale.decisions.latencies import LatencyWindow

HEDGE_QUANTILE = 0.95
"""Quantile of recent latencies above which a request is slow."""

HEDGE_WINDOW = 200
"""Latencies kept, in requests."""

HEDGE_SHARE = 0.1
"""Hedges per success."""

HEDGE_FLOOR_PER_SECOND = 0.1
"""Hedges per second that are allowed without any success."""

HEDGE_MINIMUM_SAMPLES = 20
"""Minimum number of latencies before any request is hedged."""


class Hedging:
    """Decides when requests of one service are hedged.

    :param budget: budget of hedges, filled by successes.
    :param quantile: quantile of recent latencies above which a request is slow.
    :param window: number of latencies kept.
    :param minimum: minimum number of latencies before any request is hedged.

    Usage::

        wait = hedging.delay(idempotent=True)
        # no response after ``wait``:
        if hedging.try_hedge(clock.elapsed(), idempotent=True):
            ...  # send to another endpoint too
    """

    def __init__(
        self,
        budget: RetryBudget | None = None,
        quantile: float = HEDGE_QUANTILE,
        window: int = HEDGE_WINDOW,
        minimum: int = HEDGE_MINIMUM_SAMPLES,
    ) -> None:
        self._budget = budget or RetryBudget(HEDGE_SHARE, HEDGE_FLOOR_PER_SECOND)
        self._quantile = quantile
        self._minimum = minimum
        self._recent = LatencyWindow(window)

    def observe(self, latency: timedelta, now: timedelta) -> None:
        """Record the latency of a success."""
        self._budget.deposit(now)
        self._recent.add(latency)

    def delay(self, *, idempotent: bool) -> timedelta | None:
        """Return the delay before a hedge, or None if the request is not hedged."""
        if not idempotent or len(self._recent) < self._minimum:
            return None
        return self._recent.quantile(self._quantile)

    def try_hedge(self, now: timedelta, *, idempotent: bool) -> bool:
        """Consume a hedge of the budget, if the request is idempotent."""
        return idempotent and self._budget.try_spend(now)
