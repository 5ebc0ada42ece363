"""Expected outcomes of the replays, and checks of them."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from functools import cache
from pathlib import Path

from ruamel.yaml import YAML

from bench.admission.catalogue import MEASURES, SCENARIOS
from bench.admission.fleets import LIMIT, OURS, POLICIES
from bench.admission.replay import Result

OUTCOMES = Path(__file__).with_name("outcomes.yaml")


@dataclass(frozen=True, slots=True)
class Outcome:
    """The requirement on one figure of one situation.

    :param at_least: minimum of the figure, None for none.
    :param better_than: policies whose figure must be smaller.
    :param within: fraction by which the figure may be below the shared counter's.
    """

    situation: str
    measure: str
    at_least: float | None = None
    better_than: tuple[str, ...] = ()
    within: float | None = None


def load_outcomes() -> list[Outcome]:
    """Return the outcomes in the file."""
    entries = YAML(typ="safe").load(OUTCOMES)
    return [
        Outcome(**{**entry, "better_than": tuple(entry.get("better_than", ()))})
        for entry in entries
    ]


@cache
def _play(situation: str, policy: str) -> Result:
    policies = {candidate.name: candidate for candidate in POLICIES}
    return SCENARIOS[situation](policies[policy])


def find_faults(
    outcome: Outcome, play: Callable[[str, str], Result] = _play
) -> Iterator[str]:
    """Yield the requirements of an outcome that are not met.

    :param play: returns the result of a situation under the policy of a name.
    """

    def figure(policy: str) -> float:
        return MEASURES[outcome.measure](play(outcome.situation, policy))

    ours = figure(OURS.name)
    if outcome.at_least is not None and ours < outcome.at_least:
        yield f"{ours:.3f} is below {outcome.at_least}"
    for name in outcome.better_than:
        other = figure(name)
        if ours <= other:
            yield f"{ours:.3f} is not above {name}'s {other:.3f}"
    if outcome.within is not None:
        limit = figure(LIMIT.name)
        if ours < limit * (1 - outcome.within):
            yield f"{ours:.3f} is more than {outcome.within} below {limit:.3f}"
