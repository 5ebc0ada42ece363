"""Brittle endpoints stay up in drawn histories of fleets of any size."""

from dataclasses import dataclass, field
from datetime import timedelta
from random import Random

import pytest

from sassafrasdale.decisions.aggregators import EXPIRY_TIMEOUT
from sassafrasdale.deployment import Endpoint, EndpointSignals, EndpointState
from sassafrasdale.gateway.directory import EndpointRecord
from sassafrasdale.gateway.peer_states import EndpointLoad
from sassafrasdale.structures import Address
from tests.gateway.fleets import Fleet, Node

SECOND = timedelta(seconds=1)
STEP = 0.02
ENDPOINTS = ("i-1", "i-2", "i-3", "i-4")
ALLOWED_FALLS = 2 + len(ENDPOINTS) / 10
DOWN_TIME = 3 * SECOND
# From its end at the endpoint until the dispatcher knows.
END_DELAY = timedelta(milliseconds=40)
SMALL = {"a": 3, "b": 3, "c": 3}
MEDIUM = {"a": 24, "b": 23, "c": 23}
LARGE = {"a": 39, "b": 39, "c": 39, "d": 39, "e": 39}
# A gateway that was restarted, paused or cut off is excused for this long.
EXCUSE = 3 * SECOND


@dataclass(slots=True, eq=False)
class Attempt:
    """An attempt in progress.

    :param sender: the gateway that sends it.
    :param counter: the gateway that counts it, a dispatcher or the sender.
    :param record: the endpoint, as that gateway knows it.
    """

    endpoint: str
    sender: Node
    counter: Node
    record: EndpointRecord
    ends_at: timedelta
    is_excused: bool


@dataclass(slots=True)
class BrittleEndpoint:
    """An endpoint that falls over if it rejects too many within a second."""

    slots: int
    rejections: int
    running: list[Attempt] = field(default_factory=list)
    rejected_at: list[timedelta] = field(default_factory=list)
    down_until: timedelta = timedelta()
    falls: int = 0
    served: int = 0

    def arrive(self, attempt: Attempt, now: timedelta) -> None:
        """Run an attempt, or reject it."""
        if now < self.down_until:
            return
        self.running = [each for each in self.running if each.ends_at > now]
        if len(self.running) < self.slots:
            self.running.append(attempt)
            self.served += 1
            return
        if attempt.is_excused:
            return
        self.rejected_at = [at for at in self.rejected_at if at > now - SECOND]
        self.rejected_at.append(now)
        if len(self.rejected_at) > self.rejections:
            self.falls += 1
            self.rejected_at.clear()
            self.running.clear()
            self.down_until = now + DOWN_TIME


class BrittleFleet:
    """A fleet whose gateways send all they may to brittle endpoints."""

    def __init__(
        self, zones: dict[str, int], seed: int, slots: int, rejections: int, work: float
    ) -> None:
        self.fleet = Fleet(zones)
        self.rng = Random(seed)
        self._work = work
        self._slots = slots
        self.endpoints = {
            name: BrittleEndpoint(slots, rejections) for name in ENDPOINTS
        }
        names = sorted(zones)
        for number, name in enumerate(ENDPOINTS):
            self.fleet.endpoint_zones[name] = names[number % len(names)]
        self._records: dict[tuple[str, str], EndpointRecord] = {}
        self._open: list[Attempt] = []
        self._stale: list[tuple[timedelta, EndpointRecord]] = []
        self._incarnation = 1
        self.excused_until: dict[str, timedelta] = {}
        self.fleet.play(3.0)
        for node in self.running():
            self.advertise(node)
        # Each asks for a good deal more than its part of all slots.
        self._demand = 4 * slots * len(ENDPOINTS) / work / len(self.fleet.nodes)

    def running(self) -> list[Node]:
        """Return the gateways that run."""
        stopped = self.fleet.down | self.fleet.paused
        return [node for node in self.fleet.nodes.values() if node.name not in stopped]

    def advertise(self, node: Node) -> None:
        """Have a gateway get responses that tell that the endpoints are brittle."""
        for name in ENDPOINTS:
            node.brittle.observe(
                name, EndpointSignals(brittleness=1.0), self.fleet.clock.elapsed()
            )

    def play(self, seconds: float) -> None:
        """Advance the clock while requests are sent."""
        for _ in range(round(seconds / STEP)):
            self.fleet.play(STEP)
            self._finish()
            self._follow_dispatchers()
            self._expire_stale()
            for node in self.running():
                expected = self._demand * STEP
                count = int(expected) + (self.rng.random() < expected % 1)
                for _ in range(min(count, self._slots)):
                    self._send(node)
            self._report_loads()

    def falls(self) -> int:
        """Return how often endpoints have fallen over."""
        return sum(endpoint.falls for endpoint in self.endpoints.values())

    def used(self, seconds: float) -> float:
        """Return the share of the slots that was used."""
        served = sum(endpoint.served for endpoint in self.endpoints.values())
        return served * self._work / (self._slots * len(ENDPOINTS) * seconds)

    def _record(self, node: Node, name: str) -> EndpointRecord:
        key = (f"{node.name} {id(node)}", name)
        if key not in self._records:
            endpoint = Endpoint(
                name,
                "records",
                Address("127.0.0.1", 1),
                self.fleet.endpoint_zones[name],
                EndpointState.READY,
                self._slots,
            )
            self._records[key] = EndpointRecord(endpoint, None)
        return self._records[key]

    def _send(self, node: Node) -> None:
        dispatcher = self._dispatcher_of(node)
        if dispatcher.name in self.fleet.down | self.fleet.paused:
            return
        if (node.name, dispatcher.name) in self.fleet.cuts:
            return
        records = [self._record(dispatcher, name) for name in ENDPOINTS]
        usable = [record for record in records if dispatcher.rooms.is_open(record)]
        if not usable:
            return
        record = min(usable, key=lambda each: (each.in_flight, self.rng.random()))
        record.in_flight += 1
        now = self.fleet.clock.elapsed()
        work = timedelta(seconds=self._work * self.rng.uniform(0.5, 1.5))
        excused = any(
            now < self.excused_until.get(each.name, timedelta())
            for each in (node, dispatcher)
        )
        attempt = Attempt(record.name, node, dispatcher, record, now + work, excused)
        self._open.append(attempt)
        self.endpoints[record.name].arrive(attempt, now)

    def _finish(self) -> None:
        now = self.fleet.clock.elapsed()
        for attempt in [each for each in self._open if each.ends_at + END_DELAY <= now]:
            self._open.remove(attempt)
            attempt.record.in_flight -= 1

    def _dispatcher_of(self, node: Node) -> Node:
        contact = node.peering.dispatcher()
        return self.fleet.nodes[contact.name] if contact else node

    def _follow_dispatchers(self) -> None:
        """Have senders count what a former dispatcher has counted.

        The endpoints drop what a killed gateway had sent.
        """
        for attempt in list(self._open):
            sender = attempt.sender
            if self.fleet.nodes[sender.name] is not sender or (
                sender.name in self.fleet.down
            ):
                self._open.remove(attempt)
                attempt.record.in_flight -= 1
                running = self.endpoints[attempt.endpoint].running
                if attempt in running:
                    running.remove(attempt)
            elif attempt.counter not in (sender, self._dispatcher_of(sender)):
                self._forget(attempt)
                attempt.counter = sender
                attempt.record = self._record(sender, attempt.endpoint)
                attempt.record.in_flight += 1

    def _forget(self, attempt: Attempt) -> None:
        """Have a former dispatcher forget an attempt once it learns or gives up."""
        former = attempt.counter
        knows = (
            former in self.running()
            and (attempt.sender.name, former.name) not in self.fleet.cuts
        )
        forgotten_at = self.fleet.clock.elapsed()
        if not knows:
            forgotten_at += EXPIRY_TIMEOUT
        self._stale.append((forgotten_at, attempt.record))

    def _expire_stale(self) -> None:
        now = self.fleet.clock.elapsed()
        for stale in [each for each in self._stale if each[0] <= now]:
            self._stale.remove(stale)
            stale[1].in_flight -= 1

    def _report_loads(self) -> None:
        for node in self.running():
            node.loads = {
                name: EndpointLoad(self._record(node, name).in_flight, 0)
                for name in ENDPOINTS
                if self._record(node, name).in_flight
            }

    def disturb(self) -> None:
        """Kill, restart, pause or cut off some gateways, or end that."""
        names = sorted(self.fleet.nodes)
        kind = self.rng.choice(["kill", "pause", "cut", "dispatcher", "split", "heal"])
        some = self.rng.sample(names, self.rng.randint(1, max(len(names) // 3, 1)))
        if kind == "dispatcher":
            some = self.fleet.aggregators(self.rng.choice(sorted(self.fleet.zones)))[:1]
        match kind:
            case "kill" | "dispatcher":
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
            zone = self.fleet.nodes[name].zone
            self.advertise(self.fleet.start(name, zone, self._incarnation))

    def _excuse(self) -> None:
        now = self.fleet.clock.elapsed()
        for name in self.fleet.down | self.fleet.paused:
            self.excused_until[name] = now + timedelta(days=1)
        stopped = self.fleet.down | self.fleet.paused
        for name, until in self.excused_until.items():
            if name not in stopped and until > now + EXCUSE:
                self.excused_until[name] = now + EXCUSE


def history(
    zones: dict[str, int], seed: int, slots: int, rejections: int, work: float
) -> BrittleFleet:
    """Play a drawn history, and return the fleet."""
    fleet = BrittleFleet(zones, seed, slots, rejections, work)
    for _ in range(8):
        fleet.play(1.0)
        fleet.disturb()
    fleet.play(2.0)
    return fleet


@pytest.mark.parametrize("seed", range(6))
@pytest.mark.parametrize(("slots", "work"), [(6, 0.1), (12, 2.0)])
@pytest.mark.parametrize("rejections", [0, 1, 5])
def test_endpoints_stay_up_in_a_small_fleet(seed, slots, work, rejections):
    """Guards against dispatchers that use each other's room after a change."""
    fleet = history(SMALL, seed, slots, rejections, work)
    assert fleet.falls() <= ALLOWED_FALLS


@pytest.mark.parametrize("zones", [MEDIUM, LARGE])
def test_endpoints_stay_up_in_a_large_fleet(zones):
    """Guards against a bound that grows with the number of gateways."""
    fleet = history(zones, 1, 6, 1, 0.1)
    assert fleet.falls() <= ALLOWED_FALLS


@pytest.mark.parametrize("zones", [SMALL, MEDIUM, LARGE])
def test_the_room_is_used(zones):
    """Guards against room that each gateway leaves to the others."""
    fleet = BrittleFleet(zones, 1, 12, 0, 1.0)
    fleet.play(2.0)
    for endpoint in fleet.endpoints.values():
        endpoint.served = 0
    fleet.play(4.0)
    assert fleet.used(4.0) >= 0.5
