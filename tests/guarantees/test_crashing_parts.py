"""A part of prompts that crashes engines is quarantined by all gateways."""

from collections.abc import Callable
from datetime import timedelta

import pytest

from sassafrasdale.clock import SystemClock
from sassafrasdale.green import sleep, spawn
from standins.gateway_endpoints import PartDefect
from standins.gateway_fleet import restart
from standins.kv_store import Fault
from tests.guarantees.crashing_prompts import (
    BAD_PART,
    CONTACT_TIME,
    MAX_LATE_SENDS,
    CrashingPrompts,
    Prompts,
)

CLOCK = SystemClock()
CALM = timedelta(seconds=2)
BAD_REQUESTS = 48
BAD_PAUSE = timedelta(milliseconds=250)
DISRUPTED_AFTER = timedelta(milliseconds=700)
OTHER_CRASH_PAUSE = timedelta(milliseconds=700)
# Sound requests must begin at least this often, against before the crashes.
MIN_SOUND_SHARE = 0.5
DEEP = Prompts(bad_at=7, shared=[f"c0de{number}" for number in range(9)])


def play(
    deployment: CrashingPrompts,
    disrupt: Callable[[CrashingPrompts], None] = lambda deployment: None,
    at_once: int = 1,
) -> float:
    """Play the story, and return the share of sound requests against before.

    :param disrupt: disrupts the gateways once a few requests have crashed engines.
    :param at_once: requests with the part that are sent at the same time.
    """
    began_at = CLOCK.elapsed()
    deployment.start_sound_callers()
    sleep(CALM)
    calm_until = CLOCK.elapsed()
    spawn(_disrupt_later, deployment, disrupt)
    deployment.send_bad(BAD_REQUESTS, BAD_PAUSE, at_once)
    before = deployment.sound_share(began_at, calm_until)
    last_known = deployment.crashes[:5][-1]
    since = last_known + 2 * CONTACT_TIME
    return deployment.sound_share(since, CLOCK.elapsed()) / before


def _disrupt_later(
    deployment: CrashingPrompts, disrupt: Callable[[CrashingPrompts], None]
) -> None:
    sleep(DISRUPTED_AFTER)
    disrupt(deployment)


@pytest.fixture
def play_story():
    """Return a function that plays a story, and stop its processes at the end."""
    started: list[CrashingPrompts] = []

    def start(prompts: Prompts, defect: PartDefect | None, **sizes: int):
        started.append(CrashingPrompts(prompts, defect, **sizes))
        return started[0]

    yield start
    for deployment in started:
        deployment.close()


@pytest.mark.parametrize(
    ("prompts", "events"),
    [
        pytest.param(Prompts(bad_at=0), None, id="first"),
        pytest.param(Prompts(bad_at=1), None, id="middle"),
        pytest.param(DEEP, 0, id="deep"),
        pytest.param(Prompts(bad_at=1), 1, id="event"),
    ],
)
def test_a_part_that_crashes_engines_reaches_them_no_more(play_story, prompts, events):
    """Guards against crash after crash by requests that share one part only."""
    deployment = play_story(prompts, PartDefect(BAD_PART, events))
    sound = play(deployment)
    assert deployment.late_sends() <= MAX_LATE_SENDS
    assert sound >= MIN_SOUND_SHARE
    # Those that come then are refused at once, and have not run.
    assert {each.status for each in deployment.bad[-10:]} == {503}


def test_a_part_is_kept_from_engines_after_a_restart_of_all_gateways(play_story):
    """Guards against as many crashes again, as nobody remembers the first ones.

    All gateways are killed after the first crashes, and know nothing of what is sound.
    """
    deployment = play_story(Prompts(bad_at=1), PartDefect(BAD_PART))
    sound = play(deployment, lambda played: restart(played.fleet.gateways))
    assert deployment.late_sends() <= MAX_LATE_SENDS
    assert sound >= MIN_SOUND_SHARE


def test_a_part_is_kept_from_engines_while_the_store_is_silent(play_story):
    """Guards against strikes that reach other gateways through the store only."""
    deployment = play_story(Prompts(bad_at=1), PartDefect(BAD_PART), gateways=4)
    deployment.fleet.store.fault = Fault.BUSY
    sound = play(deployment)
    assert deployment.late_sends() <= MAX_LATE_SENDS
    assert sound >= MIN_SOUND_SHARE


def test_requests_with_a_part_that_come_at_the_same_time_are_stopped(play_story):
    """Guards against engines that are crashed anew as soon as they are back.

    Eight requests at once crash all engines before anybody knows the first crash.
    """
    deployment = play_story(Prompts(bad_at=1), PartDefect(BAD_PART), gateways=9)
    sound = play(deployment, at_once=8)
    assert deployment.late_sends() <= MAX_LATE_SENDS
    assert sound >= MIN_SOUND_SHARE


def test_rare_parts_are_not_refused_for_crashes_of_other_causes(play_story):
    """Guards against refusing a part whose requests only ran at crashing engines."""
    deployment = play_story(Prompts(), None)
    deployment.start_sound_callers()
    for number in range(16):
        deployment.send_rare(f"ra{number % 4}")
        sleep(OTHER_CRASH_PAUSE)
        deployment.engines[number % len(deployment.engines)].crash()
    refused = [
        line
        for gateway in deployment.fleet.gateways
        for line in gateway.log_lines()
        if line.get("reason") == "quarantined"
    ]
    assert refused == []


def test_crashes_are_logged_with_the_parts_of_the_prompts(play_story):
    """Guards against logs that don't show what the requests of crashes share."""
    deployment = play_story(Prompts(), PartDefect(BAD_PART))
    deployment.send_bad(2, BAD_PAUSE)
    sleep(CALM)
    crashed = [
        line
        for gateway in deployment.fleet.gateways
        for line in gateway.log_lines()
        if line["message"] == "send failed" and line.get("endpoint_ended")
    ]
    assert crashed
    assert all(BAD_PART in line["parts"] for line in crashed)
