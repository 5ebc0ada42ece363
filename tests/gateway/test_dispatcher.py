"""Engines assigned by the dispatcher of a zone, and its gateways' reports."""

from datetime import timedelta
from random import Random

import pytest

from sassafrasdale.clock import ManualClock
from sassafrasdale.decisions.aggregators import EXPIRY_TIMEOUT
from sassafrasdale.decisions.prefill_speeds import INITIAL_TOKEN_TIME
from sassafrasdale.decisions.step_times import EngineStepTimes
from sassafrasdale.deployment import (
    Configuration,
    Endpoint,
    EndpointState,
    EngineTraits,
    PromptPart,
    RequestTraits,
    Service,
)
from sassafrasdale.gateway.admission.attempt_queues import AttemptQueues
from sassafrasdale.gateway.admission.attempt_starter import (
    AttemptRequest,
    AttemptStarter,
)
from sassafrasdale.gateway.directory import Directory
from sassafrasdale.gateway.dispatcher import RECONCILE_GRACE, Dispatcher
from sassafrasdale.gateway.dispatcher_client import FALLBACK_TIME, DispatcherClient
from sassafrasdale.gateway.dispatcher_messages import (
    ASSIGNMENT,
    ASSIGNMENT_REQUEST,
    ATTEMPT_REPORT,
    AssignmentRequest,
    AttemptEnded,
    AttemptReport,
    AttemptResult,
)
from sassafrasdale.gateway.fleet import Fleet
from sassafrasdale.gateway.peer_states import Contact, encode
from sassafrasdale.gateway.placement import CacheEstimate, Placement
from sassafrasdale.gateway.usage import ClusterTime, UsageCounts
from sassafrasdale.structures import Address
from tests.gateway.fleets import (
    contact,
    no_rollouts,
    single_gate,
    single_peering,
)
from tests.gateway.test_quotas import bounds

SECOND = timedelta(seconds=1)
MODELS = Service("models", EngineTraits(32, 1_000_000))
CONFIGURATION = Configuration(1, (), {"models": MODELS})


class Gateway:
    """A gateway's view of four engines, and its dispatcher client."""

    def __init__(
        self, name, clock, client=None, configuration=CONFIGURATION, endpoints=4
    ):
        self.name = name
        self.clock = clock
        rng = Random(name)
        self.directory = Directory(clock, rng, 2 * SECOND)
        for number in range(endpoints):
            self.add_endpoint(number)
        self.gate = single_gate(clock)
        cache, step_times = CacheEstimate(), EngineStepTimes()
        self.fleet = Fleet(
            self.directory,
            Placement("a", cache, step_times, rng),
            cache,
            step_times,
            single_peering(clock, rng),
            UsageCounts(5 * SECOND, ClusterTime(clock)),
            lambda: configuration,
            bounds(),
            clock,
            no_rollouts(clock),
            self.gate,
            client,
        )
        self.step_times = step_times
        self.queues = AttemptQueues(self.fleet, lambda name: 1.0, clock, rng)
        self.starter = AttemptStarter(self.fleet, self.queues, clock, client)

    def add_endpoint(self, number):
        address = Address("127.0.0.1", number + 1)
        name = f"i-{number}"
        self.directory.put(
            Endpoint(name, "models", address, "a", EndpointState.READY, 32)
        )

    def in_flight_counts(self):
        records = self.directory.records.values()
        return [record.in_flight for record in records]

    def prefill_tokens(self):
        records = self.directory.records.values()
        return sum(record.prefill_tokens for record in records)


class Zone:
    """A dispatcher and its client gateways; messages are encoded between them."""

    def __init__(self, gateways=3, **fields):
        self.clock = ManualClock()
        self.central = Gateway("central", self.clock, **fields)
        self.dispatcher = Dispatcher(
            self.central.fleet, self.central.queues, self.clock
        )
        self.responds = True
        self.receives_reports = True
        self.contact: Contact | None = contact("central")
        self.clients = [
            DispatcherClient(
                contact(f"g-{number}"),
                lambda: self.contact,
                self._ask,
                self._report,
                self.clock,
            )
            for number in range(gateways)
        ]
        self.gateways = [
            Gateway(f"g-{number}", self.clock, client, **fields)
            for number, client in enumerate(self.clients)
        ]

    def _ask(self, _, request):
        assigned = self.dispatcher.assign(ASSIGNMENT_REQUEST.decode(encode(request)))
        if not self.responds or assigned is None:
            return None
        return ASSIGNMENT.decode(encode(assigned))

    def _report(self, _, report):
        if self.receives_reports:
            self.dispatcher.record_report(ATTEMPT_REPORT.decode(encode(report)))
        return self.receives_reports

    def send(self, number, tokens=5000):
        request = AttemptRequest("models", prompt(tokens), frozenset())
        return self.gateways[number].starter.start(request)

    def send_results(self):
        for client in self.clients:
            client.step()

    def send_load_reports(self):
        for number, client in enumerate(self.clients):
            self.dispatcher.reconcile(f"g-{number}", 1, client.open_attempts)


def prompt(tokens):
    return RequestTraits(
        "r", prompt_tokens=tokens, parts=(PromptPart(f"p-{tokens}", tokens),)
    )


@pytest.fixture
def zone():
    return Zone()


def test_simultaneous_attempts_get_different_engines(zone):
    """Guards against simultaneous requests that all go to the same idle engine.

    Workload: three gateways get a long prompt within the same millisecond, before any
    has reported its own to the others.
    """
    names = [zone.send(number, 20_000).record.name for number in range(3)]
    assert len(set(names)) == 3
    assert zone.central.in_flight_counts().count(1) == 3


def test_an_attempt_is_counted_once(zone):
    """Guards against an engine that looks twice as loaded as it is and is avoided."""
    zone.send(0)
    assert sum(zone.central.in_flight_counts()) == 1
    assert [sum(gateway.in_flight_counts()) for gateway in zone.gateways] == [0, 0, 0]


def test_first_tokens_and_ends_are_reported(zone):
    attempt = zone.send(0, 8000)
    assert zone.central.prefill_tokens() == 8000
    zone.clock.advance(SECOND / 5)
    zone.gateways[0].fleet.record_first_token(attempt)
    zone.send_results()
    assert zone.central.prefill_tokens() == 0
    assert sum(zone.central.in_flight_counts()) == 1
    zone.gateways[0].fleet.finish_attempt(attempt)
    zone.send_results()
    assert sum(zone.central.in_flight_counts()) == 0


def test_without_a_response_a_gateway_chooses_itself(zone):
    """Guards against requests that wait for a dispatcher that was killed.

    The assignment request gets no timely response. The dispatcher may have counted the
    attempt; it is told that the attempt ended.
    """
    zone.responds = False
    attempt = zone.send(0)
    assert attempt is not None
    assert sum(zone.gateways[0].in_flight_counts()) == 1
    zone.send_results()
    assert sum(zone.central.in_flight_counts()) == 0
    zone.responds = True
    zone.send(0)
    assert sum(zone.central.in_flight_counts()) == 0
    zone.clock.advance(FALLBACK_TIME)
    zone.send(0)
    assert sum(zone.central.in_flight_counts()) == 1


def test_open_attempts_are_counted_locally_after_a_dispatcher_change(zone):
    """Guards against a new dispatcher that considers loaded engines idle.

    The dispatcher is replaced during a prefill. The gateway counts the attempt itself
    from then on, and reports it as its own load.
    """
    first = zone.send(0, 8000)
    second = zone.send(0, 6000)
    zone.gateways[0].fleet.record_first_token(second)
    zone.contact = contact("next")
    zone.send_results()
    gateway = zone.gateways[0]
    assert sum(gateway.in_flight_counts()) == 2
    assert gateway.prefill_tokens() == 8000
    gateway.fleet.record_first_token(first)
    gateway.fleet.finish_attempt(first)
    gateway.fleet.finish_attempt(second)
    assert sum(gateway.in_flight_counts()) == 0
    assert gateway.prefill_tokens() == 0


def test_a_restarted_dispatcher_counts_as_changed(zone):
    zone.send(0)
    zone.contact = contact("central", incarnation=2)
    zone.send_results()
    assert sum(zone.gateways[0].in_flight_counts()) == 1


def test_the_next_report_makes_up_for_lost_results(zone):
    """Guards against an engine that looks loaded forever after a lost report."""
    attempt = zone.send(0)
    zone.receives_reports = False
    zone.gateways[0].fleet.finish_attempt(attempt)
    zone.send_results()
    assert sum(zone.central.in_flight_counts()) == 1
    zone.clock.advance(RECONCILE_GRACE * 2)
    zone.send_load_reports()
    assert sum(zone.central.in_flight_counts()) == 0


def test_a_report_written_before_an_assignment_drops_nothing(zone):
    """The report was written before the assignment arrived, so it lacks the attempt."""
    zone.send(0)
    zone.dispatcher.reconcile("g-0", 1, ())
    assert sum(zone.central.in_flight_counts()) == 1


def test_attempts_of_a_lost_gateway_are_dropped(zone):
    zone.send(0)
    zone.send(1)
    zone.clock.advance(EXPIRY_TIMEOUT / 2)
    zone.dispatcher.reconcile("g-1", 1, zone.clients[1].open_attempts)
    zone.clock.advance(EXPIRY_TIMEOUT * 0.7)
    zone.dispatcher.drop_unresponsive()
    assert sum(zone.central.in_flight_counts()) == 1


def test_attempts_of_an_earlier_incarnation_are_dropped(zone):
    zone.send(0)
    zone.dispatcher.reconcile("g-0", 2, ())
    assert sum(zone.central.in_flight_counts()) == 0


def test_a_dispatcher_that_resigns_drops_all_attempts(zone):
    """Guards against two gateways counting the same attempts after a resignation."""
    zone.send(0)
    zone.dispatcher.resign()
    assert sum(zone.central.in_flight_counts()) == 0
    assert zone.central.prefill_tokens() == 0


def test_an_assigned_endpoint_that_is_unusable_here_is_declined(zone):
    """Guards against repeated attempts at an endpoint that one gateway can't reach.

    Its own attempts there got no response; those of the others succeed.
    """
    gateway = zone.gateways[0]
    assigned = zone.send(0).record.name
    zone.send_results()
    for _ in range(5):
        gateway.directory.health_of("models").observe(
            assigned, ok=False, now=zone.clock.elapsed()
        )
    for number in range(4):
        if f"i-{number}" != assigned:
            zone.central.directory.remove(f"i-{number}")
    attempt = zone.send(0)
    assert attempt.record.name != assigned
    zone.send_results()
    assert sum(zone.central.in_flight_counts()) == 1


def test_failures_are_reported_to_the_dispatcher(zone):
    """Guards against each gateway of a zone losing requests to one bad endpoint."""
    for _ in range(4):
        attempt = zone.send(0)
        zone.gateways[0].fleet.record_failure(attempt, is_fault=True)
        zone.gateways[0].fleet.finish_attempt(attempt)
        zone.send_results()
        failed = attempt.record.name
    weights = zone.central.directory.health_of("models").weights(zone.clock.elapsed())
    assert weights[failed] < 1


def test_results_of_unknown_attempts_are_ignored(zone):
    zone.dispatcher.record_report(
        AttemptReport("g-0", 1, (), (AttemptEnded(99, AttemptResult.FAILED),))
    )
    assert sum(zone.central.in_flight_counts()) == 0


def test_an_assignment_request_keeps_the_traits():
    traits = prompt(700)
    request = AssignmentRequest.of("g-0", 1, 5, "models", traits, ("i-1",))
    again = ASSIGNMENT_REQUEST.decode(encode(request)).traits
    assert (again.prompt_tokens, again.parts) == (700, traits.parts)


def test_failures_are_no_prefill_samples(zone):
    """Guards against prefill times that are learned from failed requests.

    An engine fails all streams at once for some seconds. Each failure is a response,
    and its few milliseconds were taken for the prefill time, on which loads and orders
    for capacity are based.
    """
    gateway = zone.gateways[0].fleet
    for _ in range(20):
        for tokens in (200, 8000):
            attempt = zone.send(0, tokens)
            zone.clock.advance(SECOND / 500)
            gateway.record_first_token(attempt, is_prefilled=False)
            gateway.finish_attempt(attempt)
            zone.send_results()
    assert zone.central.fleet.token_times() == {}
    assert sum(zone.central.in_flight_counts()) == 0


def names_of(attempts):
    return {attempt.record.name for attempt in attempts}


def test_a_member_s_backoffs_are_heeded_by_the_dispatcher_and_are_its_own(zone):
    """Guards against a back-off unknown to the dispatcher, or kept for all."""
    for name in ("i-0", "i-1", "i-2"):
        zone.gateways[0].gate.backoffs.begin(name, 3 * SECOND)
    zone.central.gate.backoffs.begin("i-3", 3 * SECOND)
    assert names_of(zone.send(1) for _ in range(8)) == {"i-0", "i-1", "i-2", "i-3"}
    attempts = [zone.send(0) for _ in range(8)]
    assert names_of(attempts) == {"i-3"}
    assert all(attempt.assigned_by for attempt in attempts)


def test_the_dispatcher_uses_a_permit_for_what_it_assigns(zone):
    """Guards against an assignment that a limit has no room for."""
    permits = 3
    for number in range(4):
        zone.central.gate.limits.set(f"i-{number}", 0.5, "response")
        zone.gateways[0].gate.limits.set(f"i-{number}", 0.5, "peer")
    zone.gateways[0].gate.permits.set_share(None)
    # Each of the four endpoints has one permit by the time of the next attempts.
    assert zone.send(0) is None
    zone.clock.advance(2.5 * SECOND)
    attempts = [zone.send(0) for _ in range(permits)]
    assert all(attempt.assigned_by and attempt.has_permit for attempt in attempts)
    assert len(names_of(attempts)) == permits
    assert zone.send(0) is not None
    assert zone.send(0) is None


def test_an_assignment_over_a_limit_that_only_the_gateway_knows_is_declined(zone):
    """Guards against a dispatcher that has not been told of a limit yet."""
    for number in range(4):
        zone.gateways[0].gate.limits.set(f"i-{number}", 0.5, "response")
    zone.gateways[0].gate.permits.set_share(None)
    assert zone.send(0) is None
    zone.send_results()
    assert sum(zone.central.in_flight_counts()) == 0


def test_a_gateway_returns_to_an_endpoint_that_it_has_a_connection_to(zone):
    """Guards against hundreds of gateways that open a connection for each request."""
    first = zone.send(0, 100)
    zone.gateways[0].fleet.record_stream(first)
    zone.gateways[0].fleet.finish_attempt(first)
    zone.send_results()
    assert zone.send(0, 200).record is first.record
    # Its connection is in use, and that of another gateway counts for nothing.
    assert zone.send(0, 300).record is not first.record


def test_the_dispatcher_knows_the_mean_time_of_its_zones_requests(zone):
    """Guards against orders that assume a request time though it was measured."""
    fleet = zone.central.fleet
    assert fleet.request_time("models") is None
    for number in range(30):
        traits = RequestTraits("r", prompt_tokens=10_000 * (1 + number % 2))
        zone.gateways[0].starter.start(AttemptRequest("models", traits, frozenset()))
    mean = fleet.request_time("models") / INITIAL_TOKEN_TIME
    assert mean == pytest.approx(15_000, rel=0.01)
    assert zone.gateways[0].fleet.request_time("models") is None
