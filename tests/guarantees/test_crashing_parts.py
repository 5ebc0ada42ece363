"""A part of prompts that crashes engines is quarantined by all gateways."""

from datetime import timedelta

import pytest

from sassafrasdale.clock import SystemClock
from sassafrasdale.green import sleep
from standins.gateway_endpoints import PartDefect
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
# Sound requests must begin at least this often, against before the crashes.
MIN_SOUND_SHARE = 0.5
DEEP = Prompts(bad_at=7, shared=[f"c0de{number}" for number in range(9)])


def play(deployment: CrashingPrompts) -> float:
    """Play the story, and return the share of sound requests against before."""
    began_at = CLOCK.elapsed()
    deployment.start_sound_callers()
    sleep(CALM)
    calm_until = CLOCK.elapsed()
    deployment.send_bad(BAD_REQUESTS, BAD_PAUSE)
    before = deployment.sound_share(began_at, calm_until)
    last_known = deployment.crashes[:5][-1]
    return (
        deployment.sound_share(last_known + 2 * CONTACT_TIME, CLOCK.elapsed()) / before
    )


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
