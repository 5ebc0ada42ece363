"""Exchange of state in fleets of gateways."""

from datetime import timedelta

import pytest
from msgspec.structs import replace

from sassafrasdale.decisions.aggregators import CONTACT_TIMEOUT, EXPIRY_TIMEOUT
from sassafrasdale.decisions.poll_slots import PollSlot
from sassafrasdale.gateway.peer_calls import REPORT_TARGET
from sassafrasdale.gateway.peer_states import (
    DutyClaim,
    EndpointLoad,
    Report,
    encode,
)
from sassafrasdale.http.exceptions import ResponseTimeout
from sassafrasdale.http.messages import Request
from tests.gateway.fleets import Fleet, contact, member

SETTLE_SECONDS = 4.0
THREE_ZONES = {"a": 4, "b": 3, "c": 3}


@pytest.fixture
def fleet():
    fleet = Fleet(THREE_ZONES)
    fleet.play(SETTLE_SECONDS)
    return fleet


def set_load(fleet: Fleet, name: str, tokens: int) -> None:
    fleet.nodes[name].loads = {"i-1": EndpointLoad(1, tokens)}


def known_loads(fleet: Fleet) -> dict[str, int]:
    return {
        name: node.known_load("i-1")
        for name, node in fleet.nodes.items()
        if name not in fleet.down
    }


def aggregators_of(fleet: Fleet) -> set[str]:
    return {name for zone in fleet.zones for name in fleet.aggregators(zone)}


def test_each_zone_has_one_aggregator(fleet):
    assert [len(fleet.aggregators(zone)) for zone in THREE_ZONES] == [1, 1, 1]
    assert {node.peering.gateway_count() for node in fleet.nodes.values()} == {10}


def test_all_know_the_total_of_the_others(fleet):
    for number, name in enumerate(fleet.nodes):
        set_load(fleet, name, 10**number)
    fleet.play(1)
    total = 1_111_111_111
    seen = known_loads(fleet)
    assert seen == {name: total - 10**number for number, name in enumerate(fleet.nodes)}


def test_a_killed_aggregator_is_replaced(fleet):
    """Without an aggregator, prompts would go to engines that are full.

    The aggregator of a zone is killed and does not restart. The zone's other gateways
    choose the next one, and the other zones receive its updates.
    """
    [first] = fleet.aggregators("a")
    fleet.kill(first)
    set_load(fleet, "b-1", 700)
    fleet.play(1.5)
    assert len(fleet.aggregators("a")) == 1
    seen = known_loads(fleet)
    assert {seen[name] for name in seen if name != "b-1"} == {700}
    # The killed gateway counts until it is removed from the rosters.
    assert {fleet.nodes[name].peering.gateway_count() for name in seen} == {10}


def test_a_paused_aggregator_is_replaced_and_comes_back(fleet):
    """Its members would be counted twice or as silent after it resumes.

    The aggregator of a zone is paused for four seconds and resumes with old reports of
    its members, which have moved to another aggregator meanwhile.
    """
    [first] = fleet.aggregators("a")
    fleet.paused.add(first)
    set_load(fleet, "a-1" if first != "a-1" else "a-2", 500)
    fleet.play(4)
    fleet.heal()
    fleet.play(6)
    assert len(fleet.aggregators("a")) == 1
    for node in fleet.nodes.values():
        assert node.peering.gateway_count() == 10
        assert sum(group.state.silent for group in node.peering.groups()) == 0
    assert fleet.nodes["b-0"].known_load("i-1") == 500


def test_a_gateway_that_does_not_reach_its_aggregator(fleet):
    """It would route by outdated loads, and nobody would know its own load.

    It and the aggregator of its zone cannot reach each other; all others reach both.
    It reports to the next candidate, which must aggregate it although it is not the
    zone's preferred aggregator.
    """
    [first] = fleet.aggregators("a")
    separated = next(
        name for name in fleet.nodes if name.startswith("a") and name != first
    )
    fleet.cuts |= {(separated, first), (first, separated)}
    set_load(fleet, separated, 300)
    set_load(fleet, "c-2", 50)
    fleet.play(4)
    assert fleet.nodes[separated].known_load("i-1") == 50
    assert fleet.nodes["b-0"].known_load("i-1") == 350
    assert fleet.nodes[first].known_load("i-1") == 350


def test_a_partitioned_zone_is_silent_for_the_others(fleet):
    """Its gateways still use limits, so the others must not divide its share.

    All of a zone's gateways reach each other, but none of another zone.
    """
    for name in fleet.nodes:
        for other in fleet.nodes:
            if (name[0] == "a") != (other[0] == "a"):
                fleet.cuts.add((name, other))
    fleet.play(3)
    for name, node in fleet.nodes.items():
        assert node.peering.gateway_count() == 10
        silent = [
            group for group in node.peering.groups() if group.age > CONTACT_TIMEOUT
        ]
        zones = {group.state.aggregator.zone for group in silent}
        assert zones == ({"b", "c"} if name[0] == "a" else {"a"})
    fleet.heal()
    fleet.play(6)
    assert all(
        group.age <= CONTACT_TIMEOUT
        for node in fleet.nodes.values()
        for group in node.peering.groups()
    )


def test_half_of_the_fleet_restarts_at_once(fleet):
    """Limits and loads would still include gateways that no longer run.

    Five of ten gateways, aggregators among them, are killed and restart a second later
    with new incarnations.
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
        assert node.peering.gateway_count() == 10
        assert sum(group.state.silent for group in node.peering.groups()) == 0


def test_gateways_that_start_at_once_find_each_other():
    """A customer would get its limit once from each gateway that aggregates alone.

    All start at the same moment, so the first ones find nobody in the store.
    """
    fleet = Fleet(THREE_ZONES)
    fleet.play(SETTLE_SECONDS)
    assert {node.peering.gateway_count() for node in fleet.nodes.values()} == {10}


def test_a_leaving_aggregator_is_replaced_before_it_stops(fleet):
    [first] = fleet.aggregators("b")
    fleet.nodes[first].peering.leave()
    fleet.nodes[first].peering.report_now()
    fleet.play(2)
    assert first not in fleet.aggregators("b")
    fleet.kill(first)
    fleet.play(1)
    remaining = [node for name, node in fleet.nodes.items() if name != first]
    assert {node.peering.gateway_count() for node in remaining} == {9}


def test_invalid_reports_are_refused_and_change_nothing(fleet):
    """A gateway that reports a negative load would make an engine look idle."""
    [first] = fleet.aggregators("a")
    node = fleet.nodes[first]
    set_load(fleet, "b-0", 90)
    fleet.play(1)
    state = member("a-9", loads={"i-1": EndpointLoad(1, -10_000)})
    bodies = [b"", b"\x00", encode(Report(state, 0))]
    for body in bodies:
        with pytest.raises(ValueError, match="."):
            node.peering._handle(Request("POST", REPORT_TARGET, body=body))
    assert node.known_load("i-1") == 90


def test_an_old_report_does_not_restore_an_earlier_incarnation(fleet):
    """Totals would include what a gateway had in flight before it was killed.

    A delayed report arrives after the gateway's restart. It looks like the report of a
    restart with an earlier clock, which must be accepted; the next report of the
    running incarnation corrects it.
    """
    [first] = fleet.aggregators("a")
    name = next(other for other in fleet.nodes if other[0] == "a" and other != first)
    loads = {"i-1": EndpointLoad(1, 40)}
    old = Report(member(name, incarnation=1, loads=loads), 0)
    fleet.kill(name)
    fleet.start(name, "a", incarnation=2)
    fleet.play(2)
    node = fleet.nodes[first]
    node.peering._handle(Request("POST", REPORT_TARGET, body=encode(old)))
    fleet.play(0.3)
    assert node.roster.get(name).incarnation == 2
    assert node.known_load("i-1") == 0


def test_usage_is_complete_after_the_kill_of_an_aggregator(fleet):
    """A customer's bill would lack what killed gateways had counted.

    A member and then its aggregator are killed. Another zone's aggregator has the
    member's counts, and sends them to the zone's next aggregator.
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


def test_usage_whose_transfer_had_no_response_is_sent_again(fleet):
    """A customer's bill lacked an eighth: two windows of a zone were never transferred.

    An aggregator's response with the last counts of a window came after the timeout.
    The window did not change later, so its counts were not sent again.
    """
    [exchanging], [responding] = fleet.aggregators("a"), fleet.aggregators("b")
    deliver = fleet.deliver

    def lose_response(sender, receiver, request):
        response = deliver(sender, receiver, request)
        if sender in (exchanging, "c-0", "c-1", "c-2") and receiver == responding:
            raise ResponseTimeout("no answer in time")
        return response

    fleet.deliver = lose_response
    fleet.nodes[responding].usage = {7: {"lab": 5}}
    fleet.play(1.2)
    fleet.deliver = deliver
    fleet.play(SETTLE_SECONDS)
    for node in fleet.nodes.values():
        assert node.peering.usage(7).counts == {"lab": 5}


def test_usage_from_before_two_zones_met_is_sent():
    """A customer's bill would lack one zone's requests of a window.

    Two zones start partitioned from each other, and their gateways count requests. When
    the partition ends, the first update must carry what was counted before.
    """
    fleet = Fleet({"a": 2, "b": 2})
    fleet.cuts |= {(x, y) for x in fleet.nodes for y in fleet.nodes if x[0] != y[0]}
    for node in fleet.nodes.values():
        node.usage = {7: {"lab": 5}}
    fleet.play(SETTLE_SECONDS)
    fleet.heal()
    fleet.play(SETTLE_SECONDS + 2)
    for node in fleet.nodes.values():
        assert node.peering.usage(7).counts == {"lab": 20}


def test_usage_is_sent_again_to_an_aggregator_that_restarted():
    """A customer's bill would lack what a zone had counted before the restart.

    The aggregator restarts between two reports under the same name. Its members notice
    no failure, and the rows that they had reported are lost.
    """
    fleet = Fleet({"a": 3})
    fleet.play(SETTLE_SECONDS)
    [first] = fleet.aggregators("a")
    for name, node in fleet.nodes.items():
        node.usage = {} if name == first else {7: {"lab": 5}}
    fleet.play(1)
    fleet.start(first, "a", incarnation=2)
    fleet.play(2)
    assert fleet.nodes[first].peering.usage(7).counts == {"lab": 10}


def test_usage_totals_state_up_to_when_they_are_complete(fleet):
    """A window that is reported too early lacks its last requests."""
    now = fleet.nodes["a-0"].time.seconds
    for node in fleet.nodes.values():
        complete_since = node.peering.usage(1).complete_since
        assert now - 1.6 < complete_since <= now


def test_the_claim_of_a_killed_leader_expires(fleet):
    """No orders would be given for seconds after the leader was killed."""
    fleet.nodes["c-1"].duty = DutyClaim(7)
    fleet.play(0.5)
    assert fleet.nodes["a-0"].peering.knows_leader()
    fleet.kill("c-1")
    fleet.play(CONTACT_TIMEOUT.total_seconds() + 0.5)
    assert not fleet.nodes["a-0"].peering.knows_leader()


def test_a_listed_gateway_that_never_reported_may_be_older():
    """A gateway would become the leader before it knows anything of the deployment."""
    fleet = Fleet({"a": 1})
    node = fleet.nodes["a-0"]
    assert not node.peering.may_have_older_gateway(9)
    node.peering.add_listed(contact("b-0", "b", 0))
    assert node.peering.may_have_older_gateway(9)


def test_the_engine_time_of_silent_gateways_decays(fleet):
    """Endpoints would be released during a restart of all gateways."""
    name = next(
        n for n in fleet.nodes if n[0] == "b" and n not in aggregators_of(fleet)
    )
    fleet.nodes[name].engine_time = {"models": 2.0}
    fleet.play(1)
    node = fleet.nodes["a-0"]
    assert node.peering.engine_time("models") == 2.0
    fleet.kill(name)
    fleet.play(CONTACT_TIMEOUT.total_seconds() + 5)
    assert 0.5 < node.peering.engine_time("models") < 1.0


def test_newer_revisions_come_from_a_connected_gateway(fleet):
    """A gateway that the store refuses would keep an old configuration."""
    fleet.nodes["c-2"].revision = 12
    fleet.play(0.3)
    [aggregator] = fleet.aggregators("c")
    if aggregator != "c-2":
        assert fleet.nodes[aggregator].received.revisions["c-2"] == {"p/": 12}
    fleet.nodes[aggregator].revision = 12
    fleet.play(0.5)
    assert fleet.nodes["c-1"].received.revisions[aggregator] == {"p/": 12}


def test_few_gateways_watch_the_store_and_others_replace_them(fleet):
    """Each change of the list would cost a call by each of two hundred gateways.

    If none of the watching gateways gets responses, the others must watch themselves.
    """
    large = Fleet({"a": 20, "b": 20, "c": 20})
    large.play(SETTLE_SECONDS)
    watching = [n for n, node in large.nodes.items() if node.peering.should_watch()]
    assert len(watching) == 9
    for node in large.nodes.values():
        node.follows_store = False
    large.play(1)
    assert all(node.peering.should_watch() for node in large.nodes.values())


def test_a_partitioned_member_watches_the_store_itself(fleet):
    large = Fleet({"a": 20, "b": 20})
    large.play(SETTLE_SECONDS)
    name = next(n for n, node in large.nodes.items() if not node.peering.should_watch())
    large.cut(name)
    large.play(EXPIRY_TIMEOUT.total_seconds())
    assert large.nodes[name].peering.should_watch()


@pytest.mark.parametrize(
    "zones", [{"a": 20, "b": 20, "c": 20}, {"a": 3, "b": 3, "c": 2}, {"a": 1, "b": 1}]
)
def test_watching_gateways_have_distinct_poll_slots(zones):
    """A change that all watches missed would be found only by chance.

    Each watching gateway has its own slot, and together they fill all slots.
    """
    large = Fleet(zones)
    large.play(SETTLE_SECONDS)
    slots = [node.peering.poll_slot() for node in large.nodes.values()]
    taken = [slot for slot in slots if slot is not None]
    assert sorted(slot.index for slot in taken) == list(range(len(taken)))
    assert {slot.count for slot in taken} == {len(taken)}


def test_a_partitioned_zone_has_no_poll_slots():
    """Nobody would poll in the slots of gateways that cannot report what they find."""
    large = Fleet({"a": 3, "b": 3, "c": 3})
    large.play(SETTLE_SECONDS)
    partitioned = [name for name, node in large.nodes.items() if node.zone == "c"]
    for name in partitioned:
        large.cut(name)
    large.play(EXPIRY_TIMEOUT.total_seconds())
    others = [node for name, node in large.nodes.items() if name not in partitioned]
    slots = [node.peering.poll_slot() for node in others]
    assert sorted(slot.index for slot in slots) == list(range(6))
    assert {slot.count for slot in slots} == {6}


def test_few_gateways_poll_the_store_in_an_outage():
    """Two hundred gateways would overload the store just as it recovers."""
    large = Fleet({"a": 20, "b": 20, "c": 20})
    large.play(SETTLE_SECONDS)
    for node in large.nodes.values():
        node.follows_store = False
    large.play(1)
    slots = [node.peering.poll_slot() for node in large.nodes.values()]
    assert sum(slot is not None for slot in slots) == 9


def test_a_partitioned_gateway_polls_in_every_slot():
    """No other gateway could report a change that its watch has missed."""
    large = Fleet({"a": 20, "b": 20})
    large.play(SETTLE_SECONDS)
    name = next(
        name for name, node in large.nodes.items() if node.peering.poll_slot() is None
    )
    large.cut(name)
    large.play(EXPIRY_TIMEOUT.total_seconds())
    assert large.nodes[name].peering.poll_slot() == PollSlot(0, 1)


def test_bytes_of_a_gateway_do_not_grow_with_the_fleet():
    """Reports between gateways saturated links of 10 Mbit/s.

    Workload: each gateway has requests at three of thirty endpoints and reports them a
    few times a second. The traffic of a member depends on the number of endpoints and
    customers, not of gateways; that of an aggregator depends on its zone.
    """
    member_rates = {}
    aggregator_rates = {}
    for zone_size in (10, 60):
        fleet = Fleet({"a": zone_size, "b": zone_size, "c": zone_size})
        for number, node in enumerate(fleet.nodes.values()):
            node.loads = {
                f"i-{(number * 3 + other) % 30}": EndpointLoad(2, 9000)
                for other in range(3)
            }
            node.demand = node.spent = 100.0
        fleet.play(SETTLE_SECONDS)
        fleet.bytes.clear()
        fleet.play(5)
        aggregators = aggregators_of(fleet)
        member_rates[zone_size] = (
            max(fleet.bytes[n] for n in fleet.nodes if n not in aggregators) / 5
        )
        aggregator_rates[zone_size] = max(fleet.bytes[name] for name in aggregators) / 5
    assert member_rates[60] < 1.2 * member_rates[10] < 20_000
    assert aggregator_rates[60] < 250_000


def test_replies_carry_the_clocks_of_other_gateways(fleet):
    """A starting gateway would adopt the time of a single stepped clock.

    Its aggregator sends it the clock readings of the other members.
    """
    [first] = fleet.aggregators("a")
    name = next(other for other in fleet.nodes if other[0] == "a" and other != first)
    aggregator = fleet.nodes[first]
    for other, reading in aggregator.received.clocks.items():
        aggregator.time.add_reading(other, reading)
    fleet.play(0.3)
    assert len(fleet.nodes[name].received.clocks) >= 3


def test_a_contact_is_replaced_only_by_a_later_incarnation():
    fleet = Fleet({"a": 2})
    node = fleet.nodes["a-0"]
    later = replace(contact("a-1"), incarnation=5, port=9)
    node.roster.merge([later])
    node.roster.merge([replace(later, incarnation=4, port=8)])
    assert node.roster.get("a-1").port == 9


def test_paused_members_are_silent_but_counted(fleet):
    """A partitioned gateway still uses its share of each limit."""
    name = next(n for n in fleet.nodes if n not in aggregators_of(fleet))
    fleet.paused.add(name)
    fleet.play(CONTACT_TIMEOUT.total_seconds() + 1)
    other = next(node for n, node in fleet.nodes.items() if n[0] != name[0])
    assert other.peering.gateway_count() == 10
    assert sum(group.state.silent for group in other.peering.groups()) == 1


def test_the_propagation_time_grows_with_the_report_interval():
    small, large = Fleet({"a": 3}), Fleet({"a": 40})
    small.play(SETTLE_SECONDS)
    large.play(SETTLE_SECONDS)
    assert small.nodes["a-0"].peering.propagation_time() == timedelta(milliseconds=300)
    assert large.nodes["a-0"].peering.propagation_time() >= timedelta(seconds=1.1)


def shares(fleet, service="models"):
    """Return each gateway's share of a service's endpoints for its queue."""
    return {
        name: node.peering.work_share(service, node.engine_time.get(service, 0.0))
        for name, node in fleet.nodes.items()
    }


def test_zones_share_endpoints_equally_while_their_work_is_unknown(fleet):
    """Guards against dispatchers that each count on all endpoints."""
    known = shares(fleet)
    for zone in THREE_ZONES:
        [aggregator] = fleet.aggregators(zone)
        assert known[aggregator] == pytest.approx(1 / 3)


def test_a_zone_s_share_of_the_endpoints_is_that_of_its_work(fleet):
    """Guards against a busy zone that rejects while others leave endpoints idle."""
    for node in fleet.nodes.values():
        node.engine_time = {"models": 1.5 if node.zone == "a" else 1.0}
    fleet.play(1)
    known = shares(fleet)
    for zone, expected in (("a", 0.5), ("b", 0.25), ("c", 0.25)):
        [aggregator] = fleet.aggregators(zone)
        assert known[aggregator] == pytest.approx(expected, rel=0.05)


def test_a_zone_without_work_counts_on_half_an_equal_share(fleet):
    """Guards against rejections as the load of a zone begins."""
    for node in fleet.nodes.values():
        node.engine_time = {"models": 0.0 if node.zone == "a" else 1.0}
    fleet.play(1)
    [aggregator] = fleet.aggregators("a")
    assert shares(fleet)[aggregator] == pytest.approx(1 / 6)


def test_gateways_that_queue_alone_share_their_zone_s_part(fleet):
    """Guards against a whole zone's capacity used by each gateway of it.

    They queue requests themselves while their dispatcher does not respond.
    """
    known = shares(fleet)
    for zone, gateways in THREE_ZONES.items():
        members = {name for name in known if name[0] == zone}
        for name in members - set(fleet.aggregators(zone)):
            assert known[name] == pytest.approx(1 / 3 / gateways)
