"""Canary reports that gateways exchange during a rollout.

A gateway sends its counts since the order to its aggregator, and aggregators exchange
the sums. Other gateways get the verdicts only, which are a few bytes.
"""

from collections import Counter
from collections.abc import Iterable
from typing import Annotated

from msgspec import Meta, Struct
from msgspec.structs import replace
from xxhash import xxh64_intdigest

from sassafrasdale.decisions.canary import Outcomes

# Rejects negative counts, so that a faulty gateway cannot lower the sums.
Count = Annotated[int, Meta(ge=0)]
Seconds = Annotated[float, Meta(ge=0)]
# Number of groups into which the canary endpoints are hashed.
ENDPOINT_GROUPS = 4
# Group of all endpoints of other versions.
OTHERS = ""

# Outcomes by group of endpoints and route.
OutcomeTable = dict[tuple[str, str], Outcomes]


class OutcomeRow(Struct, frozen=True, array_like=True):
    """Outcomes at one group of endpoints, on one route.

    :param times: histogram of the time to the first byte, as counts by bucket.
    """

    group: str
    route: str
    answered: Count
    failed: Count
    times: dict[int, Count]


class CanaryReport(Struct, frozen=True, array_like=True):
    """Canary report for one order.

    :param order: revision of the order.
    :param rows: outcomes since the order.
    :param rejected: whether the version was rejected as faulty.
    :param suspect: whether it would be rejected if the test ended now.
    :param is_full_share: whether the leader gives the canary its full share.
    :param full_share_s: time since that began, in seconds.
    """

    service: str
    order: int
    rows: tuple[OutcomeRow, ...] = ()
    rejected: bool = False
    suspect: bool = False
    is_full_share: bool = False
    full_share_s: Seconds = 0.0


def group_of(endpoint: str) -> str:
    """Return the group of a canary endpoint; the same on all gateways."""
    return str(xxh64_intdigest(endpoint.encode()) % ENDPOINT_GROUPS)


def rows_of(table: OutcomeTable) -> tuple[OutcomeRow, ...]:
    """Return a table's outcomes as rows of a report."""
    return tuple(
        OutcomeRow(group, route, row.answered, row.failed, dict(row.times))
        for (group, route), row in table.items()
    )


def add_rows(table: OutcomeTable, rows: Iterable[OutcomeRow]) -> None:
    """Add reported outcomes to a table."""
    for row in rows:
        outcomes = Outcomes(row.answered, row.failed, Counter(row.times))
        table.setdefault((row.group, row.route), Outcomes()).add(outcomes)


def sum_reports(reports: Iterable[CanaryReport]) -> tuple[CanaryReport, ...]:
    """Return the sums of reports from several gateways, by order."""
    tables: dict[tuple[str, int], OutcomeTable] = {}
    flags: dict[tuple[str, int], tuple[bool, bool, bool, float]] = {}
    for report in reports:
        key = (report.service, report.order)
        add_rows(tables.setdefault(key, {}), report.rows)
        rejected, suspect, full_share, full_share_s = flags.get(
            key, (False, False, False, 0.0)
        )
        flags[key] = (
            rejected or report.rejected,
            suspect or report.suspect,
            full_share or report.is_full_share,
            max(full_share_s, report.full_share_s),
        )
    return tuple(
        CanaryReport(service, order, rows_of(table), *flags[service, order])
        for (service, order), table in tables.items()
    )


def without_rows(reports: tuple[CanaryReport, ...]) -> tuple[CanaryReport, ...]:
    """Return the reports without their outcome rows."""
    return tuple(replace(report, rows=()) for report in reports)
