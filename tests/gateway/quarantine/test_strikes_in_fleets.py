"""Time until all gateways of a fleet know strikes that few of them witnessed."""

import pytest

from sassafrasdale.decisions.blame import WHOLE_REQUEST
from sassafrasdale.decisions.strikes import Strike
from tests.decisions.test_quarantine import strike
from tests.gateway.fleets import Fleet

SETTLING_TIME = 4.0
# All connected gateways must know a crashing request this long after its third crash.
PROPAGATION_TIME = 3.0
SMALL = {"a": 4, "b": 3, "c": 2}
LARGE = {"a": 65, "b": 65, "c": 65}


def add_strikes(fleet: Fleet, *names: str) -> None:
    """Have each of the gateways witness one crash under the same request."""
    for number, name in enumerate(names):
        fleet.nodes[name].strikes.add(strike("crashing", number, witness=name))


def unaware(fleet: Fleet) -> list[str]:
    return [
        name
        for name, node in fleet.nodes.items()
        if name not in fleet.down | fleet.paused
        and "crashing" not in node.strikes.quarantined
    ]


@pytest.fixture
def fleet():
    fleet = Fleet(SMALL)
    fleet.play(SETTLING_TIME)
    return fleet


def test_strikes_of_different_gateways_add_up(fleet):
    """Guards against each gateway counting only its own strikes."""
    add_strikes(fleet, "a-1", "b-1", "c-1")
    assert len(unaware(fleet)) == len(fleet.nodes)
    fleet.play(PROPAGATION_TIME / 2)
    assert unaware(fleet) == []


def test_strikes_reach_two_hundred_gateways_in_time():
    fleet = Fleet(LARGE)
    fleet.play(SETTLING_TIME)
    add_strikes(fleet, "a-11", "b-40", "c-60")
    fleet.play(PROPAGATION_TIME)
    assert unaware(fleet) == []


def test_strikes_arrive_in_time_after_an_aggregator_crashes(fleet):
    """Guards against a zone without updates until it has a new aggregator."""
    add_strikes(fleet, "a-1", "b-1", "c-1")
    fleet.kill(*fleet.aggregators("a"))
    fleet.play(PROPAGATION_TIME)
    assert unaware(fleet) == []


def test_strikes_arrive_in_time_after_all_aggregators_crash(fleet):
    add_strikes(fleet, "a-1", "b-1", "c-1")
    fleet.play(0.1)
    fleet.kill(*(name for zone in SMALL for name in fleet.aggregators(zone)))
    fleet.play(PROPAGATION_TIME)
    assert unaware(fleet) == []


def test_a_partitioned_gateway_catches_up(fleet):
    """Guards against a gateway that returns from a partition with outdated strikes."""
    fleet.cut("b-2")
    add_strikes(fleet, "a-1", "b-2")
    fleet.play(20)
    assert len(fleet.nodes["b-2"].strikes) == 1
    fleet.heal()
    fleet.play(PROPAGATION_TIME)
    assert {len(node.strikes) for node in fleet.nodes.values()} == {2}
    add_strikes(fleet, "c-1", "c-1", "c-1")
    fleet.play(PROPAGATION_TIME)
    assert unaware(fleet) == []


def test_a_new_gateway_catches_up(fleet):
    add_strikes(fleet, *(["a-1"] * WHOLE_REQUEST.crashes))
    fleet.play(PROPAGATION_TIME)
    fleet.kill("c-0")
    fleet.play(1)
    fleet.start("c-0", "c", incarnation=2)
    fleet.play(PROPAGATION_TIME)
    assert unaware(fleet) == []


def test_a_success_clears_the_strikes_everywhere(fleet):
    add_strikes(fleet, "a-1", "b-1", "c-1")
    fleet.play(PROPAGATION_TIME)
    fleet.nodes["c-0"].strikes.clear("crashing")
    fleet.play(PROPAGATION_TIME)
    assert len(unaware(fleet)) == len(fleet.nodes)


def test_known_strikes_are_not_sent_again(fleet):
    """Guards against messages that grow with the number of past crashes."""
    fleet.play(SETTLING_TIME)
    fleet.bytes.clear()
    fleet.play(10)
    quiet = sum(fleet.bytes.values())
    for number in range(500):
        fleet.nodes["a-1"].strikes.add(strike(f"r-{number}", number))
    fleet.play(10)
    fleet.bytes.clear()
    fleet.play(10)
    assert sum(fleet.bytes.values()) < quiet * 1.1


@pytest.mark.parametrize("zones", [SMALL, {"a": 24, "b": 23, "c": 23}, LARGE])
def test_strikes_of_a_part_and_what_clears_it_spread_in_time(zones):
    """Guards against a part that few gateways refuse, or refuse though it is sound."""
    fleet = Fleet(zones)
    fleet.play(SETTLING_TIME)
    now = fleet.nodes["a-1"].time.seconds
    witnesses = ("a-1", "b-1", "c-1", "a-2")
    for number, name in enumerate(witnesses):
        for part in ("part-bad", "part-system"):
            struck = Strike(part, f"i-{number}", "v1", False, now, name, f"r-{number}")
            fleet.nodes[name].strikes.add(struck)
    fleet.play(PROPAGATION_TIME / 2)
    fleet.nodes["c-0"].strikes.clear("part-system")
    fleet.play(PROPAGATION_TIME / 2)
    refused = {node.strikes.quarantined for node in fleet.nodes.values()}
    assert refused == {frozenset({"part-bad"})}
