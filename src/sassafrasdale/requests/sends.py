"""Estimates of engine load from an entry's own attempts.

A request whose first token takes longer than its own prefill shows a queue on the
engine, sooner than the engine's delayed load report does. The time between tokens
shows a slow engine.
"""

from datetime import timedelta

from sassafrasdale.clock import Clock
from sassafrasdale.decisions.delays import TokenDelays
from sassafrasdale.decisions.queues import QueueTimes
from sassafrasdale.decisions.structures import RoutingPolicy

# Number of tokens of a stream over which the time between tokens is measured, once.
OBSERVED_TOKENS = 16
# Prompt tokens that an engine prefills per second.
PREFILL_RATE = RoutingPolicy().prefill_rate


class OwnAttempts:
    """Own attempts without a first token, and estimates from earlier ones."""

    def __init__(self) -> None:
        self._queues = QueueTimes()
        self._token_times = TokenDelays()
        self._tokens: dict[str, int] = {}

    def prefill_tokens(self, endpoint: str) -> int:
        """Return the uncached prompt tokens of the attempts without a first token."""
        return self._tokens.get(endpoint, 0)

    def queue_time(self, endpoint: str, now: timedelta) -> timedelta:
        """Return the expected queueing time on an endpoint."""
        return self._queues.queue_time(endpoint, now)

    def slowness(self, endpoint: str, now: timedelta) -> float:
        """Return the ratio of an endpoint's time per token to the median of all."""
        return self._token_times.slowness(endpoint, now)

    def start(self, attempt: "Attempt", now: timedelta) -> None:
        """Record that an attempt starts."""
        name = attempt.endpoint
        self._tokens[name] = self.prefill_tokens(name) + attempt.tokens
        self._queues.sent(name, attempt.request_id, now, attempt.prefill_time)

    def record_first_token(self, attempt: "Attempt", now: timedelta) -> None:
        """Record the first token of an attempt."""
        self._subtract_tokens(attempt)
        self._queues.answered(attempt.endpoint, attempt.request_id, now)

    def discard(self, attempt: "Attempt") -> None:
        """Record that an attempt ended without a first token."""
        self._subtract_tokens(attempt)
        self._queues.withdrawn(attempt.endpoint, attempt.request_id)

    def observe_token_time(
        self, endpoint: str, token_time: timedelta, now: timedelta
    ) -> None:
        """Record a time between tokens."""
        self._token_times.observe(endpoint, token_time, now)

    def forget(self, endpoint: str) -> None:
        """Drop the data of a removed endpoint."""
        self._tokens.pop(endpoint, None)
        self._queues.forget(endpoint)
        self._token_times.forget(endpoint)

    def _subtract_tokens(self, attempt: "Attempt") -> None:
        if attempt.endpoint in self._tokens:
            self._tokens[attempt.endpoint] -= attempt.tokens


class Attempt:
    """One attempt of one request.

    :param endpoint: name of the endpoint.
    :param request_id: id of the request.
    :param tokens: prompt tokens that are not expected in the endpoint's KV cache.
    """

    def __init__(self, endpoint: str, request_id: str, tokens: int) -> None:
        self.endpoint = endpoint
        self.request_id = request_id
        self.tokens = tokens

    @property
    def prefill_time(self) -> timedelta:
        """Time to the first token without queueing."""
        return timedelta(seconds=self.tokens / PREFILL_RATE)


class AttemptTracker:
    """Tracks the attempts of one generation.

    :param request_id: id of the request.
    :param own_attempts: records the attempts.
    :param clock: source of time.
    """

    def __init__(
        self, request_id: str, own_attempts: OwnAttempts, clock: Clock
    ) -> None:
        self._request_id = request_id
        self._own_attempts = own_attempts
        self._clock = clock
        self._uncached = 0
        self._attempt: Attempt | None = None
        self._first_token_at: timedelta | None = None
        self._tokens = 0

    def set_uncached(self, uncached: int) -> None:
        """Set the prompt tokens not cached on the endpoint chosen last."""
        self._uncached = uncached

    def start(self, endpoint: str) -> None:
        """Record that an attempt at ``endpoint`` starts."""
        self._attempt = Attempt(endpoint, self._request_id, self._uncached)
        self._first_token_at = None
        self._tokens = 0
        self._own_attempts.start(self._attempt, self._clock.elapsed())

    def record_tokens(self, tokens: int) -> None:
        """Record received tokens."""
        if self._attempt is None or self._tokens >= OBSERVED_TOKENS:
            return
        now = self._clock.elapsed()
        if self._first_token_at is None:
            self._first_token_at = now
            self._own_attempts.record_first_token(self._attempt, now)
        self._tokens += tokens
        if self._tokens >= OBSERVED_TOKENS:
            token_time = (now - self._first_token_at) / self._tokens
            self._own_attempts.observe_token_time(
                self._attempt.endpoint, token_time, now
            )

    def end(self) -> None:
        """Record the end of the stream, complete or not."""
        if self._attempt is not None and self._first_token_at is None:
            self._own_attempts.discard(self._attempt)
        self._attempt = None
