"""Bound of waiting times in a queue that stands.

A short burst may use all the time that a response does not need. In a queue that has
not been empty for a while, long waits add no throughput, and any variation or error of
the estimates makes responses miss their time.
"""

from datetime import timedelta

# Time without an empty queue after which it counts as standing, as a fraction of the
# time that a request has.
STANDING_FRACTION = 0.5
# Maximum wait in a standing queue, as a fraction of the time that a request has.
WAIT_FRACTION = 0.3


def longest_wait(
    useful: timedelta,
    allowed: timedelta,
    standing_for: timedelta,
    *,
    standing_fraction: float = STANDING_FRACTION,
    wait_fraction: float = WAIT_FRACTION,
) -> timedelta:
    """Return the maximum time that a request may wait.

    :param useful: time after which waiting is in vain.
    :param allowed: time that the request has in all.
    :param standing_for: time since the queue was last empty.
    """
    if standing_for < allowed * standing_fraction:
        return useful
    return min(useful, allowed * wait_fraction)
