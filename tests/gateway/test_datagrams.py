"""Attempt reports that gateways send as datagrams."""

from dataclasses import dataclass, field
from datetime import timedelta

import pytest
from logbook import TestHandler as LogRecorder

from sassafrasdale.gateway.datagrams import MAX_DATAGRAM_BYTES, ReportDatagrams
from sassafrasdale.gateway.dispatcher_messages import (
    AttemptEnded,
    AttemptReport,
    AttemptResult,
)
from sassafrasdale.green import datagram_socket, sleep, spawn
from sassafrasdale.structures import Address
from tests.gateway.fleets import contact

ENDED = AttemptEnded(7, AttemptResult.SUCCEEDED)
REPORT = AttemptReport("g-1", 1, (), (ENDED,))
LOOPBACK = Address("127.0.0.1", 0)


@dataclass
class Receiver:
    """A dispatcher that receives datagrams at a port."""

    port: int = 0
    reports: list[AttemptReport] = field(default_factory=list)

    def __post_init__(self) -> None:
        probe = datagram_socket(LOOPBACK)
        self.port = probe.getsockname()[1]
        probe.close()
        address = Address("127.0.0.1", self.port)
        datagrams = ReportDatagrams(address, self.reports.append)
        assert datagrams.open()
        self.task = spawn(datagrams.run)


@pytest.fixture
def receiver():
    receiver = Receiver()
    yield receiver
    receiver.task.kill()


@pytest.fixture
def sender():
    """Return a gateway whose socket is open."""
    sender = ReportDatagrams(LOOPBACK, lambda report: None)
    assert sender.open()
    return sender


def dispatcher(receiver: Receiver, *, takes_datagrams: bool = True):
    own = contact("central", takes_datagrams=takes_datagrams)
    return type(own)(
        own.name,
        own.zone,
        own.host,
        receiver.port,
        own.incarnation,
        takes_datagrams=takes_datagrams,
    )


def test_a_report_arrives(sender, receiver):
    assert sender.send(dispatcher(receiver), REPORT)
    sleep(timedelta(milliseconds=50))
    assert receiver.reports == [REPORT]


def test_a_dispatcher_of_an_earlier_version_gets_none(sender, receiver):
    """Guards against reports that nobody reads while versions are mixed."""
    assert not sender.send(dispatcher(receiver, takes_datagrams=False), REPORT)


def test_a_report_that_is_too_long_is_sent_in_another_way(sender, receiver):
    """Guards against datagrams that networks drop."""
    long = AttemptReport("g-1", 1, (), (ENDED,) * MAX_DATAGRAM_BYTES)
    assert not sender.send(dispatcher(receiver), long)


def test_a_port_that_is_taken_is_no_error(receiver):
    """Guards against a gateway that says it takes datagrams that it never receives."""
    datagrams = ReportDatagrams(Address("127.0.0.1", receiver.port), print)
    assert not datagrams.open()
    assert not datagrams.send(dispatcher(receiver), REPORT)


def test_a_malformed_datagram_is_dropped(sender, receiver):
    """Guards against a task that any stray datagram ends."""
    stray = datagram_socket(LOOPBACK)
    stray.sendto(b"\xff\x00", ("127.0.0.1", receiver.port))
    sleep(timedelta(milliseconds=20))
    assert sender.send(dispatcher(receiver), REPORT)
    sleep(timedelta(milliseconds=50))
    assert receiver.reports == [REPORT]


def test_malformed_datagrams_fill_no_log(sender, receiver):
    """Guards against a line of the log for each of very many stray datagrams."""
    stray = datagram_socket(LOOPBACK)
    with LogRecorder().applicationbound() as handler:
        for _ in range(50):
            stray.sendto(b"\xff\x00", ("127.0.0.1", receiver.port))
        sleep(timedelta(milliseconds=50))
    assert len([r for r in handler.records if r.channel == "datagrams"]) == 1
