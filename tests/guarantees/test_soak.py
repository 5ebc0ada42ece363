"""Short soak tests, and checks that a soak test detects a disabled safeguard."""

from datetime import timedelta

import pytest

from bench.soak.plans import (
    CrashingPart,
    CrashingRequest,
    EndpointLinkFault,
    EndpointPause,
    Kill,
    Revocation,
    SoakPlan,
    Step,
    draw_plan,
)
from bench.soak.soaks import Soak
from bench.soak.unguarded import PROGRAM, Guard
from standins.links import LinkFault

SECOND = timedelta(seconds=1)
# Indices of the endpoints that are plain services.
RECORDS = (0, 3, 6)
ENGINES = (1, 2, 4, 5, 7)


def plan_of(*steps: Step) -> SoakPlan:
    return SoakPlan(0, 3, 8, 10 * SECOND, steps)


# At one endpoint after the other, responses are lost for half a second, then all its
# connections are reset at once; retries find the other endpoints healthy.
CUTS = plan_of(
    *(
        Step(second * SECOND + at, EndpointLinkFault(RECORDS[second % 3], harm, lasts))
        for second in range(1, 9)
        for at, harm, lasts in (
            (0 * SECOND, LinkFault.ANSWERS_LOST, SECOND / 2),
            (0.4 * SECOND, LinkFault.RESETS, SECOND / 10),
        )
    )
)
# Each gateway is down for longer than a lease, and the next holder reports meanwhile.
HANDOVERS = plan_of(
    *(Step((1 + 5 * turn) * SECOND, Kill(turn % 3, 3 * SECOND)) for turn in range(4))
)
REVOCATIONS = plan_of(
    Step(SECOND, Revocation()),
    Step(2 * SECOND, Revocation()),
    Step(8 * SECOND, Kill(0, SECOND)),
)
CRASHES = plan_of(Step(SECOND, CrashingRequest(1, 14 * SECOND)))
# All engines pause for longer than a stream may be without progress, three times in a
# row, so that a gateway's retries don't suffice for all streams.
STALLS = plan_of(
    *(Step(at * SECOND, EndpointPause(ENGINES, 1.3 * SECOND)) for at in (0.3, 1.8, 3.3))
)
CRASHING_PARTS = plan_of(Step(SECOND, CrashingPart(14 * SECOND)))


@pytest.mark.parametrize("seed", [1, 2])
def test_a_short_soak_violates_no_guarantee(seed):
    verdict = Soak(draw_plan(seed, 10 * SECOND)).play()
    assert verdict.violations == ()
    assert verdict.served >= verdict.requests / 4


@pytest.mark.parametrize(
    ("guard", "plan", "promise"),
    [
        (Guard.AT_MOST_ONCE, CUTS, "at most once"),
        (Guard.NOT_RUN, CUTS, "not run is true"),
        (Guard.FENCING, HANDOVERS, "one holder"),
        (Guard.REVOCATION, REVOCATIONS, "revoked keys"),
        (Guard.QUARANTINE, CRASHES, "crashing requests"),
        (Guard.QUARANTINE, CRASHING_PARTS, "crashing requests"),
        (Guard.VERSIONS, CRASHES, "one version"),
        (Guard.SILENCE, STALLS, "streams go on"),
    ],
)
def test_a_soak_detects_a_disabled_safeguard(guard, plan, promise):
    """Guards against a soak test that passes whatever the gateways do.

    Each run starts gateways with one safeguard disabled; the soak test must report
    the violated guarantee.
    """
    verdict = Soak(plan, ("-m", PROGRAM, str(guard))).play()
    assert promise in {each.guarantee for each in verdict.violations}


def test_a_seed_reproduces_its_plan():
    assert draw_plan(7, 20 * SECOND) == draw_plan(7, 20 * SECOND)
    assert draw_plan(7, 20 * SECOND) != draw_plan(8, 20 * SECOND)
