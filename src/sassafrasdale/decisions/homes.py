"""Fraction of a prompt cached by a conversation's owner, as responses report it."""

INITIAL_SHARE = 0.5
"""Share assumed before any answer."""

SMOOTHING = 0.1
"""Weight of the latest response in the moving average."""

ENOUGH_EVENTS = 0.6
"""Fraction of the cache events that must arrive for the moving average to be used
without a lower bound.
"""

SHARE_WITHOUT_EVENTS = 0.6
"""Minimum share while too few cache events arrive. The entries must then all use the
owners; with a lower share they would not, and the owners' caches would never fill.
"""

EVENTS_KEPT = 2000
"""Minimum number of published events over which the delivery ratio is computed."""


class OwnerCacheEstimate:
    """Fraction of a prompt assumed in its owner's cache, without better information.

    If cache events arrive, an owner without any event for the prompt has little of it
    cached, and the load may decide. If they don't, it probably has what other entries
    sent.
    """

    def __init__(self) -> None:
        self._share = INITIAL_SHARE
        self._arrived = 0
        self._published = 0

    @property
    def share(self) -> float:
        """Fraction of a prompt expected in its owner's cache."""
        if self.arrived_fraction >= ENOUGH_EVENTS:
            return self._share
        return max(SHARE_WITHOUT_EVENTS, self._share)

    @property
    def arrived_fraction(self) -> float:
        """Fraction of the published cache events that arrived; 0 before the first."""
        return self._arrived / self._published if self._published else 0.0

    def observe(self, cached_tokens: int, prompt_tokens: int) -> None:
        """Record the cached tokens that a response of an owner reports.

        Only called for prompts that this entry did not know to be cached by the owner.
        """
        if prompt_tokens:
            cached_share = min(1.0, cached_tokens / prompt_tokens)
            self._share += SMOOTHING * (cached_share - self._share)

    def add_events(self, arrived: int, published: int) -> None:
        """Count cache events.

        :param arrived: events that arrived.
        :param published: events that were published, by their sequence numbers.
        """
        self._arrived += arrived
        self._published += published
        if self._published > 2 * EVENTS_KEPT:
            self._arrived //= 2
            self._published //= 2
