"""Beliefs about links, and verdicts on crashes."""

from datetime import timedelta

import pytest

from sassafrasdale.decisions.links import (
    CHECK_INTERVAL,
    MAX_CHECK_INTERVAL,
    LinkBelief,
    Reachability,
    is_confirmed_crash,
    is_link_lost,
)

REACHED = Reachability.REACHED
NOT_REACHED = Reachability.NOT_REACHED
UNKNOWN = Reachability.UNKNOWN
START = timedelta(seconds=10)


@pytest.mark.parametrize(
    ("own", "peers", "lost"),
    [
        (NOT_REACHED, (REACHED,), True),
        (NOT_REACHED, (NOT_REACHED, UNKNOWN, REACHED), True),
        (NOT_REACHED, (NOT_REACHED, NOT_REACHED), False),
        (NOT_REACHED, (UNKNOWN,), False),
        (NOT_REACHED, (), False),
        (REACHED, (REACHED,), False),
    ],
)
def test_a_link_is_lost_if_a_peer_reaches_the_endpoint(own, peers, lost):
    """Guards against a lost link that is taken for a crash, and the reverse."""
    assert is_link_lost(own, peers) is lost


@pytest.mark.parametrize(
    ("peers", "has_peers", "reaches_others", "crashed"),
    [
        ((), False, False, True),
        ((NOT_REACHED,), True, True, True),
        ((REACHED, NOT_REACHED), True, True, False),
        ((NOT_REACHED, NOT_REACHED), True, False, False),
        ((UNKNOWN,), True, False, False),
        ((), True, True, True),
    ],
)
def test_a_crash_needs_a_gateway_whose_own_links_work(
    peers, has_peers, reaches_others, crashed
):
    """Guards against innocent requests struck by gateways that are partitioned."""
    verdict = is_confirmed_crash(
        peers, has_peers=has_peers, reaches_others=reaches_others
    )
    assert verdict is crashed


def recover(belief: LinkBelief, now: timedelta) -> timedelta:
    """Check a link until it has recovered, and return when."""
    while True:
        now += timedelta(milliseconds=10)
        if not belief.is_check_due(now):
            continue
        belief.begin_check(now)
        if belief.record_check(now, is_answered=True):
            return now


def test_a_link_recovers_after_two_checks_in_a_row():
    """Guards against a link that is used again by chance."""
    belief = LinkBelief()
    belief.mark_lost(START)
    now = START + CHECK_INTERVAL
    for answered, recovered in ((True, False), (False, False), (True, False)):
        assert belief.is_check_due(now)
        belief.begin_check(now)
        assert not belief.is_check_due(now)
        assert belief.record_check(now, is_answered=answered) is recovered
        assert belief.is_partitioned
        now += CHECK_INTERVAL
    assert belief.record_check(now, is_answered=True)
    assert not belief.is_partitioned


def test_a_link_that_comes_and_goes_is_tried_ever_less_often():
    """Guards against flapping at a partition that comes and goes each second."""
    belief = LinkBelief()
    now = START
    lengths = []
    for _ in range(6):
        belief.mark_lost(now)
        recovered_at = recover(belief, now)
        lengths.append(recovered_at - now)
        now = recovered_at + timedelta(milliseconds=500)
    assert lengths == sorted(lengths)
    assert lengths[-1] >= MAX_CHECK_INTERVAL
    belief.mark_lost(now + timedelta(minutes=1))
    assert recover(belief, now + timedelta(minutes=1)) - now < timedelta(minutes=1.1)
