"""Streams taken up anywhere, in drawn histories of faults in virtual time."""

from collections import Counter
from dataclasses import dataclass
from datetime import timedelta
from random import Random

import pytest

from sassafrasdale.decisions.stream_versions import StreamBinding
from sassafrasdale.gateway.streams.messages import stream_name
from tests.gateway.fleets import Fleet, Node

# Time for which a caller can come back.
LIFE = timedelta(seconds=9)
VERSIONS = ("v1", "v2", "v3")
ZONES = "abc"
STEP_S = 0.04
# Of the streams that are taken up at gateways in touch, at least this share goes on.
MIN_SHARE = 0.5
# Gateways are in touch once nothing has happened to them for this long.
CONTACT_TIME = timedelta(seconds=3)


@dataclass(frozen=True, slots=True)
class BegunStream:
    """A stream of a caller."""

    name: bytes
    binding: StreamBinding
    began_at: timedelta


class History:
    """A fleet to which faults are applied while streams begin and are taken up.

    :ivar taken_up: numbers of take-ups by outcome.
    """

    def __init__(self, gateways: int, seed: int) -> None:
        self.rng = Random(seed)
        self.fleet = Fleet(dict.fromkeys(ZONES, gateways // len(ZONES)))
        self.fleet.play(2)
        self.streams: list[BegunStream] = []
        self.taken_up: Counter[str] = Counter()
        self._disturbed_at: dict[str, timedelta] = {}

    def running(self) -> list[Node]:
        """Return the gateways that run."""
        fleet = self.fleet
        stopped = fleet.down | fleet.paused
        return [node for name, node in fleet.nodes.items() if name not in stopped]

    def begin(self) -> None:
        """Begin a stream at some gateway."""
        running = self.running()
        if not running:
            return
        node = self.rng.choice(running)
        number = len(self.streams)
        name = stream_name("lab-a", f"r-{number}")
        binding = StreamBinding("models", self.rng.choice(VERSIONS))
        self.streams.append(BegunStream(name, binding, self.fleet.clock.elapsed()))
        node.streams.record_begin(name, binding, LIFE, "lab-a")

    def take_up(self) -> None:
        """Take some stream up at some gateway."""
        now = self.fleet.clock.elapsed()
        alive = [each for each in self.streams[-60:] if now - each.began_at < LIFE]
        running = self.running()
        if not alive or not running:
            return
        stream = self.rng.choice(alive)
        node = self.rng.choice(running)
        found = node.lookup.find(stream.name)
        if found.record is None:
            calm_since = self._disturbed_at.get(node.name, -CONTACT_TIME)
            in_touch = now - calm_since >= CONTACT_TIME
            self.taken_up["unknown in touch" if in_touch else "unknown"] += 1
        elif found.record.binding == stream.binding:
            self.taken_up["went on"] += 1
        else:
            self.taken_up["mixed"] += 1

    def disturb(self) -> None:
        """Apply a drawn fault to a drawn share of the gateways, or end all faults."""
        fleet = self.fleet
        nodes = list(fleet.nodes)
        count = self.rng.choice((1, 1, 2, len(nodes) // 3, len(nodes) // 2))
        names = self.rng.sample(nodes, max(count, 1))
        match self.rng.choice(("kill", "restart", "pause", "cut", "split", "heal")):
            case "kill":
                fleet.kill(*names)
            case "restart":
                for name in names:
                    self._restart(name)
            case "pause":
                fleet.paused |= set(names)
            case "cut":
                for name in names[:3]:
                    fleet.cut(name)
            case "split":
                fleet.split([name for name in nodes if name[0] == "a"])
            case "heal":
                fleet.heal()
                names = nodes
        now = fleet.clock.elapsed()
        self._disturbed_at |= dict.fromkeys(names, now)
        for pair in fleet.cuts:
            self._disturbed_at |= dict.fromkeys(pair, now)

    def _restart(self, name: str) -> None:
        incarnation = int(self.fleet.clock.elapsed().total_seconds() * 1000) + 2
        self.fleet.kill(name)
        self.fleet.start(name, name[0], incarnation)

    def play(self, steps: int, begins: int, fault_chance: float) -> None:
        """Play some steps of a history."""
        for _ in range(steps):
            for _ in range(begins):
                self.begin()
            self.fleet.play(STEP_S)
            self.take_up()
            if self.rng.random() < fault_chance:
                self.disturb()


@pytest.mark.parametrize("seed", range(12))
def test_no_history_mixes_a_stream_in_a_small_fleet(seed):
    history = History(9, seed)
    history.play(400, 2, 0.01)
    assert history.taken_up["mixed"] == 0
    known, unknown = history.taken_up["went on"], history.taken_up["unknown in touch"]
    assert known >= (known + unknown) * MIN_SHARE


@pytest.mark.parametrize("gateways", [70, 195])
def test_no_history_mixes_a_stream_in_a_large_fleet(gateways):
    history = History(gateways // 3 * 3, 1)
    history.play(150, 10, 0.02)
    assert history.taken_up["mixed"] == 0
    known, unknown = history.taken_up["went on"], history.taken_up["unknown in touch"]
    assert known >= (known + unknown) * MIN_SHARE


def test_the_end_of_half_of_the_gateways_loses_few_streams():
    """Guards against records that only the killed gateways had."""
    history = History(9, 1)
    history.play(60, 2, 0.0)
    nodes = list(history.fleet.nodes)
    history.fleet.kill(*history.rng.sample(nodes, len(nodes) // 2))
    history.play(60, 0, 0.0)
    assert history.taken_up["mixed"] == 0
    assert history.taken_up["went on"] > 100
    lost = history.taken_up["unknown"] + history.taken_up["unknown in touch"]
    assert lost < history.taken_up["went on"] / 10


def test_an_aggregator_that_restarts_is_told_of_all_streams():
    """Guards against records that are reported to a killed aggregator only."""
    history = History(9, 1)
    history.play(20, 1, 0.0)
    fleet = history.fleet
    for zone in ZONES:
        for name in fleet.aggregators(zone):
            fleet.kill(name)
            fleet.start(name, zone, 7)
    fleet.play(3)
    lost = [
        stream
        for stream in history.streams
        if fleet.nodes["b-1"].lookup.find(stream.name).record is None
    ]
    assert len(lost) < len(history.streams) / 2
