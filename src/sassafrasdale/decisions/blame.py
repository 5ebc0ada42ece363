"""Which features of requests the crashes of endpoints are blamed on.

All features of all requests that ran at an endpoint are struck by its crash. Features
are assessed from the most suspect to the least. Once one is quarantined, its crashes
no longer count against those that are less suspect: they ran beside it, or stand beside
it in the same prompts.
"""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from datetime import timedelta
from itertools import groupby

from sassafrasdale.decisions.strikes import (
    SAME_CRASH_WINDOW,
    TrackedStrike,
    is_part,
)


@dataclass(slots=True)
class Crash:
    """A crash of an endpoint, as evidence against one feature.

    :param at: when it was first reported, in seconds since 1970.
    :param begun: whether a run with the feature had sent events.
    :param is_known_sound: whether requests with the feature have run well.
    :param requests: fingerprints of the requests with the feature that ran there.
    """

    endpoint: str
    at: float
    begun: bool = False
    is_known_sound: bool = False
    requests: set[str] = field(default_factory=set)

    def is_same(self, endpoint: str, at: float) -> bool:
        """Return whether a report is about this crash.

        The endpoint's registered start time doesn't tell two crashes apart: a gateway
        that can't read the registrations takes a restarted endpoint for the one
        before.
        """
        apart = timedelta(seconds=abs(self.at - at))
        return self.endpoint == endpoint and apart <= SAME_CRASH_WINDOW

    def add(self, tracked: TrackedStrike) -> None:
        """Add a report of it: two attempts may have met the same crash."""
        strike = tracked.strike
        self.begun |= strike.begun
        self.is_known_sound |= tracked.is_known_sound
        if strike.request:
            self.requests.add(strike.request)


@dataclass(frozen=True, slots=True)
class Threshold:
    """Evidence that is enough against a feature.

    :param crashes: number of crashes.
    :param requests: number of different requests that ran at them.
    :param min_age: time since the first of the crashes, in which the feature might
        have been cleared.
    """

    crashes: int
    requests: int = 0
    min_age: timedelta = timedelta()

    def is_reached(self, crashes: Sequence[Crash]) -> bool:
        """Return whether the crashes are enough, whatever their age."""
        if len(crashes) < self.crashes:
            return False
        requests = set().union(*(crash.requests for crash in crashes))
        return len(requests) >= self.requests

    def due_at(self, crashes: Iterable[Crash]) -> float:
        """Return when they are old enough, in seconds since 1970."""
        return min(crash.at for crash in crashes) + self.min_age.total_seconds()


WHOLE_REQUEST = Threshold(crashes=3)
# A part is blamed only if different requests with it crashed endpoints: a request that
# is repeated may do so for another reason.
PART = Threshold(crashes=4, requests=2, min_age=timedelta(seconds=1.5))
KNOWN_SOUND_PART = Threshold(crashes=5, requests=2, min_age=timedelta(seconds=2.5))
# Fewest crashes that quarantine anything.
MIN_CRASHES = min(
    threshold.crashes for threshold in (WHOLE_REQUEST, PART, KNOWN_SOUND_PART)
)


@dataclass(frozen=True, slots=True)
class Assessment:
    """Which features are quarantined.

    :param quarantined: features that must not reach endpoints.
    :param due_at: when more may be quarantined without further crashes, in seconds
        since 1970; None for never.
    """

    quarantined: frozenset[str] = frozenset()
    due_at: float | None = None


def distinct_crashes(strikes: Iterable[TrackedStrike]) -> list[Crash]:
    """Return the crashes that strikes against a feature are about, oldest first."""
    found: list[Crash] = []
    for tracked in sorted(strikes, key=lambda tracked: tracked.strike.at):
        strike = tracked.strike
        crash = _find(found, strike.endpoint, strike.at)
        if crash is None:
            crash = Crash(strike.endpoint, strike.at)
            found.append(crash)
        crash.add(tracked)
    return found


def _find(crashes: Iterable[Crash], endpoint: str, at: float) -> Crash | None:
    return next((crash for crash in crashes if crash.is_same(endpoint, at)), None)


def assess(strikes: Mapping[str, Iterable[TrackedStrike]], now: float) -> Assessment:
    """Return which features are quarantined.

    Parts are assessed before whole requests: one part explains more crashes than each
    of the requests that have it, and these have as many as callers repeat them.

    :param strikes: strikes that count against each feature.
    :param now: in seconds since 1970.
    """
    crashes = {name: distinct_crashes(of_one) for name, of_one in strikes.items()}
    parts = {name: of_one for name, of_one in crashes.items() if is_part(name)}
    requests = {name: of_one for name, of_one in crashes.items() if name not in parts}
    due: dict[str, float] = {}
    explained: list[Crash] = []
    for features in (parts, requests):
        due |= _assess_features(features, explained)
    quarantined = frozenset(name for name, due_at in due.items() if due_at <= now)
    pending = (due_at for due_at in due.values() if due_at > now)
    return Assessment(quarantined, min(pending, default=None))


def _assess_features(
    features: Mapping[str, Sequence[Crash]], explained: list[Crash]
) -> dict[str, float]:
    """Return when features are quarantined, and add what explains their crashes."""
    due: dict[str, float] = {}
    ranks = {name: _rank(of_one) for name, of_one in features.items()}
    # Equally suspect features don't explain each other's crashes.
    for _, equally_suspect in groupby(sorted(features, key=ranks.get), key=ranks.get):
        blamed = {}
        for name in equally_suspect:
            due_at = _due_at(name, _unexplained(features[name], explained))
            if due_at is not None:
                blamed[name] = due_at
        for name in blamed:
            explained += features[name]
        due |= blamed
    return due


def _rank(crashes: Sequence[Crash]) -> tuple[bool, int, int]:
    """Return how suspect a feature is; the lowest is the most suspect.

    A crash comes soon after the run that causes it has started. A stream that had long
    sent events goes on at another endpoint, and may meet that request again there.
    """
    known = sum(crash.is_known_sound for crash in crashes)
    is_proven = 2 * known > len(crashes)
    return is_proven, sum(crash.begun for crash in crashes), -len(crashes)


def _due_at(name: str, crashes: Sequence[Crash]) -> float | None:
    """Return when a feature is quarantined; None if the evidence isn't enough."""
    unknown = [crash for crash in crashes if not crash.is_known_sound]
    thresholds = (
        ((PART, unknown), (KNOWN_SOUND_PART, crashes))
        if is_part(name)
        else ((WHOLE_REQUEST, crashes),)
    )
    due = [
        threshold.due_at(evidence)
        for threshold, evidence in thresholds
        if threshold.is_reached(evidence)
    ]
    return min(due, default=None)


def _unexplained(crashes: Iterable[Crash], explained: list[Crash]) -> list[Crash]:
    return [
        crash for crash in crashes if not _find(explained, crash.endpoint, crash.at)
    ]
