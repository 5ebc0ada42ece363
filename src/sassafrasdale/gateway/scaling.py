"""Orders of endpoints, which the holder of the duties gives."""

from collections.abc import Callable
from datetime import timedelta

from logbook import Logger

from sassafrasdale.clock import Clock
from sassafrasdale.coordination.exceptions import LeaseNotHeld, StoreError
from sassafrasdale.coordination.leases import LeaseHolder
from sassafrasdale.decisions.ordering import (
    FleetPlan,
    OrderKey,
    PlannedService,
    plan_orders,
)
from sassafrasdale.green import sleep
from sassafrasdale.platform.duties import DutyClient
from sassafrasdale.platform.exceptions import (
    DutyCallFailed,
    DutyCallRefused,
    NoneAvailable,
)

log = Logger("scaling")

# Pause between two looks at what should be ordered.
PAUSE = timedelta(milliseconds=500)
# A kind that was not to be had is asked for again after this time.
DRY_PAUSE = timedelta(seconds=2)


class Scaler:
    """Task that orders endpoints while this gateway holds the duties.

    :param lease: the lease for the duties.
    :param client: the platform's duty calls.
    :param view: services to order for, with their load and endpoints.
    :param clock: source of elapsed time.
    """

    def __init__(
        self,
        lease: LeaseHolder,
        client: DutyClient,
        view: Callable[[], tuple[PlannedService, ...]],
        clock: Clock,
    ) -> None:
        self._lease = lease
        self._client = client
        self._view = view
        self._clock = clock
        self._ordered: dict[OrderKey, int] = {}
        self._dry: dict[OrderKey, timedelta] = {}
        self._fencing_number = 0

    def run(self) -> None:
        """Order until the task is killed."""
        while True:
            sleep(PAUSE)
            try:
                self.step()
            except LeaseNotHeld:
                continue
            except DutyCallRefused as error:
                log.warning("order refused, stepping down", why=error.message)
                try:
                    self._lease.release()
                except StoreError as failure:
                    log.info("lease left to run out", why=str(failure))

    def step(self) -> None:
        """Give the orders that are missing."""
        permit = self._lease.permit(checks_fencing=True)
        if permit.fencing_number != self._fencing_number:
            # A former holder's orders are unknown, so all are given again.
            self._ordered = {}
            self._fencing_number = permit.fencing_number
        for service in self._view():
            plan = plan_orders(service, self._dry_kinds())
            self._carry_out(service, plan)

    def _dry_kinds(self) -> frozenset[OrderKey]:
        now = self._clock.elapsed()
        return frozenset(key for key, until in self._dry.items() if now < until)

    def _carry_out(self, service: PlannedService, plan: FleetPlan) -> None:
        # More first: what is given back must not leave before others serve.
        for key, count in sorted(
            plan.orders.items(), key=lambda item: item[1] < self._running(service, item)
        ):
            lost = key.reclaimable and self._running(service, (key, count)) < count
            if self._ordered.get(key) == count and not lost:
                continue
            self._order(key, count, plan.reason)

    def _running(self, service: PlannedService, item: tuple[OrderKey, int]) -> int:
        return service.running.get(item[0], 0)

    def _order(self, key: OrderKey, count: int, reason: str) -> None:
        if self._clock.elapsed() < self._dry.get(key, timedelta()):
            return
        permit = self._lease.permit(checks_fencing=True)
        try:
            self._client.order_endpoints(
                key.service,
                key.availability_zone,
                count,
                permit.fencing_number,
                reclaimable=key.reclaimable,
            )
        except NoneAvailable:
            self._dry[key] = self._clock.elapsed() + DRY_PAUSE
            outcome = "none available"
        except DutyCallFailed as error:
            outcome = f"not confirmed: {error.message}"
        else:
            self._ordered[key] = count
            # A reclaimable endpoint shows up after its start time; until then the
            # order must not be repeated.
            self._dry[key] = self._clock.elapsed() + DRY_PAUSE
            outcome = "taken"
        log.info(
            "endpoints ordered",
            service=key.service,
            zone=key.availability_zone,
            reclaimable=key.reclaimable,
            count=count,
            outcome=outcome,
            reason=reason,
            fencing_number=permit.fencing_number,
        )
