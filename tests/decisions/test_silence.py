"""What the silence of an endpoint justifies."""

from dataclasses import replace
from datetime import timedelta

import pytest

from sassafrasdale.decisions.silence import (
    EVIDENCE_TIME,
    PLAIN_SILENCE,
    RESPONDING_TIME,
    RESPONSE_AGE,
    STALL_TIME,
    TOTAL_SILENCE,
    CollectEvidence,
    CommonStall,
    Responsiveness,
    Silence,
    SilenceCause,
    StartHedge,
    Wait,
    blames_version,
    cause_of,
    has_peer_stalled,
    is_link_suspicious,
    judge,
)

MILLISECOND = timedelta(milliseconds=1)
MINUTE = timedelta(minutes=1)
# A stream whose endpoint sends nothing while another one responds.
STALLED = Silence(
    STALL_TIME,
    has_begun=True,
    heard=STALL_TIME,
    others_responding=RESPONDING_TIME,
)


def test_a_stalled_endpoint_is_hedged_at_one_that_responds():
    assert judge(STALLED) == StartHedge(SilenceCause.ENDPOINT)


def test_a_response_that_alone_has_stalled_is_hedged():
    """Guards against connections that die without a reset while new ones work."""
    silence = replace(STALLED, heard=RESPONSE_AGE)
    assert judge(silence) == StartHedge(SilenceCause.CONNECTION)


@pytest.mark.parametrize("lasted", [STALL_TIME, MINUTE])
def test_endpoints_that_are_silent_together_are_waited_for(lasted):
    """Guards against sound runs that are abandoned in a stall of all endpoints."""
    silence = replace(STALLED, lasted=lasted, heard=lasted, others_responding=None)
    assert judge(silence) == CollectEvidence()


def test_endpoints_that_go_on_together_are_not_hedged():
    """Guards against hedges of all streams as the first endpoint goes on."""
    just_now = RESPONDING_TIME - MILLISECOND
    assert judge(replace(STALLED, others_responding=just_now)) == CollectEvidence()


def test_a_response_that_has_not_begun_is_waited_for():
    """Guards against prompts that are prefilled twice, as their engine is busy."""
    assert judge(replace(STALLED, lasted=MINUTE, has_begun=False)) == Wait()


def test_evidence_is_collected_before_it_is_needed():
    early = replace(STALLED, lasted=EVIDENCE_TIME, others_responding=None)
    assert judge(early) == CollectEvidence()
    assert judge(replace(early, lasted=EVIDENCE_TIME - MILLISECOND)) == Wait()
    assert judge(replace(early, others_responding=MINUTE)) == CollectEvidence()


def test_what_usually_takes_long_is_not_hedged_early():
    slow = replace(STALLED, patience=MINUTE)
    assert judge(slow) == CollectEvidence()
    assert judge(replace(slow, lasted=MINUTE)) == StartHedge(SilenceCause.ENDPOINT)


@pytest.mark.parametrize("has_begun", [True, False])
def test_a_lost_link_justifies_a_hedge_without_more_evidence(has_begun):
    """Guards against requests that wait behind a partition until their deadline."""
    lost = Silence(PLAIN_SILENCE, has_begun=has_begun, is_link_lost=True)
    assert judge(lost) == StartHedge(SilenceCause.LINK)
    assert judge(replace(lost, lasted=PLAIN_SILENCE - MILLISECOND)) == Wait()


def test_a_service_without_known_responses_is_taken_for_silent():
    assert cause_of(replace(STALLED, others_responding=None)) is SilenceCause.SERVICE


def test_a_silence_of_all_endpoints_blames_no_version():
    """Guards against roll-outs that are rolled back for a stall of all endpoints."""
    assert not blames_version(None)
    assert not blames_version(TOTAL_SILENCE)
    assert blames_version(TOTAL_SILENCE - MILLISECOND)


def test_a_link_is_suspicious_only_if_nothing_responds():
    assert is_link_suspicious(None)
    assert is_link_suspicious(TOTAL_SILENCE)
    assert not is_link_suspicious(TOTAL_SILENCE - MILLISECOND)


def test_responding_endpoints_are_known_since_their_first_bytes():
    responsiveness = Responsiveness()
    for at in range(0, 500, 100):
        now = at * MILLISECOND
        responsiveness.sample({"m-1": now, "m-2": timedelta(), "m-3": None}, now)
    assert responsiveness.responding(now) == {"m-1": 400 * MILLISECOND}


def test_an_endpoint_that_was_silent_meanwhile_starts_anew():
    """Guards against a response of before the stall that counts as a recent one."""
    responsiveness = Responsiveness()
    responsiveness.sample({"m-1": timedelta()}, timedelta())
    responsiveness.sample({"m-1": timedelta()}, MINUTE)
    assert responsiveness.responding(MINUTE) == {}
    responsiveness.sample({"m-1": MINUTE}, MINUTE)
    assert responsiveness.responding(MINUTE) == {"m-1": timedelta()}


@pytest.mark.parametrize(
    ("all_silent", "waited_elsewhere", "lasts"),
    [
        (PLAIN_SILENCE, PLAIN_SILENCE, True),
        (None, PLAIN_SILENCE, True),
        (PLAIN_SILENCE - MILLISECOND, MINUTE, False),
        (MINUTE, PLAIN_SILENCE - MILLISECOND, False),
        (None, timedelta(), False),
    ],
)
def test_a_stall_of_all_endpoints_shows(all_silent, waited_elsewhere, lasts):
    """Guards against ejections of sound endpoints for a stall of all of them."""
    assert CommonStall().lasts(all_silent, waited_elsewhere, MINUTE) == lasts


def test_a_stall_of_all_endpoints_lasts_until_a_byte_comes():
    """Guards against blame on the endpoint that owes the last response of a stall."""
    stall = CommonStall()
    assert stall.lasts(PLAIN_SILENCE, PLAIN_SILENCE, MINUTE)
    later = MINUTE + MILLISECOND
    assert stall.lasts(PLAIN_SILENCE + MILLISECOND, timedelta(), later)
    assert not stall.lasts(timedelta(), timedelta(), later)


@pytest.mark.parametrize(
    ("heard_at", "stalled"),
    [(None, True), (MINUTE, True), (MINUTE + MILLISECOND, False)],
)
def test_a_peer_that_answers_others_has_not_stalled(heard_at, stalled):
    """Guards against peers passed over as one of many calls has no answer in time."""
    assert has_peer_stalled(MINUTE, heard_at) == stalled
