"""Memory of the parts of prompts that endpoints have run well."""

from collections.abc import Iterable
from datetime import timedelta

from sassafrasdale.clock import Clock

# An answer that has been written for this long shows that its prompt is sound: an
# engine that a prompt crashes ends as it begins the answer.
SOUND_AFTER = timedelta(seconds=0.5)
# A part is taken for sound for this long after a request with it ran well.
MAX_AGE = timedelta(minutes=10)
# Most parts remembered; those used the longest ago are forgotten first.
MAX_PARTS = 8192
# A gateway that has run for less has not seen enough to know which parts are sound.
LEARNING_TIME = timedelta(seconds=10)


class SoundParts:
    """Parts of prompts with which requests have run well at this gateway.

    :param clock: source of elapsed time.
    """

    def __init__(self, clock: Clock, max_parts: int = MAX_PARTS) -> None:
        self._clock = clock
        self._max_parts = max_parts
        self._started_at = clock.elapsed()
        # Most recently seen last.
        self._seen_at: dict[str, timedelta] = {}

    @property
    def is_learning(self) -> bool:
        """Whether this gateway has started too lately to know what is sound."""
        return self._clock.elapsed() - self._started_at < LEARNING_TIME

    def note(self, features: Iterable[str]) -> None:
        """Note that a request with these parts runs well."""
        now = self._clock.elapsed()
        seen_at = self._seen_at
        for feature in features:
            seen_at.pop(feature, None)
            seen_at[feature] = now
        while len(seen_at) > self._max_parts:
            del seen_at[next(iter(seen_at))]

    def is_sound(self, feature: str) -> bool:
        """Return whether a request with a part has run well lately."""
        seen_at = self._seen_at.get(feature)
        return seen_at is not None and self._clock.elapsed() - seen_at <= MAX_AGE
