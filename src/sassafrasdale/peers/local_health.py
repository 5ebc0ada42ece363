"""Local health of this entry, judged by its own probes."""

MAX_SCORE = 4


class LocalHealth:
    """Scales this entry's probe timeouts while it is slow itself.

    A machine that is short of CPU time sends and receives late. Its probes time
    out, and with fixed timeouts it would suspect healthy members, whose
    refutations add load everywhere. Probes without a reply from the target or any
    helper, and refutations by this entry, lengthen its timeouts; successful probes
    shorten them.
    """

    def __init__(self) -> None:
        self._score = 0

    @property
    def timeout_factor(self) -> int:
        """Factor by which to multiply probe timeouts."""
        return 1 + self._score

    def degrade(self) -> None:
        """Record a sign that this entry is slow."""
        self._score = min(self._score + 1, MAX_SCORE)

    def improve(self) -> None:
        """Record a sign that this entry is healthy."""
        self._score = max(self._score - 1, 0)
