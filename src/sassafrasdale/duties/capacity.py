"""The capacity duty: the leader plans the instances and orders the changes.

Usage::

    duty = CapacityDuty(holder, cloud, store, view, clock, rng)
    spawn(duty.run)

docs/LEASES.md explains the design and what can still go wrong.
"""

import random
from collections.abc import Callable
from contextlib import suppress
from datetime import datetime, timedelta

from logbook import Logger

from sassafrasdale.clock import Clock
from sassafrasdale.coordination.clouds import CloudClient
from sassafrasdale.coordination.exceptions import (
    CloudError,
    LeaseNotHeld,
    StartRefused,
    StoreError,
)
from sassafrasdale.coordination.leases import LeaseHolder
from sassafrasdale.coordination.stores import BaseStore
from sassafrasdale.decisions.capacity import plan_capacity
from sassafrasdale.decisions.structures import (
    CapacityPolicy,
    ReleaseInstance,
    StartInstance,
)
from sassafrasdale.duties.demand import (
    FleetView,
    current_load,
    offers_for,
    running_instances,
    service_demand,
)
from sassafrasdale.duties.exceptions import DutyError
from sassafrasdale.duties.loads import LoadHistory
from sassafrasdale.duties.orders import DesiredState, EngineOrders
from sassafrasdale.duties.starts import PendingStart, StartRecord, StartRecordStore
from sassafrasdale.endpoints.directory import Endpoint
from sassafrasdale.green import sleep
from sassafrasdale.text.structures import Service, ServiceKind

DUTY = "capacity"
STEP_INTERVAL = timedelta(seconds=2)
JITTER = 0.2
# An engine's load report that is older than this doesn't show that it is idle.
IDLE_REPORT_AGE = timedelta(seconds=5)

log = Logger("capacity")


class CapacityDuty:
    """Task that carries out the capacity plan while it holds the lease.

    :param holder: holder of the lease; the caller runs its task.
    :param cloud: client to start and release instances.
    :param store: stores the starts that are not listed yet.
    :param view: returns the entry's view of the fleet, or None if it is incomplete.
    :param clock: source of time.
    :param rng: source of jitter.
    :param policy: constants of the plan.
    """

    def __init__(
        self,
        holder: LeaseHolder,
        cloud: CloudClient,
        store: BaseStore,
        view: Callable[[], FleetView | None],
        clock: Clock,
        rng: random.Random,
        policy: CapacityPolicy | None = None,
    ) -> None:
        self._holder = holder
        self._cloud = cloud
        self._records = StartRecordStore(store)
        self._view = view
        self._clock = clock
        self._rng = rng
        self._policy = policy or CapacityPolicy()
        self._orders = EngineOrders(holder.permit)
        self._loads = LoadHistory()
        self._sent: set[str] = set()

    @property
    def state(self) -> str:
        """State of the lease holder's statechart."""
        return self._holder.state

    def run(self) -> None:
        """Execute steps until the task is killed."""
        while True:
            sleep(STEP_INTERVAL * self._rng.uniform(1 - JITTER, 1 + JITTER))
            with suppress(LeaseNotHeld):
                self.step()

    def step(self) -> None:
        """Execute one step.

        :raises LeaseNotHeld: if the lease is not held, or was lost during the step.
        """
        view = self._view()
        if view is None:
            return
        now = self._clock.elapsed()
        for service in view.text.services.values():
            self._loads.add(service.name, current_load(service, view), now)
        try:
            self._reconcile_engines(view)
            self._plan(view)
        except (DutyError, StoreError, CloudError) as error:
            log.warning("step aborted: {}", error)

    def _reconcile_engines(self, view: FleetView) -> None:
        desired = [
            (endpoint, DesiredState("load_model", service.name))
            for service in view.text.services.values()
            if service.kind is ServiceKind.MODEL
            for endpoint in view.of_service(service)
            if endpoint.takes_work
        ]
        # Engines that don't check fencing numbers get no orders until the former
        # lease has expired; those that check them needn't wait for that.
        fencing = [each for each in desired if each[0].instance.checks_fencing]
        others = [each for each in desired if not each[0].instance.checks_fencing]
        self._orders.reconcile(fencing)
        self._orders.reconcile(others)

    def _plan(self, view: FleetView) -> None:
        # The cloud API doesn't check fencing numbers.
        self._holder.permit(False)
        now = self._clock.now()
        stored = self._records.read()
        listed = [endpoint.instance for endpoint in view.endpoints]
        record = stored.reconciled(listed, now)
        surplus: list[Endpoint] = []
        for service in view.text.services.values():
            record = self._plan_service(service, view, record, surplus, now)
        if record != stored:
            record = self._records.write(record)
        self._send_starts(record)
        self._release(surplus)

    def _plan_service(
        self,
        service: Service,
        view: FleetView,
        record: StartRecord,
        surplus: list[Endpoint],
        now: datetime,
    ) -> StartRecord:
        endpoints = view.of_service(service)
        plan = plan_capacity(
            service_demand(service, self._loads.of_service(service.name)),
            [*running_instances(endpoints), *record.of_service(service.name)],
            offers_for(service, view.prices),
            record.refused(now),
            self._policy,
            str(record.number),
        )
        names = tuple(endpoint.name for endpoint in endpoints)
        starts = []
        for order in plan.orders:
            match order:
                case StartInstance():
                    starts.append(PendingStart(order, now, names))
                case ReleaseInstance(name):
                    surplus.extend(e for e in endpoints if e.name == name)
        return record.with_starts(starts)

    def _send_starts(self, record: StartRecord) -> None:
        """Send the recorded starts that this leader has not sent yet."""
        pending = {start.order.request_id: start.order for start in record.pending}
        self._sent &= pending.keys()
        for request_id, order in pending.items():
            if request_id in self._sent:
                continue
            self._holder.permit(False)
            try:
                self._cloud.start_instance(
                    request_id,
                    service=order.service,
                    availability_zone=order.availability_zone,
                    instance_class=order.instance_class,
                    reclaimable=order.reclaimable,
                )
            except StartRefused:
                log.info("cloud refused start {}", request_id)
                record = record.with_refusal(order, self._clock.now())
                record = self._records.write(record)
                continue
            self._sent.add(request_id)
            log.info("requested start {}", request_id)

    def _release(self, endpoints: list[Endpoint]) -> None:
        """Release the instances that are known to be idle."""
        for endpoint in endpoints:
            if not self._is_idle(endpoint):
                continue
            self._holder.permit(False)
            self._cloud.release_instance(endpoint.name)
            log.info("released instance {}", endpoint.name)

    def _is_idle(self, endpoint: Endpoint) -> bool:
        if endpoint.reported_at is None or endpoint.in_flight:
            return False
        age = self._clock.elapsed() - endpoint.reported_at
        return age < IDLE_REPORT_AGE and endpoint.reported_load == 0
