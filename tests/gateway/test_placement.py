"""Choice of the endpoint for a request."""

from datetime import timedelta
from random import Random

import pytest

from sassafrasdale.decisions.fetching import CacheLink
from sassafrasdale.decisions.load_reports import ReportedLoad
from sassafrasdale.decisions.step_times import EngineStepTimes
from sassafrasdale.deployment import (
    Endpoint,
    EndpointState,
    EngineTraits,
    PromptPart,
    RequestTraits,
    Service,
)
from sassafrasdale.gateway.directory import EndpointRecord
from sassafrasdale.gateway.placement import CacheEstimate, Placement, owner_of
from sassafrasdale.structures import Address

TOKEN_TIME = timedelta(microseconds=20)
NOW = timedelta(hours=1)
MODELS = Service("models", EngineTraits(64, 100_000))
RECORDS = Service("records")


def record(name: str, zone: str = "a") -> EndpointRecord:
    endpoint = Endpoint(
        name, "s", Address("127.0.0.1", 1), zone, EndpointState.READY, slots=6
    )
    return EndpointRecord(endpoint, pool=None)


def prompt(shared: str, own: str, tokens: int = 3000) -> RequestTraits:
    parts = (PromptPart(shared, 6000), PromptPart(own, tokens))
    return RequestTraits("r", prompt_tokens=6000 + tokens, parts=parts)


@pytest.fixture
def records():
    return [record("i-1"), record("i-2"), record("i-3")]


@pytest.fixture
def cache():
    return CacheEstimate()


@pytest.fixture
def step_times():
    return EngineStepTimes()


@pytest.fixture
def placement(cache, step_times):
    return Placement("a", cache, step_times, Random(1))


def choose(placement, records, traits, service=MODELS, peers=None, weights=None):
    chosen = placement.choose(
        records, service, traits, peers or {}, weights or {}, TOKEN_TIME
    )
    return chosen and chosen.name


def test_no_candidates(placement):
    assert choose(placement, [], prompt("x", "y")) is None


def test_requests_that_share_a_part_go_to_its_owner(placement, records):
    owner = owner_of("x", [rec.name for rec in records])
    for own in ("a", "b", "c"):
        assert choose(placement, records, prompt("x", own)) == owner


def test_most_parts_keep_their_owner_when_an_engine_is_added(records):
    before = [rec.name for rec in records]
    moved = sum(
        owner_of(f"p-{number}", before) != owner_of(f"p-{number}", [*before, "i-4"])
        for number in range(400)
    )
    assert moved < 0.35 * 400


def test_an_owner_with_a_long_queue_is_avoided(placement, records):
    owner = next(
        rec
        for rec in records
        if rec.name == owner_of("x", [other.name for other in records])
    )
    owner.prefill_tokens = 40_000
    assert choose(placement, records, prompt("x", "y")) != owner.name


def test_peer_loads_count(placement, records):
    owner = owner_of("x", [rec.name for rec in records])
    peers = {owner: ReportedLoad(5, 40_000)}
    assert choose(placement, records, prompt("x", "y"), peers=peers) != owner


def test_an_ejected_endpoint_is_chosen_only_if_all_are(placement, records):
    weights = {"i-1": 0.0, "i-2": 0.0, "i-3": 1.0}
    assert choose(placement, records, prompt("x", "y"), weights=weights) == "i-3"
    all_ejected = dict.fromkeys(weights, 0.0)
    assert choose(placement, records, prompt("x", "y"), weights=all_ejected)


def test_plain_requests_go_to_the_least_loaded_endpoint(placement, records):
    records[0].in_flight, records[1].in_flight = 4, 2
    assert choose(placement, records, RequestTraits("r"), RECORDS) == "i-3"


def test_the_own_zone_is_preferred_among_equal_endpoints(placement):
    records = [record("i-1", "b"), record("i-2", "a")]
    assert choose(placement, records, RequestTraits("r"), RECORDS) == "i-2"


def test_the_cache_estimate_is_bounded(cache):
    for number in range(40):
        cache.record_prompt("i-1", prompt(f"s-{number}", f"o-{number}").parts, 100_000)
    assert cache.cached_tokens("i-1", prompt("s-0", "o-0").parts) == 0
    assert cache.cached_tokens("i-1", prompt("s-39", "new").parts) == 6000


def test_a_part_counts_only_if_its_prefix_is_cached(cache):
    cache.record_prompt("i-1", (PromptPart("b", 100),), 100_000)
    parts = (PromptPart("a", 50), PromptPart("b", 100))
    assert cache.cached_tokens("i-1", parts) == 0


FAST_LINK = Service("models", EngineTraits(64, 100_000, CacheLink(35_000, 550_000e6)))
SLOW_LINK = Service("models", EngineTraits(64, 100_000, CacheLink(35_000, 100e6)))


def source(placement, record, records, traits, service=FAST_LINK):
    found = placement.source(record, records, service, traits, TOKEN_TIME, NOW)
    return found and found.name


def test_shared_parts_are_fetched_from_the_engine_that_has_them(
    placement, cache, records
):
    """Guards against each new engine repeating the prefill of every shared prefix.

    Workload: prompts share prefixes of 6,000 tokens, and a new engine gets one. Their
    prefill takes 120 ms; fetching them over a link of 550 Gbit/s takes 3 ms.
    """
    traits = prompt("x", "y")
    cache.record_prompt("i-2", traits.parts, 100_000)
    assert source(placement, records[0], records, traits) == "i-2"


def test_an_engine_with_cached_parts_fetches_nothing(placement, cache, records):
    traits = prompt("x", "y")
    cache.record_prompt("i-1", traits.parts, 100_000)
    assert source(placement, records[0], records, traits) is None


def test_unknown_parts_are_fetched_from_their_owner_among_the_others(
    placement, records
):
    """Guards against a new engine that prefills all parts again that it now owns.

    Until now their owner was the endpoint that the hash picks among the other engines.
    """
    traits = prompt("x", "y")
    owner = owner_of("x", ["i-2", "i-3"])
    assert source(placement, records[0], records, traits) == owner


def test_nothing_is_fetched_from_a_new_engine(placement, records):
    """Guards against fetching shared parts from an engine whose cache is empty.

    The hash picks an engine as the parts' owner that started two seconds ago. Others
    started within the hour, at different times, and have the parts cached.
    """
    traits = prompt("x", "y")
    owner = owner_of("x", ["i-2", "i-3"])
    for other in records:
        other.registered_at = timedelta(minutes=20 if other.name == "i-1" else 40)
        if other.name == owner:
            other.registered_at = NOW - timedelta(seconds=2)
    [expected] = {"i-2", "i-3"} - {owner}
    assert source(placement, records[0], records, traits) == expected


def test_parts_are_fetched_from_any_warmed_up_engine(placement, records):
    traits = prompt("x", "y")
    owner = owner_of("x", ["i-2", "i-3"])
    for other in records:
        other.registered_at = timedelta(minutes=50 if other.name == owner else 2)
    assert source(placement, records[0], records, traits) == owner


def test_nothing_is_fetched_over_a_slow_link(placement, cache, records):
    traits = prompt("x", "y")
    cache.record_prompt("i-2", traits.parts, 100_000)
    assert source(placement, records[0], records, traits, SLOW_LINK) is None


def test_a_lone_engine_fetches_nothing(placement, records):
    assert source(placement, records[0], records[:1], prompt("x", "y")) is None


def test_a_long_prompt_goes_to_a_fast_engine(placement, step_times, records):
    """Guards against a long prompt that is late at a slow engine.

    The prompt has 50,000 tokens; the slow engine takes 1.3 times as long per token. It
    is in the gateway's own zone and idle; a fast one is idle, too.
    """
    engines = [records[0], record("i-2", zone="b")]
    gap = timedelta(milliseconds=16)
    for _ in range(4):
        step_times.observe("i-1", [gap * 1.3] * 20)
        step_times.observe("i-2", [gap] * 20)
    assert choose(placement, engines, RequestTraits("r", prompt_tokens=50_000)) == "i-2"


def assign(placement, records, slow_endpoints=None, peers=None, connected=None):
    """Return the plain endpoint that a dispatcher assigns."""
    chosen = placement.choose(
        records,
        RECORDS,
        RequestTraits("r"),
        peers or {},
        {},
        TOKEN_TIME,
        slow_endpoints=slow_endpoints or {},
        connected=connected,
    )
    return chosen.name


@pytest.fixture
def zones():
    """Return an endpoint in this zone and one in another."""
    return [record("i-1"), record("i-2", zone="b")]


def test_assigned_requests_stay_in_their_zone_while_there_are_slots(placement, zones):
    """Guards against traffic to another zone whose endpoint is a little less busy."""
    zones[0].in_flight = 5
    assert assign(placement, zones) == "i-1"


@pytest.mark.parametrize("peers", [{}, {"i-1": ReportedLoad(4, 0)}])
def test_a_full_endpoint_is_left_for_another_zone(placement, zones, peers):
    """Guards against requests that are rejected while other slots are free."""
    zones[0].in_flight = 2 if peers else 6
    assert assign(placement, zones, peers=peers) == "i-2"


def test_a_slow_endpoint_is_left_for_another_zone(placement, zones):
    """Guards against requests that are late at an endpoint that has become slow."""
    assert assign(placement, zones, {"i-1": 2.5}) == "i-2"
    assert assign(placement, zones, {"i-1": 2.5, "i-2": 2.5}) == "i-1"


def test_a_slow_endpoint_is_better_than_a_full_one(placement, zones):
    zones[1].in_flight = 24
    assert assign(placement, zones, {"i-1": 2.5}) == "i-1"


def test_a_connection_decides_between_equal_endpoints(placement):
    records = [record("i-1"), record("i-2")]
    assert assign(placement, records, connected={"i-2"}) == "i-2"
    assert assign(placement, records, connected=set()) == "i-1"
