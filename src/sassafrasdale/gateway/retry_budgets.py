"""Retry budgets, divided evenly among all gateways."""

from collections.abc import Callable

from sassafrasdale.clock import Clock
from sassafrasdale.decisions.budgets import RetryBudget
from sassafrasdale.deployment import Bounds

# Share of the allowed retries that is used. The budget counts attempts, while the limit
# counts arriving requests, in sliding windows.
USED_SHARE = 0.8
# Share of its maximum that a budget starts with: after a restart of all gateways at
# once, full budgets would grant the slack a second time.
INITIAL_SHARE = 0.5
# Share of its maximum beyond one retry that a budget keeps for failures: a stall has
# all streams of an endpoint ask for hedges at the same time, and these can wait.
KEPT_FOR_FAILURES = 0.25


class RetryBudgets:
    """One gateway's share of the retry budgets, by service.

    :param bounds: share of requests that may be retried.
    :param gateways: returns the number of gateways, including this one.
    :param clock: source of elapsed time.
    """

    def __init__(
        self, bounds: Bounds, gateways: Callable[[], int], clock: Clock
    ) -> None:
        self._bounds = bounds
        self._gateways = gateways
        self._clock = clock
        self._budgets: dict[str, RetryBudget] = {}

    def count_attempt(self, service: str, *, is_retry: bool) -> None:
        """Count an attempt; a first attempt adds to the budget."""
        if not is_retry:
            self._budget(service).deposit(self._clock.elapsed())

    def allow_retry(self, service: str, *, spend: bool) -> bool:
        """Return whether the budget allows a retry.

        :param spend: whether to take the retry from the budget.
        """
        budget = self._budget(service)
        if not spend:
            return budget.tokens >= 1
        return budget.try_spend(self._clock.elapsed())

    def allow_hedge(self, service: str, *, spend: bool) -> bool:
        """Return whether the budget allows a retry beside an attempt that may succeed.

        :param spend: whether to take the retry from the budget.
        """
        budget = self._budget(service)
        kept = KEPT_FOR_FAILURES * (budget.depth - 1)
        return budget.tokens >= 1 + kept and self.allow_retry(service, spend=spend)

    def give_back(self, service: str) -> None:
        """Give back a retry that was taken and not sent."""
        self._budget(service).give_back()

    def left(self, service: str) -> int:
        """Return how many retries the budget allows now."""
        return int(self._budget(service).tokens)

    def _budget(self, service: str) -> RetryBudget:
        capacity = max(1.0, self._bounds.retry_slack * USED_SHARE / self._gateways())
        budget = self._budgets.get(service)
        if budget is None:
            share = self._bounds.retry_share * USED_SHARE
            initial = capacity * INITIAL_SHARE
            budget = RetryBudget(share=share, floor=0.0, depth=capacity, first=initial)
            self._budgets[service] = budget
        budget.set_depth(capacity)
        return budget
