"""Keys that this process has lately seen claimed."""

from collections import OrderedDict

MAX_KEYS = 5_000


class RecentClaims:
    """Bounded set of the claims that were seen and not given up.

    While the store is out, a retry cannot look its claim up. Without this memory
    it would be told "not run" by the very entry that has run it.
    """

    def __init__(self) -> None:
        self._paths: OrderedDict[str, None] = OrderedDict()

    def __contains__(self, path: str) -> bool:
        return path in self._paths

    def add(self, path: str) -> None:
        """Remember ``path``, and forget the oldest if there are too many."""
        self._paths[path] = None
        self._paths.move_to_end(path)
        if len(self._paths) > MAX_KEYS:
            self._paths.popitem(last=False)

    def discard(self, path: str) -> None:
        """Forget ``path``."""
        self._paths.pop(path, None)
