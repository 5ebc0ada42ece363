"""Percentiles of the times until a configuration is applied."""

from collections.abc import Sequence
from dataclasses import dataclass
from math import ceil


@dataclass(frozen=True, slots=True)
class Measure:
    """Times until every entry had applied the edits.

    :param condition: the faults meanwhile.
    :param seconds: one time per edit and entry, from the response to the author.
    :param regressions: observed changes back to an older revision.
    """

    condition: str
    seconds: tuple[float, ...]
    regressions: int

    def row(self) -> str:
        """Return the measure as a row of a Markdown table."""
        values = (
            percentile(self.seconds, 0.5),
            percentile(self.seconds, 0.99),
            max(self.seconds),
        )
        cells = " | ".join(f"{value * 1000:.0f} ms" for value in values)
        return f"| {self.condition} | {cells} | {self.regressions} |"


def percentile(values: Sequence[float], share: float) -> float:
    """Return the smallest value that ``share`` of all values do not exceed."""
    ordered = sorted(values)
    return ordered[max(0, ceil(share * len(ordered)) - 1)]
