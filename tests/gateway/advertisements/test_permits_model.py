"""Limits of endpoints hold in drawn histories of fleets of any size."""

from bisect import bisect_left
from collections.abc import Sequence
from datetime import timedelta
from random import Random

import pytest

from sassafrasdale.clock import ManualClock
from sassafrasdale.deployment import EndpointSignals
from sassafrasdale.gateway.advertisements.permits import Permits
from tests.gateway.fleets import Fleet, Node, single_gate

SECOND = timedelta(seconds=1)
WINDOW = 4 * SECOND
STEP = 0.02
ENDPOINT = "i-1"
SMALL = {"a": 3, "b": 3, "c": 3}
MEDIUM = {"a": 24, "b": 23, "c": 23}
LARGE = {"a": 39, "b": 39, "c": 39, "d": 39, "e": 39}
# A gateway that was restarted, paused or cut off is excused for this long.
EXCUSE = 3 * SECOND
# Share of the requests that come to a gateway that most new connections go to.
FAVOURED_SHARE = 0.95
MIN_SERVED = 0.75


def allowed(rate: float) -> float:
    """Return the requests that may reach an endpoint with a limit in a window."""
    return 1.5 * rate * WINDOW.total_seconds() + 5


class LimitedFleet:
    """A fleet whose gateways send all they may to one endpoint with a limit.

    :param demand: requests per second of all gateways together that may be sent there.
    :param dispatched: fraction of the requests whose endpoint the zone's dispatcher
        assigns.
    :ivar favoured: name of a gateway that gets nearly all requests; empty for none.
    :ivar sent: number of requests.
    """

    def __init__(
        self,
        zones: dict[str, int],
        seed: int,
        rate: float,
        demand: float,
        dispatched: float,
    ) -> None:
        self.fleet = Fleet(zones)
        self.fleet.endpoint_zones[ENDPOINT] = "a"
        self.rng = Random(seed)
        self.rate = rate
        self._demand = demand / sum(zones.values())
        self._dispatched = dispatched
        self._incarnation = 1
        self.excused_until: dict[str, timedelta] = {}
        self.arrivals: list[timedelta] = []
        self.favoured = ""
        self.sent = 0
        self.fleet.play(3.0)
        self.name_limit(self.running())

    def running(self) -> list[Node]:
        """Return the gateways that run."""
        stopped = self.fleet.down | self.fleet.paused
        return [node for node in self.fleet.nodes.values() if node.name not in stopped]

    def name_limit(self, nodes: Sequence[Node]) -> None:
        """Have gateways get a response that names the limit."""
        now = self.fleet.clock.elapsed()
        for node in nodes:
            signals = EndpointSignals(rate_limit=self.rate)
            node.endpoint_limits.observe(ENDPOINT, signals, now)

    def play(self, seconds: float) -> None:
        """Advance the clock while requests are sent."""
        for _ in range(round(seconds / STEP)):
            self.fleet.play(STEP)
            for node in self.running():
                for _ in range(self._draw(node)):
                    self._send(node)

    def _draw(self, node: Node) -> int:
        """Return the number of requests that a gateway gets in a step."""
        expected = self._demand * STEP
        if self.favoured:
            total = expected * len(self.fleet.nodes)
            others = total * (1 - FAVOURED_SHARE) / (len(self.fleet.nodes) - 1)
            expected = total * FAVOURED_SHARE if node.name == self.favoured else others
        return int(expected + self.rng.random())

    def _send(self, node: Node) -> None:
        self.sent += 1
        lender = node
        if self.rng.random() < self._dispatched:
            dispatcher = node.peering.dispatcher()
            lender = self.fleet.nodes[dispatcher.name] if dispatcher else node
            if lender.name in self.fleet.down | self.fleet.paused:
                return
        lender.permits.count_demand(ENDPOINT)
        if not lender.permits.is_open(ENDPOINT) or not lender.permits.take(ENDPOINT):
            return
        now = self.fleet.clock.elapsed()
        if now >= self.excused_until.get(node.name, timedelta()):
            self.arrivals.append(now)
        self.name_limit([node])

    def disturb(self) -> None:
        """Kill, restart, pause or cut off some gateways, or end that."""
        names = sorted(self.fleet.nodes)
        kind = self.rng.choice(
            ["kill", "kill", "pause", "cut", "split", "lender", "heal"]
        )
        some = self.rng.sample(names, self.rng.randint(1, max(len(names) // 3, 1)))
        if kind == "lender":
            some = self.fleet.aggregators("a")[:1]
        match kind:
            case "kill" | "lender":
                self.fleet.kill(*some)
            case "pause":
                self.fleet.paused.update(some)
            case "cut":
                for name in some[:3]:
                    self.fleet.cut(name)
            case "split":
                self.fleet.split(some)
            case _:
                self._heal()
        self._excuse()

    def _heal(self) -> None:
        self._excuse()
        self.fleet.heal()
        self._incarnation += 1
        for name in list(self.fleet.down):
            node = self.fleet.start(
                name, self.fleet.nodes[name].zone, self._incarnation
            )
            self.name_limit([node])

    def _excuse(self) -> None:
        cut = {sender for sender, _ in self.fleet.cuts}
        cut = {name for name in cut if self._is_cut_off(name)}
        until = self.fleet.clock.elapsed() + EXCUSE
        for name in self.fleet.down | self.fleet.paused | cut:
            self.excused_until[name] = until + timedelta(days=1)
        for name, excused in self.excused_until.items():
            if name not in self.fleet.down | self.fleet.paused | cut:
                self.excused_until[name] = min(excused, until)

    def _is_cut_off(self, name: str) -> bool:
        others = set(self.fleet.nodes) - {name}
        return all((name, other) in self.fleet.cuts for other in others)

    def worst(self) -> int:
        """Return the most arrivals in a window."""
        return max(
            (
                number + 1 - bisect_left(self.arrivals, at - WINDOW)
                for number, at in enumerate(self.arrivals)
            ),
            default=0,
        )


def play_history(zones: dict[str, int], seed: int, seconds: float) -> LimitedFleet:
    """Play a drawn history."""
    rng = Random(seed)
    rate = rng.choice([0.0, 0.3, 1.0, 3.0, 50.0])
    demand = rng.choice([20.0, 200.0, 2000.0])
    dispatched = rng.choice([0.0, 0.5, 1.0])
    limited = LimitedFleet(zones, seed, rate, demand, dispatched)
    limited.play(3.0)
    while limited.fleet.clock.elapsed() < timedelta(seconds=seconds):
        limited.disturb()
        limited.play(rng.choice([0.3, 1.0, 3.0]))
    return limited


@pytest.mark.parametrize("seed", range(30))
def test_a_limit_holds_at_nine_gateways(seed: int) -> None:
    """Guards against gateways that together send more than an endpoint takes."""
    limited = play_history(SMALL, seed, 40.0)
    assert limited.worst() <= allowed(limited.rate)


@pytest.mark.parametrize("seed", range(3))
def test_a_limit_holds_at_seventy_gateways(seed: int) -> None:
    """Guards against a sum of many gateways' bursts."""
    limited = play_history(MEDIUM, seed, 20.0)
    assert limited.worst() <= allowed(limited.rate)


@pytest.mark.parametrize("seed", range(2))
def test_a_limit_holds_at_two_hundred_gateways(seed: int) -> None:
    """Guards against a sum of many gateways' bursts."""
    limited = play_history(LARGE, seed, 15.0)
    assert limited.worst() <= allowed(limited.rate)


@pytest.mark.parametrize("zones", [SMALL, LARGE])
@pytest.mark.parametrize("rate", [1.0, 50.0])
@pytest.mark.parametrize("dispatched", [0.0, 1.0])
def test_what_an_endpoint_takes_is_used(
    zones: dict[str, int], rate: float, dispatched: float
) -> None:
    """Guards against a limited endpoint that is starved."""
    limited = LimitedFleet(zones, 1, rate, 250.0, dispatched)
    limited.play(4.0)
    limited.arrivals.clear()
    limited.play(12.0)
    assert len(limited.arrivals) / 12.0 >= 0.5 * rate


@pytest.mark.parametrize("zones", [SMALL, LARGE])
@pytest.mark.parametrize("dispatched", [0.0, 1.0])
def test_a_limit_follows_the_load(zones: dict[str, int], dispatched: float) -> None:
    """Guards against one zone that rejects what the others have permits for."""
    limited = LimitedFleet(zones, 1, 40.0, 30.0, dispatched)
    limited.play(3.0)
    for favoured in ("a-0", "b-1"):
        limited.favoured = favoured
        limited.play(3.0)
        limited.sent = 0
        limited.arrivals.clear()
        limited.play(6.0)
        assert len(limited.arrivals) >= MIN_SERVED * limited.sent
        assert limited.worst() <= allowed(limited.rate)


@pytest.mark.parametrize("seed", range(10))
def test_a_limit_holds_while_the_load_moves(seed: int) -> None:
    """Guards against permits that two zones use at the same time."""
    limited = play_history(SMALL, seed, 10.0)
    for _ in range(10):
        limited.favoured = limited.rng.choice(list(limited.fleet.nodes))
        limited.disturb()
        limited.play(limited.rng.choice([0.3, 1.0, 3.0]))
    assert limited.worst() <= allowed(limited.rate)


def bytes_at_the_busiest_aggregator(limited: int) -> float:
    """Return the bytes per second of exchanges while a number of endpoints is limited.

    All gateways have requests for all of these endpoints.
    """
    fleet = Fleet(LARGE)
    for number in range(limited):
        fleet.endpoint_zones[f"i-{number:010d}"] = "abcde"[number % 5]
    fleet.play(3.0)
    for node in fleet.nodes.values():
        for name in fleet.endpoint_zones:
            node.endpoint_limits.set(name, 1.0, "response")
    fleet.bytes.clear()
    seconds = 4
    for _ in range(10 * seconds):
        fleet.play(0.1)
        for node in fleet.nodes.values():
            for name in fleet.endpoint_zones:
                node.permits.count_demand(name)
    return max(fleet.bytes.values()) / seconds


def test_what_limits_add_to_the_exchanges_of_two_hundred_gateways_is_bounded():
    """Guards against reports on endpoints that fill the links of small instances.

    A tenth of a link of 10 Mbit/s is 125 kB/s.
    """
    added = bytes_at_the_busiest_aggregator(39) - bytes_at_the_busiest_aggregator(0)
    assert added <= 125_000


def test_each_limited_endpoint_is_asked_for_in_its_turn():
    """Guards against a bound on requests that starves the last of many endpoints."""
    clock = ManualClock()
    limits = single_gate(clock).limits
    permits = Permits(limits, "a", ("a",), lambda name: "a", clock)
    names = [f"i-{number}" for number in range(40)]
    for name in names:
        limits.set(name, 1.0, "response")
    asked = set()
    for _ in range(3):
        clock.advance(timedelta(milliseconds=400))
        for name in names:
            permits.count_demand(name)
        asked |= set(permits.build_requests())
    assert asked == set(names)
