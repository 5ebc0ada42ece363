"""Streams that are resumed, within an answer or over a caller's attempts."""

from datetime import timedelta

import pytest

from sassafrasdale.clock import SystemClock
from sassafrasdale.decisions.rollouts import (
    RolloutOrder,
    RolloutState,
    RolloutStatus,
)
from sassafrasdale.decisions.silence import STALL_TIME
from sassafrasdale.decisions.stream_versions import StreamBinding
from sassafrasdale.deployment import Endpoint, EndpointState, RequestTraits
from sassafrasdale.gateway.admission.attempt_starter import AttemptRequest
from sassafrasdale.gateway.directory import RESTART_TIME, EndpointRecord
from sassafrasdale.gateway.dispatcher_messages import (
    ASSIGNMENT_REQUEST,
    Assignment,
    AssignmentRequest,
)
from sassafrasdale.gateway.peer_states import encode
from sassafrasdale.gateway.streams.messages import StreamRow, stream_name
from sassafrasdale.gateway.streams.records import Origin
from sassafrasdale.green import sleep
from tests.gateway.world import (
    ScriptedEndpoint,
    World,
    chunk,
    event,
    header,
    request,
    stream_head,
    streamed,
)
from tests.platform.documents import configuration

CLOCK = SystemClock()
SECOND = timedelta(seconds=1)
PATH = "/reports/7"
V1 = StreamBinding("models", "v1")
V2 = StreamBinding("models", "v2")
# One service, so that a new stream can only begin there.
[ROUTE] = [
    {key: value for key, value in route.items() if key != "split"}
    | {"service": "models", "maxTries": 3}
    for route in configuration()["routes"]
    if route["name"] == "r-reports"
]


class StreamWorld(World):
    """A gateway with one endpoint of each of two versions.

    :param first: script of the endpoint of version v1.
    :param second: script of the endpoint of version v2.
    """

    def __init__(self, first=None, second=None, **route):
        super().__init__(routes=[{**ROUTE, **route}])
        self.first = ScriptedEndpoint(first or streamed(2, 3))
        self.second = ScriptedEndpoint(second or streamed(2, 3))
        self.add("m-1", "models", self.first, "v1")
        self.add("m-2", "models", self.second, "v2")
        self.only_version = ""

    def record(self, binding: StreamBinding, request_id="r-1", customer="lab-a"):
        """Record a stream that has begun."""
        name = stream_name(customer, request_id)
        self.stream_records.add(name, binding, 9 * SECOND, Origin.OWN)

    def take_up(self, **headers: str) -> bytes:
        """Return the response to an attempt that takes a stream up."""
        return self.ask(request(PATH, "r-9", deadline_ms="3000", **headers))

    @property
    def requests(self) -> int:
        """Number of requests that have reached an endpoint."""
        return len(self.first.requests) + len(self.second.requests)


@pytest.fixture
def world():
    return StreamWorld()


def is_rejected(world: StreamWorld, response: bytes) -> bool:
    """Return whether a request was rejected without having reached an endpoint."""
    return response.startswith(b"HTTP/1.1 503") and not world.requests


@pytest.mark.parametrize("binding", [V1, V2])
def test_a_stream_is_taken_up_at_the_version_that_began_it(world, binding):
    world.record(binding)
    for number in range(6):
        response = world.ask(
            request(PATH, f"t-{number}", resumes="r-1", last_event_id="1")
        )
        assert response.endswith(b"0\r\n\r\n")
    asked = world.first if binding == V1 else world.second
    assert len(asked.requests) == world.requests == 6
    assert header(asked.requests[0], "last-event-id") == "1"


def test_a_stream_that_nobody_knows_is_rejected_at_once(world):
    """Guards against a guess where several versions serve."""
    began_at = CLOCK.elapsed()
    response = world.take_up(resumes="r-1", last_event_id="1")
    assert is_rejected(world, response)
    assert header(response, "retry-after")
    assert CLOCK.elapsed() - began_at < SECOND / 2


def test_a_caller_returns_soon_where_the_version_may_yet_be_found(world):
    """Guards against callers that are kept away for what a partition hides."""
    world.only_version = None
    response = world.take_up(resumes="r-1", last_event_id="1")
    assert is_rejected(world, response)
    assert float(header(response, "retry-after")) < 1


def test_a_stream_that_nobody_knows_goes_on_where_there_was_one_version(world):
    world.only_version = "v2"
    assert world.take_up(resumes="r-1", last_event_id="1").endswith(b"0\r\n\r\n")
    assert len(world.second.requests) == world.requests == 1


def test_an_only_version_is_not_taken_for_one_of_several_services():
    """Guards against a service that is drawn anew for a stream that nobody knows."""
    split = [{"service": "models", "weight": 1}, {"service": "records", "weight": 1}]
    world = StreamWorld(service=None, split=split)
    world.only_version = "v1"
    assert is_rejected(world, world.take_up(resumes="r-1", last_event_id="1"))


def test_a_stream_goes_on_at_its_service():
    """Guards against a service that is drawn anew when a caller comes back."""
    split = [{"service": "models", "weight": 1}, {"service": "records", "weight": 99}]
    world = StreamWorld(service=None, split=split)
    world.record(V1)
    assert world.take_up(resumes="r-1", last_event_id="1").endswith(b"0\r\n\r\n")


def test_a_stream_whose_service_is_no_longer_the_routes_is_rejected(world):
    world.record(StreamBinding("records", "v1"))
    assert is_rejected(world, world.take_up(resumes="r-1", last_event_id="1"))


def test_an_event_without_the_name_of_its_stream_is_not_guessed(world):
    """Guards against callers that never name the attempt that began their stream."""
    world.record(V1, "r-9")
    assert is_rejected(world, world.take_up(last_event_id="1"))


def test_a_name_without_an_event_holds_the_stream_to_its_version(world):
    world.record(V2)
    assert world.take_up(resumes="r-1").endswith(b"0\r\n\r\n")
    assert len(world.second.requests) == world.requests == 1


@pytest.mark.parametrize("resumes", ["r-9", "x" * 200, "r-1, r-2"])
def test_a_name_that_is_no_earlier_attempt_is_not_known(world, resumes):
    for request_id in ("r-1", "r-9"):
        world.record(V1, request_id)
    assert is_rejected(world, world.take_up(resumes=resumes, last_event_id="1"))


def test_another_customers_stream_is_not_found(world):
    """Guards against ids that customers choose alike."""
    world.record(V1, customer="lab-b")
    assert is_rejected(world, world.take_up(resumes="r-1", last_event_id="1"))


def test_the_first_event_of_a_new_stream_is_not_one(world):
    world.ask(request(PATH, "r-1", last_event_id="0"))
    assert world.requests == 1


def test_a_stream_without_endpoints_of_its_version_is_rejected_at_once(world):
    """Guards against a wait, or another version, where nothing may run the stream."""
    world.record(StreamBinding("models", "v0"))
    response = world.take_up(resumes="r-1", last_event_id="1")
    assert is_rejected(world, response)
    assert float(header(response, "retry-after")) >= 30


def test_a_new_stream_is_recorded_with_the_version_that_began_it(world):
    world.ask(request(PATH, "r-5"))
    record = world.stream_records.get(stream_name("lab-a", "r-5"))
    assert record.binding == (V1 if world.first.requests else V2)


def test_an_attempt_without_an_event_binds_nothing():
    """Guards against the version of an attempt that broke before its first event."""
    world = StreamWorld(streamed(ends=False), streamed(1, 2))
    response = world.ask(request(PATH, "r-5"))
    while not world.first.requests:
        response = world.ask(request(PATH, "r-5"))
    assert response.endswith(b"0\r\n\r\n")
    record = world.stream_records.get(stream_name("lab-a", "r-5"))
    assert record.binding == V2


def test_an_answer_goes_on_at_no_other_version():
    """Guards against a stream that another version ends than the one that began it."""
    world = StreamWorld(streamed(1, ends=False), streamed(1, ends=False))
    response = world.ask(request(PATH, "r-5"))
    assert world.requests == 1
    assert not response.endswith(b"0\r\n\r\n")


def test_an_answer_goes_on_at_another_endpoint_of_its_version():
    world = StreamWorld(streamed(1, ends=False), streamed(1, ends=False))
    third, fourth = (ScriptedEndpoint(streamed(2, 3)) for _ in range(2))
    world.directory.remove("m-2")
    world.add("m-3", "models", third, "v1")
    world.add("m-4", "models", fourth, "v2")
    while not world.first.requests:
        response = world.ask(request(PATH, "r-5"))
    assert response.endswith(b"0\r\n\r\n")
    assert header(third.requests[-1], "last-event-id") == "1"


def test_a_silent_stream_that_only_another_version_could_end_is_waited_for():
    """Guards against a stream that is given up though nobody may resume it."""

    def pausing(sock, raw):
        sock.sendall(stream_head(raw) + chunk(event(1)))
        sleep(STALL_TIME + SECOND / 4)
        sock.sendall(chunk(event(2)) + b"0\r\n\r\n")

    world = StreamWorld(pausing, pausing)
    assert world.ask(request(PATH, "r-5")).endswith(b"0\r\n\r\n")
    assert world.requests == 1


def start(world: StreamWorld, binding: StreamBinding | None):
    """Start an attempt of a stream."""
    traits = RequestTraits("r-1", is_stream=True, binding=binding)
    return world.starter.start(AttemptRequest("models", traits, (), "r-reports"))


def order_rollout(world: StreamWorld, state: RolloutState) -> None:
    world.rollouts.add_order(
        RolloutOrder("models", "v2", 20 * SECOND), 5, is_live=False
    )
    world.rollouts.apply_status(RolloutStatus("models", "v2", state), 6)


def test_a_stream_of_a_canary_goes_on_there_while_the_rollout_runs(world):
    """Guards against streams that end with the share of their version."""
    order_rollout(world, RolloutState.RUNNING)
    assert start(world, V2).record.name == "m-2"
    assert start(world, V1).record.name == "m-1"


@pytest.mark.parametrize("state", [RolloutState.ROLLED_BACK, None])
def test_a_stream_of_a_canary_does_not_go_on_where_it_may_be_rejected(world, state):
    """Guards against requests to a version that was rolled back."""
    if state is None:
        world.rollouts.add_order(
            RolloutOrder("models", "v2", 20 * SECOND), 5, is_live=False
        )
    else:
        order_rollout(world, state)
    assert start(world, V2) is None
    assert start(world, V1).record.name == "m-1"


def test_a_stream_goes_on_where_all_endpoints_of_its_version_fail(world):
    """Guards against a choice among unhealthy endpoints that forgets the version."""
    health = world.directory.health_of("models")
    for _ in range(40):
        health.observe("m-1", ok=False, now=CLOCK.elapsed(), weight=3)
    assert start(world, V1).record.name == "m-1"


def test_a_registration_that_changes_after_the_choice_stops_the_send(world):
    """Guards against an endpoint that restarts at another version after its choice."""
    attempt = start(world, V1)
    assert world.fleet.may_send(attempt)
    attempt.record.endpoint = Endpoint(
        "m-1", "models", world.first.address, "a", EndpointState.READY, version="v2"
    )
    assert not world.fleet.may_send(attempt)


def test_a_dispatcher_is_told_what_binds_the_stream():
    traits = RequestTraits("r-1", is_stream=True, binding=V1)
    asked = AssignmentRequest.of("g-1", 1, 7, "models", traits, ())
    received = ASSIGNMENT_REQUEST.decode(encode(asked)).traits
    assert received.binding == V1
    assert received.is_stream


class EarlierDispatcher:
    """A dispatcher that knows nothing of versions, as its gateway's client sees it."""

    dispatcher = "central"

    def __init__(self, endpoint: str) -> None:
        self._endpoint = endpoint
        self.ended: list[int] = []

    def next_number(self) -> int:
        """Return the number of each attempt."""
        return 7

    def request_assignment(self, *args) -> Assignment:
        """Return the endpoint that it always names."""
        return Assignment(self._endpoint)

    def add_attempt(self, number: int, take_over) -> None:
        """Do nothing."""

    def record_end(self, number: int, result, gap=None) -> None:
        """Record that an attempt has ended."""
        self.ended.append(number)


def test_an_endpoint_of_another_version_that_is_assigned_is_not_used(world):
    """Guards against a dispatcher of an earlier release, which ignores the version."""
    dispatcher = world.starter._client = EarlierDispatcher("m-2")
    assert start(world, V1).record.name == "m-1"
    assert dispatcher.ended == [7]
    assert start(world, V2).record.name == "m-2"


def test_no_stream_begins_at_a_version_that_is_not_registered(world):
    """Guards against streams whose version no restarted gateway could know."""
    world.fleet._eligibility._may_begin = lambda service, version: version == "v1"
    assert {start(world, None).record.name for _ in range(10)} == {"m-1"}
    world.starter._client = EarlierDispatcher("m-2")
    assert start(world, None).record.name == "m-1"


def test_cached_prompts_are_not_fetched_from_another_version(world):
    """Guards against a KV cache that another version has written."""
    record = world.directory.records["m-1"]
    names = [other.name for other in world.fleet._fetch_sources(record, {})]
    assert names == ["m-1"]


def returning_record(version: str = "v1") -> EndpointRecord:
    """Return an endpoint that may restart under its name."""
    endpoint = Endpoint(
        "m-1", "models", None, "a", EndpointState.READY, born=1, version=version
    )
    return EndpointRecord(endpoint, None)


def test_an_endpoint_that_may_have_restarted_has_no_known_version():
    """Guards against a registration that is older than the process at its address."""
    record = returning_record()
    record.doubt_version(9 * SECOND)
    assert record.known_version == ""
    record.confirm_version(9 * SECOND)
    assert record.known_version == ""
    record.confirm_version(9 * SECOND + RESTART_TIME)
    assert record.known_version == "v1"


def test_an_endpoint_that_never_returns_under_its_name_keeps_its_version():
    endpoint = Endpoint("m-1", "models", None, "a", EndpointState.READY, version="v1")
    record = EndpointRecord(endpoint, None)
    record.doubt_version(9 * SECOND)
    assert record.known_version == "v1"


def test_a_record_of_another_gateway_is_kept_here(world):
    """Guards against a later attempt that finds its holders killed."""
    row = StreamRow(stream_name("lab-a", "r-1"), "models", "v2", 3.0)
    world.streams.learn(row)
    assert world.take_up(resumes="r-1", last_event_id="1").endswith(b"0\r\n\r\n")
    assert len(world.second.requests) == 1


def test_requests_in_flight_are_counted_under_the_streams_service():
    """Guards against a gauge that drifts with each stream at another service."""
    split = [{"service": "models", "weight": 1}, {"service": "records", "weight": 99}]
    world = StreamWorld(service=None, split=split)
    world.record(V1)
    for _ in range(5):
        world.take_up(resumes="r-1", last_event_id="1")
    page = world.metrics.metrics_page().decode()
    gauges = [line for line in page.splitlines() if "in_flight{" in line]
    assert all(line.endswith(" 0.0") for line in gauges)
