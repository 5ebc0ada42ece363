"""Replication of strikes between gateways that lose messages and restart."""

from random import Random

import pytest

from sassafrasdale.decisions.quarantine import StrikeLedger
from sassafrasdale.decisions.strikes import StrikeState
from sassafrasdale.gateway.quarantine.replication import (
    MAX_ROWS,
    STRIKE_ROW,
    StrikeReplicator,
    StrikeRow,
    StrikeUpdate,
    encode,
)
from tests.decisions.test_quarantine import strike


class Node:
    """One of the gateways."""

    def __init__(self, name: str, incarnation: int = 1) -> None:
        self.name = name
        self.incarnation = incarnation
        self.ledger = StrikeLedger()
        self.replicator = StrikeReplicator(self.ledger, incarnation)

    @property
    def known(self) -> set[tuple[str, str, StrikeState]]:
        held = self.ledger.since(0, 10_000)
        return {(h.strike.fingerprint, h.strike.endpoint, h.state) for h in held}

    def strike(self, number: int) -> None:
        self.ledger.add(strike(f"{self.name}-{number}", number))

    def send_to(self, other: "Node") -> int:
        """Send an update to another gateway, and return the number of its rows."""
        update = self.replicator.update_for(other.name)
        other.replicator.apply(self.name, self.incarnation, update)
        return len(update.rows)


def exchange(a: Node, b: Node) -> int:
    return a.send_to(b) + b.send_to(a)


@pytest.fixture
def nodes():
    return Node("a"), Node("b")


def test_both_receive_all_strikes(nodes):
    a, b = nodes
    for number in range(5):
        a.strike(number)
        b.strike(number)
    exchange(a, b)
    assert len(a.known) == 10
    assert a.known == b.known


def test_received_strikes_are_not_sent_again(nodes):
    a, b = nodes
    a.strike(1)
    for _ in range(2):
        exchange(a, b)
    assert exchange(a, b) == 0


def test_a_lost_update_is_sent_again(nodes):
    """Guards against a strike that only one gateway ever knows."""
    a, b = nodes
    a.strike(1)
    a.replicator.update_for("b")
    exchange(a, b)
    assert a.known == b.known != set()


def test_a_large_update_is_split(nodes):
    a, b = nodes
    for number in range(MAX_ROWS * 2 + 1):
        a.strike(number)
    sizes = [exchange(a, b) for _ in range(4)]
    assert max(sizes) <= 2 * MAX_ROWS
    assert a.known == b.known


@pytest.mark.parametrize("restarted", [0, 1])
def test_a_restarted_gateway_is_sent_everything(nodes, restarted):
    """Guards against a gateway that doesn't know the strikes from before its start."""
    a, b = nodes
    for number in range(3):
        a.strike(number)
        b.strike(number)
    for _ in range(3):
        exchange(a, b)
    pair = [a, b]
    pair[restarted] = Node(pair[restarted].name, incarnation=2)
    for _ in range(2):
        exchange(*pair)
    assert len(pair[0].known) == 6
    assert pair[0].known == pair[1].known


def test_states_are_replicated(nodes):
    a, b = nodes
    a.strike(1)
    exchange(a, b)
    b.ledger.clear("a-1")
    exchange(a, b)
    assert not a.ledger.open_strikes("a-1")


def test_an_unknown_state_is_ignored(nodes):
    a, b = nodes
    row = StrikeRow("x", "i-1", "v1", False, 0.0, "a", state=64 | 2)
    b.replicator.apply("a", 1, StrikeUpdate(0, 1, (row,), 0, 0))
    assert not b.ledger.open_strikes("x")


def test_a_row_round_trips():
    a = Node("a")
    a.strike(3)
    row = StrikeRow.of(a.ledger.since(0, 1)[0])
    assert STRIKE_ROW.decode(encode(row)).strike == row.strike


@pytest.mark.parametrize("seed", range(30))
def test_all_converge_after_losses_and_restarts(seed):
    """Guards against a strike lost between gateways, in any order of faults."""
    rng = Random(seed)
    nodes = [Node(name) for name in "abcd"]
    count = 0
    for _ in range(200):
        match rng.randrange(8):
            case 0:
                count += 1
                rng.choice(nodes).strike(count)
            case 1:
                held = rng.choice(nodes).ledger.since(0, 1000)
                if held:
                    name = rng.choice(held).strike.fingerprint
                    rng.choice(nodes).ledger.clear(name)
            case 2 if rng.random() < 0.2:
                number = rng.randrange(4)
                old = nodes[number]
                nodes[number] = Node(old.name, old.incarnation + 1)
            case 3:
                one, other = rng.sample(nodes, 2)
                one.replicator.update_for(other.name)
            case _:
                one, other = rng.sample(nodes, 2)
                one.send_to(other)
    for _ in range(8):
        for one in nodes:
            for other in nodes:
                if one is not other:
                    one.send_to(other)
    assert all(node.known == nodes[0].known for node in nodes)
