"""Memory of the parts of prompts that endpoints have run well."""

from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta

from sassafrasdale.clock import Clock
from sassafrasdale.decisions.recent_map import RecentMap

# An answer that has been written for this long shows that its prompt is sound: an
# engine that a prompt crashes ends as it begins the answer.
SOUND_AFTER = timedelta(seconds=0.5)
# A part is taken for sound for this long after a request with it ran well.
MAX_AGE = timedelta(minutes=10)
# Most parts remembered; those used the longest ago are forgotten first.
MAX_PARTS = 8192
# A gateway that has run for less has not seen enough to know which parts are sound.
LEARNING_TIME = timedelta(seconds=10)


@dataclass(slots=True)
class RunProgress:
    """How long an endpoint has been writing an answer.

    :ivar began_at: elapsed time of its first data; None if there was none.
    :ivar is_sound: whether it has been written for so long that no part of its prompt
        crashes the endpoint.
    """

    began_at: timedelta | None = None
    is_sound: bool = False

    def note_data(self, now: timedelta) -> bool:
        """Record data, and return whether it has just turned out to be sound."""
        if self.began_at is None:
            self.began_at = now
        was_sound = self.is_sound
        self.is_sound = now - self.began_at >= SOUND_AFTER
        return self.is_sound and not was_sound


class SoundParts:
    """Parts of prompts with which requests have run well at this gateway.

    :param clock: source of elapsed time.
    """

    def __init__(self, clock: Clock, max_parts: int = MAX_PARTS) -> None:
        self._clock = clock
        self._started_at = clock.elapsed()
        self._seen_at: RecentMap[str, timedelta] = RecentMap(max_parts)

    @property
    def is_learning(self) -> bool:
        """Whether this gateway has started too lately to know what is sound."""
        return self._clock.elapsed() - self._started_at < LEARNING_TIME

    def note(self, features: Iterable[str]) -> None:
        """Note that a request with these parts runs well."""
        now = self._clock.elapsed()
        for feature in features:
            self._seen_at.set(feature, now)

    def is_sound(self, feature: str) -> bool:
        """Return whether a request with a part has run well lately."""
        seen_at = self._seen_at.get(feature)
        return seen_at is not None and self._clock.elapsed() - seen_at <= MAX_AGE
