"""Command line of the load tool.

Usage::

    python -m bench.load callers --callers 200 --seconds 30 --entries 3
    python -m bench.load overhead --repeats 300
"""

import json
import sys
from datetime import timedelta
from pathlib import Path

from cyclopts import App

from bench.load.callers import Tally, run_callers
from bench.load.overhead import KINDS, compare, saturate, time_lookups
from standins.fleet import Fleet

EXAMPLE = Path(__file__).parents[2] / "examples" / "authority.yaml"
ENGINE_STEP_MS = 5

app = App(name="bench.load", help=__doc__)


def _fleet(entries: int) -> Fleet:
    text = EXAMPLE.read_text(encoding="utf-8")
    options = {"step_ms": ENGINE_STEP_MS}
    return Fleet(text, entries=entries, engine_options=options)


@app.command
def callers(callers: int = 200, seconds: float = 30, entries: int = 3) -> int:
    """Let callers ask at once, and count what is lost or mixed up."""
    with _fleet(entries) as fleet:
        tally = run_callers(fleet, callers, timedelta(seconds=seconds))
        executions = fleet.executions("records")
    keys = [item["idempotency_key"] for item in executions if item["idempotency_key"]]
    repeated = len(keys) - len(set(keys))
    _print(tally, repeated)
    lost = sum(
        count
        for (_, outcome), count in tally.outcomes.items()
        if not outcome.startswith(("answered", "not-run"))
    )
    return 1 if lost or tally.mismatches or repeated else 0


@app.command
def overhead(repeats: int = 300, callers: int = 100, seconds: float = 5) -> int:
    """Compare direct calls with calls through one entry."""
    with _fleet(1) as fleet:
        for kind in KINDS:
            print(json.dumps(compare(fleet, kind, repeats).row()), flush=True)
        for kind in KINDS:
            rate = saturate(fleet, kind, callers, timedelta(seconds=seconds))
            print(json.dumps(rate.row()), flush=True)
    return 0


@app.command
def slow(callers: int = 20, seconds: float = 10, delay_ms: int = 300) -> int:
    """Time lookups through one entry while one of three services is slow."""
    with _fleet(1) as fleet:
        fleet.endpoints_of("records")[0].set_faults(delay_ms=delay_ms)
        times = time_lookups(fleet, callers, timedelta(seconds=seconds))
        counts = [len(each.executions()) for each in fleet.endpoints_of("records")]
    percentiles = {
        f"p{p}_ms": times.get_value_at_percentile(p) / 1000 for p in (50, 95, 99, 99.9)
    }
    print(json.dumps({"asked": times.get_total_count(), **percentiles}))
    print(json.dumps({"executed by each service": counts}))
    return 0


def _print(tally: Tally, repeated: int) -> None:
    for (kind, outcome), count in sorted(tally.outcomes.items()):
        print(f"{kind:12} {outcome:80} {count:8}")
    for kind, times in sorted(tally.latency.items()):
        p50, p95 = (times.get_value_at_percentile(p) / 1000 for p in (50, 95))
        print(f"{kind:12} p50 {p50:8.1f} ms   p95 {p95:8.1f} ms")
    print(f"mixed up {len(tally.mismatches)}, executions beyond one a key {repeated}")
    for mismatch in tally.mismatches[:5]:
        print(f"  {mismatch}")


if __name__ == "__main__":
    sys.exit(app())
