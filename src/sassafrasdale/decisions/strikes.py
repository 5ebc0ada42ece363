"""Strikes against what endpoints were running when they crashed.

A strike is against one *feature* of a request that ran: the whole request, or a part of
its prompt that other requests may have as well.
"""

from dataclasses import dataclass
from datetime import timedelta
from enum import IntFlag

# Prefix of the features that are parts of prompts. Digests of whole requests are
# hexadecimal.
PART_PREFIX = "part-"
# Maximum difference in time between reports of the same crash. An endpoint takes longer
# than this to restart, and the clocks of gateways that saw the same crash differ by
# less.
SAME_CRASH_WINDOW = timedelta(milliseconds=500)


def is_part(feature: str) -> bool:
    """Return whether a feature is a part of prompts, not a whole request."""
    return feature.startswith(PART_PREFIX)


class StrikeState(IntFlag):
    """State of a strike. Flags are only ever added.

    ``UNSTORED``: it was in the store and has been deleted from it. ``KNOWN_SOUND``:
    requests with the part have run well, or the witness could not know.
    """

    NEW = 0
    STORED = 1
    CLEARED = 2
    UNSTORED = 4
    KNOWN_SOUND = 8


@dataclass(frozen=True, slots=True)
class Strike:
    """Record that an endpoint crashed while it ran a request with a feature.

    :param fingerprint: identifies the feature.
    :param version: version of the endpoint's software.
    :param begun: whether the run had sent events.
    :param at: when the endpoint crashed, in seconds since 1970.
    :param witness: gateway that observed the crash.
    :param request: fingerprint of the request that ran, for a part; empty if unknown.
    """

    fingerprint: str
    endpoint: str
    version: str
    begun: bool
    at: float
    witness: str
    request: str = ""


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
        """Whether it counts against the feature."""
        return not self.state & StrikeState.CLEARED

    @property
    def is_known_sound(self) -> bool:
        """Whether requests with the feature have run well."""
        return bool(self.state & StrikeState.KNOWN_SOUND)
