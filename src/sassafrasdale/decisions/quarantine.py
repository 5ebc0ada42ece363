"""Quarantine of what crashes the endpoints that run it.

Workload: a caller repeats a request that crashes each endpoint that starts to run it,
or many requests share a part of their prompts that does. Each attempt has a different
id and arrives at a different gateway, and fails ten to sixty innocent requests that ran
on the same endpoint.

Each request in flight on an endpoint when it crashes gets a strike for each of its
features. Strikes are only added and their states only grow, so gateways that exchange
them in any order, repeatedly or late converge. A success shows that a feature is sound
and clears its strikes: nearly all requests that were in flight during a crash succeed
on their next endpoint. A success of a part counts whichever is heard first, it or the
crash before it.
"""

import math
from collections import deque
from collections.abc import Callable, Collection, Iterable, Mapping
from dataclasses import dataclass
from datetime import timedelta
from itertools import takewhile
from math import ceil

from sassafrasdale.decisions.blame import (
    MIN_CRASHES,
    Assessment,
    assess,
    distinct_crashes,
)
from sassafrasdale.decisions.clearances import Clearances
from sassafrasdale.decisions.strikes import (
    Strike,
    StrikeState,
    TrackedStrike,
    is_part,
)

# Maximum number of crashes during one attempt that got no output from its runs.
MAX_CRASHES_PER_ATTEMPT = 2
# Maximum number of trials of a quarantined feature, and the delays since the last
# crash: if there are endpoints of a version that it has not run on, and if not.
MAX_TRIALS = 2
NEW_VERSION_PAUSE = timedelta(seconds=30)
SAME_VERSION_PAUSE = timedelta(minutes=10)
# Maximum number of strikes kept: thirty endpoints with sixty requests each leave as
# many.
MAX_STRIKES = 2000
# Fraction of them that is evicted at once, so that the strikes are not sorted for each.
EVICTED_SHARE = 0.1


class StrikeLedger:
    """All strikes known to one gateway, and the quarantine that follows from them.

    :param max_strikes: maximum number of strikes; beyond that, cleared ones are evicted
        first, then the oldest of the features with the fewest strikes.
    :param now: returns the cluster time, in seconds since 1970.
    :param is_sound: returns whether requests with a feature have run well lately.
    """

    def __init__(
        self,
        max_strikes: int = MAX_STRIKES,
        now: Callable[[], float] = lambda: math.inf,
        is_sound: Callable[[str], bool] = lambda feature: False,
    ) -> None:
        self._capacity = max_strikes
        self._now = now
        self._is_sound = is_sound
        self._clearances = Clearances()
        self._by_feature: dict[str, dict[Strike, TrackedStrike]] = {}
        # Those that count.
        self._open: dict[str, dict[Strike, TrackedStrike]] = {}
        # All strikes, most recently changed last.
        self._by_change: dict[Strike, TrackedStrike] = {}
        self._dropped: deque[TrackedStrike] = deque(maxlen=max_strikes)
        self._version = 0
        # Features with enough strikes to be quarantined or to explain others.
        self._candidates: set[str] = set()
        self._assessment = Assessment()

    def __len__(self) -> int:
        return len(self._by_change)

    @property
    def version(self) -> int:
        """Increases with each change."""
        return self._version

    @property
    def quarantined(self) -> frozenset[str]:
        """Features of requests that must not be sent to endpoints."""
        due_at = self._assessment.due_at
        if due_at is not None and self._now() >= due_at:
            self._assess()
        return self._assessment.quarantined

    @property
    def has_open_strikes(self) -> bool:
        """Whether any strikes count against any feature."""
        return bool(self._open)

    def add(self, strike: Strike, state: StrikeState = StrikeState.NEW) -> bool:
        """Add an observed or reported strike, and return whether it is new."""
        is_new = self._merge(strike, state)
        if is_new:
            self._evict()
            self._update_quarantine(strike.fingerprint)
        return is_new

    def clear(self, fingerprint: str) -> bool:
        """Clear the strikes of a feature, and return whether it had any.

        For a part, that includes strikes of earlier crashes that become known later.
        """
        self.note_answered([fingerprint])
        return self.expire(fingerprint)

    def expire(self, fingerprint: str) -> bool:
        """Clear the known strikes of a feature, and return whether it had any."""
        return self._add_state(fingerprint, StrikeState.CLEARED)

    def note_answered(self, features: Iterable[str]) -> None:
        """Note that a request with some features has just succeeded.

        Only parts are remembered: a whole request is seldom sent again.
        """
        now = self._now()
        for feature in filter(is_part, features):
            self._clearances.note(feature, now)

    def note_sound(self, fingerprint: str) -> None:
        """Note that a request with a feature runs well."""
        self._add_state(fingerprint, StrikeState.KNOWN_SOUND)

    def open_strikes(self, fingerprint: str) -> list[TrackedStrike]:
        """Return the strikes that count against a feature, oldest first."""
        strikes = self._open.get(fingerprint, {}).values()
        return sorted(strikes, key=lambda tracked: tracked.strike.at)

    def may_retry(self, features: Iterable[str]) -> bool:
        """Return whether an attempt may be retried on another endpoint.

        If two endpoints crashed without any output, a third would most likely crash as
        well.

        :param features: of its request.
        """
        quarantined = self.quarantined
        return not any(
            feature in quarantined or self._is_suspect(feature) for feature in features
        )

    def since(self, version: int, limit: int) -> list[TrackedStrike]:
        """Return strikes that have changed since a version, in order of change."""
        newest_first = takewhile(
            lambda tracked: tracked.changed > version,
            reversed(self._by_change.values()),
        )
        return list(newest_first)[::-1][:limit]

    def pop_dropped(self) -> list[TrackedStrike]:
        """Return and reset the strikes evicted since the last call."""
        dropped = list(self._dropped)
        self._dropped.clear()
        return dropped

    def by_feature(self) -> Iterable[list[TrackedStrike]]:
        """Return each feature's strikes, including cleared ones."""
        return [list(strikes.values()) for strikes in self._by_feature.values()]

    def _is_suspect(self, feature: str) -> bool:
        strikes = (
            tracked
            for tracked in self.open_strikes(feature)
            if not tracked.strike.begun and not tracked.is_known_sound
        )
        return len(distinct_crashes(strikes)) >= MAX_CRASHES_PER_ATTEMPT

    def _merge(self, strike: Strike, state: StrikeState) -> bool:
        feature = strike.fingerprint
        strikes = self._by_feature.setdefault(feature, {})
        tracked = strikes.get(strike)
        if is_part(feature) and self._is_sound(feature):
            state |= StrikeState.KNOWN_SOUND
        if self._clearances.covers(feature, strike.at):
            state |= StrikeState.CLEARED
        if tracked is not None and tracked.state | state == tracked.state:
            return False
        if tracked is None:
            tracked = strikes[strike] = TrackedStrike(strike, state, 0)
        tracked.state |= state
        self._record_change(tracked)
        self._update_open(tracked)
        return True

    def _update_open(self, tracked: TrackedStrike) -> None:
        if not tracked.is_open:
            self._close(tracked)
            return
        strikes = self._open.setdefault(tracked.strike.fingerprint, {})
        strikes[tracked.strike] = tracked

    def _close(self, tracked: TrackedStrike) -> None:
        feature = tracked.strike.fingerprint
        strikes = self._open.get(feature, {})
        strikes.pop(tracked.strike, None)
        if not strikes:
            self._open.pop(feature, None)

    def _add_state(self, feature: str, state: StrikeState) -> bool:
        changed = [
            self._merge(tracked.strike, state) for tracked in self.open_strikes(feature)
        ]
        if any(changed):
            self._update_quarantine(feature)
        return any(changed)

    def _record_change(self, tracked: TrackedStrike) -> None:
        self._version += 1
        tracked.changed = self._version
        self._by_change.pop(tracked.strike, None)
        self._by_change[tracked.strike] = tracked

    def _update_quarantine(self, changed: str) -> None:
        """Update the quarantine after a change of a feature's strikes."""
        if changed not in self._candidates and not self._is_candidate(changed):
            return
        self._candidates.add(changed)
        self._assess()

    def _is_candidate(self, feature: str) -> bool:
        return len(self._open.get(feature, ())) >= MIN_CRASHES

    def _assess(self) -> None:
        self._candidates = set(filter(self._is_candidate, self._candidates))
        strikes = {name: self._open[name].values() for name in self._candidates}
        self._assessment = assess(strikes, self._now())

    def _evict(self) -> None:
        if len(self) <= self._capacity:
            return
        ranked = sorted(self._by_change.values(), key=self._eviction_rank)
        for tracked in ranked[: ceil(self._capacity * EVICTED_SHARE)]:
            feature = tracked.strike.fingerprint
            self._dropped.append(tracked)
            self._close(tracked)
            del self._by_change[tracked.strike]
            del self._by_feature[feature][tracked.strike]
            if not self._by_feature[feature]:
                del self._by_feature[feature]

    def _eviction_rank(self, tracked: TrackedStrike) -> tuple[int, int]:
        known = len(self._open.get(tracked.strike.fingerprint, ()))
        return (known if tracked.is_open else 0, tracked.changed)


@dataclass(frozen=True, slots=True)
class TrialScope:
    """Endpoints on which a quarantined request may be tried.

    :param has_new_version: whether there are endpoints of a version that it has not run
        on.
    :param excluded_endpoints: endpoints that a trial must not use.
    """

    has_new_version: bool
    excluded_endpoints: frozenset[str]


def trial_scope(
    crashed_versions: Collection[str], versions: Mapping[str, str]
) -> TrialScope:
    """Return where a request may be tried: on new versions only, if there are any.

    :param crashed_versions: versions of the endpoints that crashed while they ran it.
    :param versions: version of each available endpoint, by name.
    """
    known_bad = {
        name for name, version in versions.items() if version in crashed_versions
    }
    has_new = len(known_bad) < len(versions)
    return TrialScope(has_new, frozenset(known_bad if has_new else ()))


def is_trial_due(made: int, last: float, now: float, *, has_new: bool) -> bool:
    """Return whether a quarantined request may be tried again.

    :param made: number of trials so far.
    :param last: time of the last crash or trial, in seconds since 1970.
    :param now: current time, in seconds since 1970.
    :param has_new: whether there are endpoints of a version that it has not run on.
    """
    pause = NEW_VERSION_PAUSE if has_new else SAME_VERSION_PAUSE
    waited = timedelta(seconds=now - last)
    return made < MAX_TRIALS and waited >= pause * (made + 1)
