"""Which endpoint gets a request."""

from datetime import timedelta

import pytest

from sassafrasdale.gateway.directory import EndpointRecord
from sassafrasdale.gateway.models import (
    Endpoint,
    EndpointState,
    EngineTraits,
    PromptPart,
    RequestTraits,
    Service,
)
from sassafrasdale.gateway.peering import EndpointLoad
from sassafrasdale.gateway.placement import CacheBelief, Placement, home_of
from sassafrasdale.structures import Address

TOKEN_TIME = timedelta(microseconds=20)
MODELS = Service("models", 100, EngineTraits(64, 100_000))
RECORDS = Service("records", 100)


def record(name: str, zone: str = "a") -> EndpointRecord:
    listed = Endpoint(
        name, "s", Address("127.0.0.1", 1), zone, EndpointState.READY, slots=6
    )
    return EndpointRecord(listed, pool=None)


def prompt(shared: str, own: str, tokens: int = 3000) -> RequestTraits:
    parts = (PromptPart(shared, 6000), PromptPart(own, tokens))
    return RequestTraits("r", prompt_tokens=6000 + tokens, parts=parts)


@pytest.fixture
def records():
    return [record("i-1"), record("i-2"), record("i-3")]


@pytest.fixture
def cache():
    return CacheBelief()


@pytest.fixture
def placement(cache):
    return Placement("a", cache)


def choose(placement, records, traits, service=MODELS, peers=None, weights=None):
    chosen = placement.choose(
        records, service, traits, peers or {}, weights or {}, TOKEN_TIME
    )
    return chosen and chosen.name


def test_nobody_to_choose(placement):
    assert choose(placement, [], prompt("x", "y")) is None


def test_requests_that_share_a_part_meet_at_its_home(placement, records):
    home = home_of("x", [rec.name for rec in records])
    for own in ("a", "b", "c"):
        assert choose(placement, records, prompt("x", own)) == home


def test_a_home_keeps_most_parts_when_an_engine_comes(records):
    before = [rec.name for rec in records]
    moved = sum(
        home_of(f"p-{number}", before) != home_of(f"p-{number}", [*before, "i-4"])
        for number in range(400)
    )
    assert moved < 0.35 * 400


def test_a_home_with_a_long_queue_is_passed_over(placement, records):
    home = next(
        rec
        for rec in records
        if rec.name == home_of("x", [other.name for other in records])
    )
    home.unread_tokens = 40_000
    assert choose(placement, records, prompt("x", "y")) != home.name


def test_what_peers_have_under_way_counts(placement, records):
    home = home_of("x", [rec.name for rec in records])
    peers = {home: EndpointLoad(5, 40_000)}
    assert choose(placement, records, prompt("x", "y"), peers=peers) != home


def test_an_ejected_endpoint_is_taken_only_if_all_are(placement, records):
    weights = {"i-1": 0.0, "i-2": 0.0, "i-3": 1.0}
    assert choose(placement, records, prompt("x", "y"), weights=weights) == "i-3"
    nobody = dict.fromkeys(weights, 0.0)
    assert choose(placement, records, prompt("x", "y"), weights=nobody)


def test_plain_requests_go_where_fewest_are_under_way(placement, records):
    records[0].in_flight, records[1].in_flight = 4, 2
    assert choose(placement, records, RequestTraits("r"), RECORDS) == "i-3"


def test_equal_endpoints_are_taken_in_the_own_zone(placement):
    records = [record("i-1", "b"), record("i-2", "a")]
    assert choose(placement, records, RequestTraits("r"), RECORDS) == "i-2"


def test_the_memory_that_an_engine_is_believed_to_have_is_bounded(cache):
    for number in range(40):
        cache.sent("i-1", prompt(f"s-{number}", f"o-{number}").parts, 100_000)
    assert cache.cached_tokens("i-1", prompt("s-0", "o-0").parts) == 0
    assert cache.cached_tokens("i-1", prompt("s-39", "new").parts) == 6000


def test_a_part_counts_only_with_all_before_it(cache):
    cache.sent("i-1", (PromptPart("b", 100),), 100_000)
    parts = (PromptPart("a", 50), PromptPart("b", 100))
    assert cache.cached_tokens("i-1", parts) == 0
