"""The budget of sends beyond the first, which all gateways share evenly."""

from collections.abc import Callable

from sassafrasdale.clock import Clock
from sassafrasdale.decisions.budgets import RetryBudget
from sassafrasdale.deployment import Bounds

# Part of the allowed repeats that is used: what is counted here is a send, and the
# rule counts arrivals, in windows that slide.
USED_RETRIES = 0.8
# Part of the saved-up repeats that a gateway begins with: after a restart of all of
# them at once, full budgets would allow the slack a second time.
FIRST_RETRIES = 0.5


class Repeats:
    """The part of the budget that falls to one gateway, by service.

    :param bounds: share of repeats that is allowed.
    :param gateways: returns the number of gateways, this one included.
    :param clock: source of elapsed time.
    """

    def __init__(
        self, bounds: Bounds, gateways: Callable[[], int], clock: Clock
    ) -> None:
        self._bounds = bounds
        self._gateways = gateways
        self._clock = clock
        self._budgets: dict[str, RetryBudget] = {}

    def note_send(self, service: str, *, again: bool) -> None:
        """Count a send; first ones allow others to be repeated."""
        if not again:
            self._budget(service).deposit(self._clock.elapsed())

    def may_repeat(self, service: str, *, spend: bool) -> bool:
        """Return whether the budget allows another send.

        :param spend: whether it is taken out.
        """
        budget = self._budget(service)
        if not spend:
            return budget.tokens >= 1
        return budget.try_spend(self._clock.elapsed())

    def _budget(self, service: str) -> RetryBudget:
        depth = max(1.0, self._bounds.retry_slack * USED_RETRIES / self._gateways())
        budget = self._budgets.get(service)
        if budget is None:
            share = self._bounds.retry_share * USED_RETRIES
            first = depth * FIRST_RETRIES
            budget = RetryBudget(share=share, floor=0.0, depth=depth, first=first)
            self._budgets[service] = budget
        budget.set_depth(depth)
        return budget
