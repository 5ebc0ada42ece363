"""When features of requests were last shown to be sound.

Gateways learn of a crash late while the store is out or a peer can't be reached. A
success after that crash would have cleared its strikes, so it clears them also if it
was heard before them.
"""

from sassafrasdale.decisions.recent_map import RecentMap

# Most features that are remembered; those shown the longest ago are forgotten first.
MAX_FEATURES = 8192


class Clearances:
    """Latest successes of requests, by their features."""

    def __init__(self, max_features: int = MAX_FEATURES) -> None:
        # In seconds since 1970.
        self._cleared_at: RecentMap[str, float] = RecentMap(max_features)

    def __len__(self) -> int:
        return len(self._cleared_at)

    def note(self, feature: str, now: float) -> None:
        """Record that a request with a feature has just succeeded.

        :param now: in seconds since 1970.
        """
        self._cleared_at.set(feature, now)

    def covers(self, feature: str, at: float) -> bool:
        """Return whether a request with a feature has succeeded since a time.

        :param at: in seconds since 1970.
        """
        cleared_at = self._cleared_at.get(feature)
        return cleared_at is not None and cleared_at >= at
