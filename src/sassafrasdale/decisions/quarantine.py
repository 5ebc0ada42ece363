"""Quarantine of requests that crash the endpoints that run them.

Workload: a caller repeats a request that crashes each endpoint that starts to run it.
Each attempt has a different id and arrives at a different gateway, and fails ten to
sixty innocent requests that ran on the same endpoint.

Each request in flight on an endpoint when it crashes gets a strike. Strikes are only
added and their states only grow, so gateways that exchange them in any order,
repeatedly or late converge. A success shows that a request is innocent and clears its
strikes: nearly all requests that were in flight during a crash succeed on their next
endpoint.

A request that was in flight together with another one at each of its crashes has the
same strikes. The more suspect of the two is the one with less output from its runs: the
crash comes soon after the crashing request starts, while a stream that had long sent
events continues on another endpoint and may meet the crashing request again there. If
the more suspect request explains a crash, that crash no longer counts against the other
one.
"""

from collections import deque
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, replace
from datetime import timedelta
from enum import IntFlag
from itertools import groupby, takewhile
from math import ceil

# Number of crashes after which a request is quarantined.
QUARANTINE_CRASHES = 3
# Maximum number of crashes during one attempt that got no output from its runs.
MAX_CRASHES_PER_ATTEMPT = 2
# Maximum number of trials of a quarantined request, and the delays since the last
# crash: if there are endpoints of a version that it has not run on, and if not.
MAX_TRIALS = 2
NEW_VERSION_PAUSE = timedelta(seconds=30)
SAME_VERSION_PAUSE = timedelta(minutes=10)
# Maximum difference in time between reports of the same crash. An endpoint takes longer
# than this to restart, and the clocks of gateways that saw the same crash differ by
# less.
SAME_CRASH_WINDOW = timedelta(milliseconds=500)
# Maximum number of strikes kept: thirty endpoints with sixty requests each leave as
# many.
MAX_STRIKES = 2000
# Fraction of them that is evicted at once, so that the strikes are not sorted for each.
EVICTED_SHARE = 0.1


class StrikeState(IntFlag):
    """State of a strike. Flags are only ever added.

    ``UNSTORED``: it was in the store and has been deleted from it.
    """

    NEW = 0
    STORED = 1
    CLEARED = 2
    UNSTORED = 4


@dataclass(frozen=True, slots=True)
class Strike:
    """Record that an endpoint crashed while it ran a request.

    :param fingerprint: identifies the request over all attempts.
    :param version: version of the endpoint's software.
    :param begun: whether the run had sent events.
    :param at: when the endpoint crashed, in seconds since 1970.
    :param witness: gateway that observed the crash.
    """

    fingerprint: str
    endpoint: str
    version: str
    begun: bool
    at: float
    witness: str

    def is_same_crash(self, other: "Strike") -> bool:
        """Return whether another strike is about the same crash of an endpoint.

        The endpoint's registered start time doesn't tell two crashes apart: a gateway
        that can't read the registrations takes a restarted endpoint for the one
        before.
        """
        apart = timedelta(seconds=abs(self.at - other.at))
        return self.endpoint == other.endpoint and apart <= SAME_CRASH_WINDOW


@dataclass(slots=True)
class TrackedStrike:
    """A strike and its state, as known to this gateway.

    :param changed: version of the ledger at which it last changed.
    """

    strike: Strike
    state: StrikeState
    changed: int

    @property
    def is_open(self) -> bool:
        """Whether it counts against the request."""
        return not self.state & StrikeState.CLEARED


class StrikeLedger:
    """All strikes known to one gateway, and the quarantine that follows from them.

    :param max_strikes: maximum number of strikes; beyond that, cleared ones are evicted
        first, then the oldest of the requests with the fewest strikes.
    """

    def __init__(self, max_strikes: int = MAX_STRIKES) -> None:
        self._capacity = max_strikes
        self._by_fingerprint: dict[str, dict[Strike, TrackedStrike]] = {}
        # All strikes, most recently changed last.
        self._by_change: dict[Strike, TrackedStrike] = {}
        self._dropped: deque[TrackedStrike] = deque(maxlen=max_strikes)
        self._version = 0
        # Requests with enough strikes to be quarantined or to explain others.
        self._candidates: set[str] = set()
        self._quarantined: frozenset[str] = frozenset()

    def __len__(self) -> int:
        return len(self._by_change)

    @property
    def version(self) -> int:
        """Increases with each change."""
        return self._version

    @property
    def quarantined(self) -> frozenset[str]:
        """Fingerprints of the requests that must not be sent to endpoints."""
        return self._quarantined

    def add(self, strike: Strike, state: StrikeState = StrikeState.NEW) -> bool:
        """Add an observed or reported strike, and return whether it is new."""
        strikes = self._by_fingerprint.setdefault(strike.fingerprint, {})
        tracked = strikes.get(strike)
        if tracked is not None and tracked.state | state == tracked.state:
            return False
        if tracked is None:
            tracked = strikes[strike] = TrackedStrike(strike, state, 0)
        tracked.state |= state
        self._record_change(tracked)
        self._evict()
        if len(strikes) >= QUARANTINE_CRASHES:
            self._update_quarantine(strike.fingerprint)
        return True

    def clear(self, fingerprint: str) -> bool:
        """Clear the strikes of a request, and return whether it had any."""
        cleared = [
            self.add(tracked.strike, StrikeState.CLEARED)
            for tracked in self.open_strikes(fingerprint)
        ]
        return any(cleared)

    def open_strikes(self, fingerprint: str) -> list[TrackedStrike]:
        """Return the strikes that count against a request, oldest first."""
        strikes = [tracked for tracked in self._of(fingerprint) if tracked.is_open]
        return sorted(strikes, key=lambda tracked: tracked.strike.at)

    def may_retry(self, fingerprint: str) -> bool:
        """Return whether an attempt may be retried on another endpoint.

        If two endpoints crashed without any output, a third would most likely crash as
        well.
        """
        if fingerprint in self._quarantined:
            return False
        strikes = [tracked.strike for tracked in self.open_strikes(fingerprint)]
        crashes = distinct_crashes(strike for strike in strikes if not strike.begun)
        return len(crashes) < MAX_CRASHES_PER_ATTEMPT

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

    def by_request(self) -> Iterable[list[TrackedStrike]]:
        """Return each request's strikes, including cleared ones."""
        return [list(strikes.values()) for strikes in self._by_fingerprint.values()]

    def _of(self, fingerprint: str) -> Iterable[TrackedStrike]:
        return self._by_fingerprint.get(fingerprint, {}).values()

    def _record_change(self, tracked: TrackedStrike) -> None:
        self._version += 1
        tracked.changed = self._version
        self._by_change.pop(tracked.strike, None)
        self._by_change[tracked.strike] = tracked

    def _update_quarantine(self, changed: str) -> None:
        """Update the quarantine after a change of a request's strikes."""
        strikes = {
            name: [tracked.strike for tracked in self._of(name) if tracked.is_open]
            for name in self._candidates | {changed}
        }
        candidates = {
            name: found
            for name, found in strikes.items()
            if len(found) >= QUARANTINE_CRASHES
        }
        self._candidates = set(candidates)
        self._quarantined = quarantined_requests(candidates)

    def _evict(self) -> None:
        if len(self) <= self._capacity:
            return
        ranked = sorted(self._by_change.values(), key=self._eviction_rank)
        for tracked in ranked[: ceil(self._capacity * EVICTED_SHARE)]:
            fingerprint = tracked.strike.fingerprint
            self._dropped.append(tracked)
            del self._by_change[tracked.strike]
            del self._by_fingerprint[fingerprint][tracked.strike]
            if not self._by_fingerprint[fingerprint]:
                del self._by_fingerprint[fingerprint]

    def _eviction_rank(self, tracked: TrackedStrike) -> tuple[int, int]:
        known = len(self._by_fingerprint[tracked.strike.fingerprint])
        return (known if tracked.is_open else 0, tracked.changed)


def distinct_crashes(strikes: Iterable[Strike]) -> list[Strike]:
    """Return one strike for each crash: two attempts may have met the same one.

    If either attempt had sent events by then, the request had.
    """
    found: list[Strike] = []
    for strike in sorted(strikes, key=lambda strike: strike.at):
        same = (n for n, other in enumerate(found) if strike.is_same_crash(other))
        number = next(same, None)
        if number is None:
            found.append(strike)
        elif strike.begun:
            found[number] = replace(found[number], begun=True)
    return found


def quarantined_requests(strikes: Mapping[str, Collection[Strike]]) -> frozenset[str]:
    """Return the fingerprints of the requests to quarantine.

    :param strikes: strikes that count against each request, by fingerprint.
    """
    crashes = {name: distinct_crashes(of_one) for name, of_one in strikes.items()}
    begun = {
        name: sum(crash.begun for crash in of_one) for name, of_one in crashes.items()
    }
    explained: list[Strike] = []
    found: set[str] = set()
    # Equally suspect requests don't explain each other's crashes.
    for _, equally_suspect in groupby(sorted(crashes, key=begun.get), key=begun.get):
        new = [
            name
            for name in equally_suspect
            if len(_unexplained_crashes(crashes[name], explained)) >= QUARANTINE_CRASHES
        ]
        found.update(new)
        for name in new:
            explained += crashes[name]
    return frozenset(found)


def _unexplained_crashes(
    crashes: Iterable[Strike], explained: list[Strike]
) -> list[Strike]:
    return [crash for crash in crashes if not any(map(crash.is_same_crash, explained))]


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
