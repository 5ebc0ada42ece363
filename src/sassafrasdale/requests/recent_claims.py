"""Keys that this process has recently seen claimed."""

from collections import OrderedDict

MAX_KEYS = 5_000


class RecentClaims:
    """Bounded set of claims that were seen and not released.

    During a store outage the claim of a retry cannot be looked up. Without this set
    the entry that ran the request could report it as "not run".
    """

    def __init__(self) -> None:
        self._paths: OrderedDict[str, None] = OrderedDict()

    def __contains__(self, path: str) -> bool:
        return path in self._paths

    def add(self, path: str) -> None:
        """Add ``path``, and drop the oldest one if there are too many."""
        self._paths[path] = None
        self._paths.move_to_end(path)
        if len(self._paths) > MAX_KEYS:
            self._paths.popitem(last=False)

    def discard(self, path: str) -> None:
        """Remove ``path``."""
        self._paths.pop(path, None)
