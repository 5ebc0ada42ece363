"""Which endpoint gets a request."""

from datetime import timedelta
from random import Random

import pytest

from sassafrasdale.decisions.fetching import MemoryLink
from sassafrasdale.decisions.news import ToldLoad
from sassafrasdale.decisions.paces import EnginePaces
from sassafrasdale.deployment import (
    Endpoint,
    EndpointState,
    EngineTraits,
    PromptPart,
    RequestTraits,
    Service,
)
from sassafrasdale.gateway.directory import EndpointRecord
from sassafrasdale.gateway.placement import CacheBelief, Placement, home_of
from sassafrasdale.structures import Address

TOKEN_TIME = timedelta(microseconds=20)
NOW = timedelta(hours=1)
MODELS = Service("models", EngineTraits(64, 100_000))
RECORDS = Service("records")


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
def paces():
    return EnginePaces()


@pytest.fixture
def placement(cache, paces):
    return Placement("a", cache, paces, Random(1))


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
    peers = {home: ToldLoad(5, 40_000)}
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


FAST_LINK = Service("models", EngineTraits(64, 100_000, MemoryLink(35_000, 550_000e6)))
SLOW_LINK = Service("models", EngineTraits(64, 100_000, MemoryLink(35_000, 100e6)))


def source(placement, record, records, traits, service=FAST_LINK):
    found = placement.source(record, records, service, traits, TOKEN_TIME, NOW)
    return found and found.name


def test_shared_parts_are_fetched_from_the_engine_that_read_them(
    placement, cache, records
):
    """Every engine that starts would read each shared beginning once more.

    Pattern: prompts share beginnings of 6,000 tokens; an engine that has just started
    gets one. The 120 ms for reading it are 3 ms over a link of 550 Gbit/s.
    """
    traits = prompt("x", "y")
    cache.sent("i-2", traits.parts, 100_000)
    assert source(placement, records[0], records, traits) == "i-2"


def test_an_engine_that_read_them_itself_fetches_nothing(placement, cache, records):
    traits = prompt("x", "y")
    cache.sent("i-1", traits.parts, 100_000)
    assert source(placement, records[0], records, traits) is None


def test_unknown_parts_are_looked_for_at_their_home_among_the_others(
    placement, records
):
    """A new engine that becomes the home of parts would read all of them again.

    Their home until then is the one that the hash names among the other engines.
    """
    traits = prompt("x", "y")
    home = home_of("x", ["i-2", "i-3"])
    assert source(placement, records[0], records, traits) == home


def test_an_engine_that_has_just_started_is_not_asked(placement, records):
    """Shared parts would be looked for in an empty memory, and read again.

    The hash names an engine that started two seconds ago as the parts' home. Others
    started within the hour, at different times, and have them.
    """
    traits = prompt("x", "y")
    home = home_of("x", ["i-2", "i-3"])
    for other in records:
        other.listed_at = timedelta(minutes=20 if other.name == "i-1" else 40)
        if other.name == home:
            other.listed_at = NOW - timedelta(seconds=2)
    [expected] = {"i-2", "i-3"} - {home}
    assert source(placement, records[0], records, traits) == expected


def test_engines_of_any_age_are_asked_once_they_are_filled(placement, records):
    traits = prompt("x", "y")
    home = home_of("x", ["i-2", "i-3"])
    for other in records:
        other.listed_at = timedelta(minutes=50 if other.name == home else 2)
    assert source(placement, records[0], records, traits) == home


def test_over_a_slow_link_they_are_read_again(placement, cache, records):
    traits = prompt("x", "y")
    cache.sent("i-2", traits.parts, 100_000)
    assert source(placement, records[0], records, traits, SLOW_LINK) is None


def test_a_lone_engine_fetches_nothing(placement, records):
    assert source(placement, records[0], records[:1], prompt("x", "y")) is None


def test_a_large_prompt_goes_to_a_fast_engine(placement, paces, records):
    """A prompt of 50,000 tokens would be late on an engine 1.3 times as slow.

    The slow engine is in the own zone and has nothing to do; so has a fast one.
    """
    far = [records[0], record("i-2", zone="b")]
    pause = timedelta(milliseconds=16)
    for _ in range(4):
        paces.observe("i-1", [pause * 1.3] * 20)
        paces.observe("i-2", [pause] * 20)
    assert choose(placement, far, RequestTraits("r", prompt_tokens=50_000)) == "i-2"
