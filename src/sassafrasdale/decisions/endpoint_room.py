"""Whether an endpoint has room for another request under load.

Workload: more requests than the endpoints can do for a while. What is sent to an
endpoint can't be taken back, and what it queues delays more urgent requests that come
later. So its own queue is kept short, and everything else waits where it can still go
to another endpoint.
"""

from datetime import timedelta

# Fraction of the shortest objective of a service that an engine's queue may last. It
# must outlast the news of what the engine has done, or the engine would be idle.
MAX_QUEUED_FRACTION = 0.25


def longest_queue(objective: timedelta) -> timedelta:
    """Return the longest time that an engine's queue may last for another request.

    :param objective: shortest objective of its service's requests.
    """
    return objective * MAX_QUEUED_FRACTION


def has_room(
    in_flight: int, slots: int, queued: timedelta, objective: timedelta
) -> bool:
    """Return whether an endpoint may get another request.

    :param in_flight: requests there, as far as they are known.
    :param slots: requests that it runs at once.
    :param queued: time that it takes for the prompts ahead.
    :param objective: shortest objective of its service's requests.
    """
    if not in_flight:
        return True
    return in_flight < slots and queued <= longest_queue(objective)
