"""How much of a prompt a conversation's home has cached, as answers showed."""

INITIAL_SHARE = 0.5
"""Share assumed before any answer."""

SMOOTHING = 0.1
"""Weight of the latest answer in the running mean."""

ENOUGH_EVENTS = 0.6
"""Part of the cache events that must arrive for the running mean to be used."""

SHARE_WITHOUT_EVENTS = 0.6
"""Least share while too few cache events arrive. The entries must then meet at
homes, and with a lower share they would not, and the homes never fill."""

EVENTS_KEPT = 2000
"""Published events over which the part that arrived is taken, at least."""


class HomeTrust:
    """Share of a prompt expected at its home when the entry knows no better.

    Where cache events arrive, a home of which nothing was heard holds little, and
    the load may decide. Where they don't, it probably holds what others sent.
    """

    def __init__(self) -> None:
        self._share = INITIAL_SHARE
        self._arrived = 0
        self._published = 0

    @property
    def share(self) -> float:
        """Share of a prompt expected in the cache of its home."""
        if self.events_arriving >= ENOUGH_EVENTS:
            return self._share
        return max(SHARE_WITHOUT_EVENTS, self._share)

    @property
    def events_arriving(self) -> float:
        """Part of the published cache events that arrived; 0 before the first."""
        return self._arrived / self._published if self._published else 0.0

    def observe(self, cached_tokens: int, prompt_tokens: int) -> None:
        """Take in the cached tokens that an answer from a home reported.

        Only prompts count of which this entry did not know that the home had them.
        """
        if prompt_tokens:
            seen = min(1.0, cached_tokens / prompt_tokens)
            self._share += SMOOTHING * (seen - self._share)

    def hear(self, arrived: int, published: int) -> None:
        """Take in cache events.

        :param arrived: events that arrived.
        :param published: events that their sequence numbers show were published.
        """
        self._arrived += arrived
        self._published += published
        if self._published > 2 * EVENTS_KEPT:
            self._arrived //= 2
            self._published //= 2
