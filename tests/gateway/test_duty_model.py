"""Model test of the leader duties with lost responses, pauses and late calls."""

from contextlib import suppress
from random import Random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from sassafrasdale.clock import ManualClock
from sassafrasdale.coordination.exceptions import LeaseNotHeld, StoreError
from sassafrasdale.coordination.leases import LeaseHolder
from sassafrasdale.decisions.ordering import OrderKey, PlannedService
from sassafrasdale.deployment import ScaleBounds
from sassafrasdale.gateway.metering import USAGE_ADAPTER, USAGE_RECORD, UsageReporter
from sassafrasdale.gateway.peer_states import UsageTotal
from sassafrasdale.gateway.records import DutyRecord
from sassafrasdale.gateway.scaling import ORDERS_ADAPTER, ORDERS_RECORD, Scaler
from sassafrasdale.gateway.usage import ClusterTime
from sassafrasdale.platform.exceptions import DutyCallFailed, DutyCallRefused
from tests.coordination.fakes import FakeStore
from tests.gateway.duties import SECOND

GATEWAYS = 3
NUMBERS = st.integers(0, GATEWAYS - 1)
FAULTS = st.sampled_from([None, None, None, "lost_after", "lost_before", "late"])
BOUNDS = ScaleBounds(1, 8, 4 * SECOND, 0.22, {"a": 0.85})


class Platform:
    """Fake platform that checks the fencing number as it applies a call, maybe late."""

    def __init__(self):
        self.seen = {}
        self.late = []
        self.delays = None
        self.usage = {}
        self.orders = []

    def report_usage(self, window, counts, number):
        self._call("usage", number, lambda: self._record_usage(window, dict(counts)))

    def order_endpoints(self, service, zone, count, number, *, reclaimable):
        order = (number, zone, reclaimable, count)
        self._call(zone, number, lambda: self.orders.append(order))

    def _record_usage(self, window, counts):
        self.usage.setdefault(window, []).append(counts)

    def _call(self, subject, number, effect):
        def apply():
            if number < self.seen.get(subject, 0):
                raise DutyCallRefused("a newer number was seen")
            self.seen[subject] = number
            effect()

        if self.delays is None:
            apply()
            return
        if self.delays == "late":
            self.late.append(apply)
        else:
            apply()
        raise DutyCallFailed("no answer")


class PausingStore(FakeStore):
    """A store whose caller may pause just before its write is sent."""

    def __init__(self, clock):
        super().__init__(clock)
        self.before_write = None

    def compare_and_swap(self, *arguments, **options):
        if self.before_write is not None:
            pause, self.before_write = self.before_write, None
            pause()
        return super().compare_and_swap(*arguments, **options)


class Gateway:
    """The leader duties of one gateway."""

    def __init__(self, number, store, platform, clock):
        self.number = number
        self.load = 0.5
        self.lease = LeaseHolder(
            store, "duties", f"g-{number}", clock, Random(number), 3 * SECOND
        )
        self.reporter = UsageReporter(
            self.lease,
            platform,
            DutyRecord(store, USAGE_RECORD, USAGE_ADAPTER),
            lambda window: UsageTotal({"lab": window + number}, 0.0),
            ClusterTime(clock),
            clock,
            5 * SECOND,
            30 * SECOND,
        )
        self.scaler = Scaler(
            self.lease,
            platform,
            DutyRecord(store, ORDERS_RECORD, ORDERS_ADAPTER),
            self.view,
            clock,
        )

    def view(self):
        running = {OrderKey("models", "a", False): 2}
        return (PlannedService("models", BOUNDS, running, self.load),)

    def try_step(self, step):
        with suppress(LeaseNotHeld, DutyCallFailed, StoreError, DutyCallRefused):
            step()


class Duties(RuleBasedStateMachine):
    """Gateways that take over the leader duties from each other under faults."""

    def __init__(self):
        super().__init__()
        self.clock = ManualClock()
        self.store = PausingStore(self.clock)
        self.platform = Platform()
        self.fleet = [
            Gateway(number, self.store, self.platform, self.clock)
            for number in range(GATEWAYS)
        ]

    @rule(tenths=st.integers(1, 20))
    def pass_time(self, tenths):
        self.clock.advance(SECOND * tenths / 10)

    @rule(seconds=st.integers(3, 8))
    def run_without_faults(self, seconds):
        """Run all gateways without faults for a while."""
        for _ in range(seconds):
            self.clock.advance(SECOND)
            for gateway in self.fleet:
                gateway.try_step(gateway.lease.step)
                gateway.try_step(gateway.reporter.step)
                gateway.try_step(gateway.scaler.step)

    @rule(number=NUMBERS, fault=FAULTS)
    def keep_lease(self, number, fault):
        # A gateway that does not get this step is paused or partitioned.
        self.store.faults = [fault]
        self.fleet[number].try_step(self.fleet[number].lease.step)
        self.store.faults = []

    @rule(number=NUMBERS, faults=st.lists(FAULTS, max_size=2), delays=FAULTS)
    def report(self, number, faults, delays):
        self.store.faults, self.platform.delays = list(faults), delays
        self.fleet[number].try_step(self.fleet[number].reporter.step)
        self.store.faults, self.platform.delays = [], None

    @rule(number=NUMBERS, faults=st.lists(FAULTS, max_size=2), delays=FAULTS)
    def order(self, number, faults, delays):
        self.store.faults, self.platform.delays = list(faults), delays
        self.fleet[number].try_step(self.fleet[number].scaler.step)
        self.store.faults, self.platform.delays = [], None

    @rule(number=NUMBERS)
    def change_leader(self, number):
        """All are partitioned until the lease expires; this one reconnects first."""
        self.clock.advance(SECOND * 4)
        self.keep_lease(number, None)

    @rule(number=NUMBERS, other=NUMBERS)
    def report_after_a_pause(self, number, other):
        # A gateway is paused before it writes; another takes over and reports.

        def pause():
            self.change_leader(other)
            for _ in range(3):
                self.report(other, [], None)

        if number != other:
            self.store.before_write = pause
            self.report(number, [], None)
            self.store.before_write = None
            # Once it is the leader again, it sends the counts in the record.
            self.change_leader(number)
            self.report(number, [], None)

    @rule(number=NUMBERS, other=NUMBERS, load=st.floats(0.1, 3))
    def delay_order(self, number, other, load):
        # An order is delayed until after the next leader's order.
        self.fleet[number].load = load
        self.order(number, [], "late")
        self.change_leader(other)
        self.order(other, [], None)
        self.apply_late_call()

    @rule(number=NUMBERS, load=st.floats(0.1, 3))
    def change_load(self, number, load):
        self.fleet[number].load = load

    @rule()
    def apply_late_write(self):
        if self.store.late:
            self.store.apply_late()

    @rule()
    def apply_late_call(self):
        if self.platform.late:
            with suppress(DutyCallRefused):
                self.platform.late.pop(0)()

    @invariant()
    def one_leader_at_a_time(self):
        leaders = [each for each in self.fleet if each.lease.state != "seeking"]
        assert len(leaders) <= 1

    @invariant()
    def one_count_for_a_window(self):
        for counts in self.platform.usage.values():
            assert all(count == counts[0] for count in counts)

    @invariant()
    def no_former_leader_overrides_its_successor(self):
        numbers = {}
        for number, zone, *_ in self.platform.orders:
            assert number >= numbers.get(zone, 0)
            numbers[zone] = number


TestDuties = Duties.TestCase
TestDuties.settings = settings(
    max_examples=200, stateful_step_count=50, deadline=None, derandomize=True
)
