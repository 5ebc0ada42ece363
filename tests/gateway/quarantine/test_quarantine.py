"""Quarantine of requests that crash endpoints, at one gateway."""

import socket
from datetime import timedelta

import pytest

from sassafrasdale.clock import SystemClock
from sassafrasdale.decisions.quarantine import StrikeLedger
from sassafrasdale.deployment import Endpoint, EndpointState, PromptPart
from sassafrasdale.gateway.directory import Directory
from sassafrasdale.gateway.quarantine.fingerprints import (
    RequestFeatures,
    fingerprint_of,
)
from sassafrasdale.gateway.quarantine.quarantine import RequestQuarantine
from sassafrasdale.gateway.quarantine.soundness import RunProgress, SoundParts
from sassafrasdale.gateway.quarantine.trials import Trials
from sassafrasdale.gateway.usage import ClusterTime
from sassafrasdale.green import sleep
from sassafrasdale.http.messages import Request
from sassafrasdale.structures import Address
from tests.coordination.fakes import FakeStore
from tests.decisions.test_quarantine import strike
from tests.http.wires import serve_raw

CLOCK = SystemClock()
CRASHING = Request("POST", "/reports/7", (("host", "labs.example"),), b"crash")
FINGERPRINT = fingerprint_of(CRASHING, "lab-a")
FEATURES = RequestFeatures(FINGERPRINT)


class Gateway:
    """One gateway's quarantine and directory.

    :param is_overload: whether crashes are due to requests that endpoints rejected.
    """

    def __init__(self, *, is_overload: bool = False) -> None:
        self.events: list[str] = []
        time = ClusterTime(CLOCK)
        self.sound_parts = SoundParts(CLOCK)
        self.ledger = StrikeLedger(
            now=lambda: time.seconds, is_sound=self.sound_parts.is_sound
        )
        self.store = FakeStore(CLOCK)
        self.trials = Trials(self.store, time, CLOCK)
        self.quarantine = RequestQuarantine(
            "g-1",
            self.ledger,
            self.sound_parts,
            self.trials,
            time,
            CLOCK,
            self.events.append,
            is_overload=lambda endpoint, at: is_overload,
        )
        self.directory = Directory(
            CLOCK,
            None,
            timedelta(seconds=2),
            on_restart=self.quarantine.record_crash,
            on_expiry=self.quarantine.handle_expiry,
        )

    def register(self, address: Address, name: str = "i-1", **fields):
        self.directory.put(
            Endpoint(name, "models", address, "a", EndpointState.READY, **fields)
        )
        return self.directory.records[name]

    def verdict(self, request: Request = CRASHING, *parts: str):
        records = self.directory.of_service("models")
        prompt = [PromptPart(part, 100) for part in parts]
        return self.quarantine.check(request, "lab-a", prompt, records)


@pytest.fixture
def gateway():
    return Gateway()


def now() -> float:
    return CLOCK.now().timestamp()


def refusing_address() -> Address:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        return Address(*listener.getsockname())


def accepting_address() -> Address:
    return serve_raw(lambda sock: sock.recv(1))


def test_crashes_are_strikes_against_running_requests(gateway):
    for number in range(3):
        assert not gateway.verdict().is_refused
        record = gateway.register(refusing_address(), f"i-{number}")
        assert gateway.quarantine.record_lost_connection(
            FEATURES, record, RunProgress(), registered=True
        )
    assert gateway.verdict().is_refused
    assert gateway.verdict().fingerprint == FINGERPRINT
    assert gateway.events.count("endpoint ended under a request") == 3
    assert gateway.events.count("request quarantined") == 1


def test_a_crash_of_an_overloaded_endpoint_is_no_strike():
    """Guards against refusing what ran at endpoints that fail by rejecting others."""
    gateway = Gateway(is_overload=True)
    for number in range(3):
        record = gateway.register(refusing_address(), f"i-{number}")
        assert gateway.quarantine.record_lost_connection(
            FEATURES, record, RunProgress(), registered=True
        )
    assert not gateway.verdict().is_refused
    assert gateway.events == ["endpoint overloaded under a request"] * 3


def test_a_reset_connection_is_no_strike(gateway):
    """Guards against refusing innocent requests whose connections are reset or cut."""
    record = gateway.register(accepting_address(), born=1)
    for _ in range(10):
        assert not gateway.quarantine.record_lost_connection(
            FEATURES, record, RunProgress(), registered=True
        )
    assert len(gateway.ledger) == 0


def test_the_stop_of_a_leaving_endpoint_is_no_strike(gateway):
    """Guards against refusing requests that ran at endpoints that were reclaimed."""
    for number in range(5):
        record = gateway.register(refusing_address(), f"i-{number}")
        assert gateway.quarantine.record_lost_connection(
            FEATURES, record, RunProgress(), registered=False
        )
    assert len(gateway.ledger) == 0


def test_a_quick_restart_counts_as_a_crash(gateway):
    """Guards against missing a crash if the endpoint restarts quickly."""
    address = accepting_address()
    record = gateway.register(address, born=1)
    assert not gateway.quarantine.record_lost_connection(
        FEATURES, record, RunProgress(), registered=True
    )
    gateway.register(address, born=2)
    assert len(gateway.ledger.open_strikes(FINGERPRINT)) == 1
    gateway.register(address, born=3)
    assert len(gateway.ledger.open_strikes(FINGERPRINT)) == 1


@pytest.mark.parametrize("is_alive", [True, False])
def test_an_expired_registration_after_a_lost_connection_is_probed(gateway, is_alive):
    """Guards against missing a crash that the first probe did not show."""
    listener = socket.create_server(("127.0.0.1", 0))
    record = gateway.register(Address(*listener.getsockname()))
    assert not gateway.quarantine.record_lost_connection(
        FEATURES, record, RunProgress(), registered=True
    )
    if not is_alive:
        listener.close()
    gateway.directory.remove(record.name)
    sleep(timedelta(milliseconds=100))
    assert len(gateway.ledger.open_strikes(FINGERPRINT)) == (0 if is_alive else 1)
    listener.close()


def test_another_request_is_not_refused(gateway):
    for crash in range(3):
        gateway.ledger.add(strike(FINGERPRINT, crash, at=now()))
    other = Request("POST", "/reports/7", CRASHING.headers, b"cube 8")
    assert gateway.verdict().is_refused
    assert not gateway.verdict(other).is_refused


def test_a_successful_attempt_clears_the_strikes(gateway):
    """Guards against refusing a frequent request for crashes with other causes."""
    for crash in range(2):
        gateway.ledger.add(strike(FINGERPRINT, crash, at=now()))
    gateway.quarantine.record_success(CRASHING, "lab-a", ())
    gateway.ledger.add(strike(FINGERPRINT, 2, at=now()))
    assert not gateway.verdict().is_refused


def test_a_new_version_gets_one_trial_and_the_old_one_none(gateway):
    """Guards against refusals for good, and against more crashes of old versions."""
    old = gateway.register(accepting_address(), "i-old", version="v1")
    for crash in range(3):
        gateway.ledger.add(strike(FINGERPRINT, crash, at=now() - 100))
    assert gateway.verdict().is_refused
    gateway.register(accepting_address(), "i-new", version="v2")
    verdict = gateway.verdict()
    assert not verdict.is_refused
    assert verdict.avoided == {old.name}
    assert gateway.verdict().is_refused


def test_an_operator_can_list_and_release_requests(gateway):
    for crash in range(3):
        gateway.ledger.add(strike(FINGERPRINT, crash, at=now()))
    gateway.quarantine.log_changes()
    shown = gateway.quarantine.describe()
    assert [(row["fingerprint"], row["quarantined"]) for row in shown] == [
        (FINGERPRINT, True)
    ]
    assert {crash["endpoint"] for crash in shown[0]["ends"]} == {"i-0", "i-1", "i-2"}
    assert gateway.quarantine.release(FINGERPRINT)
    assert not gateway.quarantine.release(FINGERPRINT)
    assert not gateway.verdict().is_refused
    assert gateway.quarantine.describe() == []
