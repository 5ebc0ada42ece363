"""The budget of sends beyond the first."""

from sassafrasdale.clock import ManualClock
from sassafrasdale.gateway.repeats import USED_RETRIES, Repeats
from tests.gateway.test_quotas import bounds


def spent_at_once(gateways: int) -> int:
    repeats = Repeats(bounds(), lambda: gateways, ManualClock())
    for _ in range(10_000):
        repeats.note_send("records", again=False)
    spent = 0
    while repeats.may_repeat("records", spend=True):
        spent += 1
    return spent


def test_parts_of_the_slack_add_up():
    """An endpoint that fails all would get each request of 195 gateways again."""
    slack = bounds().retry_slack * USED_RETRIES
    assert spent_at_once(1) <= slack
    assert 2 * spent_at_once(2) <= slack


def test_a_look_takes_nothing_out():
    repeats = Repeats(bounds(), lambda: 1, ManualClock())
    repeats.note_send("records", again=False)
    assert repeats.may_repeat("records", spend=False)
    assert repeats.may_repeat("records", spend=False)
