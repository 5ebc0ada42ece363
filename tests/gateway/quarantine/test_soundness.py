"""Memory of the parts of prompts that have run well."""

from datetime import timedelta

from sassafrasdale.clock import ManualClock
from sassafrasdale.gateway.quarantine.soundness import (
    LEARNING_TIME,
    MAX_AGE,
    SOUND_AFTER,
    RunProgress,
    SoundParts,
)

SECOND = timedelta(seconds=1)


def test_a_part_is_sound_for_a_time():
    clock = ManualClock()
    parts = SoundParts(clock)
    parts.note(["a"])
    clock.advance(MAX_AGE)
    assert parts.is_sound("a")
    assert not parts.is_sound("b")
    clock.advance(SECOND)
    assert not parts.is_sound("a")


def test_those_used_the_longest_ago_are_forgotten_first():
    """Guards against memory that grows with the parts that callers name."""
    parts = SoundParts(ManualClock(), max_parts=3)
    parts.note(["system", "b", "c"])
    parts.note(["system"])
    parts.note(["d"])
    assert [parts.is_sound(each) for each in ("system", "b", "c", "d")] == [
        True,
        False,
        True,
        True,
    ]


def test_a_gateway_that_has_just_started_is_learning():
    clock = ManualClock()
    parts = SoundParts(clock)
    assert parts.is_learning
    clock.advance(LEARNING_TIME)
    assert not parts.is_learning


def test_an_answer_is_sound_once_it_has_been_written_for_a_while():
    progress = RunProgress()
    assert not progress.note_data(SECOND)
    assert progress.began_at == SECOND
    assert not progress.note_data(SECOND + SOUND_AFTER * 0.9)
    assert progress.note_data(SECOND + SOUND_AFTER)
    assert progress.is_sound
    assert not progress.note_data(2 * SECOND)
