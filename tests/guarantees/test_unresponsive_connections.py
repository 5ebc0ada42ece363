"""Open connections to endpoints stop responding for good while new ones work."""

import time
from collections import Counter

from standins.callers import (
    MODEL,
    PLAIN,
    Balancer,
    CallerPool,
    call,
    recomputed_tokens,
    start_fleet,
)
from standins.clients import Response
from standins.processes import EntryProcess

STREAMS = 12
LOOKUPS = 12
CALLERS = 6
BURST = 90
SILENCES = 200
ISSUE_SECONDS = 20.0


def test_streams_continue_when_their_connections_stop_responding():
    """A caller's stream hangs forever in the middle.

    A middlebox between entry and engine drops the state of every open connection; new
    ones work. The entry resumes the stream on a new connection to the same engine, so
    no token is computed twice.
    """
    with start_fleet(step_ms=40) as fleet, CallerPool(Balancer(fleet.entries)) as crowd:
        crowd.stream(STREAMS, tokens=100)
        crowd.wait_until_running()
        for engine in fleet.endpoints_of(MODEL):
            engine.set_faults(silence_connections=True)
        assert crowd.faults() == []
        assert recomputed_tokens(fleet) == 0


def test_new_streams_begin_when_pooled_connections_do_not_respond():
    """A caller's first token never arrives.

    The pooled connections to every engine stopped responding while idle, and the next
    requests are sent on them.
    """
    with start_fleet(step_ms=5) as fleet:
        with CallerPool(Balancer(fleet.entries)) as crowd:
            crowd.stream(STREAMS, tokens=5, prefix="before")
        for engine in fleet.endpoints_of(MODEL):
            engine.set_faults(silence_connections=True)
        with CallerPool(Balancer(fleet.entries)) as crowd:
            crowd.stream(STREAMS, tokens=20)
            assert crowd.faults() == []


def test_calls_survive_unresponsive_connections():
    """A caller gets no record, or two certificates with different numbers.

    All connections to the plain services stop responding under load. Lookups are
    resent on new connections and succeed. A request for a certificate is never resent:
    its caller gets the issued certificate or the outcome "unknown", and retries with
    the same key.
    """
    with start_fleet() as fleet:
        with CallerPool(Balancer(fleet.entries)) as crowd:
            warm = [crowd.submit(_look_up, crowd, n) for n in range(CALLERS)]
            assert [status for each in warm for status in each.result()] == [200] * (
                CALLERS * LOOKUPS
            )
            for service in fleet.endpoints_of(PLAIN):
                service.set_faults(silence_connections=True)
            lookups = [crowd.submit(_look_up, crowd, n) for n in range(CALLERS)]
            issues = [crowd.submit(_issue, crowd, n) for n in range(CALLERS)]
            time.sleep(0.05)
            for service in fleet.endpoints_of(PLAIN):
                service.set_faults(silence_connections=True)
            statuses = Counter(s for each in lookups for s in each.result())
            numbers = [each.result() for each in issues]
        assert statuses == {200: CALLERS * LOOKUPS}
        assert_issued_once(fleet, numbers)


def test_calls_survive_connections_that_stop_responding_repeatedly():
    """A caller gets two certificates with different numbers.

    Connections to the plain services stop responding every few milliseconds while
    certificates are requested. Some callers get the outcome "unknown", and some of
    these no certificate: their requests were sent on unresponsive connections.
    """
    with start_fleet() as fleet:
        with CallerPool(Balancer(fleet.entries)) as crowd:
            issues = [crowd.submit(_issue, crowd, n) for n in range(CALLERS)]
            for _ in range(SILENCES):
                time.sleep(0.002)
                for service in fleet.endpoints_of(PLAIN):
                    service.set_faults(silence_connections=True)
            numbers = [each.result() for each in issues]
        assert_issued_once(fleet, numbers)


def assert_issued_once(fleet, numbers: list[list[str]]) -> None:
    """Check that no certificate was issued twice, or returned without being issued.

    :param numbers: for each caller, the numbers returned through every entry.
    """
    keys = Counter(
        item["idempotency_key"]
        for item in fleet.executions(PLAIN)
        if item["idempotency_key"]
    )
    assert set(keys.values()) <= {1}
    assert all(len(set(returned)) <= 1 for returned in numbers)
    returned = {f"batch-{caller}" for caller, given in enumerate(numbers) if given}
    assert returned <= keys.keys()


def test_a_burst_of_calls_survives_unresponsive_connections():
    """Dozens of callers get no record at the same time.

    Each entry pools connections to each service. All of them stop responding, and the
    next burst of lookups is sent on them: more calls need a retry at once than the
    retry budget allows.
    """
    slow = {"delay_ms": 200}
    with (
        start_fleet(service_options=slow) as fleet,
        CallerPool(Balancer(fleet.entries)) as crowd,
    ):
        for round_number in range(2):
            burst = [
                crowd.submit(_look_up_once, crowd, f"{round_number}-{n}")
                for n in range(BURST)
            ]
            assert Counter(each.result() for each in burst) == {200: BURST}
            for service in fleet.endpoints_of(PLAIN):
                service.set_faults(silence_connections=True)


def _look_up_once(crowd: CallerPool, name: str) -> int:
    entry = crowd.balancer.entries[int(name[-1]) % len(crowd.balancer.entries)]
    return call(entry, "GET", f"/v1/services/records/lookups/{name}").status


def _look_up(crowd: CallerPool, caller: int) -> list[int]:
    statuses = []
    for number in range(LOOKUPS):
        entry = crowd.balancer.entries[number % len(crowd.balancer.entries)]
        path = f"/v1/services/records/lookups/{caller}-{number}"
        statuses.append(call(entry, "GET", path).status)
    return statuses


def _issue(crowd: CallerPool, caller: int) -> list[str]:
    """Request one certificate through every entry; return the numbers received."""
    numbers = []
    for entry in crowd.balancer.entries:
        answer = _issue_through(entry, caller)
        if answer.status < 300:
            numbers.append(answer.json()["number"])
    return numbers


def _issue_through(entry: EntryProcess, caller: int) -> Response:
    """Request a certificate, and retry for a while as long as the status is 503."""
    until = time.monotonic() + ISSUE_SECONDS
    while True:
        answer = call(
            entry,
            "POST",
            "/v1/services/records/certificates",
            {"batch": caller},
            Idempotency_Key=f"batch-{caller}",
        )
        if answer.status != 503 or time.monotonic() > until:
            return answer
        time.sleep(0.2)
