"""Engines named by the dispatcher of a zone, and what its gateways tell it."""

from datetime import timedelta
from random import Random

import pytest

from sassafrasdale.clock import ManualClock
from sassafrasdale.decisions.aggregators import LIFETIME
from sassafrasdale.decisions.paces import EnginePaces
from sassafrasdale.deployment import (
    Configuration,
    Endpoint,
    EndpointState,
    EngineTraits,
    PromptPart,
    RequestTraits,
    Service,
)
from sassafrasdale.gateway.asking import SUSPENDED, Asking
from sassafrasdale.gateway.assignment import (
    ASK,
    ASSIGNED,
    NOTES,
    Ask,
    Ended,
    Notes,
    SendEnd,
)
from sassafrasdale.gateway.directory import Directory
from sassafrasdale.gateway.dispatcher import UNLISTED, Dispatcher
from sassafrasdale.gateway.fleet import Fleet
from sassafrasdale.gateway.peer_states import encode
from sassafrasdale.gateway.placement import CacheBelief, Placement
from sassafrasdale.gateway.usage import TrueTime, UsageCounts
from sassafrasdale.structures import Address
from tests.gateway.fleets import contact, lone_peering, no_rollouts
from tests.gateway.test_quotas import bounds

SECOND = timedelta(seconds=1)
MODELS = Service("models", EngineTraits(32, 1_000_000))
CONFIGURATION = Configuration(1, (), {"models": MODELS})


class Gateway:
    """What a gateway knows of four engines, and whom it asks."""

    def __init__(self, name, clock, asking=None):
        self.name = name
        self.clock = clock
        rng = Random(name)
        self.directory = Directory(clock, rng, 2 * SECOND)
        for number in range(4):
            address = Address("127.0.0.1", number + 1)
            self.directory.put(
                Endpoint(f"i-{number}", "models", address, "a", EndpointState.READY, 32)
            )
        cache, paces = CacheBelief(), EnginePaces()
        self.fleet = Fleet(
            self.directory,
            Placement("a", cache, paces, rng),
            cache,
            paces,
            lone_peering(clock, rng),
            UsageCounts(5 * SECOND, TrueTime(clock)),
            lambda: CONFIGURATION,
            bounds(),
            clock,
            no_rollouts(clock),
            asking,
        )

    def under_way(self):
        records = self.directory.records.values()
        return [record.in_flight for record in records]

    def unread(self):
        records = self.directory.records.values()
        return sum(record.unread_tokens for record in records)


class Zone:
    """A dispatcher and the gateways that ask it; messages go over as bytes."""

    def __init__(self, gateways=3):
        self.clock = ManualClock()
        self.central = Gateway("central", self.clock)
        self.dispatcher = Dispatcher(self.central.fleet, self.clock)
        self.answers = True
        self.hears_notes = True
        self.contact = contact("central")
        self.asking = [
            Asking(
                contact(f"g-{number}"),
                lambda: self.contact,
                self._ask,
                self._tell,
                self.clock,
            )
            for number in range(gateways)
        ]
        self.gateways = [
            Gateway(f"g-{number}", self.clock, asking)
            for number, asking in enumerate(self.asking)
        ]

    def _ask(self, _, ask):
        assigned = self.dispatcher.assign(ASK.decode(encode(ask)))
        if not self.answers or assigned is None:
            return None
        return ASSIGNED.decode(encode(assigned))

    def _tell(self, _, notes):
        if self.hears_notes:
            self.dispatcher.note(NOTES.decode(encode(notes)))
        return self.hears_notes

    def send(self, number, tokens=5000):
        return self.gateways[number].fleet.begin(
            "models", prompt(tokens), frozenset(), again=False
        )

    def tell(self):
        for asking in self.asking:
            asking.step()

    def report(self):
        for number, asking in enumerate(self.asking):
            self.dispatcher.reconcile(f"g-{number}", 1, asking.open_sends)


def prompt(tokens):
    return RequestTraits(
        "r", prompt_tokens=tokens, parts=(PromptPart(f"p-{tokens}", tokens),)
    )


@pytest.fixture
def zone():
    return Zone()


def test_gateways_that_send_at_once_choose_different_engines(zone):
    """All would send to the same engine, which all see as the emptiest.

    Pattern: three gateways get a long prompt within the same millisecond, before any
    has told the others of its own.
    """
    names = [zone.send(number, 20_000).record.name for number in range(3)]
    assert len(set(names)) == 3
    assert zone.central.under_way().count(1) == 3


def test_a_send_is_counted_once(zone):
    """An engine would look twice as full as it is, and be passed over."""
    zone.send(0)
    assert sum(zone.central.under_way()) == 1
    assert [sum(gateway.under_way()) for gateway in zone.gateways] == [0, 0, 0]


def test_first_tokens_and_ends_are_told(zone):
    attempt = zone.send(0, 8000)
    assert zone.central.unread() == 8000
    zone.clock.advance(SECOND / 5)
    zone.gateways[0].fleet.first_token(attempt)
    zone.tell()
    assert zone.central.unread() == 0
    assert sum(zone.central.under_way()) == 1
    zone.gateways[0].fleet.ended(attempt)
    zone.tell()
    assert sum(zone.central.under_way()) == 0


def test_without_an_answer_a_gateway_chooses_by_itself(zone):
    """Requests would wait for a dispatcher that was killed.

    Its question gets no answer in time. The dispatcher may have counted the send; it
    hears that nothing came of it.
    """
    zone.answers = False
    attempt = zone.send(0)
    assert attempt is not None
    assert sum(zone.gateways[0].under_way()) == 1
    zone.tell()
    assert sum(zone.central.under_way()) == 0
    zone.answers = True
    zone.send(0)
    assert sum(zone.central.under_way()) == 0
    zone.clock.advance(SUSPENDED)
    zone.send(0)
    assert sum(zone.central.under_way()) == 1


def test_open_sends_are_counted_here_once_the_dispatcher_is_another_one(zone):
    """A new dispatcher would take full engines for empty ones.

    The dispatcher is replaced while a prompt is being read. Its gateway counts it
    itself from then on, and reports it as its own load.
    """
    first = zone.send(0, 8000)
    second = zone.send(0, 6000)
    zone.gateways[0].fleet.first_token(second)
    zone.contact = contact("next")
    zone.tell()
    gateway = zone.gateways[0]
    assert sum(gateway.under_way()) == 2
    assert gateway.unread() == 8000
    gateway.fleet.first_token(first)
    gateway.fleet.ended(first)
    gateway.fleet.ended(second)
    assert sum(gateway.under_way()) == 0
    assert gateway.unread() == 0


def test_a_restarted_dispatcher_is_another_one(zone):
    zone.send(0)
    zone.contact = contact("central", incarnation=2)
    zone.tell()
    assert sum(zone.gateways[0].under_way()) == 1


def test_lost_notes_are_made_good_by_the_next_report(zone):
    """An engine would be held to be full for good."""
    attempt = zone.send(0)
    zone.hears_notes = False
    zone.gateways[0].fleet.ended(attempt)
    zone.tell()
    assert sum(zone.central.under_way()) == 1
    zone.clock.advance(UNLISTED * 2)
    zone.report()
    assert sum(zone.central.under_way()) == 0


def test_a_report_that_crosses_an_answer_drops_nothing(zone):
    """The report was written before the answer came, so it lists the send not yet."""
    zone.send(0)
    zone.dispatcher.reconcile("g-0", 1, ())
    assert sum(zone.central.under_way()) == 1


def test_sends_of_a_gateway_that_is_gone_are_dropped(zone):
    zone.send(0)
    zone.send(1)
    zone.clock.advance(LIFETIME / 2)
    zone.dispatcher.reconcile("g-1", 1, zone.asking[1].open_sends)
    zone.clock.advance(LIFETIME * 0.7)
    zone.dispatcher.forget_silent()
    assert sum(zone.central.under_way()) == 1


def test_sends_of_an_earlier_start_are_dropped(zone):
    zone.send(0)
    zone.dispatcher.reconcile("g-0", 2, ())
    assert sum(zone.central.under_way()) == 0


def test_a_gateway_that_lays_down_counts_no_sends_of_others(zone):
    """Two would count the same sends, one as a dispatcher and one as its own."""
    zone.send(0)
    zone.dispatcher.lay_down()
    assert sum(zone.central.under_way()) == 0
    assert zone.central.unread() == 0


def test_an_endpoint_that_this_gateway_can_not_use_is_not_taken(zone):
    """A gateway would send to an endpoint that it alone can't reach, again and again.

    Its own sends there had no answer; those of the others are fine.
    """
    gateway = zone.gateways[0]
    named = zone.send(0).record.name
    zone.tell()
    for _ in range(5):
        gateway.directory.health_of("models").observe(
            named, ok=False, now=zone.clock.elapsed()
        )
    for number in range(4):
        if f"i-{number}" != named:
            zone.central.directory.remove(f"i-{number}")
    attempt = zone.send(0)
    assert attempt.record.name != named
    zone.tell()
    assert sum(zone.central.under_way()) == 1


def test_failures_at_one_gateway_are_known_to_the_dispatcher(zone):
    """Each gateway of a zone would send a request to an endpoint that fails them."""
    for _ in range(4):
        attempt = zone.send(0)
        zone.gateways[0].fleet.failed(attempt, is_fault=True)
        zone.gateways[0].fleet.ended(attempt)
        zone.tell()
        failed = attempt.record.name
    weights = zone.central.directory.health_of("models").weights(zone.clock.elapsed())
    assert weights[failed] < 1


def test_notes_of_sends_that_nobody_knows_change_nothing(zone):
    zone.dispatcher.note(Notes("g-0", 1, (), (Ended(99, SendEnd.FAILED),)))
    assert sum(zone.central.under_way()) == 0


def test_a_question_tells_all_that_decides():
    traits = prompt(700)
    ask = Ask.of("g-0", 1, 5, "models", traits, ("i-1",))
    again = ASK.decode(encode(ask)).traits
    assert (again.prompt_tokens, again.parts) == (700, traits.parts)


def test_failures_teach_no_reading_time(zone):
    """Loads and orders would go by engines that read a prompt in no time.

    An engine fails all streams at once for some seconds. Each failure is an answer, and
    its few milliseconds were taken for the time that the prompt took.
    """
    gateway = zone.gateways[0].fleet
    for _ in range(20):
        for tokens in (200, 8000):
            attempt = zone.send(0, tokens)
            zone.clock.advance(SECOND / 500)
            gateway.first_token(attempt, has_read=False)
            gateway.ended(attempt)
            zone.tell()
    assert zone.central.fleet.token_times() == {}
    assert sum(zone.central.under_way()) == 0
