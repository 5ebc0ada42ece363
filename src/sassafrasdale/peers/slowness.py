"""How slow this entry itself is, by the signs that its probes give."""

MAX_SLOWNESS = 4


class Slowness:
    """How far this entry is to doubt itself before it doubts others.

    A machine that is short of processor time answers and hears late. Its probes
    time out, and without this it would call healthy members suspect, whose
    refutations make more work for all. Probes to which nobody answers, helpers
    neither, and own refutations lengthen its time-outs; answered probes shorten them.
    """

    def __init__(self) -> None:
        self._score = 0

    @property
    def factor(self) -> int:
        """By how much to lengthen time-outs."""
        return 1 + self._score

    def add(self) -> None:
        """Note a sign of slowness."""
        self._score = min(self._score + 1, MAX_SLOWNESS)

    def lessen(self) -> None:
        """Note a sign of health."""
        self._score = max(self._score - 1, 0)
