"""Room at endpoints that fail if they have to reject requests.

Such an endpoint gets no more requests at once than it has slots, so none has to wait
or is rejected. The slots are split among the availability zones, and the dispatcher of
each zone uses its part: it counts an attempt from its assignment to its end.
"""

from collections.abc import Sequence
from datetime import timedelta
from math import ceil

from sassafrasdale.decisions.endpoint_rates import sharing_zones

# One in so many slots is left free, one at least: a new connection holds one briefly.
SLOTS_PER_SPARE = 16
# An endpoint with fewer slots than this spares none.
MIN_SLOTS_TO_SPARE = 4
# A dispatcher that has just taken over uses no room for this time: attempts that were
# under way before end, or are reported to it.
TAKEOVER_TIME = timedelta(seconds=1)
# What another dispatcher of the zone had in flight, as last reported, is assumed to end
# evenly within this time: nobody reports that of a gateway that stopped responding.
HANDOVER_TIME = timedelta(seconds=4)
# An attempt without a whole response may go on at the endpoint for a while.
LINGER_TIME = timedelta(milliseconds=500)


def usable_slots(slots: int) -> int:
    """Return the number of requests that may be in flight at an endpoint at once."""
    if slots < MIN_SLOTS_TO_SPARE:
        return max(slots, 1)
    return slots - max(slots // SLOTS_PER_SPARE, 1)


def reserved_slots(in_flight: int, since: timedelta) -> int:
    """Return the slots that a former dispatcher's attempts may still hold.

    :param in_flight: their number as last reported.
    :param since: time since this dispatcher took over.
    """
    left = 1 - since / HANDOVER_TIME
    return ceil(in_flight * left) if left > 0 else 0


def zone_slots(
    slots: int, zone: str, endpoint_zone: str, zones: Sequence[str], share: float
) -> int:
    """Return the requests that a dispatcher may have in flight at an endpoint at once.

    :param slots: slots of the endpoint.
    :param zone: availability zone of the dispatcher.
    :param share: fraction of the zone's gateways that the dispatcher assigns for.
    """
    sharing = sharing_zones(endpoint_zone, zones)
    if zone not in sharing:
        return 0
    each, rest = divmod(usable_slots(slots), len(sharing))
    whole = each + (sharing.index(zone) < rest)
    # More than half of a zone's gateways report to one dispatcher at most.
    least = 1 if whole and share > 0.5 else 0
    return max(int(whole * share), least)
