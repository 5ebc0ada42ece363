"""Retry budgets."""

from sassafrasdale.clock import ManualClock
from sassafrasdale.gateway.retry_budgets import USED_SHARE, RetryBudgets
from tests.gateway.test_quotas import bounds


def spent_at_once(gateways: int) -> int:
    budgets = RetryBudgets(bounds(), lambda: gateways, ManualClock())
    for _ in range(10_000):
        budgets.count_attempt("records", is_retry=False)
    spent = 0
    while budgets.allow_retry("records", spend=True):
        spent += 1
    return spent


def test_gateways_divide_the_slack():
    """Guards against 195 gateways that each retry as if the slack were theirs alone."""
    slack = bounds().retry_slack * USED_SHARE
    assert spent_at_once(1) <= slack
    assert 2 * spent_at_once(2) <= slack


def test_checking_a_budget_spends_nothing():
    budgets = RetryBudgets(bounds(), lambda: 1, ManualClock())
    budgets.count_attempt("records", is_retry=False)
    assert budgets.allow_retry("records", spend=False)
    assert budgets.allow_retry("records", spend=False)
