"""What an entry learns from its own sends to model engines.

A request that waits longer for its first token than its own prompt takes tells
of the queue there, sooner than the engine's lagged report does; the time between
tokens tells of a slow engine.
"""

from datetime import timedelta

from sassafrasdale.clock import Clock
from sassafrasdale.decisions.delays import TokenDelays
from sassafrasdale.decisions.queues import QueueTimes
from sassafrasdale.decisions.structures import RoutingPolicy

# Tokens after which the time between tokens is taken, once a stream.
OBSERVED_TOKENS = 16
# Prompt tokens that an engine computes in a second.
PREFILL_RATE = RoutingPolicy().prefill_rate


class Sends:
    """Own sends that have no first token yet, and what earlier ones showed."""

    def __init__(self) -> None:
        self._queues = QueueTimes()
        self._delays = TokenDelays()
        self._tokens: dict[str, int] = {}

    def tokens_waiting(self, endpoint: str) -> int:
        """Return the uncached prompt tokens sent there without a first token."""
        return self._tokens.get(endpoint, 0)

    def queueing(self, endpoint: str, now: timedelta) -> timedelta:
        """Return the queueing time to expect there."""
        return self._queues.queueing(endpoint, now)

    def slowness(self, endpoint: str, now: timedelta) -> float:
        """Return its time for a token over the median; 1 is usual."""
        return self._delays.slowness(endpoint, now)

    def begin(self, send: "Send", now: timedelta) -> None:
        """Note that a request goes out."""
        name = send.endpoint
        self._tokens[name] = self.tokens_waiting(name) + send.tokens
        self._queues.sent(name, send.request_id, now, send.expected)

    def answer(self, send: "Send", now: timedelta) -> None:
        """Note that a request has its first token."""
        self._settle(send)
        self._queues.answered(send.endpoint, send.request_id, now)

    def withdraw(self, send: "Send") -> None:
        """Note that a request ends without a first token."""
        self._settle(send)
        self._queues.withdrawn(send.endpoint, send.request_id)

    def observe_delay(self, endpoint: str, delay: timedelta, now: timedelta) -> None:
        """Note a time between tokens."""
        self._delays.observe(endpoint, delay, now)

    def forget(self, endpoint: str) -> None:
        """Drop what is known of an endpoint that is gone."""
        self._tokens.pop(endpoint, None)
        self._queues.forget(endpoint)
        self._delays.forget(endpoint)

    def _settle(self, send: "Send") -> None:
        if send.endpoint in self._tokens:
            self._tokens[send.endpoint] -= send.tokens


class Send:
    """One send of one request.

    :param endpoint: name of the endpoint.
    :param request_id: id of the request.
    :param tokens: prompt tokens that are not expected in its cache.
    """

    def __init__(self, endpoint: str, request_id: str, tokens: int) -> None:
        self.endpoint = endpoint
        self.request_id = request_id
        self.tokens = tokens

    @property
    def expected(self) -> timedelta:
        """Time to the first token if the request need not queue."""
        return timedelta(seconds=self.tokens / PREFILL_RATE)


class SendWatch:
    """Follows the sends of one generation.

    :param request_id: id of the request.
    :param sends: where they are noted.
    :param clock: source of time.
    """

    def __init__(self, request_id: str, sends: Sends, clock: Clock) -> None:
        self._request_id = request_id
        self._sends = sends
        self._clock = clock
        self._uncached = 0
        self._send: Send | None = None
        self._first_at: timedelta | None = None
        self._tokens = 0

    def expect(self, uncached: int) -> None:
        """Take the uncached prompt tokens of the endpoint chosen last."""
        self._uncached = uncached

    def sent(self, endpoint: str) -> None:
        """Note that the request goes out to ``endpoint``."""
        self._send = Send(endpoint, self._request_id, self._uncached)
        self._first_at = None
        self._tokens = 0
        self._sends.begin(self._send, self._clock.elapsed())

    def received(self, tokens: int) -> None:
        """Note that tokens came."""
        if self._send is None or self._tokens >= OBSERVED_TOKENS:
            return
        now = self._clock.elapsed()
        if self._first_at is None:
            self._first_at = now
            self._sends.answer(self._send, now)
        self._tokens += tokens
        if self._tokens >= OBSERVED_TOKENS:
            delay = (now - self._first_at) / self._tokens
            self._sends.observe_delay(self._send.endpoint, delay, now)

    def ended(self) -> None:
        """Note that the stream ended, whole or not."""
        if self._send is not None and self._first_at is None:
            self._sends.withdraw(self._send)
        self._send = None
