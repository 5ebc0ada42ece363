"""Selection of the gateway that aggregates the reports of its availability zone.

Workload: 200 gateways, each of which needs the loads of all endpoints and the
customers' usage a few times a second. If each reported to every other, the traffic
would grow with the square of the fleet: 2.4 MB a second at each of them, on instances
with links of 10 Mbit/s. Each gateway therefore reports to one gateway of its zone,
which aggregates the reports and responds with the totals; only these few gateways
exchange reports across zones.

No agreement on the aggregator is needed. All gateways rank the gateways of the zone in
the same order, those on the fastest instances first, and use the first that responds.
Two aggregators at once only cost a little accuracy for a moment: each gateway is
counted by the one that it reports to.
"""

from collections.abc import Mapping
from datetime import timedelta
from math import ceil

from xxhash import xxh64_intdigest

# Time budget of an aggregator for one report and its response. Both take half a
# millisecond of CPU time, so 100 reports a second take a twentieth of a core.
REPORT_TIME_BUDGET = timedelta(milliseconds=10)
# Minimum and maximum interval between two reports of a gateway. Reported loads are one
# interval old on average; three failed reports must still fit into the time after which
# a gateway counts as unreachable.
MIN_REPORT_INTERVAL = timedelta(milliseconds=100)
MAX_REPORT_INTERVAL = timedelta(milliseconds=500)
# A gateway heard from within this time counts as in contact: a few reports may fail.
CONTACT_TIMEOUT = timedelta(seconds=1.5)
# A gateway not heard from for this long is considered gone.
EXPIRY_TIMEOUT = timedelta(seconds=5)
# Minimum numbers of gateways that watch the store, over all zones and in each. The
# others learn of changes from their aggregator. The store may refuse a third of the
# gateways at a time; the probability that it refuses all of eight is one in several
# thousand.
MIN_WATCHERS = 8
MIN_ZONE_WATCHERS = 2


def rank_aggregators(zone: str, cpu_cores: Mapping[str, float]) -> list[str]:
    """Return the gateways of a zone, the preferred aggregator first.

    Aggregation for forty others takes a tenth of a core, which is a fifth of what the
    smaller instances have.

    :param zone: the availability zone.
    :param cpu_cores: CPU cores that each may use, by name.
    """
    return sorted(
        cpu_cores,
        key=lambda name: (-cpu_cores[name], xxh64_intdigest(f"{zone} {name}".encode())),
    )


def report_interval(reporting: int) -> timedelta:
    """Return the interval between two reports for a number of reporting gateways."""
    return min(
        max(REPORT_TIME_BUDGET * reporting, MIN_REPORT_INTERVAL), MAX_REPORT_INTERVAL
    )


def store_watchers(zone: str, cpu_cores: Mapping[str, float], zones: int) -> list[str]:
    """Return the gateways of a zone that watch the store.

    :param zone: the availability zone.
    :param cpu_cores: CPU cores of the gateways of the zone that are in contact, by
        name.
    :param zones: number of availability zones of the deployment.
    """
    return rank_aggregators(zone, cpu_cores)[: max_watchers(zones)]


def max_watchers(zones: int) -> int:
    """Return the maximum number of gateways of a zone that watch the store."""
    return max(MIN_ZONE_WATCHERS, ceil(MIN_WATCHERS / max(zones, 1)))
