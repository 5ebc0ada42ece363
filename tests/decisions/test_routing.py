"""Tests of endpoint selection."""

from dataclasses import replace
from datetime import timedelta
from random import Random

from sassafrasdale.decisions.routing import choose, draw_candidates
from sassafrasdale.decisions.structures import (
    EndpointView,
    RoutingPolicy,
    RoutingRequest,
)

POLICY = RoutingPolicy()


def test_prefers_the_endpoint_that_holds_the_prefix():
    views = [EndpointView("a", "z1"), EndpointView("b", "z1", cached_tokens=4000)]
    chosen = choose(RoutingRequest(prompt_tokens=4000), views, POLICY, Random(1))
    assert chosen.name == "b"


def test_never_chooses_an_endpoint_being_reclaimed():
    views = [EndpointView("a", "z1", leaving=True)]
    assert choose(RoutingRequest(), views, POLICY, Random(1)) is None


def test_avoids_an_overloaded_endpoint_despite_its_cache():
    views = [
        EndpointView("a", "z1"),
        EndpointView("b", "z1", in_flight=60, cached_tokens=4000),
    ]
    chosen = choose(RoutingRequest(prompt_tokens=4000), views, POLICY, Random(1))
    assert chosen.name == "a"


def test_draws_a_sample_with_the_owners_and_the_best_matches():
    names = [f"e{n}" for n in range(100)]
    matches = {"e10": 64, "e11": 640, "e12": 6400, "e13": 128}
    for seed in range(20):
        drawn = draw_candidates(names, matches, ("e50", "e60"), POLICY, Random(seed))
        assert {"e12", "e50", "e60"} <= set(drawn)
        sampled = set(drawn[: POLICY.sample_size])
        if not sampled & matches.keys():
            assert {"e11", "e12", "e13"} <= set(drawn)
        assert len(drawn) <= POLICY.sample_size + POLICY.best_matches + 2


def test_entries_draw_different_candidates_among_equal_matches():
    """Guards against queues at a few replicas while most have free slots.

    All replicas hold the template that all prompts begin with. If every entry ranked
    them alike, it would add the same three to its candidates.
    """
    matches = {f"e{n}": 512 for n in range(100)}
    policy = replace(POLICY, sample_size=1)
    drawn = set()
    for seed in range(100):
        drawn |= set(draw_candidates(list(matches), matches, (), policy, Random(seed)))
    assert len(drawn) > 50


def test_draws_every_endpoint_of_a_small_service():
    assert draw_candidates(["a", "b"], {}, ("", ""), POLICY, Random(1)) == ["a", "b"]


def test_entries_with_the_same_report_choose_different_endpoints():
    """Guards against a rise of the time to the first token after each load report.

    All entries learn that a replica was idle and send to it, since none knows what the
    others have sent since the report was measured.
    """
    age = timedelta(seconds=2)
    others = {"a": 0, "b": 6}
    own = {"a": 0, "b": 0}
    for seed in range(6):
        views = [
            EndpointView(name, "z1", "", own[name], 0, others[name], 0, age)
            for name in others
        ]
        own[choose(RoutingRequest(), views, POLICY, Random(seed)).name] += 1
    assert own["b"] >= 2


def test_prefers_the_owner_without_better_information():
    views = [EndpointView(name, "z1") for name in "abc"]
    request = RoutingRequest(prompt_tokens=4000, owner="b")
    for seed in range(10):
        assert choose(request, views, POLICY, Random(seed)).name == "b"


def test_avoids_a_slow_endpoint():
    views = [
        EndpointView("a", "z1", slowness=4.0, in_flight=1),
        EndpointView("b", "z1", in_flight=3),
    ]
    chosen = choose(RoutingRequest(prompt_tokens=800), views, POLICY, Random(1))
    assert chosen.name == "b"
