"""Rollouts: which versions of a service's endpoints get requests, and how many.

An order names a target version, whose endpoints start beside the others as canaries.
They get a sample of the requests, limited by :mod:`sassafrasdale.decisions.exposure`,
until the leader completes the rollout or rolls it back. The outcomes of the sample are
summed over all gateways. A gateway that rejects the version stops sending requests to
it and reports that to its peers, even if the store is unreachable.
"""

from collections.abc import Callable, Sequence
from datetime import timedelta
from random import Random

from logbook import Logger

from sassafrasdale.clock import Clock
from sassafrasdale.coordination.stores import epoch_of
from sassafrasdale.decisions.canary import latency_bucket
from sassafrasdale.decisions.exposure import SAMPLED_FRACTION, CanaryAllowance
from sassafrasdale.decisions.rollouts import (
    RolloutOrder,
    RolloutState,
    RolloutStatus,
    RolloutView,
)
from sassafrasdale.gateway.canary_reports import (
    CanaryReport,
    OutcomeTable,
    add_rows,
    rows_of,
)
from sassafrasdale.gateway.directory import EndpointRecord
from sassafrasdale.gateway.peer_states import ReceivedGroup
from sassafrasdale.gateway.rollout import Rollout
from sassafrasdale.gateway.usage import ClusterTime
from sassafrasdale.green import Event

log = Logger("rollouts")

# The sample goes to a few canary endpoints at a time, each at the load of the other
# endpoints, and rotates to the next ones after this time.
ROTATION_PERIOD = timedelta(seconds=2)
_EVENTS = {
    RolloutState.RUNNING: "start",
    RolloutState.COMPLETE: "complete",
    RolloutState.ROLLED_BACK: "roll_back",
}


class Rollouts:
    """The newest rollout order of each service.

    :param share: fraction of a service's requests that a canary version may get.
    :param listed: returns a service's endpoints that take requests.
    :param time: cluster time, used for the age of orders.
    :param takeover: maximum time until another gateway is the leader if one dies.
    :param count: counts an event for the metrics.
    """

    def __init__(
        self,
        share: float,
        listed: Callable[[str], list[EndpointRecord]],
        time: ClusterTime,
        clock: Clock,
        rng: Random,
        takeover: timedelta,
        count: Callable[..., None] = lambda name, **labels: None,
    ) -> None:
        self._share = share
        self._listed = listed
        self._time = time
        self._clock = clock
        self._rng = rng
        self._takeover = takeover
        self._count = count
        self._rollouts: dict[str, Rollout] = {}
        self._statuses: dict[str, tuple[RolloutStatus, int]] = {}
        self._next_order = Event()

    def __len__(self) -> int:
        """Return the number of orders."""
        return len(self._rollouts)

    def get(self, service: str) -> Rollout | None:
        """Return the newest order for a service."""
        return self._rollouts.get(service)

    def wait_for_order(self) -> None:
        """Wait until there is an open order."""
        while not self.open():
            self._next_order.wait()

    def open(self) -> list[Rollout]:
        """Return the orders that are neither completed nor rolled back."""
        return [rollout for rollout in self._rollouts.values() if rollout.is_open]

    def add_order(self, order: RolloutOrder, revision: int, *, is_live: bool) -> None:
        """Add an order; a later one for the same service replaces it.

        :param is_live: whether it arrived while this gateway was watching the store.
            The endpoints listed at a start say nothing about those before the order.
        """
        known = self._rollouts.get(order.service)
        if known is not None and revision <= known.revision:
            return
        if (
            known is not None
            and known.order == order
            and epoch_of(revision) > epoch_of(known.revision)
        ):
            # The same order in a store that was restored.
            known.revision = revision
            return
        listed_versions = {
            record.endpoint.version for record in self._listed(order.service)
        }
        rollout = Rollout(
            order,
            revision,
            CanaryAllowance(self._share, self._rng),
            self._time.seconds,
            in_force=is_live and listed_versions == {order.target},
        )
        self._rollouts[order.service] = rollout
        ordered, self._next_order = self._next_order, Event()
        ordered.send()
        log.notice(
            "rollout ordered",
            service=order.service,
            target=order.target,
            duration_s=order.duration.total_seconds(),
            revision=revision,
            listed=sorted(listed_versions),
        )
        self._apply_current_status(order.service)

    def withdraw_order(self, service: str) -> None:
        """Roll back an order that was withdrawn.

        Endpoints of its version may go on running, but the version was never accepted.
        """
        rollout = self._rollouts.get(service)
        if rollout is not None and rollout.fire("roll_back"):
            self._log_state(rollout, reason="withdrawn")

    def apply_status(self, status: RolloutStatus, revision: int) -> None:
        """Apply the stored status of a service's order."""
        _, known = self._statuses.get(status.service, (None, 0))
        if revision > known:
            self._statuses[status.service] = (status, revision)
            self._apply_current_status(status.service)

    def _apply_current_status(self, service: str) -> None:
        rollout = self._rollouts.get(service)
        status, revision = self._statuses.get(service, (None, 0))
        if rollout is None or status is None:
            return
        rollout.status_revision = revision
        if revision < rollout.revision or status.target != rollout.order.target:
            return
        if rollout.fire(_EVENTS[status.state]):
            rollout.ended_at = self._clock.elapsed()
            self._log_state(rollout)

    def usable(
        self, service: str, records: list[EndpointRecord]
    ) -> list[EndpointRecord]:
        """Return the endpoints for a request outside the canary sample."""
        rollout = self._rollouts.get(service)
        if rollout is None:
            return records
        return rollout.usable(records, self._clock.elapsed())

    def continuable(
        self, service: str, records: list[EndpointRecord]
    ) -> list[EndpointRecord]:
        """Return the endpoints for streams that have begun.

        A stream that began at the canary version goes on there while the rollout is
        known to run.
        """
        rollout = self._rollouts.get(service)
        if rollout is None or rollout.state == "running":
            return records
        return rollout.usable(records, self._clock.elapsed())

    def sample(
        self, service: str, route: str, records: list[EndpointRecord]
    ) -> Sequence[EndpointRecord]:
        """Return the canary endpoints for a request; none if it is not sampled."""
        rollout = self._rollouts.get(service)
        if rollout is None or rollout.state != "running":
            return ()
        targets = rollout.targets(records)
        if not targets:
            return ()
        rollout.is_sampled = True
        if not rollout.allowance.may_try(route, full=rollout.has_full_share):
            return ()
        if rollout.has_full_share:
            return targets
        others = len(records) - len(targets)
        count = max(1, round(others * self._share * SAMPLED_FRACTION))
        rotation = int(self._time.seconds / ROTATION_PERIOD.total_seconds())
        first = rotation * count % len(targets)
        return (targets + targets)[first : first + min(count, len(targets))]

    def record_request(self, record: EndpointRecord, route: str) -> None:
        """Count the first attempt of a request."""
        rollout = self._rollouts.get(record.endpoint.service)
        if rollout is None or not rollout.is_open:
            return
        is_canary = rollout.is_target(record)
        rollout.allowance.record_request(route, is_canary=is_canary)
        if is_canary:
            self._count("request to a version on trial")

    def record_first_byte(
        self, record: EndpointRecord, route: str, took: timedelta
    ) -> None:
        """Record the time to the first byte of an endpoint's response."""
        rollout = self._rollout_under_test(record)
        if rollout is not None:
            rollout.outcomes(record, route).times[latency_bucket(took)] += 1

    def record_outcome(self, record: EndpointRecord, route: str, *, ok: bool) -> None:
        """Count a request as completed or as failed by its endpoint."""
        rollout = self._rollout_under_test(record)
        if rollout is None:
            return
        outcomes = rollout.outcomes(record, route)
        if ok:
            outcomes.answered += 1
            return
        outcomes.failed += 1
        if rollout.is_target(record):
            self._count("failure of a version on trial")

    def _rollout_under_test(self, record: EndpointRecord) -> Rollout | None:
        """Return the order whose canary test covers an endpoint now."""
        rollout = self._rollouts.get(record.endpoint.service)
        if rollout is None or not rollout.is_sampled or rollout.state != "running":
            return None
        return rollout

    def canary_reports(self) -> tuple[CanaryReport, ...]:
        """Return the canary reports to send to the other gateways."""
        now = self._clock.elapsed()
        return tuple(rollout.report(now) for rollout in self.open())

    def receive_groups(self, groups: Sequence[ReceivedGroup]) -> None:
        """Merge the reports of the other gateways, and evaluate the canaries."""
        for rollout in self.open():
            reports = [
                report
                for group in groups
                for report in group.state.canary_reports
                if report.service == rollout.order.service
                and report.order == rollout.revision
            ]
            self._receive_full_share(rollout, reports)
            self._evaluate(rollout, reports)

    def _receive_full_share(
        self, rollout: Rollout, reports: Sequence[CanaryReport]
    ) -> None:
        """Record that the full share has begun, and since when.

        The ages of the reports are not added: they are upper bounds, and gateways that
        add them to each other's times would move the beginning further and further.
        """
        lasted = [report.full_share_s for report in reports if report.is_full_share]
        if not lasted:
            return
        began_at = self._clock.elapsed() - timedelta(seconds=max(lasted))
        reason = "at full load, another gateway reports"
        self._begin_full_share(rollout, began_at, reason)

    def _evaluate(self, rollout: Rollout, reports: Sequence[CanaryReport]) -> None:
        if rollout.is_rejected:
            return
        if any(report.rejected for report in reports):
            self._reject(rollout, "found by another gateway")
            return
        table: OutcomeTable = {}
        add_rows(table, rows_of(rollout.table))
        for report in reports:
            add_rows(table, report.rows)
        now = self._clock.elapsed()
        # A version that is rejected during the test would be rejected at its end, too.
        at_end = rollout.analysis.evaluate(table, now, final=True)
        if at_end.is_rejected:
            verdict = rollout.analysis.evaluate(table, now)
            if verdict.is_rejected:
                self._reject(rollout, verdict.reason)
                return
        if at_end.is_rejected and not rollout.is_suspect:
            log.info(
                "version suspected",
                service=rollout.order.service,
                target=rollout.order.target,
                reason=at_end.reason,
            )
        rollout.is_suspect = at_end.is_rejected
        rollout.is_suspected_elsewhere = any(report.suspect for report in reports)

    def _reject(self, rollout: Rollout, reason: str) -> None:
        rollout.fire("condemn")
        self._log_state(rollout, reason=reason)

    def _log_state(self, rollout: Rollout, **reason: str) -> None:
        log.notice(
            "rollout changed",
            service=rollout.order.service,
            target=rollout.order.target,
            state=rollout.state,
            revision=rollout.revision,
            age_s=round(self._time.seconds - rollout.first_seen, 3),
            sent=rollout.allowance.sent,
            tried=rollout.allowance.canary_requests,
            **reason,
        )

    def start_full_share(self, rollout: Rollout) -> None:
        """Give the canary its full share from now on, as the leader."""
        self._begin_full_share(rollout, self._clock.elapsed(), "at full load")

    def _begin_full_share(
        self, rollout: Rollout, began_at: timedelta, reason: str
    ) -> None:
        """Record the beginning, which outlasts the leader that decided on it."""
        if rollout.full_share_at is not None:
            rollout.full_share_at = min(rollout.full_share_at, began_at)
            return
        rollout.full_share_at = began_at
        self._log_state(rollout, reason=reason)

    def view(self, rollout: Rollout) -> RolloutView:
        """Return the input for the leader's decision."""
        listed = self._listed(rollout.order.service)
        targets = len(rollout.targets(listed))
        return RolloutView(
            duration=rollout.order.duration,
            takeover=self._takeover,
            is_started=rollout.state != "ordered",
            in_force=rollout.in_force,
            is_rejected=rollout.is_rejected,
            is_suspect=rollout.is_suspect or rollout.is_suspected_elsewhere,
            age=timedelta(seconds=self._time.seconds - rollout.first_seen),
            full_share_for=rollout.full_share_for(self._clock.elapsed()),
            targets=targets,
            others=len(listed) - targets,
        )

    def describe(self) -> list[dict[str, object]]:
        """Return all orders for the operators' page."""
        return [self._describe(rollout) for rollout in self._rollouts.values()]

    def _describe(self, rollout: Rollout) -> dict[str, object]:
        return {
            "service": rollout.order.service,
            "target": rollout.order.target,
            "state": rollout.state,
            "age_s": round(self._time.seconds - rollout.first_seen, 3),
            "duration_s": rollout.order.duration.total_seconds(),
            "sent": rollout.allowance.sent,
            "tried": rollout.allowance.canary_requests,
            "outcomes": [
                {
                    "endpoints": group or "others",
                    "route": route,
                    "answered": row.answered,
                    "failed": row.failed,
                }
                for (group, route), row in rollout.table.items()
            ],
        }
