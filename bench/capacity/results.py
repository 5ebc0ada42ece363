"""Tables and plots of the capacity measurements."""

import json
import os
import platform
from collections.abc import Sequence
from dataclasses import dataclass
from datetime import UTC, datetime
from pathlib import Path

from matplotlib.figure import Figure

ROOT = Path(__file__).resolve().parents[2]
RESULTS = ROOT / "bench/capacity/results"
PLOTS = ROOT / "docs/plots"

Row = dict[str, float | int | str]


@dataclass(frozen=True, slots=True)
class Line:
    """A straight line fitted to measured points."""

    intercept: float
    slope: float

    def at(self, x: float) -> float:
        """Return the value of the line at ``x``."""
        return self.intercept + self.slope * x


@dataclass(frozen=True, slots=True)
class Panel:
    """One plot of a column against another.

    :param x: column of the horizontal axis.
    :param ys: columns of the vertical axis.
    :param title: title of the panel, with the unit.
    """

    x: str
    ys: tuple[str, ...]
    title: str


def fit(points: Sequence[tuple[float, float]]) -> Line:
    """Return the least-squares line through ``points``."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    return Line(mean_y - slope * mean_x, slope)


def fit_columns(rows: Sequence[Row], x: str, y: str) -> Line:
    """Return the least-squares line of one column against another."""
    return fit([(row[x], row[y]) for row in rows])


def write(
    name: str, tables: dict[str, list[Row]], slopes: dict[str, Line], command: str
) -> None:
    """Write the tables of a run as JSON and print them.

    :param name: file name without its extension.
    :param tables: rows by table.
    :param slopes: fitted lines by their description.
    :param command: command that repeats the run.
    """
    RESULTS.mkdir(parents=True, exist_ok=True)
    document = {
        "command": command,
        "measured_at": datetime.now(UTC).isoformat(timespec="seconds"),
        "python": platform.python_version(),
        "cores": os.cpu_count(),
        "load_average_1_5_15": os.getloadavg(),
        "tables": tables,
        "slopes": {
            key: {"intercept": line.intercept, "slope": line.slope}
            for key, line in slopes.items()
        },
    }
    path = RESULTS / f"{name}.json"
    path.write_text(json.dumps(document, indent=1) + "\n", encoding="utf-8")
    for title, rows in tables.items():
        print(title)
        for row in rows:
            print("  ", {key: _short(value) for key, value in row.items()})
    for key, line in slopes.items():
        print(f"{key}: {line.intercept:.6g} + {line.slope:.6g} x")


def plot(name: str, rows: Sequence[Row], panels: Sequence[Panel]) -> None:
    """Draw ``panels`` side by side and write them as SVG."""
    PLOTS.mkdir(parents=True, exist_ok=True)
    figure = Figure(figsize=(4.5 * len(panels), 3.5), layout="constrained")
    subplots = figure.subplots(1, len(panels), squeeze=False)[0]
    for axes, panel in zip(subplots, panels, strict=True):
        plotted = [row for row in rows if panel.x in row]
        for y in panel.ys:
            points = [(row[panel.x], row[y]) for row in plotted if y in row]
            axes.plot(*zip(*points, strict=True), marker="o", label=y)
        axes.set_title(panel.title, fontsize=9)
        axes.set_xlabel(panel.x)
        axes.set_xscale("log")
        axes.set_ylim(bottom=0)
        axes.legend(fontsize=7)
        axes.grid(alpha=0.3)
    figure.savefig(PLOTS / f"{name}.svg", metadata={"Date": None})


def _short(value: float | int | str) -> float | int | str:
    return float(f"{value:.4g}") if isinstance(value, float) else value
