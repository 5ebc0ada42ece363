"""How long engines take to read a prompt token, learned from first tokens."""

from collections import deque
from datetime import timedelta

# Until something is learned: an engine reads some 40 tokens in a millisecond.
FIRST_GUESS = timedelta(microseconds=25)
# Shorter prompts tell more of the way there and back, and of the few steps until an
# engine hands out a first event, than of how fast it reads.
LEAST_TOKENS = 2000
# First tokens that the estimate rests on.
KEPT = 60
# A request that met no others in the engine shows its speed; one in ten does even
# where engines are busy.
QUANTILE = 0.1
LEAST_OBSERVATIONS = 8
# Where all engines are busy, all first tokens wait for others. The estimate doesn't
# follow them beyond this multiple of the best that was ever seen: it would call the
# engines slow where they are too few.
MOST_SLOWER = 1.2


class ReadingSpeed:
    """Estimate of one service's time for a prompt token."""

    def __init__(self) -> None:
        self._seen: deque[timedelta] = deque(maxlen=KEPT)
        self._token_time = FIRST_GUESS
        self._best = timedelta.max

    @property
    def token_time(self) -> timedelta:
        """Time that an engine takes for a prompt token."""
        return self._token_time

    def observe(self, unread_tokens: int, took: timedelta) -> None:
        """Note the time to the first token of a request.

        :param unread_tokens: prompt tokens that the engine had to read.
        """
        if unread_tokens < LEAST_TOKENS:
            return
        self._seen.append(took / unread_tokens)
        if len(self._seen) >= LEAST_OBSERVATIONS:
            ordered = sorted(self._seen)
            usual = ordered[int(len(ordered) * QUANTILE)]
            self._best = min(self._best, usual)
            self._token_time = min(usual, self._best * MOST_SLOWER)
