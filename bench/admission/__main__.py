"""Command line of the measurement.

Usage::

    python -m bench.admission tables
    python -m bench.admission tables --only generations --policy ours
"""

from time import perf_counter

from cyclopts import App

from bench.admission.catalogue import MEASURES, SCENARIOS
from bench.admission.fleets import POLICIES

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


if __name__ == "__main__":
    app()
