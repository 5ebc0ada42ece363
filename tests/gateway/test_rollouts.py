"""Which versions of a service's endpoints get requests."""

from datetime import timedelta

import pytest

from sassafrasdale.clock import ManualClock
from sassafrasdale.decisions.canary import latency_bucket
from sassafrasdale.decisions.rollouts import (
    RolloutOrder,
    RolloutState,
    RolloutStatus,
)
from sassafrasdale.deployment import EndpointState
from sassafrasdale.gateway.canary_reports import CanaryReport, rows_of, sum_reports
from sassafrasdale.gateway.groups import Group
from sassafrasdale.gateway.peer_states import ReceivedGroup
from sassafrasdale.gateway.rollout import DELISTING_TIME
from sassafrasdale.gateway.rollouts import ROTATION_PERIOD
from sassafrasdale.green import sleep, spawn
from standins.gateway_fleet import wait_for
from tests.gateway.fleets import contact, group_of, member
from tests.gateway.world import ScriptedEndpoint, World, request, respond_with

SECOND = timedelta(seconds=1)
ORDER = RolloutOrder("records", "v2", 20 * SECOND)
PATH = "/reports/open/1"
ENOUGH = 400


def status(state, target="v2"):
    return RolloutStatus("records", target, state)


class ServedWorld(World):
    """A gateway with two endpoints of each version."""

    def __init__(self, *new):
        super().__init__()
        self.old = [ScriptedEndpoint(respond_with()) for _ in range(2)]
        self.new = [ScriptedEndpoint(*(new or (respond_with(),))) for _ in range(2)]
        for number, endpoint in enumerate(self.old):
            self.add(f"i-{number}", "records", endpoint, "v1")

    def start_new(self):
        for number, endpoint in enumerate(self.new):
            self.add(f"n-{number}", "records", endpoint, "v2")

    def order(self, revision=5, order=ORDER, **fields):
        self.rollouts.add_order(order, revision, is_live=True, **fields)

    def set_status(self, state, revision=6):
        self.rollouts.apply_status(status(state), revision)

    def ask_repeatedly(self, count=ENOUGH):
        return [self.ask(request(PATH, f"r-{n}", method="GET")) for n in range(count)]

    @property
    def rollout(self):
        return self.rollouts.get("records")

    @property
    def sampled(self):
        return sum(len(endpoint.requests) for endpoint in self.new)


@pytest.fixture
def served():
    return ServedWorld()


def test_a_version_gets_nothing_before_its_rollout_runs(served):
    """Guards against a new gateway that sends to a version that was rolled back.

    The gateway has read the order, but not yet its status.
    """
    served.order()
    served.start_new()
    served.ask_repeatedly(60)
    assert served.sampled == 0


def test_a_canary_version_gets_its_share(served):
    served.order()
    served.set_status(RolloutState.RUNNING)
    served.start_new()
    responses = served.ask_repeatedly()
    assert 0 < served.sampled <= ENOUGH * 0.1
    assert all(response.startswith(b"HTTP/1.1 200") for response in responses)


def test_a_failed_canary_request_is_retried_at_the_baseline_version():
    """Guards against failures of a faulty version that reach callers."""
    served = ServedWorld(respond_with(status="500 Oops"))
    served.order()
    served.set_status(RolloutState.RUNNING)
    served.start_new()
    responses = served.ask_repeatedly()
    assert served.sampled > 0
    assert all(response.startswith(b"HTTP/1.1 200") for response in responses)


def test_a_rejected_version_gets_no_more_requests(served):
    """Guards against a gateway that applies its own verdict only via the store."""
    served.new = [ScriptedEndpoint(respond_with(status="500 Oops")) for _ in range(2)]
    served.order()
    served.set_status(RolloutState.RUNNING)
    served.start_new()
    for _ in range(8):
        served.ask_repeatedly(100)
        served.rollouts.receive_groups(())
    assert served.rollout.is_rejected
    before = served.sampled
    served.ask_repeatedly(100)
    assert served.sampled == before < 50


def test_a_version_rejected_by_another_gateway_gets_nothing(served):
    served.order()
    served.set_status(RolloutState.RUNNING)
    served.start_new()
    report = CanaryReport("records", 5, rejected=True)
    received = group_of(member("b-1", canary_reports=(report,)))
    served.rollouts.receive_groups([ReceivedGroup(received)])
    served.ask_repeatedly(100)
    assert served.sampled == 0


def test_the_full_share_outlasts_the_leader_that_began_it(served):
    """Guards against a next leader that begins it anew, beyond the deadline."""
    served.order()
    served.set_status(RolloutState.RUNNING)
    served.start_new()
    assert served.rollouts.view(served.rollout).full_share_for is None
    report = CanaryReport("records", 5, is_full_share=True)
    received = group_of(member("b-1", canary_reports=(report,)))
    served.rollouts.receive_groups([ReceivedGroup(received)])
    served.rollouts.receive_groups(())
    assert served.rollouts.view(served.rollout).full_share_for is not None
    [reported] = served.rollouts.canary_reports()
    assert reported.is_full_share


def test_a_gateway_that_starts_anew_knows_how_long_the_full_share_has_lasted(served):
    """Guards against a next leader that has just started and completes too late.

    It acquires the lease before it has heard of the full share.
    """
    served.order()
    served.set_status(RolloutState.RUNNING)
    served.start_new()
    served.rollouts.start_full_share(served.rollout)
    for lasted in (30.0, 20.0):
        report = CanaryReport("records", 5, is_full_share=True, full_share_s=lasted)
        received = group_of(member("b-1", canary_reports=(report,)))
        served.rollouts.receive_groups([ReceivedGroup(received)])
    known = served.rollouts.view(served.rollout).full_share_for
    assert 30 * SECOND <= known < 31 * SECOND
    [reported] = served.rollouts.canary_reports()
    assert 30 <= reported.full_share_s < 31


def test_the_longest_full_share_of_several_reports_counts():
    """Guards against a sum that hides since when the full share has lasted."""
    reports = (
        CanaryReport("records", 5, is_full_share=True, full_share_s=lasted)
        for lasted in (0.0, 3.0, 2.0)
    )
    [total] = sum_reports(reports)
    assert total.full_share_s == 3.0


def test_a_report_on_another_order_rejects_nothing(served):
    """Guards against a verdict on the first order that rejects the second."""
    served.order(revision=9)
    served.set_status(RolloutState.RUNNING, 10)
    report = CanaryReport("records", 5, rejected=True)
    served.rollouts.receive_groups(
        [ReceivedGroup(group_of(member("b-1", canary_reports=(report,))))]
    )
    assert served.rollout.state == "running"


def test_a_version_that_was_rolled_back_gets_nothing(served):
    """Guards against requests to it while no other endpoint is listed."""
    served.order()
    served.set_status(RolloutState.ROLLED_BACK)
    served.start_new()
    for number in range(2):
        served.directory.remove(f"i-{number}")
    [response] = served.ask_repeatedly(1)
    assert response.startswith(b"HTTP/1.1 503")
    assert served.sampled == 0


def test_a_version_whose_order_is_withdrawn_gets_nothing(served):
    """Guards against a faulty version that gets all requests without its order."""
    served.order()
    served.set_status(RolloutState.RUNNING)
    served.start_new()
    served.rollouts.withdraw_order("records")
    served.ask_repeatedly(60)
    assert served.sampled == 0


def test_after_completion_only_the_new_version_gets_requests(served):
    """Guards against requests to stopped endpoints that are still listed."""
    served.order()
    served.set_status(RolloutState.RUNNING)
    served.start_new()
    served.set_status(RolloutState.COMPLETE, 7)
    served.ask_repeatedly(20)
    assert served.sampled == 20


def test_a_later_release_is_not_blocked_by_an_old_order(served):
    """Guards against a version without requests long after another's rollout."""
    clock = ManualClock()
    served.rollouts._clock = clock
    served.order()
    served.set_status(RolloutState.COMPLETE)
    served.start_new()
    records = served.directory.of_service("records")
    assert len(served.rollouts.usable("records", records)) == 2
    clock.advance(DELISTING_TIME + SECOND)
    assert served.rollouts.usable("records", records) == records


def test_the_baseline_version_still_gets_requests(served):
    """Guards against a service left without endpoints by an order for its version."""
    served.order(order=RolloutOrder("records", "v1", 20 * SECOND))
    [response] = served.ask_repeatedly(1)
    assert response.startswith(b"HTTP/1.1 200")
    assert served.rollouts.view(served.rollout).in_force


def test_endpoints_listed_at_a_start_do_not_define_the_baseline_version(served):
    """Guards against a gateway that starts while only new endpoints are listed."""
    for number in range(2):
        served.directory.remove(f"i-{number}")
    served.start_new()
    served.rollouts.add_order(ORDER, 5, is_live=False)
    assert not served.rollouts.view(served.rollout).in_force
    [response] = served.ask_repeatedly(1)
    assert response.startswith(b"HTTP/1.1 503")


def test_the_status_of_an_earlier_order_is_ignored(served):
    """Guards against a second order that counts as completed or rolled back."""
    served.order()
    served.set_status(RolloutState.ROLLED_BACK, 6)
    served.order(revision=8)
    assert served.rollout.state == "ordered"
    served.rollouts.apply_status(status(RolloutState.COMPLETE, "v1"), 9)
    assert served.rollout.state == "ordered"
    served.set_status(RolloutState.RUNNING, 10)
    assert served.rollout.state == "running"


def test_an_older_order_changes_nothing(served):
    served.order(revision=8)
    served.order(revision=5, order=RolloutOrder("records", "v3", SECOND))
    assert served.rollout.order.target == "v2"


def test_the_sample_rotates_over_all_new_endpoints(served):
    """Guards against a verdict on a version from one faulty endpoint."""
    served.order()
    served.set_status(RolloutState.RUNNING)
    served.start_new()
    records = served.directory.of_service("records")
    served.rollout.allowance.may_try = lambda route, *, full: True
    sampled = set()
    for number in range(4):
        seconds = number * ROTATION_PERIOD.total_seconds()
        served.rollouts._time = type("Time", (), {"seconds": seconds})
        sampled |= {rec.name for rec in served.rollouts.sample("records", "r", records)}
    assert sampled == {"n-0", "n-1"}


def test_an_endpoint_that_leaves_is_not_sampled(served):
    served.order()
    served.set_status(RolloutState.RUNNING)
    served.start_new()
    for record in served.directory.records.values():
        if record.endpoint.version == "v2":
            assert record.endpoint.state is EndpointState.READY
    for number in range(2):
        served.directory.remove(f"n-{number}")
        served.directory.drop_expired()
    served.rollout.allowance.may_try = lambda route, *, full: True
    records = [rec for rec in served.directory.of_service("records") if rec.is_ready]
    assert served.rollouts.sample("records", "r", records) == ()


def test_counts_are_summed_over_gateways(served):
    served.order()
    served.set_status(RolloutState.RUNNING)
    served.start_new()
    served.ask_repeatedly(200)
    [report] = served.rollouts.canary_reports()
    total = group_of(
        member("a-1", canary_reports=(report,)), member("a-2", canary_reports=(report,))
    )
    [summed] = total.canary_reports
    assert sum(row.answered for row in summed.rows) == 2 * sum(
        row.answered for row in rows_of(served.rollout.table)
    )
    assert contact("a-1").name == total.aggregator.name


def test_requests_abandoned_by_their_callers_count_as_slow():
    """Guards against a version so slow that all callers leave before it responds."""
    served = ServedWorld(lambda sock, _request: sock.recv(100))
    served.order()
    served.set_status(RolloutState.RUNNING)
    served.start_new()
    served.rollout.allowance.may_try = lambda route, *, full: True
    caller = served.caller()
    caller.send(request(PATH, method="GET"))
    wait_for(lambda: served.sampled, "it was not sent")
    sleep(SECOND / 4)
    caller.close()
    wait_for(lambda: served.rollout.table, "no outcome was recorded")
    [outcomes] = served.rollout.table.values()
    assert min(outcomes.times) >= latency_bucket(SECOND / 4)


def test_members_get_reports_without_rows(served):
    """Guards against sending all counts to each gateway of a zone."""
    served.order()
    served.set_status(RolloutState.RUNNING)
    served.start_new()
    served.ask_repeatedly(60)
    group = Group(5 * SECOND, ManualClock())
    group.record_report(member("a-2", canary_reports=served.rollouts.canary_reports()))
    [report] = group.totals(contact("a-1"), concise=True).canary_reports
    assert report.rows == ()
    assert report.order == 5


def test_waiting_for_an_order_blocks_while_none_is_open(served):
    """Guards against a task that polls for ever after the first rollout."""
    wakeups = []
    spawn(lambda: (served.rollouts.wait_for_order(), wakeups.append(1)))
    sleep()
    assert not wakeups
    served.order()
    sleep()
    assert wakeups == [1]
    served.set_status(RolloutState.ROLLED_BACK)
    spawn(lambda: (served.rollouts.wait_for_order(), wakeups.append(2)))
    sleep()
    assert wakeups == [1]
    served.order(revision=8)
    sleep()
    assert wakeups == [1, 2]


def test_nothing_is_reported_while_no_rollout_is_open(served):
    """Guards against messages that stay larger after the first rollout."""
    assert served.rollouts.canary_reports() == ()
    served.order()
    assert len(served.rollouts.canary_reports()) == 1
    served.set_status(RolloutState.COMPLETE)
    assert served.rollouts.canary_reports() == ()


@pytest.mark.parametrize("close", ["backoff", "limit", "leave"])
def test_a_canary_version_that_takes_nothing_now_costs_no_request(served, close):
    """Guards against requests that are sampled and then have nowhere to go."""
    served.order()
    served.set_status(RolloutState.RUNNING)
    served.start_new()
    served.rollout.allowance.may_try = lambda route, *, full: True
    for name in ("n-0", "n-1"):
        match close:
            case "backoff":
                served.gate.backoffs.begin(name, 30 * SECOND)
            case "limit":
                served.limits.set(name, 0.0, "response")
            case _:
                served.gate.departures.set(name, True, "response")
    responses = served.ask_repeatedly(40)
    assert served.sampled == 0
    assert all(response.startswith(b"HTTP/1.1 200") for response in responses)


def test_a_refusal_that_asks_for_backoff_is_no_failure_of_the_version():
    """Guards against a good version that is rejected because it is busy."""
    busy = respond_with(status="503 Full", extra="Not-Run: 1\r\nRetry-After: 30\r\n")
    served = ServedWorld(busy)
    served.order()
    served.set_status(RolloutState.RUNNING)
    served.start_new()
    served.rollout.allowance.may_try = lambda route, *, full: True
    responses = served.ask_repeatedly(40)
    assert 0 < served.sampled <= 2
    assert all(response.startswith(b"HTTP/1.1 200") for response in responses)
    failed = [row.failed for row in rows_of(served.rollout.table)]
    assert sum(failed) == 0
