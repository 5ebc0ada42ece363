"""Soaks a fleet of gateways: ``python -m bench.soak --first 1 --count 50``.

Each seed draws a plan of disruptions, which is printed before it is played. The
guarantees to callers are checked on what callers and endpoints have recorded; if one is
broken, the exit code is 1. The same seed always plays the same plan.
"""

import signal
import sys
from datetime import timedelta
from pathlib import Path
from typing import Annotated

from cyclopts import App, Parameter, validators

from bench.soak.plans import draw_plan
from bench.soak.soaks import Soak
from sassafrasdale.green import current_task, interrupt

app = App(name="soak", help="Soak a fleet of gateways with random disruptions.")
Positive = Annotated[int, Parameter(validator=validators.Number(gte=1))]


@app.default
def soak(
    *,
    first: int = 1,
    count: Positive = 1,
    seconds: Positive = 20,
    gateways: Positive = 4,
    endpoints: Positive = 8,
    logs: Path = Path("soak-logs"),
) -> int:
    """Play seeds one after the other.

    :param first: the first seed.
    :param count: seeds that are played.
    :param seconds: how long disruptions begin.
    :param gateways: processes of gateways.
    :param endpoints: stand-ins of endpoints.
    :param logs: folder that gets the gateways' logs of seeds with a broken promise.
    """
    # So that SIGTERM also ends the processes that were started.
    main = current_task()
    signal.signal(signal.SIGTERM, lambda *_: interrupt(main, SystemExit(1)))
    broken = 0
    for seed in range(first, first + count):
        plan = draw_plan(
            seed, timedelta(seconds=seconds), gateways=gateways, endpoints=endpoints
        )
        print("\n".join(plan.lines()), flush=True)
        verdict = Soak(plan, logs=logs).play()
        print("\n".join(verdict.lines()), flush=True)
        broken += bool(verdict.violations)
    print(f"{count} seeds played, {broken} with a broken guarantee")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(app())
