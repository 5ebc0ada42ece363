"""The capacity duty: one entry plans what runs and gives the orders for it.

Usage::

    duty = CapacityDuty(holder, cloud, store, view, clock, rng)
    spawn(duty.run)

docs/LEASES.md gives the reasoning and what remains possible.
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
from sassafrasdale.decisions.structures import CapacityPolicy, GiveBack, StartInstance
from sassafrasdale.duties.demand import (
    FleetView,
    demand_of,
    offers_for,
    present_load,
    running_instances,
)
from sassafrasdale.duties.exceptions import DutyError
from sassafrasdale.duties.loads import LoadHistory
from sassafrasdale.duties.orders import EngineOrders, WantedState
from sassafrasdale.duties.starts import PendingStart, StartBook, StartRecord
from sassafrasdale.endpoints.directory import Endpoint
from sassafrasdale.green import sleep
from sassafrasdale.text.structures import Service, ServiceKind

DUTY = "capacity"
ROUND = timedelta(seconds=2)
JITTER = 0.2
# An engine's report that is older than this does not show that it is idle.
IDLE_REPORT_AGE = timedelta(seconds=5)

log = Logger("capacity")


class CapacityDuty:
    """Task that acts on the capacity plan while it holds the lease.

    :param holder: seeks and keeps the lease; its task is run by others.
    :param cloud: takes starts and give-backs.
    :param store: keeps the starts that are not listed yet.
    :param view: gives what the entry knows, or None if that is not enough yet.
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
        self._book = StartBook(store)
        self._view = view
        self._clock = clock
        self._rng = rng
        self._policy = policy or CapacityPolicy()
        self._orders = EngineOrders(holder.permit)
        self._loads = LoadHistory()
        self._sent: set[str] = set()

    @property
    def state(self) -> str:
        """State of the lease's chart."""
        return self._holder.state

    def run(self) -> None:
        """Act in rounds until the task is killed."""
        while True:
            sleep(ROUND * self._rng.uniform(1 - JITTER, 1 + JITTER))
            with suppress(LeaseNotHeld):
                self.step()

    def step(self) -> None:
        """Do one round.

        :raises LeaseNotHeld: if the duty is not held, or was lost on the way.
        """
        view = self._view()
        if view is None:
            return
        now = self._clock.elapsed()
        for service in view.text.services.values():
            self._loads.add(service.name, present_load(service, view), now)
        try:
            self._bring_engines(view)
            self._plan(view)
        except (DutyError, StoreError, CloudError) as error:
            log.warning("the round was broken off: {}", error)

    def _bring_engines(self, view: FleetView) -> None:
        wanted = [
            (endpoint, WantedState("load_model", service.name))
            for service in view.text.services.values()
            if service.kind is ServiceKind.MODEL
            for endpoint in view.of_service(service)
            if endpoint.takes_work
        ]
        # An engine that doesn't check the number takes no order until the former
        # lease's time is over; the others need not wait for that.
        checking = [each for each in wanted if each[0].instance.checks_fencing]
        others = [each for each in wanted if not each[0].instance.checks_fencing]
        self._orders.bring(checking)
        self._orders.bring(others)

    def _plan(self, view: FleetView) -> None:
        # The cloud checks no fencing numbers.
        self._holder.permit(False)
        now = self._clock.now()
        read = self._book.read()
        listed = [endpoint.instance for endpoint in view.endpoints]
        record = read.reconciled(listed, now)
        given_back: list[Endpoint] = []
        for service in view.text.services.values():
            record = self._plan_service(service, view, record, given_back, now)
        if record != read:
            record = self._book.write(record)
        self._send_starts(record)
        self._give_back(given_back)

    def _plan_service(
        self,
        service: Service,
        view: FleetView,
        record: StartRecord,
        given_back: list[Endpoint],
        now: datetime,
    ) -> StartRecord:
        endpoints = view.of_service(service)
        plan = plan_capacity(
            demand_of(service, self._loads.of_service(service.name)),
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
                case GiveBack(name):
                    given_back.extend(e for e in endpoints if e.name == name)
        return record.with_starts(starts)

    def _send_starts(self, record: StartRecord) -> None:
        """Send what is recorded and was not yet sent by this holder."""
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
                log.info("start {} was refused", request_id)
                record = record.with_refusal(order, self._clock.now())
                record = self._book.write(record)
                continue
            self._sent.add(request_id)
            log.info("start {} was ordered", request_id)

    def _give_back(self, endpoints: list[Endpoint]) -> None:
        """Give back instances on which nothing runs, as far as is known."""
        for endpoint in endpoints:
            if not self._is_idle(endpoint):
                continue
            self._holder.permit(False)
            self._cloud.release_instance(endpoint.name)
            log.info("instance {} was given back", endpoint.name)

    def _is_idle(self, endpoint: Endpoint) -> bool:
        if endpoint.reported_at is None or endpoint.in_flight:
            return False
        age = self._clock.elapsed() - endpoint.reported_at
        return age < IDLE_REPORT_AGE and endpoint.reported_load == 0
