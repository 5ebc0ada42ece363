"""What gateways tell each other, in fleets of many."""

from datetime import timedelta

import pytest
from msgspec.structs import replace

from sassafrasdale.decisions.aggregators import FRESH, LIFETIME
from sassafrasdale.decisions.turns import Turn
from sassafrasdale.gateway.peer_calls import REPORT_TARGET
from sassafrasdale.gateway.peer_states import (
    DutyClaim,
    EndpointLoad,
    Report,
    encode,
)
from sassafrasdale.http.exceptions import AnswerTimeout
from sassafrasdale.http.messages import Request
from tests.gateway.fleets import Fleet, contact, member

SETTLED = 4.0
THREE_ZONES = {"a": 4, "b": 3, "c": 3}


@pytest.fixture
def fleet():
    fleet = Fleet(THREE_ZONES)
    fleet.play(SETTLED)
    return fleet


def loaded(fleet: Fleet, name: str, tokens: int) -> None:
    fleet.nodes[name].loads = {"i-1": EndpointLoad(1, tokens)}


def views(fleet: Fleet) -> dict[str, int]:
    return {
        name: node.load_seen("i-1")
        for name, node in fleet.nodes.items()
        if name not in fleet.down
    }


def sums_up(fleet: Fleet) -> set[str]:
    return {name for zone in fleet.zones for name in fleet.aggregators(zone)}


def test_each_zone_has_one_aggregator(fleet):
    assert [len(fleet.aggregators(zone)) for zone in THREE_ZONES] == [1, 1, 1]
    assert {node.peering.count() for node in fleet.nodes.values()} == {10}


def test_all_see_the_sum_of_the_others(fleet):
    for number, name in enumerate(fleet.nodes):
        loaded(fleet, name, 10**number)
    fleet.play(1)
    total = 1_111_111_111
    seen = views(fleet)
    assert seen == {name: total - 10**number for number, name in enumerate(fleet.nodes)}


def test_a_killed_aggregator_is_replaced(fleet):
    """Prompts would go to engines that are full, for as long as nobody sums up.

    The gateway that sums up a zone is killed and does not come back. The others of
    the zone find the next one, and the other zones hear of it.
    """
    [first] = fleet.aggregators("a")
    fleet.kill(first)
    loaded(fleet, "b-1", 700)
    fleet.play(1.5)
    assert len(fleet.aggregators("a")) == 1
    seen = views(fleet)
    assert {seen[name] for name in seen if name != "b-1"} == {700}
    # The killed one counts until it is known that it is gone for good.
    assert {fleet.nodes[name].peering.count() for name in seen} == {10}


def test_a_paused_aggregator_is_replaced_and_comes_back(fleet):
    """After it wakes, its members would be counted twice, or held to be silent.

    The gateway that sums up a zone is paused for four seconds. Its members report to
    another one meanwhile; it wakes up with their old reports.
    """
    [first] = fleet.aggregators("a")
    fleet.paused.add(first)
    loaded(fleet, "a-1" if first != "a-1" else "a-2", 500)
    fleet.play(4)
    fleet.heal()
    fleet.play(6)
    assert len(fleet.aggregators("a")) == 1
    for node in fleet.nodes.values():
        assert node.peering.count() == 10
        assert sum(group.state.silent for group in node.peering.groups()) == 0
    assert fleet.nodes["b-0"].load_seen("i-1") == 500


def test_a_gateway_that_does_not_reach_its_aggregator(fleet):
    """It would send on what it knew last, and nobody would know its load.

    Nothing passes between it and the gateway that sums up its zone; all others reach
    both. It reports to the next one, which sums it up although it shouldn't be it.
    """
    [first] = fleet.aggregators("a")
    cut = next(name for name in fleet.nodes if name.startswith("a") and name != first)
    fleet.cuts |= {(cut, first), (first, cut)}
    loaded(fleet, cut, 300)
    loaded(fleet, "c-2", 50)
    fleet.play(4)
    assert fleet.nodes[cut].load_seen("i-1") == 50
    assert fleet.nodes["b-0"].load_seen("i-1") == 350
    assert fleet.nodes[first].load_seen("i-1") == 350


def test_a_zone_that_is_cut_off_is_silent_for_the_others(fleet):
    """Its gateways spend on, and the others would divide its part of each limit.

    All of a zone's gateways reach each other, but none of another zone.
    """
    for name in fleet.nodes:
        for other in fleet.nodes:
            if (name[0] == "a") != (other[0] == "a"):
                fleet.cuts.add((name, other))
    fleet.play(3)
    for name, node in fleet.nodes.items():
        assert node.peering.count() == 10
        old = [group for group in node.peering.groups() if group.age > FRESH]
        zones = {group.state.aggregator.zone for group in old}
        assert zones == ({"b", "c"} if name[0] == "a" else {"a"})
    fleet.heal()
    fleet.play(6)
    assert all(
        group.age <= FRESH
        for node in fleet.nodes.values()
        for group in node.peering.groups()
    )


def test_half_of_the_fleet_restarts_at_once(fleet):
    """Limits and loads would go by gateways that no longer are.

    Five of ten are killed, aggregators among them, and start again a second later
    with other incarnations.
    """
    dead = [fleet.aggregators("a")[0], fleet.aggregators("b")[0], "a-3", "b-2", "c-1"]
    dead = list(dict.fromkeys(dead))
    fleet.kill(*dead)
    fleet.play(1)
    for name in dead:
        fleet.start(name, name[0], incarnation=2)
    fleet.play(8)
    assert [len(fleet.aggregators(zone)) for zone in THREE_ZONES] == [1, 1, 1]
    for node in fleet.nodes.values():
        assert node.peering.count() == 10
        assert sum(group.state.silent for group in node.peering.groups()) == 0


def test_gateways_that_have_never_heard_of_each_other_find_together():
    """A customer would get its limit once from each gateway that sums up alone.

    All start at the same moment, so the first ones see nobody in the store.
    """
    fleet = Fleet(THREE_ZONES)
    fleet.play(SETTLED)
    assert {node.peering.count() for node in fleet.nodes.values()} == {10}


def test_a_leaving_aggregator_hands_over_before_it_is_gone(fleet):
    [first] = fleet.aggregators("b")
    fleet.nodes[first].peering.leave()
    fleet.nodes[first].peering.tell_all()
    fleet.play(2)
    assert first not in fleet.aggregators("b")
    fleet.kill(first)
    fleet.play(1)
    living = [node for name, node in fleet.nodes.items() if name != first]
    assert {node.peering.count() for node in living} == {9}


def test_nonsense_is_refused_and_changes_nothing(fleet):
    """A gateway that tells a load below nothing would make an engine look empty."""
    [first] = fleet.aggregators("a")
    node = fleet.nodes[first]
    loaded(fleet, "b-0", 90)
    fleet.play(1)
    state = member("a-9", loads={"i-1": EndpointLoad(1, -10_000)})
    bodies = [b"", b"\x00", encode(Report(state, 0))]
    for body in bodies:
        with pytest.raises(ValueError, match="."):
            node.peering._answer(Request("POST", REPORT_TARGET, body=body))
    assert node.load_seen("i-1") == 90


def test_an_old_report_does_not_bring_back_an_earlier_start(fleet):
    """Sums would go by what a gateway had under way before it was killed.

    A report that was held up on its way arrives after the gateway's restart. It can't
    be told from that of a restart with a clock set back, which must be taken; the next
    report of the running one puts it right.
    """
    [first] = fleet.aggregators("a")
    name = next(other for other in fleet.nodes if other[0] == "a" and other != first)
    loads = {"i-1": EndpointLoad(1, 40)}
    old = Report(member(name, incarnation=1, loads=loads), 0)
    fleet.kill(name)
    fleet.start(name, "a", incarnation=2)
    fleet.play(2)
    node = fleet.nodes[first]
    node.peering._answer(Request("POST", REPORT_TARGET, body=encode(old)))
    fleet.play(0.3)
    assert node.roster.get(name).incarnation == 2
    assert node.load_seen("i-1") == 0


def test_usage_is_whole_through_the_kill_of_an_aggregator(fleet):
    """A customer's bill would lack what a killed zone's gateways had counted.

    A member and then its aggregator are killed. Another zone's aggregator has the
    member's counts, and tells them to the next one of the zone.
    """
    [first] = fleet.aggregators("a")
    dead = next(other for other in fleet.nodes if other[0] == "a" and other != first)
    for number, node in enumerate(fleet.nodes.values()):
        node.usage = {7: {"lab": number + 1}}
    fleet.play(2)
    fleet.kill(dead)
    fleet.play(0.5)
    fleet.kill(first)
    fleet.play(3)
    for name, node in fleet.nodes.items():
        if name not in fleet.down:
            assert node.peering.usage(7).counts == {"lab": 55}


def test_usage_whose_transfer_had_no_answer_is_told_again(fleet):
    """A customer's bill would lack an eighth: two windows of a zone were never told.

    An aggregator's answer, with the last counts of a window, came too late for the
    one that had asked. Nothing in the window changed later, and nothing was sent again.
    """
    [asking], [asked] = fleet.aggregators("a"), fleet.aggregators("b")
    carry = fleet.carry

    def lose(sender, receiver, request):
        answer = carry(sender, receiver, request)
        if sender in (asking, "c-0", "c-1", "c-2") and receiver == asked:
            raise AnswerTimeout("no answer in time")
        return answer

    fleet.carry = lose
    fleet.nodes[asked].usage = {7: {"lab": 5}}
    fleet.play(1.2)
    fleet.carry = carry
    fleet.play(SETTLED)
    for node in fleet.nodes.values():
        assert node.peering.usage(7).counts == {"lab": 5}


def test_usage_from_before_two_zones_met_is_told():
    """A customer's bill would lack a zone's part of a window.

    Two zones start cut off from each other, and their gateways count requests. When the
    cut heals, the first news between them must bring what was counted before.
    """
    fleet = Fleet({"a": 2, "b": 2})
    fleet.cuts |= {(x, y) for x in fleet.nodes for y in fleet.nodes if x[0] != y[0]}
    for node in fleet.nodes.values():
        node.usage = {7: {"lab": 5}}
    fleet.play(SETTLED)
    fleet.heal()
    fleet.play(SETTLED + 2)
    for node in fleet.nodes.values():
        assert node.peering.usage(7).counts == {"lab": 20}


def test_usage_is_told_again_to_an_aggregator_that_restarted():
    """A customer's bill would lack what a zone had counted before the restart.

    The aggregator restarts between two reports, under its name. Its members don't
    notice a failure, and what they have told it is gone.
    """
    fleet = Fleet({"a": 3})
    fleet.play(SETTLED)
    [first] = fleet.aggregators("a")
    for name, node in fleet.nodes.items():
        node.usage = {} if name == first else {7: {"lab": 5}}
    fleet.play(1)
    fleet.start(first, "a", incarnation=2)
    fleet.play(2)
    assert fleet.nodes[first].peering.usage(7).counts == {"lab": 10}


def test_usage_tells_since_when_all_have_told(fleet):
    """A window that is reported too soon lacks its last requests."""
    now = fleet.nodes["a-0"].time.seconds
    for node in fleet.nodes.values():
        complete_since = node.peering.usage(1).complete_since
        assert now - 1.6 < complete_since <= now


def test_a_holder_that_was_killed_is_not_believed_for_long(fleet):
    """No orders would be given for seconds after the holder was killed."""
    fleet.nodes["c-1"].duty = DutyClaim(7)
    fleet.play(0.5)
    assert fleet.nodes["a-0"].peering.names_holder()
    fleet.kill("c-1")
    fleet.play(FRESH.total_seconds() + 0.5)
    assert not fleet.nodes["a-0"].peering.names_holder()


def test_a_listed_gateway_that_was_never_heard_may_be_an_older_one():
    """A gateway would take the duties before it has seen anything of the deployment."""
    fleet = Fleet({"a": 1})
    node = fleet.nodes["a-0"]
    assert not node.peering.may_have_older(9)
    node.peering.introduce(contact("b-0", "b", 0))
    assert node.peering.may_have_older(9)


def test_the_work_of_gateways_that_fell_silent_fades(fleet):
    """Endpoints would be given back in the middle of a restart of all gateways."""
    name = next(n for n in fleet.nodes if n[0] == "b" and n not in sums_up(fleet))
    fleet.nodes[name].engine_time = {"models": 2.0}
    fleet.play(1)
    node = fleet.nodes["a-0"]
    assert node.peering.work("models") == 2.0
    fleet.kill(name)
    fleet.play(FRESH.total_seconds() + 5)
    assert 0.5 < node.peering.work("models") < 1.0


def test_newer_revisions_come_from_a_gateway_that_answers(fleet):
    """A gateway that the store turns away would serve an old configuration."""
    fleet.nodes["c-2"].revision = 12
    fleet.play(0.3)
    [aggregator] = fleet.aggregators("c")
    if aggregator != "c-2":
        assert fleet.nodes[aggregator].heard.revisions["c-2"] == {"p/": 12}
    fleet.nodes[aggregator].revision = 12
    fleet.play(0.5)
    assert fleet.nodes["c-1"].heard.revisions[aggregator] == {"p/": 12}


def test_few_watch_the_store_and_others_step_in(fleet):
    """Each change of the list would cost a call of each of two hundred gateways.

    Where none of those that watch is answered, the others must watch by themselves.
    """
    large = Fleet({"a": 20, "b": 20, "c": 20})
    large.play(SETTLED)
    watching = [n for n, node in large.nodes.items() if node.peering.should_watch()]
    assert len(watching) == 9
    for node in large.nodes.values():
        node.follows_store = False
    large.play(1)
    assert all(node.peering.should_watch() for node in large.nodes.values())


def test_a_member_that_hears_nobody_watches_by_itself(fleet):
    large = Fleet({"a": 20, "b": 20})
    large.play(SETTLED)
    name = next(n for n, node in large.nodes.items() if not node.peering.should_watch())
    large.cut(name)
    large.play(LIFETIME.total_seconds())
    assert large.nodes[name].peering.should_watch()


@pytest.mark.parametrize(
    "zones", [{"a": 20, "b": 20, "c": 20}, {"a": 3, "b": 3, "c": 2}, {"a": 1, "b": 1}]
)
def test_those_that_watch_ask_by_turns(zones):
    """A change that a silence swallowed would wait until somebody asks by chance.

    Each has a turn of its own, and together they fill the round.
    """
    large = Fleet(zones)
    large.play(SETTLED)
    turns = [node.peering.poll_slot() for node in large.nodes.values()]
    taken = [turn for turn in turns if turn is not None]
    assert sorted(turn.index for turn in taken) == list(range(len(taken)))
    assert {turn.count for turn in taken} == {len(taken)}


def test_turns_of_a_zone_that_is_cut_off_are_left_out():
    """Nobody would ask in the turns of gateways that can't tell what they find."""
    large = Fleet({"a": 3, "b": 3, "c": 3})
    large.play(SETTLED)
    cut_off = [name for name, node in large.nodes.items() if node.zone == "c"]
    for name in cut_off:
        large.cut(name)
    large.play(LIFETIME.total_seconds())
    others = [node for name, node in large.nodes.items() if name not in cut_off]
    turns = [node.peering.poll_slot() for node in others]
    assert sorted(turn.index for turn in turns) == list(range(6))
    assert {turn.count for turn in turns} == {6}


def test_few_ask_the_store_in_an_outage():
    """Two hundred gateways would press the store just as it comes back."""
    large = Fleet({"a": 20, "b": 20, "c": 20})
    large.play(SETTLED)
    for node in large.nodes.values():
        node.follows_store = False
    large.play(1)
    turns = [node.peering.poll_slot() for node in large.nodes.values()]
    assert sum(turn is not None for turn in turns) == 9


def test_a_gateway_that_hears_nobody_asks_in_every_turn():
    """What its watch has missed, nobody else could tell it."""
    large = Fleet({"a": 20, "b": 20})
    large.play(SETTLED)
    name = next(
        name for name, node in large.nodes.items() if node.peering.poll_slot() is None
    )
    large.cut(name)
    large.play(LIFETIME.total_seconds())
    assert large.nodes[name].peering.poll_slot() == Turn(0, 1)


def test_bytes_of_a_gateway_do_not_grow_with_the_fleet():
    """Links of 10 Mbit/s were full of what gateways tell each other.

    Pattern: each gateway has work under way at three of thirty endpoints and tells it
    a few times a second. The bytes of one that only reports depend on the endpoints
    and customers, not on the fleet; those of one that sums up on its zone.
    """
    members = {}
    most = {}
    for each in (10, 60):
        fleet = Fleet({"a": each, "b": each, "c": each})
        for number, node in enumerate(fleet.nodes.values()):
            node.loads = {
                f"i-{(number * 3 + other) % 30}": EndpointLoad(2, 9000)
                for other in range(3)
            }
            node.demand = node.spent = 100.0
        fleet.play(SETTLED)
        fleet.bytes.clear()
        fleet.play(5)
        sums = sums_up(fleet)
        members[each] = max(fleet.bytes[n] for n in fleet.nodes if n not in sums) / 5
        most[each] = max(fleet.bytes[name] for name in sums) / 5
    assert members[60] < 1.2 * members[10] < 20_000
    assert most[60] < 250_000


def test_clocks_of_others_are_passed_on(fleet):
    """A gateway that starts would take one stepped clock for the time.

    It hears its aggregator, which tells it the clocks of its members.
    """
    [first] = fleet.aggregators("a")
    name = next(other for other in fleet.nodes if other[0] == "a" and other != first)
    aggregator = fleet.nodes[first]
    for other, reading in aggregator.heard.clocks.items():
        aggregator.time.hear(other, reading)
    fleet.play(0.3)
    assert len(fleet.nodes[name].heard.clocks) >= 3


def test_a_contact_is_taken_over_only_from_a_later_start():
    fleet = Fleet({"a": 2})
    node = fleet.nodes["a-0"]
    later = replace(contact("a-1"), incarnation=5, port=9)
    node.roster.merge([later])
    node.roster.merge([replace(later, incarnation=4, port=8)])
    assert node.roster.get("a-1").port == 9


def test_paused_members_are_silent_but_counted(fleet):
    """A gateway that is cut off spends its part of each limit on."""
    name = next(n for n in fleet.nodes if n not in sums_up(fleet))
    fleet.paused.add(name)
    fleet.play(FRESH.total_seconds() + 1)
    other = next(node for n, node in fleet.nodes.items() if n[0] != name[0])
    assert other.peering.count() == 10
    assert sum(group.state.silent for group in other.peering.groups()) == 1


def test_the_time_until_news_is_everywhere_grows_with_the_pause():
    small, large = Fleet({"a": 3}), Fleet({"a": 40})
    small.play(SETTLED)
    large.play(SETTLED)
    assert small.nodes["a-0"].peering.propagation_time() == timedelta(milliseconds=300)
    assert large.nodes["a-0"].peering.propagation_time() >= timedelta(seconds=1.1)
