"""Choice of the peer that forwards."""

from collections import Counter
from datetime import timedelta
from random import Random

from sassafrasdale.decisions.forwarders import (
    AVOID_TIME,
    ForwarderCandidate,
    ForwarderState,
    choose_forwarder,
)

NOW = timedelta(seconds=10)


def fleet(**zones: str) -> list[ForwarderCandidate]:
    """Return peers by name and whether they are in the same zone ("own")."""
    return [
        ForwarderCandidate(name, zone == "own", 1.0) for name, zone in zones.items()
    ]


def choose(candidates, states, excluded=(), now=NOW):
    return choose_forwarder(candidates, states, excluded, now, Random(1))


def test_peers_that_reach_endpoints_go_before_those_that_may_not():
    """Guards against callers' requests that try one peer after another."""
    candidates = fleet(a="own", b="own", c="other")
    states = {name: ForwarderState() for name in "abc"}
    states["c"].is_proven = True
    states["c"].in_flight = 100
    assert choose(candidates, states) == "c"
    assert choose(candidates, states, {"c"}) in ("a", "b")


def test_a_peer_that_refused_is_avoided_for_a_while():
    candidates = fleet(a="own", b="other")
    states = {name: ForwarderState() for name in "ab"}
    states["a"].avoid(NOW)
    assert choose(candidates, states) == "b"
    assert choose(candidates, states, now=NOW + AVOID_TIME) == "a"
    assert choose(candidates, states, {"b"}) == "a"
    assert choose(candidates, states, {"a", "b"}) is None


def test_forwards_are_spread_over_all_that_reach_endpoints():
    """Guards against one peer that gets the requests of a whole zone."""
    candidates = fleet(a="own", b="own", c="other", d="other")
    states = {name: ForwarderState(is_proven=True) for name in "abcd"}
    chosen = Counter()
    for _ in range(200):
        name = choose(candidates, states)
        states[name].in_flight += 1
        chosen[name] += 1
    assert max(chosen.values()) - min(chosen.values()) <= 5
    assert chosen["a"] >= chosen["c"]


def test_a_small_instance_gets_fewer_forwards():
    candidates = [
        ForwarderCandidate("small", True, 0.5),
        ForwarderCandidate("large", True, 2.0),
    ]
    states = {name: ForwarderState(is_proven=True) for name in ("small", "large")}
    chosen = Counter()
    for _ in range(100):
        name = choose(candidates, states)
        states[name].in_flight += 1
        chosen[name] += 1
    assert chosen["large"] >= 3 * chosen["small"]
