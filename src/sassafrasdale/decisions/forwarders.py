"""Choice of the peer through which an attempt is forwarded."""

from collections.abc import Collection, Mapping
from dataclasses import dataclass
from datetime import timedelta
from random import Random

from sassafrasdale.decisions.silence import RESPONSE_AGE

# A peer that has failed or refused a forward is avoided for this time.
AVOID_TIME = timedelta(seconds=1)
# Extra forwards in flight that a peer of another zone looks like having: the traffic
# between zones has a price.
OTHER_ZONE_PENALTY = 4.0
# Forwards in flight at once, for each core of the forwarder.
MAX_FORWARDS_PER_CORE = 150


@dataclass(slots=True)
class ForwarderState:
    """What is known of a peer as a forwarder.

    :param in_flight: this gateway's forwards in flight there.
    :param reported: all forwards in flight there, as of its last response.
    :param is_proven: whether it reached endpoints when last asked.
    :param avoided_until: elapsed time until which it is avoided.
    :param heard_at: elapsed time of its last bytes; None if there were none.
    """

    in_flight: int = 0
    reported: int = 0
    is_proven: bool = False
    avoided_until: timedelta = timedelta()
    heard_at: timedelta | None = None

    def avoid(self, now: timedelta) -> None:
        """Record that it has failed or refused a forward."""
        self.is_proven = False
        self.avoided_until = now + AVOID_TIME

    def avoid_if_silent(self, now: timedelta) -> None:
        """Record that a response through it has stalled.

        If other bytes have just come from it, its endpoint has stalled.
        """
        if self.heard_at is None or now - self.heard_at > RESPONSE_AGE:
            self.avoid(now)


@dataclass(frozen=True, slots=True)
class ForwarderCandidate:
    """A peer that might forward.

    :param cpu_cores: CPU seconds per second that it may use.
    """

    name: str
    is_same_zone: bool
    cpu_cores: float


def choose_forwarder(
    candidates: Collection[ForwarderCandidate],
    states: Mapping[str, ForwarderState],
    excluded: Collection[str],
    now: timedelta,
    rng: Random,
) -> str | None:
    """Return the peer to forward through; None if there is none.

    Peers that are not known to reach endpoints are tried only if there are no others:
    they may be partitioned, too.

    :param excluded: peers that this attempt has tried.
    """
    untried = [each for each in candidates if each.name not in excluded]
    if not untried:
        return None
    # An avoided one is better than none.
    eligible = [
        each for each in untried if states[each.name].avoided_until <= now
    ] or untried
    proven = [each for each in eligible if states[each.name].is_proven]
    best = min(
        proven or eligible,
        key=lambda candidate: (_cost(candidate, states[candidate.name]), rng.random()),
    )
    return best.name


def _cost(candidate: ForwarderCandidate, state: ForwarderState) -> float:
    load = max(state.in_flight, state.reported)
    cost = load / max(candidate.cpu_cores, 0.1)
    if not candidate.is_same_zone:
        cost += OTHER_ZONE_PENALTY
    return cost
