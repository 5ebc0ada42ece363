"""Reclaim notices that this entry has seen, to pass on to its peers."""

from collections import OrderedDict

from sassafrasdale.structures import Notice

REMEMBERED = 4096
RETRANSMITS = 12
# Several availability zones' worth of reclaims at once, about 4 KB.
CATCH_UP = 128


class NoticeBoard:
    """Notices by sequence; a notice that comes twice is news only once."""

    def __init__(self) -> None:
        self._seen: OrderedDict[int, Notice] = OrderedDict()
        self._highest = 0
        self._transmits_left: dict[int, int] = {}

    @property
    def highest(self) -> int:
        """Highest sequence seen, 0 if none."""
        return self._highest

    def add(self, notice: Notice) -> bool:
        """Remember ``notice`` and return whether it was news."""
        if notice.sequence in self._seen:
            return False
        self._seen[notice.sequence] = notice
        self._transmits_left[notice.sequence] = RETRANSMITS
        self._highest = max(self._highest, notice.sequence)
        if len(self._seen) > REMEMBERED:
            oldest, _ = self._seen.popitem(last=False)
            self._transmits_left.pop(oldest, None)
        return True

    def take(self, limit: int, above: int | None = None) -> list[Notice]:
        """Return notices to add to a message.

        :param limit: highest number of recent notices that the receiver may lack.
        :param above: highest sequence that the receiver has seen, if known; up to
            ``CATCH_UP`` above it come first, the oldest first. A receiver that
            missed a whole wave has it after one message.
        """
        taken = self._above(above) if above is not None else []
        full = len(taken) + limit
        for sequence in list(self._transmits_left):
            if len(taken) >= full:
                break
            if above is None or sequence <= above:
                taken.append(self._seen[sequence])
                self._spend(sequence)
        return taken

    def _above(self, sequence: int) -> list[Notice]:
        if sequence >= self._highest:
            return []
        missing = sorted(each for each in self._seen if each > sequence)
        return [self._seen[each] for each in missing[:CATCH_UP]]

    def _spend(self, sequence: int) -> None:
        self._transmits_left[sequence] -= 1
        if not self._transmits_left[sequence]:
            del self._transmits_left[sequence]
