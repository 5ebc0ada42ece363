"""Tests of starting and stopping processes."""

import os
import subprocess
import sys

import pytest
from urllib3.exceptions import HTTPError

from standins.clients import Client
from standins.processes import (
    ManagedProcess,
    ProcessError,
    ServiceProcess,
    free_port,
)


def is_alive(pid: int) -> bool:
    try:
        os.kill(pid, 0)
    except ProcessLookupError:
        return False
    return True


def test_a_port_is_reserved_by_one_process_only():
    """Guards against concurrent test runs that choose the same port."""
    own, other = free_port(), 11_987
    code = (
        "from standins import processes;"
        f"processes.PORTS = [{own}] * 99 + [{other}];"
        "print(processes.free_port())"
    )
    result = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    )
    assert int(result.stdout) == other


def test_a_process_ends_with_its_block():
    with ServiceProcess("service-1") as service:
        pid = service.pid
        assert is_alive(pid)
        service.freeze()
    assert not is_alive(pid)


def test_a_killed_process_does_not_respond():
    with ServiceProcess("service-1") as service:
        service.kill()
        with pytest.raises(HTTPError):
            Client(service.address).call("GET", "/health")


def test_a_process_that_fails_to_start_shows_its_error():
    process = ServiceProcess("service-1", no_such_flag=1)
    with pytest.raises(ProcessError, match="no-such-flag"):
        process.__enter__()


def test_a_stand_in_ends_with_the_process_that_started_it():
    with ServiceProcess("service-1") as service:
        service._process.stdin.close()
        assert service._process.wait(5) == 0


def test_a_process_that_ends_without_output_is_an_error():
    with ManagedProcess(["keyword"]) as process, pytest.raises(ProcessError):
        process.read_line()
