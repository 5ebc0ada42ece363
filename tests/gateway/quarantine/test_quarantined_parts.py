"""Quarantine of parts of prompts, at one gateway."""

from datetime import timedelta

import pytest

from sassafrasdale.decisions.blame import KNOWN_SOUND_PART, PART
from sassafrasdale.decisions.strikes import Strike, StrikeState
from sassafrasdale.deployment import PromptPart
from sassafrasdale.gateway.quarantine.fingerprints import (
    MAX_PART_ID,
    RequestFeatures,
    part_features,
    shared_part_features,
)
from sassafrasdale.gateway.quarantine.soundness import RunProgress
from sassafrasdale.gateway.quarantine.strike_recorder import MAX_STRUCK_PARTS
from sassafrasdale.gateway.quarantine.trials import TRIALS_PREFIX
from sassafrasdale.green import sleep
from sassafrasdale.http.messages import Request
from tests.decisions.test_quarantine import strike
from tests.gateway.quarantine.test_quarantine import (
    CLOCK,
    CRASHING,
    FINGERPRINT,
    Gateway,
    accepting_address,
    now,
    refusing_address,
)

OTHER = Request("POST", "/reports/8", CRASHING.headers, b"other")
BAD = "part-bad"


@pytest.fixture
def gateway():
    return Gateway()


def quarantine(gateway: Gateway, part: str = BAD, *, ago: float = 10.0) -> None:
    """Have enough crashes under different requests with a part."""
    for crash in range(KNOWN_SOUND_PART.crashes):
        at = now() - ago
        gateway.ledger.add(
            Strike(part, f"i-{crash}", "v1", False, at, "g-2", f"r-{crash}")
        )


def prompt(*names: str) -> list[PromptPart]:
    return [PromptPart(name, 100) for name in names]


def lose(gateway: Gateway, features: RequestFeatures, name: str):
    record = gateway.register(refusing_address(), name)
    gateway.quarantine.record_lost_connection(
        features, record, RunProgress(), registered=True
    )


@pytest.mark.parametrize(
    ("parts", "is_refused"),
    [
        (("bad", "own"), True),
        (("system", "bad", "own"), True),
        (("system", "bad", "bad"), True),
        (("system", "bad"), False),
        (("system", "other", "own"), False),
        ((), False),
    ],
)
def test_requests_with_a_quarantined_part_are_refused(gateway, parts, is_refused):
    """Guards against sends of other requests, and refusals for the last part."""
    gateway.register(accepting_address())
    quarantine(gateway)
    verdict = gateway.verdict(OTHER, *parts)
    assert verdict.is_refused is is_refused
    features = gateway.quarantine.features_of(OTHER, "b", prompt(*parts))
    refused = gateway.quarantine.refused_feature(features)
    assert refused == (BAD if is_refused else "")
    assert verdict.fingerprint == (BAD if is_refused else "")


def test_a_crash_strikes_the_request_and_its_shared_parts(gateway):
    features = RequestFeatures(FINGERPRINT, ("part-a", "part-b"))
    lose(gateway, features, "i-1")
    struck = {row["fingerprint"] for row in gateway.quarantine.describe()}
    assert struck == {FINGERPRINT, "part-a", "part-b"}


def test_a_part_is_struck_once_by_a_crash(gateway):
    """Guards against a strike of a popular part for each request that ran."""
    record = gateway.register(refusing_address())
    for number in range(60):
        gateway.quarantine.record_lost_connection(
            RequestFeatures(f"r-{number}", ("part-system",)),
            record,
            RunProgress(began_at=CLOCK.elapsed() if number % 2 else None),
            registered=True,
        )
    assert len(gateway.ledger.open_strikes("part-system")) == 2


def test_the_parts_that_one_request_strikes_are_bounded(gateway):
    """Guards against prompts of many parts, and a bad one behind sound ones."""
    sound = [f"part-{number}" for number in range(2 * MAX_STRUCK_PARTS)]
    gateway.sound_parts.note(sound)
    lose(gateway, RequestFeatures(FINGERPRINT, (*sound, BAD)), "i-1")
    assert len(gateway.ledger) == 1 + MAX_STRUCK_PARTS
    assert gateway.ledger.open_strikes(BAD)


def test_an_answer_clears_the_parts_of_its_prompt(gateway):
    """Guards against refusing a part for the crashes of other requests."""
    gateway.register(accepting_address())
    quarantine(gateway, "part-system")
    assert gateway.verdict(OTHER, "system", "own").is_refused
    gateway.quarantine.record_success(OTHER, "lab-a", prompt("system", "own"))
    assert not gateway.verdict(OTHER, "system", "own").is_refused
    assert gateway.sound_parts.is_sound("part-own")


def test_an_answer_clears_the_earlier_crashes_that_are_heard_later(gateway):
    """Guards against sound parts that are refused as an outage of the store ends."""
    gateway.quarantine.record_success(OTHER, "lab-a", prompt("system", "own"))
    quarantine(gateway, "part-system")
    assert not gateway.verdict(CRASHING, "system", "own").is_refused
    assert gateway.ledger.open_strikes("part-system") == []


def test_a_stream_that_is_being_written_clears_nothing(gateway):
    """Guards against a part that is cleared by events that came before its crash."""
    quarantine(gateway, ago=0.0)
    gateway.quarantine.record_progress(prompt("bad", "own"))
    strikes = gateway.ledger.open_strikes(BAD)
    assert len(strikes) == KNOWN_SOUND_PART.crashes
    assert all(tracked.is_known_sound for tracked in strikes)


def test_a_run_that_was_written_for_a_while_strikes_no_part(gateway):
    """Guards against refusing parts of long streams that other requests end."""
    record = gateway.register(refusing_address())
    gateway.quarantine.record_lost_connection(
        RequestFeatures(FINGERPRINT, (BAD,)),
        record,
        RunProgress(began_at=CLOCK.elapsed(), is_sound=True),
        registered=True,
    )
    assert gateway.ledger.open_strikes(FINGERPRINT)
    assert not gateway.ledger.open_strikes(BAD)


def test_strikes_of_a_gateway_that_has_just_started_need_more(gateway):
    """Guards against quarantine of all parts after a restart of all gateways."""
    lose(gateway, RequestFeatures(FINGERPRINT, (BAD,)), "i-1")
    [tracked] = gateway.ledger.open_strikes(BAD)
    assert tracked.state & StrikeState.KNOWN_SOUND
    assert tracked.strike.request == FINGERPRINT


def test_a_part_is_tried_once_and_not_by_each_request(gateway):
    """Guards against one more crash for each new request with a quarantined part."""
    gateway.register(accepting_address(), "i-old", version="v1")
    new = gateway.register(accepting_address(), "i-new", version="v2")
    quarantine(gateway, ago=100.0)
    verdicts = [
        gateway.verdict(Request("POST", f"/{n}", CRASHING.headers), "bad", "own")
        for n in range(5)
    ]
    trials = [each for each in verdicts if not each.is_refused]
    assert len(trials) == 1
    assert trials[0].is_trial
    assert new.name not in trials[0].avoided


def test_no_trial_is_spent_on_a_request_that_is_refused_for_its_part(gateway):
    """Guards against trials that are used up by requests that are never sent."""
    gateway.register(accepting_address(), "i-old", version="v1")
    gateway.register(accepting_address(), "i-new", version="v2")
    for crash in range(3):
        gateway.ledger.add(strike(FINGERPRINT, crash, at=now() - 100))
    quarantine(gateway, ago=10.0)
    assert gateway.verdict(CRASHING, "bad", "own").is_refused
    assert not gateway.store.list(TRIALS_PREFIX)
    assert gateway.verdict(CRASHING).is_trial


def test_a_part_that_is_cleared_while_a_trial_is_claimed_refuses_nothing(gateway):
    """Guards against an error for a request as the last strikes are cleared."""
    gateway.register(accepting_address(), "i-old", version="v1")
    gateway.register(accepting_address(), "i-new", version="v2")
    quarantine(gateway, ago=100.0)
    quarantine(gateway, "part-other", ago=100.0)
    claim = gateway.trials.try_claim

    def clear_meanwhile(feature, *args, **also):
        gateway.ledger.clear("part-other" if feature == BAD else BAD)
        return claim(feature, *args, **also)

    gateway.trials.try_claim = clear_meanwhile
    assert gateway.verdict(OTHER, "bad", "other", "own").is_trial


def test_an_operator_lifts_a_part(gateway):
    gateway.register(accepting_address())
    quarantine(gateway)
    assert gateway.verdict(OTHER, "bad", "own").is_refused
    assert gateway.quarantine.release(BAD)
    assert not gateway.verdict(OTHER, "bad", "own").is_refused


def test_features_of_parts():
    parts = prompt("a", "b", "a", "own")
    assert part_features(parts) == ("part-a", "part-b", "part-own")
    assert shared_part_features(parts) == ("part-a", "part-b")
    assert shared_part_features(prompt("own")) == ()
    long = "f" * (MAX_PART_ID + 1)
    [feature] = part_features(prompt(long))
    assert len(feature) < 2 * MAX_PART_ID
    [odd] = part_features(prompt("a/b\n"))
    assert "/" not in odd


def test_a_part_is_assessed_once_it_is_old_enough(gateway):
    """Guards against a quarantine that waits for one more crash."""
    gateway.register(accepting_address())
    quarantine(gateway, ago=PART.min_age.total_seconds() - 0.2)
    assert not gateway.verdict(OTHER, "bad", "own").is_refused
    sleep(timedelta(seconds=0.3))
    assert gateway.verdict(OTHER, "bad", "own").is_refused
    gateway.ledger.clear(BAD)
    quarantine(gateway, "part-next", ago=0.0)
    assert not gateway.verdict(OTHER, "next", "own").is_refused
