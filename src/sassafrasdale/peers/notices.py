"""Log of the reclaim notices that this entry has seen, for its gossip."""

from collections import OrderedDict

from sassafrasdale.structures import Notice

MAX_NOTICES = 4096
RETRANSMITS = 12
# Enough for concurrent reclaims in several availability zones; about 4 KB.
MAX_MISSING = 128


class NoticeLog:
    """Reclaim notices by sequence, without duplicates."""

    def __init__(self) -> None:
        self._seen: OrderedDict[int, Notice] = OrderedDict()
        self._highest = 0
        self._transmits_left: dict[int, int] = {}

    @property
    def highest(self) -> int:
        """Highest sequence seen, 0 if none."""
        return self._highest

    def add(self, notice: Notice) -> bool:
        """Add ``notice`` and return whether it was new."""
        if notice.sequence in self._seen:
            return False
        self._seen[notice.sequence] = notice
        self._transmits_left[notice.sequence] = RETRANSMITS
        self._highest = max(self._highest, notice.sequence)
        if len(self._seen) > MAX_NOTICES:
            oldest, _ = self._seen.popitem(last=False)
            self._transmits_left.pop(oldest, None)
        return True

    def take(self, limit: int, above: int | None = None) -> list[Notice]:
        """Return notices to add to a message.

        :param limit: maximum number of notices that are still retransmitted.
        :param above: highest sequence that the receiver has seen, if known; up to
            ``MAX_MISSING`` notices above it come first, the oldest first, so that a
            receiver that missed many notices gets them in one message.
        """
        taken = self._above(above) if above is not None else []
        max_count = len(taken) + limit
        for sequence in list(self._transmits_left):
            if len(taken) >= max_count:
                break
            if above is None or sequence <= above:
                taken.append(self._seen[sequence])
                self._count_transmit(sequence)
        return taken

    def _above(self, sequence: int) -> list[Notice]:
        if sequence >= self._highest:
            return []
        missing = sorted(each for each in self._seen if each > sequence)
        return [self._seen[each] for each in missing[:MAX_MISSING]]

    def _count_transmit(self, sequence: int) -> None:
        self._transmits_left[sequence] -= 1
        if not self._transmits_left[sequence]:
            del self._transmits_left[sequence]
