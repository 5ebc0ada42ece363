"""Print how soon a part is quarantined, and how many innocent ones are, by deployment.

Usage::

    python -m bench.blame DAYS
"""

from statistics import mean

from cyclopts import run

from bench.blame.model import Day, Deployment, Outcome

# Seconds after which all gateways have heard of a strike, by their number: the longest
# of six in the virtual fleets of the tests.
DELAYS = {9: 0.15, 70: 0.55, 195: 1.0}


def deployments(delay_s: float) -> dict[str, Deployment]:
    """Return the kinds of days."""
    return {
        "crashes of other causes, 1 in 2 s": Deployment(
            crash_rate=0.5, delay_s=delay_s
        ),
        "the same, 2 a second": Deployment(crash_rate=2.0, delay_s=delay_s),
        "the same, all gateways new": Deployment(
            crash_rate=2.0, delay_s=delay_s, is_new=True
        ),
        "bad part, 2 a second": Deployment(bad_rate=2.0, delay_s=delay_s),
        "bad part, 20 a second": Deployment(bad_rate=20.0, delay_s=delay_s),
        "both, 0.2 and 1 a second": Deployment(
            bad_rate=0.2, crash_rate=1.0, delay_s=delay_s
        ),
    }


def main(days: int) -> None:
    """Print one row for each number of gateways and kind of day.

    :param days: number of days of each.
    """
    print("gateways | day | crashes | most | late, most | innocents a day | refused")
    for gateways, delay_s in DELAYS.items():
        for name, deployment in deployments(delay_s).items():
            outcomes = [Day(deployment, seed).play() for seed in range(days)]
            print(f"{gateways} | {name} | {row(outcomes)}")


def row(outcomes: list[Outcome]) -> str:
    """Return the figures of days of one kind."""
    crashes = [len(each.crashes) for each in outcomes]
    innocents = mean(len(each.innocents) for each in outcomes)
    refused = sum(each.refused for each in outcomes)
    sent = sum(each.sent for each in outcomes)
    late = max(each.late for each in outcomes)
    return (
        f"{mean(crashes):.1f} | {max(crashes)} | {late} | {innocents:.3f} | "
        f"{refused / sent:.5f}"
    )


if __name__ == "__main__":
    run(main)
