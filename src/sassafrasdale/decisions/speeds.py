"""How long engines take to read a prompt token, learned from first tokens."""

from collections import deque
from collections.abc import Iterable
from datetime import timedelta

# Until something is learned: an engine reads some 70 tokens in a millisecond.
FIRST_GUESS = timedelta(microseconds=15)
# No engine reads more than a thousand tokens in a millisecond. What seems faster was an
# answer of another kind, and what is queued is divided by this time.
FASTEST = timedelta(microseconds=1)
# Prompts up to this length show the time that every request takes besides: the way
# there and back, and the few steps until an engine hands out a first event.
SHORT_TOKENS = 1000
# Prompts from this length on show how fast an engine reads.
LONG_TOKENS = 2000
# First tokens of each kind that the estimate rests on.
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
        self._short: deque[timedelta] = deque(maxlen=KEPT)
        self._long: deque[tuple[int, timedelta]] = deque(maxlen=KEPT)
        self._token_time = FIRST_GUESS
        self._best = timedelta.max

    @property
    def is_known(self) -> bool:
        """Whether enough was seen to tell."""
        return self._best < timedelta.max

    @property
    def token_time(self) -> timedelta:
        """Time that an engine takes for a prompt token."""
        return self._token_time

    def observe(self, unread_tokens: int, took: timedelta) -> None:
        """Note the time to the first token of a request.

        :param unread_tokens: prompt tokens that the engine had to read.
        """
        if unread_tokens <= SHORT_TOKENS:
            self._short.append(took)
        elif unread_tokens >= LONG_TOKENS:
            self._long.append((unread_tokens, took))
            self._estimate()

    def _estimate(self) -> None:
        if min(len(self._long), len(self._short)) < LEAST_OBSERVATIONS:
            return
        besides = _low(self._short)
        usual = _low(
            max(took - besides, took / 2) / tokens for tokens, took in self._long
        )
        self._best = max(min(self._best, usual), FASTEST)
        self._token_time = max(min(usual, self._best * MOST_SLOWER), FASTEST)


def _low(times: Iterable[timedelta]) -> timedelta:
    ordered = sorted(times)
    return ordered[int(len(ordered) * QUANTILE)]
