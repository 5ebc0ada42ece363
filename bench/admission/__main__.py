"""Command line of the measurement.

Usage::

    python -m bench.admission tables
    python -m bench.admission tables --only generations --policy ours
    python -m bench.admission alternatives
    python -m bench.admission storms
    python -m bench.admission sweeps --only "limits borrow"
    python -m bench.admission rates
"""

from dataclasses import astuple, fields
from datetime import timedelta
from time import perf_counter
from typing import Any

from cyclopts import App

from bench.admission.alternatives import ALTERNATIVES
from bench.admission.catalogue import MEASURES, SCENARIOS
from bench.admission.fleets import POLICIES
from bench.admission.rates import SPREADS
from bench.admission.storms import STORM_POLICIES, Storm, measure_storm
from bench.admission.sweeps import run_rate_sweeps, run_sweeps

app = App(name="bench.admission", help=__doc__)


@app.command
def tables(only: str = "", policy: str = "") -> None:
    """Print the figures of each situation and policy as Markdown.

    :param only: beginning of the names of the situations.
    :param policy: beginning of the names of the policies.
    """
    print("| situation | policy |", " | ".join(MEASURES), "| run s |")
    print("| --- | --- |" + " ---: |" * (len(MEASURES) + 1))
    for name, scenario in SCENARIOS.items():
        if not name.startswith(only):
            continue
        for candidate in POLICIES:
            if not candidate.name.startswith(policy):
                continue
            start = perf_counter()
            result = scenario(candidate)
            seconds = perf_counter() - start
            figures = " | ".join(f"{m(result):.3f}" for m in MEASURES.values())
            print(f"| {name} | {candidate.name} | {figures} | {seconds:.1f} |")


@app.command
def alternatives(only: str = "") -> None:
    """Print the figures of the ways that were weighed and not taken.

    :param only: beginning of the names of the situations.
    """
    _header("situation", "policy", figures=list(MEASURES))
    for situation, scenario in SCENARIOS.items():
        if not situation.startswith(only):
            continue
        for name, candidate in ALTERNATIVES.items():
            result = scenario(candidate)
            figures = [measure(result) for measure in MEASURES.values()]
            _row(situation, name, figures=figures)


@app.command
def storms(seeds: int = 3) -> None:
    """Print what the failure of one zone, two, and all brings.

    :param seeds: traces over which the figures are averaged.
    """
    names = [field.name.replace("_", " ") for field in fields(Storm)]
    _header("zones", "load", "policy", figures=names)
    for zones, load in (("a", 0.6), ("a", 0.9), ("ab", 0.6), ("abc", 0.6)):
        for name, policy in STORM_POLICIES.items():
            runs = [
                astuple(measure_storm(policy, load, zones=zones, seed=seed))
                for seed in range(1, seeds + 1)
            ]
            means = [sum(column) / seeds for column in zip(*runs, strict=True)]
            _row(len(zones), load, name, figures=means)


@app.command
def sweeps(only: str = "") -> None:
    """Print the figures for each value of each constant; the chosen one is bold.

    :param only: beginning of the names of the constants.
    """
    _header("constant", "unit", "value", "situation", figures=list(MEASURES))
    for row in run_sweeps(only):
        value = _value(row.value, row.value == row.sweep.chosen)
        where = (row.sweep.name, row.sweep.unit, value, row.situation)
        _row(*where, figures=row.figures)


@app.command
def rates() -> None:
    """Print how much of a customer's rate limit gets through, by division."""
    names = [
        f"{spread}, {load}" for spread in SPREADS for load in ("0.8 in", "3 times")
    ]
    _header("constant", "unit", "value", "limit 1/s", figures=names)
    for row in run_rate_sweeps():
        value = _value(row.value, row.is_chosen)
        _row(row.name, row.unit, value, f"{row.rate:g}", figures=row.figures)


def _header(*labels: str, figures: list[str]) -> None:
    print("|", " | ".join([*labels, *figures]), "|")
    print("|" + " --- |" * len(labels) + " ---: |" * len(figures))


def _row(*labels: Any, figures) -> None:
    cells = [*map(str, labels), *(f"{figure:.3f}" for figure in figures)]
    print("|", " | ".join(cells), "|", flush=True)


def _value(value: Any, is_chosen: bool) -> str:
    if isinstance(value, timedelta):
        value = value.total_seconds()
    if value is None:
        value = "by reports"
    return f"**{value}**" if is_chosen else str(value)


if __name__ == "__main__":
    app()
