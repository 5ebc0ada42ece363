"""Rate limiter of the stand-ins."""

from sassafrasdale.clock import Clock


class TokenBucket:
    """Rate limiter that allows a burst of one second's tokens.

    :param rate: tokens per second.
    """

    def __init__(self, clock: Clock, rate: float) -> None:
        self._clock = clock
        self._filled_at = clock.elapsed()
        self._tokens = rate
        self.rate = rate

    def take(self) -> bool:
        """Take a token, if there is one, and return whether there was."""
        now = self._clock.elapsed()
        refill = (now - self._filled_at).total_seconds() * self.rate
        self._tokens = min(self.rate, self._tokens + refill)
        self._filled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
