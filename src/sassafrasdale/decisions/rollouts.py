"""Steps of a rollout, and when the leader takes them.

The times follow from the duration that the operator sets for a rollout:

- the canary version gets a sample of the requests for most of it;
- shortly before the end it gets all that is left of its share at once, so that a
  version that fails only under load shows that while it can still be rolled back;
- then the rollout is completed, early enough that a leader that is killed at that time,
  or a store that is unavailable for a moment, does not delay it beyond the deadline.
"""

from dataclasses import dataclass
from datetime import timedelta
from enum import StrEnum

# Time before the deadline at which a rollout is completed: this fraction of its
# duration, and at least the time that another gateway takes to become the leader and to
# take its first step. It also has to notice that the leader is silent, so the time has
# a minimum of its own where leases are short.
MARGIN_FRACTION = 0.1
FIRST_STEP_TIME = timedelta(milliseconds=500)
MIN_MARGIN = timedelta(seconds=2)
# Maximum margin of a short rollout, as a fraction of its duration.
MAX_MARGIN_FRACTION = 0.25
# Duration of the full share, as a fraction of the duration of the rollout, and the time
# until its outcomes are known to the leader.
FULL_SHARE_FRACTION = 0.04
REPORT_DELAY = timedelta(seconds=1.5)
# Minimum number of endpoints of the new version, as a fraction of those that it
# replaces, that can carry their load.
MIN_ENDPOINT_RATIO = 0.75


class RolloutState(StrEnum):
    """State of a rollout as reported to operators."""

    RUNNING = "running"
    COMPLETE = "complete"
    ROLLED_BACK = "rolled back"


@dataclass(frozen=True, slots=True)
class RolloutOrder:
    """An operator's order to move a service to endpoints of another version.

    :param target: the other version.
    :param duration: time from the order to its deadline.
    """

    service: str
    target: str
    duration: timedelta


@dataclass(frozen=True, slots=True)
class RolloutStatus:
    """Status of an order as reported to operators."""

    service: str
    target: str
    state: RolloutState


class RolloutAction(StrEnum):
    """Next step of a rollout."""

    WAIT = "wait"
    START = "start"
    FULL_SHARE = "fill"
    COMPLETE = "complete"
    ROLL_BACK = "roll back"


@dataclass(frozen=True, slots=True)
class RolloutView:
    """State of an unfinished rollout as seen by the leader.

    :param duration: time from the order to its deadline.
    :param takeover: maximum time until another gateway is the leader if this one dies.
    :param is_started: whether the rollout was reported to the operator as running.
    :param in_force: whether the service had only endpoints of the target at the time of
        the order.
    :param is_rejected: whether the target version was rejected.
    :param is_suspect: whether the evidence suffices to reject it at the end.
    :param age: time since the order.
    :param full_share_for: time since the full share began, also under an earlier
        leader; None before that.
    :param targets: endpoints of the target version that take requests.
    :param others: endpoints of other versions that take requests.
    """

    duration: timedelta
    takeover: timedelta
    is_started: bool
    in_force: bool
    is_rejected: bool
    is_suspect: bool
    age: timedelta
    full_share_for: timedelta | None
    targets: int
    others: int

    @property
    def has_enough_endpoints(self) -> bool:
        """Whether the target's endpoints can carry the service's load."""
        return self.targets >= max(1, self.others * MIN_ENDPOINT_RATIO)


def full_share_duration(duration: timedelta) -> timedelta:
    """Return how long a canary gets its full share."""
    return duration * FULL_SHARE_FRACTION


def complete_after(duration: timedelta, takeover: timedelta) -> timedelta:
    """Return the time after an order at which it is completed."""
    margin = max(duration * MARGIN_FRACTION, takeover + FIRST_STEP_TIME, MIN_MARGIN)
    return duration - min(margin, duration * MAX_MARGIN_FRACTION)


def full_share_after(duration: timedelta, takeover: timedelta) -> timedelta:
    """Return the time after an order at which the full share begins."""
    before = full_share_duration(duration) + REPORT_DELAY
    return max(complete_after(duration, takeover) - before, duration / 2)


def next_action(view: RolloutView) -> RolloutAction:
    """Return the next step of a rollout."""
    if not view.is_started:
        return RolloutAction.COMPLETE if view.in_force else RolloutAction.START
    if view.is_rejected:
        return RolloutAction.ROLL_BACK
    if not view.has_enough_endpoints:
        return (
            RolloutAction.ROLL_BACK if view.age >= view.duration else RolloutAction.WAIT
        )
    if view.full_share_for is None:
        return (
            RolloutAction.FULL_SHARE
            if view.age >= full_share_after(view.duration, view.takeover)
            else RolloutAction.WAIT
        )
    if view.full_share_for < full_share_duration(view.duration) + REPORT_DELAY:
        return RolloutAction.WAIT
    return RolloutAction.ROLL_BACK if view.is_suspect else RolloutAction.COMPLETE
