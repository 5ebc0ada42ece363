"""When features of requests were last shown to be sound.

Gateways learn of a crash late while the store is out or a peer can't be reached. A
success after that crash would have cleared its strikes, so it clears them also if it
was heard before them.
"""

# Most features that are remembered; those shown the longest ago are forgotten first.
MAX_FEATURES = 8192


class Clearances:
    """Latest successes of requests, by their features."""

    def __init__(self, max_features: int = MAX_FEATURES) -> None:
        self._max_features = max_features
        # In seconds since 1970, latest last.
        self._cleared_at: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._cleared_at)

    def note(self, feature: str, now: float) -> None:
        """Record that a request with a feature has just succeeded.

        :param now: in seconds since 1970.
        """
        self._cleared_at.pop(feature, None)
        self._cleared_at[feature] = now
        if len(self._cleared_at) > self._max_features:
            del self._cleared_at[next(iter(self._cleared_at))]

    def covers(self, feature: str, at: float) -> bool:
        """Return whether a request with a feature has succeeded since a time.

        :param at: in seconds since 1970.
        """
        cleared_at = self._cleared_at.get(feature)
        return cleared_at is not None and cleared_at >= at
