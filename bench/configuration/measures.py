"""Percentiles of the times until a text is in force."""

from collections.abc import Sequence
from dataclasses import dataclass
from math import ceil


@dataclass(frozen=True, slots=True)
class Measure:
    """Times until edits were in force on every entry.

    :param condition: what was wrong meanwhile.
    :param seconds: one time per edit and entry, from the author's answer.
    :param regressions: steps back to an older revision that were seen.
    """

    condition: str
    seconds: tuple[float, ...]
    regressions: int

    def row(self) -> str:
        """Return the measure as a row of a Markdown table."""
        figures = (
            percentile(self.seconds, 0.5),
            percentile(self.seconds, 0.99),
            max(self.seconds),
        )
        cells = " | ".join(f"{figure * 1000:.0f} ms" for figure in figures)
        return f"| {self.condition} | {cells} | {self.regressions} |"


def percentile(values: Sequence[float], share: float) -> float:
    """Return the smallest value that ``share`` of all values don't exceed."""
    ordered = sorted(values)
    return ordered[max(0, ceil(share * len(ordered)) - 1)]
