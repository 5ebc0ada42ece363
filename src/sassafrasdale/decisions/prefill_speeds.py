"""Prefill time per prompt token, estimated from the times to the first token."""

from collections import deque
from collections.abc import Iterable
from datetime import timedelta

# Initial estimate: an engine processes some 70 tokens per millisecond.
INITIAL_TOKEN_TIME = timedelta(microseconds=15)
# Lower bound of the estimate, by which queued work is divided. No engine processes more
# than a thousand tokens per millisecond; what seems faster was another kind of
# response.
MIN_TOKEN_TIME = timedelta(microseconds=1)
# Prompts up to this length show the overhead of every request: the network round trip,
# and the few steps until an engine sends a first event.
MAX_SHORT_PROMPT = 1000
# Prompts from this length on show the prefill speed of an engine.
MIN_LONG_PROMPT = 2000
# Number of observations of each kind that the estimate is based on.
KEPT_OBSERVATIONS = 60
# Quantile of the observations: only a request that ran alone shows the speed of an
# engine, and one in ten does even if engines are busy.
LOW_QUANTILE = 0.1
MIN_OBSERVATIONS = 8
# If all engines are busy, all first tokens wait for other requests. The estimate is
# bounded by this multiple of the lowest one so far: otherwise engines would seem slow
# when there are too few of them.
MAX_SLOWNESS = 1.2


class PrefillSpeed:
    """Estimated prefill time per token of one service."""

    def __init__(self) -> None:
        self._short: deque[timedelta] = deque(maxlen=KEPT_OBSERVATIONS)
        self._long: deque[tuple[int, timedelta]] = deque(maxlen=KEPT_OBSERVATIONS)
        self._token_time = INITIAL_TOKEN_TIME
        self._best = timedelta.max

    @property
    def is_known(self) -> bool:
        """Whether there were enough observations for an estimate."""
        return self._best < timedelta.max

    @property
    def token_time(self) -> timedelta:
        """Prefill time per token."""
        return self._token_time

    def observe(self, prefill_tokens: int, took: timedelta) -> None:
        """Record the time to the first token of a request.

        :param prefill_tokens: prompt tokens that the engine had to process.
        :param took: time to the first token.
        """
        if prefill_tokens <= MAX_SHORT_PROMPT:
            self._short.append(took)
        elif prefill_tokens >= MIN_LONG_PROMPT:
            self._long.append((prefill_tokens, took))
            self._estimate()

    def _estimate(self) -> None:
        if min(len(self._long), len(self._short)) < MIN_OBSERVATIONS:
            return
        overhead = _low_quantile(self._short)
        estimate = _low_quantile(
            max(took - overhead, took / 2) / tokens for tokens, took in self._long
        )
        self._best = max(min(self._best, estimate), MIN_TOKEN_TIME)
        self._token_time = max(min(estimate, self._best * MAX_SLOWNESS), MIN_TOKEN_TIME)


def _low_quantile(times: Iterable[timedelta]) -> timedelta:
    ordered = sorted(times)
    return ordered[int(len(ordered) * LOW_QUANTILE)]
