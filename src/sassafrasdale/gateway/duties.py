"""Leader duties: usage reports, endpoint orders and rollouts.

The gateway that holds the lease for the duties is the leader.
"""

from collections.abc import Callable
from datetime import timedelta
from random import Random

from sassafrasdale.clock import Clock
from sassafrasdale.coordination.leases import LeaseHolder
from sassafrasdale.decisions.ordering import PlannedService
from sassafrasdale.deployment import GatewaySettings
from sassafrasdale.gateway.metering import USAGE_ADAPTER, USAGE_RECORD, UsageReporter
from sassafrasdale.gateway.peer_states import DutyClaim
from sassafrasdale.gateway.peering import Peering
from sassafrasdale.gateway.records import DutyRecord
from sassafrasdale.gateway.rollout_duty import RolloutDuty
from sassafrasdale.gateway.rollouts import Rollouts
from sassafrasdale.gateway.scaling import ORDERS_ADAPTER, ORDERS_RECORD, Scaler
from sassafrasdale.gateway.usage import ClusterTime
from sassafrasdale.platform.duties import DutyClient
from sassafrasdale.platform.store import PlatformStore

DUTIES = "duties"
# TTL of the leader lease as a fraction of the time in which leadership must not
# alternate between gateways. No endpoints are ordered for this long after the leader is
# killed, and endpoints take seconds more to start: with a TTL of the whole time, the
# response to a reclaim that coincided with a kill took five to six seconds. A gateway
# that lost the lease still waits for the whole time before it tries again.
LEASE_TTL_FRACTION = 0.5
# A gateway leaves the lease to older gateways for this long after its own start. It
# has not yet seen which endpoints are listed and which requests began in past windows.
OLDER_GATEWAY_PRIORITY = timedelta(seconds=3)
# Only aggregators try to acquire the lease until there has been no leader for this
# long. The store's rate limit rejects two hundred gateways that call it at once.
AGGREGATOR_PRIORITY = timedelta(seconds=3)


class Duties:
    """Acquires the lease for the duties, and builds the tasks that run under it.

    :param peering: knows whether another gateway is the leader.
    :param view: returns the services to scale, with their load and endpoints.
    :param rollouts: rollout orders.
    :param time: cluster time.
    :param incarnation: distinguishes starts of this process.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        store: PlatformStore,
        peering: Peering,
        view: Callable[[], tuple[PlannedService, ...]],
        rollouts: Rollouts,
        time: ClusterTime,
        clock: Clock,
        rng: Random,
        incarnation: int,
    ) -> None:
        self._settings = settings
        self._store = store
        self._peering = peering
        self._view = view
        self._rollouts = rollouts
        self._time = time
        self._clock = clock
        self._incarnation = incarnation
        self._started_at = clock.elapsed()
        self._leader_seen_at = clock.elapsed()
        bounds = settings.bounds
        self._lease = LeaseHolder(
            store,
            DUTIES,
            settings.name,
            clock,
            rng,
            max(bounds.lease * LEASE_TTL_FRACTION, bounds.min_lease),
            self._should_defer,
            cooldown=bounds.lease,
        )

    def claim(self) -> DutyClaim | None:
        """Return the claim to send to peers; None if this gateway is not the leader."""
        if self._lease.state == "seeking":
            return None
        return DutyClaim(self._lease.fencing_number)

    def release(self) -> None:
        """Release the lease, so that another gateway need not wait for its expiry."""
        self._lease.release()

    def tasks(self) -> list[Callable[[], None]]:
        """Return the tasks of the duties that the settings enable."""
        settings = self._settings
        rollout_duty = RolloutDuty(self._lease, self._store, self._rollouts)
        if settings.cloud is None:
            return [self._hold_lease_for_rollouts, rollout_duty.run]
        tasks: list[Callable[[], None]] = [self._lease.run, rollout_duty.run]
        client = DutyClient(settings.cloud, settings.name, self._clock)
        if settings.reports_usage:
            reporter = UsageReporter(
                self._lease,
                client,
                DutyRecord(self._store, USAGE_RECORD, USAGE_ADAPTER),
                self._peering.usage,
                self._time,
                self._clock,
                settings.bounds.usage_window,
                settings.bounds.usage_delay,
            )
            tasks.append(reporter.run)
        if settings.orders_endpoints:
            scaler = Scaler(
                self._lease,
                client,
                DutyRecord(self._store, ORDERS_RECORD, ORDERS_ADAPTER),
                self._view,
                self._clock,
                checks_fencing=settings.bounds.checks_fencing,
            )
            tasks.append(scaler.run)
        return tasks

    def _hold_lease_for_rollouts(self) -> None:
        """Acquire the lease only once there is a rollout, the only duty here."""
        self._rollouts.wait_for_order()
        self._lease.run()

    def _should_defer(self) -> bool:
        """Return whether another gateway is the leader or should become it."""
        now = self._clock.elapsed()
        if self._peering.knows_leader():
            self._leader_seen_at = now
            return True
        time_without_leader = now - self._leader_seen_at
        if (
            not self._peering.is_aggregator
            and time_without_leader < AGGREGATOR_PRIORITY
        ):
            return True
        age = now - self._started_at
        return age < OLDER_GATEWAY_PRIORITY and self._peering.may_have_older_gateway(
            self._incarnation
        )
