"""Autoscaling: the leader orders endpoints from the platform."""

from collections.abc import Callable, Mapping
from dataclasses import replace
from datetime import timedelta
from math import exp

from logbook import Logger
from pydantic import TypeAdapter

from sassafrasdale.clock import Clock
from sassafrasdale.coordination.exceptions import LeaseNotHeld, StoreError
from sassafrasdale.coordination.leases import LeaseHolder
from sassafrasdale.decisions.load_history import LoadHistory
from sassafrasdale.decisions.ordering import (
    TARGET_UTILIZATION,
    FleetPlan,
    OrderKey,
    PlannedService,
    plan_orders,
)
from sassafrasdale.gateway.fleet import WORK_WINDOW
from sassafrasdale.gateway.records import DutyRecord
from sassafrasdale.green import sleep
from sassafrasdale.platform.duties import DutyClient
from sassafrasdale.platform.exceptions import (
    DutyCallFailed,
    DutyCallRefused,
    NoEndpointAvailable,
)

log = Logger("scaling")

ORDERS_RECORD = "sassafrasdale/orders"
# Service, availability zone, whether reclaimable, and count of endpoints.
_Orders = list[tuple[str, str, bool, int]]
ORDERS_ADAPTER = TypeAdapter(_Orders)

# Time between two planning steps. A reclaim is announced two to three seconds ahead and
# an endpoint takes four to start, so each delay of an order lengthens the shortage.
STEP_INTERVAL = timedelta(milliseconds=250)
# Time after which an order that was not accepted, or had no effect, is sent again.
RETRY_DELAY = timedelta(seconds=2)
# Time within which the platform carries out a former leader's order that got no
# response.
MAX_ORDER_DELAY = timedelta(seconds=7)
# Scale-down delay, as a multiple of the start time of an endpoint. Load comes in waves:
# an endpoint released in a trough is missing in the next rise until another starts.
SCALE_DOWN_FACTOR = 4
# The same for endpoints that can't be reclaimed. Each costs as much as several
# reclaimable ones, and is released only while the rest can carry the load without any
# single zone. One start time instead of two saves 0.01 of worth in the prices of a day.
ON_DEMAND_SCALE_DOWN_FACTOR = 1
# The same for a new leader. It doesn't know how long ago the load fell, and what
# its predecessor ordered must have had time to start.
NEW_LEADER_SCALE_DOWN_FACTOR = 1.5
# Time from the first listed endpoint of a service until all running ones are listed.
LISTING_TIME = timedelta(seconds=2.5)
# A service without a listed endpoint for this long has none running.
MAX_LISTING_TIME = timedelta(seconds=5)
# Start of a load that began before this gateway did.
LONG_AGO = -timedelta(days=1)
# Callers have not begun to send while the load is below this.
MIN_LOAD = 0.05
# Time from the start of a load until its average can be extrapolated.
LOAD_WARMUP = timedelta(seconds=1.2)
# Until then, endpoints that already ran count as loaded to this fraction of the planned
# utilization.
ASSUMED_UTILIZATION = 1.0


class Scaler:
    """Task that orders endpoints while this gateway is the leader.

    :param lease: the lease for the duties.
    :param client: the platform's duty calls.
    :param record: the orders in force, for the next leader.
    :param view: returns the services to scale, with their load and endpoints.
    :param clock: source of elapsed time.
    :param checks_fencing: whether the platform refuses a former leader's orders.
    """

    def __init__(
        self,
        lease: LeaseHolder,
        client: DutyClient,
        record: DutyRecord,
        view: Callable[[], tuple[PlannedService, ...]],
        clock: Clock,
        *,
        checks_fencing: bool = True,
    ) -> None:
        self._checks_fencing = checks_fencing
        self._resend_at: timedelta | None = None
        self._lease = lease
        self._client = client
        self._record = record
        self._view = view
        self._clock = clock
        self._fencing_number = 0
        # Observations of this gateway; kept across terms of leadership.
        self._first_seen: dict[str, timedelta] = {}
        self._first_listed: dict[str, timedelta] = {}
        self._idle_running: dict[str, int] = {}
        self._load_since: dict[str, timedelta] = {}
        self._load_histories: dict[str, LoadHistory] = {}
        self._reset_term()

    def run(self) -> None:
        """Run a planning step in each interval until the task is killed."""
        while True:
            sleep(STEP_INTERVAL)
            try:
                self.step()
            except LeaseNotHeld:
                continue
            except StoreError as error:
                log.warning("record of orders not reached", why=str(error))
            except DutyCallRefused as error:
                log.warning(
                    "order refused by the platform; releasing the lease",
                    why=error.message,
                )
                self._lease.release()

    def step(self) -> None:
        """Send the orders that are due."""
        services = [
            service for service in self._view() if self._is_listing_complete(service)
        ]
        for service in services:
            self._record_load_start(service)
            self._record_load(service)
        permit = self._lease.permit(checks_fencing=True)
        if permit.fencing_number != self._fencing_number:
            # Resends all orders under the new fencing number: from then on, the
            # platform refuses delayed orders of a former leader.
            self._reset_term()
            self._inherited = _decode_orders(self._record.read())
            self._fencing_number = permit.fencing_number
            if not self._checks_fencing:
                self._resend_at = self._clock.elapsed() + MAX_ORDER_DELAY
        self._resend_if_due()
        for service in services:
            planned = self._with_history(self._with_estimated_load(service))
            plan = plan_orders(planned, frozenset(self._unavailable))
            self._send_orders(planned, plan)
        self._write_record()

    def _resend_if_due(self) -> None:
        """Resend all orders once a former leader's late orders have taken effect.

        An order that got no response may be carried out seconds later. A platform that
        doesn't check fencing numbers then follows it in place of the newer order.
        """
        if self._resend_at is None or self._clock.elapsed() < self._resend_at:
            return
        self._resend_at = None
        self._inherited |= self._ordered
        self._ordered = {}
        self._last_sent = {}

    def _write_record(self) -> None:
        """Record the orders in force, if they changed or the record may be lost."""
        orders = self._inherited | self._ordered
        if orders != self._inherited or not self._record.is_current:
            if not self._record.is_known:
                self._record.read()
            self._record.write(_encode_orders(orders))
            self._inherited = orders

    def _reset_term(self) -> None:
        self._ordered: dict[OrderKey, int] = {}
        self._inherited: dict[OrderKey, int] = {}
        self._unavailable: set[OrderKey] = set()
        # The last count sent, and until when it is not sent again.
        self._last_sent: dict[OrderKey, tuple[int, timedelta]] = {}
        self._last_running: dict[OrderKey, int] = {}
        self._scale_down_since: dict[OrderKey, timedelta] = {}
        # Services with orders in this term.
        self._services_ordered: set[str] = set()

    def _is_listing_complete(self, service: PlannedService) -> bool:
        """Return whether all endpoints running at the start have had time to register.

        Endpoints that start together with the gateways register one by one. An order
        that doesn't count the unregistered ones would release them.
        """
        now = self._clock.elapsed()
        first_seen = self._first_seen.setdefault(service.service, now)
        if service.running:
            self._first_listed.setdefault(service.service, now)
        listed = self._first_listed.get(service.service)
        if listed is None:
            return now - first_seen >= MAX_LISTING_TIME
        return now - listed >= LISTING_TIME

    def _record_load_start(self, service: PlannedService) -> None:
        """Record when the load of a service began, also while not the leader."""
        name = service.service
        if service.load < MIN_LOAD:
            running = sum(service.running.values())
            self._idle_running[name] = max(self._idle_running.get(name, 0), running)
        elif name not in self._load_since:
            # If the fleet was never seen idle, the load began before this gateway.
            began_here = name in self._idle_running
            now = self._clock.elapsed()
            self._load_since[name] = now if began_here else LONG_AGO

    def _record_load(self, service: PlannedService) -> None:
        """Record the load for its variation, also while not the leader.

        Not while its average has only begun: that would look like a rise.
        """
        if self._load_age(service.service) >= WORK_WINDOW:
            history = self._load_histories.setdefault(service.service, LoadHistory())
            known = self._with_estimated_load(service)
            history.observe(known.load, self._clock.elapsed())

    def _load_age(self, service: str) -> timedelta:
        """Return the time since the load of a service began; 0 if it has not."""
        since = self._load_since.get(service)
        return timedelta() if since is None else self._clock.elapsed() - since

    def _with_history(self, service: PlannedService) -> PlannedService:
        """Return the service with the variation of its load, and what was ordered."""
        history = self._load_histories.get(service.service)
        variation = None
        if history is not None:
            start_time = service.bounds.start_time
            variation = history.variation(start_time, self._clock.elapsed())
        keys = {
            OrderKey(service.service, zone, reclaimable)
            for zone in service.bounds.zone_prices
            for reclaimable in (False, True)
        }
        ordered = {
            key: self._expected_count(key, service.running.get(key, 0)) for key in keys
        }
        return replace(service, variation=variation, ordered=ordered)

    def _with_estimated_load(self, service: PlannedService) -> PlannedService:
        """Return the service with an estimated load until its load is known."""
        age = self._load_age(service.service)
        if age >= LOAD_WARMUP:
            return replace(service, load=service.load / _average_fraction(age))
        estimate = (
            self._idle_running.get(service.service, 0)
            * TARGET_UTILIZATION
            * ASSUMED_UTILIZATION
        )
        return replace(service, load=max(service.load, estimate), load_known=False)

    def _send_orders(self, service: PlannedService, plan: FleetPlan) -> None:
        # Scales up first: released endpoints must not leave before others serve.
        orders = sorted(
            plan.orders.items(),
            key=lambda item: item[1] - service.running.get(item[0], 0),
            reverse=True,
        )
        for key, _ in orders:
            self._allow_replacement(key, service.running.get(key, 0))
        for key, wanted in orders:
            running = service.running.get(key, 0)
            expected = self._expected_count(key, running)
            if wanted >= expected:
                self._scale_down_since.pop(key, None)
            elif not self._may_scale_down(key, service):
                wanted = expected
            if self._ordered.get(key) != wanted or running < wanted:
                self._order(service, key, wanted, plan.reason)
        self._services_ordered.add(service.service)

    def _allow_replacement(self, key: OrderKey, running: int) -> None:
        """Allow new orders for a zone at once if some of its endpoints are gone.

        Endpoints missing after an order are usually still starting, so the order is
        not sent again. Endpoints that leave or crash meanwhile would be missing for all
        of that time, and for good if nothing else changes the order. They also free
        capacity: an order beyond the zone's limit is accepted, but not carried out.
        """
        if running < self._last_running.get(key, 0):
            for reclaimable in (False, True):
                self._last_sent.pop(replace(key, reclaimable=reclaimable), None)
        self._last_running[key] = running

    def _expected_count(self, key: OrderKey, running: int) -> int:
        """Return how many endpoints of a kind are running or starting.

        Endpoints that a former leader ordered a moment ago are still starting. Without
        its record, the new leader would cancel that order.
        """
        if key in self._ordered:
            return self._ordered[key]
        return max(running, self._inherited.get(key, 0))

    def _may_scale_down(self, key: OrderKey, service: PlannedService) -> bool:
        """Return whether the scale-down delay of an order is over.

        Never during a rollout, whose version may take over at any moment.
        """
        if service.has_canary:
            self._scale_down_since.pop(key, None)
            return False
        if service.service not in self._load_since:
            return True
        now = self._clock.elapsed()
        start_time = service.bounds.start_time
        delay = start_time * (
            SCALE_DOWN_FACTOR if key.reclaimable else ON_DEMAND_SCALE_DOWN_FACTOR
        )
        if service.service not in self._services_ordered:
            self._scale_down_since[key] = (
                now - delay + start_time * NEW_LEADER_SCALE_DOWN_FACTOR
            )
        since = self._scale_down_since.setdefault(key, now)
        return now - since >= delay

    def _order(
        self, service: PlannedService, key: OrderKey, count: int, reason: str
    ) -> None:
        now = self._clock.elapsed()
        last_count, until = self._last_sent.get(key, (None, now))
        if last_count == count and now < until:
            return
        self._last_sent[key] = (count, now + RETRY_DELAY)
        permit = self._lease.permit(checks_fencing=True)
        try:
            self._client.order_endpoints(
                key.service,
                key.availability_zone,
                count,
                permit.fencing_number,
                reclaimable=key.reclaimable,
            )
        except NoEndpointAvailable:
            self._unavailable.add(key)
            outcome = "none available"
        except DutyCallFailed as error:
            outcome = f"not confirmed: {error.message}"
        else:
            self._ordered[key] = count
            if count > service.running.get(key, 0):
                self._unavailable.discard(key)
            # A new endpoint is listed only after its start time; until then it counts.
            listed_at = now + service.bounds.start_time + RETRY_DELAY
            self._last_sent[key] = (count, listed_at)
            outcome = "taken"
        log.info(
            "endpoints ordered",
            service=key.service,
            zone=key.availability_zone,
            reclaimable=key.reclaimable,
            count=count,
            running=service.running.get(key, 0),
            outcome=outcome,
            reason=reason,
            fencing_number=permit.fencing_number,
        )


def _encode_orders(orders: Mapping[OrderKey, int]) -> _Orders:
    return [
        (key.service, key.availability_zone, key.reclaimable, count)
        for key, count in orders.items()
    ]


def _decode_orders(
    document: _Orders | None,
) -> dict[OrderKey, int]:
    return {
        OrderKey(service, zone, reclaimable): count
        for service, zone, reclaimable, count in document or []
    }


def _average_fraction(age: timedelta) -> float:
    """Return the fraction of a load that its moving average shows at this age.

    The average starts at zero. Without the correction, it would hide a third of the
    load for as long as an endpoint takes to start.
    """
    return 1 - exp(-(age / WORK_WINDOW))
