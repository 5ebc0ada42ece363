"""State of one rollout order on a gateway."""

from collections.abc import Iterable
from datetime import timedelta

from sassafrasdale.charts import Lifecycle, load_chart
from sassafrasdale.decisions.canary import CanaryAnalysis, Outcomes, SequentialTest
from sassafrasdale.decisions.exposure import CanaryAllowance
from sassafrasdale.decisions.rollouts import RolloutOrder
from sassafrasdale.gateway.canary_reports import (
    OTHERS,
    CanaryReport,
    OutcomeTable,
    group_of,
    rows_of,
)
from sassafrasdale.gateway.directory import EndpointRecord

# Replaced endpoints are stopped at once; their registrations are deleted after this
# time.
DELISTING_TIME = timedelta(seconds=10)
# Routes with separate outcome counts; all further routes share one row per group.
MAX_ROUTES = 64
SEQUENTIAL_TEST = SequentialTest()


class Rollout:
    """One rollout order and its local state.

    :param revision: store revision at which the order was written.
    :param allowance: limits the requests that the canary version gets.
    :param in_force: whether all listed endpoints already had its version when the
        order arrived.
    :param first_seen: cluster time at which it was first seen, in seconds since 1970.
    """

    def __init__(
        self,
        order: RolloutOrder,
        revision: int,
        allowance: CanaryAllowance,
        first_seen: float,
        *,
        in_force: bool,
    ) -> None:
        self._lifecycle = Lifecycle(load_chart("rollout"))
        self.order = order
        self.revision = revision
        self.allowance = allowance
        self.in_force = in_force
        self.first_seen = first_seen
        self.status_revision = 0
        self.ended_at = timedelta()
        self.full_share_at: timedelta | None = None
        self.is_suspect = False
        self.is_suspected_elsewhere = False
        self.is_sampled = False
        self.table: OutcomeTable = {}
        self.analysis = CanaryAnalysis(SEQUENTIAL_TEST)

    @property
    def state(self) -> str:
        """State of its statechart."""
        return self._lifecycle.state

    @property
    def is_open(self) -> bool:
        """Whether it is neither completed nor rolled back."""
        return self.state not in ("complete", "rolled_back")

    @property
    def has_full_share(self) -> bool:
        """Whether the canary version gets its full share."""
        return self.full_share_at is not None

    @property
    def is_rejected(self) -> bool:
        """Whether its version was rejected as faulty."""
        return self.state == "condemned"

    def fire(self, event: str) -> bool:
        """Apply an event to the statechart, and return whether the state allows it."""
        if not self._lifecycle.allows(event):
            return False
        self._lifecycle.fire(event)
        return True

    def is_target(self, record: EndpointRecord) -> bool:
        """Return whether an endpoint runs the order's target version."""
        return record.endpoint.version == self.order.target

    def targets(self, records: Iterable[EndpointRecord]) -> list[EndpointRecord]:
        """Return the target version's endpoints, in the same order on all gateways."""
        targets = [record for record in records if self.is_target(record)]
        return sorted(targets, key=lambda record: record.name)

    def usable(
        self, records: list[EndpointRecord], now: timedelta
    ) -> list[EndpointRecord]:
        """Return the endpoints for requests outside the canary sample."""
        if self.state == "complete":
            if now - self.ended_at > DELISTING_TIME:
                return records
            return self.targets(records) or records
        if self.in_force and self.state == "ordered":
            return records
        return [record for record in records if not self.is_target(record)]

    def outcomes(self, record: EndpointRecord, route: str) -> Outcomes:
        """Return the counts for a request's outcome."""
        group = group_of(record.name) if self.is_target(record) else OTHERS
        key = (group, route)
        if key not in self.table and len(self.table) >= MAX_ROUTES:
            key = (group, "")
        return self.table.setdefault(key, Outcomes())

    def full_share_for(self, now: timedelta) -> timedelta | None:
        """Return the time since the full share began; None before that."""
        return None if self.full_share_at is None else now - self.full_share_at

    def report(self, now: timedelta) -> CanaryReport:
        """Return the report to send to the other gateways."""
        full_share_for = self.full_share_for(now) or timedelta()
        return CanaryReport(
            self.order.service,
            self.revision,
            rows_of(self.table),
            self.is_rejected,
            self.is_suspect,
            self.has_full_share,
            full_share_for.total_seconds(),
        )
