"""A zone of gateways whose requests may wait, without a network."""

from datetime import timedelta

from msgspec.structs import replace

from sassafrasdale.deployment import (
    Configuration,
    EngineTraits,
    RequestKind,
    Route,
    Service,
    WeightedService,
)
from sassafrasdale.gateway.admission.attempt_queues import PendingAttempt
from sassafrasdale.gateway.admission.attempt_starter import AttemptRequest
from sassafrasdale.gateway.admission.terms import AdmissionTerms
from sassafrasdale.gateway.dispatcher import Dispatcher
from sassafrasdale.gateway.dispatcher_messages import ASSIGNMENT_REQUEST
from sassafrasdale.gateway.peer_calls import assignment_reply, assignment_response
from sassafrasdale.gateway.peer_states import encode
from sassafrasdale.green import sleep, spawn
from tests.gateway.fleets import contact
from tests.gateway.test_dispatcher import Gateway, Zone, prompt

MS = timedelta(milliseconds=1)
OBJECTIVE = 500 * MS
DEADLINE = 3000 * MS


def one_slot_engines(slots=1):
    """Return a configuration whose engines run few requests at once."""
    services = (WeightedService("models", 1.0),)
    route = Route("r", "h", "/", RequestKind.STREAM, services, objective=OBJECTIVE)
    models = Service("models", EngineTraits(slots, 1_000_000))
    return Configuration(1, (route,), {"models": models})


def terms(clock, customer="lab", objective=OBJECTIVE, deadline=DEADLINE):
    now = clock.elapsed()
    return AdmissionTerms(customer, 1, now, now + objective, now + deadline)


def pending(clock, number, gateway="g-9", **fields):
    fields = {"tried": frozenset(), "backed_off": frozenset(), **fields}
    return PendingAttempt(
        (gateway, 1, number),
        "models",
        prompt(100),
        terms=fields.pop("terms", terms(clock)),
        **fields,
    )


class WaitingZone(Zone):
    """A zone with one engine that runs one request at a time."""

    def __init__(self, gateways=2, slots=1, endpoints=1):
        self.configuration = one_slot_engines(slots)
        super().__init__(
            gateways, configuration=self.configuration, endpoints=endpoints
        )
        self.numbers = []
        self.loses_replies = False
        self.reply_time = 0 * MS
        self.dispatcher_waits = True
        self.clock.advance(1000 * MS)

    def _ask(self, _, request):
        if not self.responds:
            return None
        call = ASSIGNMENT_REQUEST.decode(encode(request))
        self.numbers.append(call.number)
        if not self.dispatcher_waits:
            call = replace(call, may_wait=False)
        response = assignment_response(self.dispatcher.assign(call))
        self.clock.advance(self.reply_time)
        return None if self.loses_replies else assignment_reply(response)

    def replace_dispatcher(self):
        """Have another gateway become the dispatcher, which knows nothing yet."""
        self.central = Gateway(
            "next", self.clock, configuration=self.configuration, endpoints=1
        )
        queues = self.central.queues
        self.dispatcher = Dispatcher(self.central.fleet, queues, self.clock)
        self.contact = contact("next")

    def finish(self, number, attempt):
        """End an attempt of a gateway, and report it."""
        self.gateways[number].fleet.finish_attempt(attempt)
        self.send_results()

    def request(self, number, check=lambda: None, **fields):
        """Start a request's attempt at a gateway; it may wait."""
        fields = {"tried": frozenset(), "terms": terms(self.clock), **fields}
        request = AttemptRequest("models", prompt(100), check=check, **fields)
        return self.gateways[number].starter.start(request)

    def request_soon(self, number, **fields):
        """Return the task of a request, once it waits."""
        task = spawn(self.request, number, **fields)
        for _ in range(4):
            sleep()
        return task
