"""Which gateway sums up what the others of its availability zone report.

Pattern of load: 200 gateways, each of which should know the loads of all endpoints and
what customers have spent, a few times a second. Told by each to each, that grows with
the square of the fleet: 2.4 MB a second at each of them, where instances have links of
10 Mbit/s. So each reports to one gateway of its zone, which sums the reports up and
answers with the sums; only those few tell each other across zones.

No agreement is needed on who that is. All order the zone's gateways in the same way,
those on the fastest instances first, and take the first that answers. Two at once cost
a little accuracy for a moment: each gateway is summed by the one that it reports to.
"""

from collections.abc import Mapping
from datetime import timedelta
from math import ceil

from xxhash import xxh64_intdigest

# Time that an aggregator is given for one report and its answer. Both take half a
# millisecond of processor time, so 100 reports a second take a twentieth of a core.
REPORT_SHARE = timedelta(milliseconds=10)
# Shortest and longest pause between two reports of a gateway. News of loads is a pause
# old on average; three reports that go wrong must still fit into the time after which
# a gateway counts as silent.
SHORTEST_PAUSE = timedelta(milliseconds=100)
LONGEST_PAUSE = timedelta(milliseconds=500)
# A gateway that was heard of this lately is in touch: a few reports may go wrong.
FRESH = timedelta(seconds=1.5)
# A gateway that has not been heard of for this long is held to be gone.
LIFETIME = timedelta(seconds=5)
# Gateways that watch the store, over all zones, and in each. The others hear of changes
# from their aggregator. A third of the gateways may be turned away by the store at a
# time; chance turns away all of eight once in some thousand times.
WATCHERS = 8
ZONE_WATCHERS = 2


def ordered(zone: str, powers: Mapping[str, float]) -> list[str]:
    """Return the gateways of a zone, the one that should be its aggregator first.

    Summing up for forty others takes a tenth of a core, which is a fifth of what the
    smaller instances have.

    :param powers: processor time a second that each may use, by name.
    """
    return sorted(
        powers,
        key=lambda name: (-powers[name], xxh64_intdigest(f"{zone} {name}".encode())),
    )


def pause_for(reporting: int) -> timedelta:
    """Return the pause between two reports where so many gateways report."""
    return min(max(REPORT_SHARE * reporting, SHORTEST_PAUSE), LONGEST_PAUSE)


def watchers(zone: str, powers: Mapping[str, float], zones: int) -> list[str]:
    """Return the gateways of a zone that watch the store.

    :param powers: of the gateways of the zone that are in touch, by name.
    :param zones: availability zones of the deployment.
    """
    return ordered(zone, powers)[: most_watchers(zones)]


def most_watchers(zones: int) -> int:
    """Return how many gateways of a zone watch the store, where there are as many."""
    return max(ZONE_WATCHERS, ceil(WATCHERS / max(zones, 1)))
