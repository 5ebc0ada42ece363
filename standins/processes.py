"""Processes that tests and benchmarks start and signal by pid.

Usage::

    with PlatformProcess() as platform, EngineProcess("engine-1", "zone-a") as engine:
        platform.register(engine)
        engine.freeze()
"""

import json
import os
import queue
import random
import signal
import socket
import subprocess
import sys
import threading
import time
from collections import deque
from collections.abc import Mapping, Sequence
from datetime import timedelta
from pathlib import Path
from typing import IO, Any, Self

from urllib3.exceptions import HTTPError

from standins.clients import Client

ROOT = Path(__file__).resolve().parent.parent
START_LIMIT = timedelta(seconds=30)
END_LIMIT = timedelta(seconds=10)
READY_POLL = timedelta(milliseconds=50)
STDERR_LINES = 2000
LOOPBACK = "127.0.0.1"
PORTS = range(12_000, 32_000)
"""Ports below the kernel's range for outgoing connections."""

# Gateways receive datagrams at LOOPBACK, so ports are reserved at another address.
RESERVATION_HOST = "127.0.0.2"
# A datagram socket bound to each reserved port, so that other test processes see the
# reservation.
_reserved_ports: dict[int, socket.socket] = {}


class ProcessError(Exception):
    """A process did not start, or did not respond as expected."""


class ManagedProcess:
    """A process that runs a module of this repository.

    :param arguments: module and arguments after ``python -m``.
    :param environment: variables in addition to those of this process.
    """

    def __init__(
        self,
        arguments: Sequence[str],
        environment: Mapping[str, str] | None = None,
    ) -> None:
        self._arguments = list(arguments)
        self._environment = dict(environment or {})
        self._process: subprocess.Popen[bytes] | None = None
        self._stdout: queue.Queue[bytes] = queue.Queue()
        self._stderr: deque[bytes] = deque(maxlen=STDERR_LINES)

    def __enter__(self) -> Self:
        """Start the process and wait until it is ready."""
        self.launch()
        try:
            self.wait_until_ready()
        except BaseException:
            self.close()
            raise
        return self

    def __exit__(self, *_exception: object) -> None:
        """Kill the process."""
        self.close()

    @property
    def pid(self) -> int:
        """Process id."""
        return self._running().pid

    @property
    def stderr(self) -> str:
        """The last lines that the process wrote to standard error."""
        return b"".join(list(self._stderr)).decode("utf-8", "replace")

    @property
    def return_code(self) -> int | None:
        """Return code of the process, or None while it runs."""
        return self._running().poll()

    def launch(self) -> None:
        """Start the process without waiting for it."""
        self._process = subprocess.Popen(
            [sys.executable, "-m", *self._arguments],
            cwd=ROOT,
            env={**os.environ, **self._environment},
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
        )
        _drain(self._process.stdout, self._stdout.put)
        _drain(self._process.stderr, self._stderr.append)

    def wait_until_ready(self) -> None:
        """Wait until the process is ready; by default do nothing."""

    def read_line(self, limit: timedelta = START_LIMIT) -> bytes:
        """Return the next line of standard output.

        :raises ProcessError: if there is none in time.
        """
        deadline = time.monotonic() + limit.total_seconds()
        while time.monotonic() < deadline:
            try:
                return self._stdout.get(timeout=READY_POLL.total_seconds())
            except queue.Empty:
                if self.return_code is not None:
                    break
        raise ProcessError(f"{self._arguments}: no line of output\n{self.stderr}")

    def kill(self) -> None:
        """Send SIGKILL and wait for the process to end."""
        self._running().kill()
        self._running().wait(END_LIMIT.total_seconds())

    def terminate(self, limit: timedelta = END_LIMIT) -> int:
        """Send SIGTERM and return the return code.

        :raises subprocess.TimeoutExpired: if the process still runs after ``limit``.
        """
        self._running().terminate()
        return self._running().wait(limit.total_seconds())

    def freeze(self) -> None:
        """Send SIGSTOP; the process's sockets stay open."""
        self._running().send_signal(signal.SIGSTOP)

    def thaw(self) -> None:
        """Send SIGCONT to a frozen process."""
        self._running().send_signal(signal.SIGCONT)

    def close(self) -> None:
        """Kill the process if it still runs, and close its pipes."""
        if self._process is None:
            return
        if self._process.poll() is None:
            self.kill()
        for pipe in (self._process.stdin, self._process.stdout, self._process.stderr):
            if pipe is not None:
                pipe.close()

    def _running(self) -> subprocess.Popen[bytes]:
        if self._process is None:
            raise ProcessError(f"{self._arguments} was not started")
        return self._process


class StandInProcess(ManagedProcess):
    """A stand-in, which prints its addresses and accepts faults.

    :param module: module in ``standins``.
    :param flags: command-line options.
    """

    def __init__(self, module: str, **flags: Any) -> None:
        super().__init__([f"standins.{module}", "--until-stdin-closes", *_flags(flags)])
        self.addresses: dict[str, str] = {}

    def wait_until_ready(self) -> None:
        """Wait until the process has printed its bound addresses."""
        self.addresses = json.loads(self.read_line())
        self.client = Client(next(iter(self.addresses.values())))

    def control(self, method: str, path: str, body: Any = None) -> Any:
        """Make a control call and return the JSON of the response.

        :raises ProcessError: if the stand-in responds with an error.
        """
        response = self.client.call(method, f"/standin/{path}", body)
        if response.status >= 300:
            raise ProcessError(f"{path}: {response.status} {response.data!r}")
        return response.json()

    def set_faults(self, **faults: Any) -> None:
        """Set faults; see the stand-in's module for their names."""
        self.control("POST", "faults", faults)

    def counts(self) -> dict[str, Any]:
        """Return the counts of the stand-in."""
        return self.control("GET", "counts")


class PlatformProcess(StandInProcess):
    """The platform: store and cloud API."""

    def __init__(self) -> None:
        super().__init__("platform", store=f"{LOOPBACK}:0", cloud=f"{LOOPBACK}:0")

    @property
    def store(self) -> str:
        """Address of the store."""
        return self.addresses["store"]

    @property
    def cloud(self) -> str:
        """Address of the cloud API."""
        return self.addresses["cloud"]

    def register(self, process: "EndpointProcess | EntryProcess") -> None:
        """Add a process to the instance list."""
        self.control("POST", "instances", process.instance())

    def remove(self, name: str) -> None:
        """Remove an instance from the instance list."""
        self.control("DELETE", f"instances/{name}")

    def give_notice(self, instance: str, seconds: float, times: int = 1) -> None:
        """Send the notice that an instance is reclaimed in ``seconds``."""
        self.control(
            "POST",
            "notices",
            {"instance": instance, "seconds": seconds, "times": times},
        )

    def reclaim_zone(self, zone: str, seconds: float) -> list[str]:
        """Send notices for the instances of a zone; return their names."""
        body = {"state": "reclaimed", "seconds": seconds}
        notices = self.control("POST", f"zones/{zone}", body)["notices"]
        return [notice["instance"] for notice in notices]

    def give_back_zone(self, zone: str) -> None:
        """Allow starts in a reclaimed zone again."""
        self.control("POST", f"zones/{zone}", {"state": "given_back"})


class EndpointProcess(StandInProcess):
    """An endpoint: a model engine or a plain service.

    :param instance_class: class of the instance at the platform.
    :param reclaimable: whether the platform may reclaim the instance.
    """

    def __init__(
        self,
        module: str,
        name: str,
        zone: str,
        service: str,
        *,
        instance_class: str = "",
        reclaimable: bool = True,
        checks_fencing: bool = False,
        **flags: Any,
    ) -> None:
        super().__init__(module, name=name, **flags)
        self.name = name
        self.zone = zone
        self.service = service
        self._instance_class = instance_class
        self._reclaimable = reclaimable
        self._checks_fencing = checks_fencing

    @property
    def address(self) -> str:
        """Address of the endpoint's API."""
        return self.addresses["address"]

    def instance(self) -> dict[str, Any]:
        """Return the endpoint's item in the instance list."""
        return {
            "name": self.name,
            "role": "endpoint",
            "availability_zone": self.zone,
            "address": self.address,
            "service": self.service,
            "instance_class": self._instance_class,
            "reclaimable": self._reclaimable,
            "checks_fencing": self._checks_fencing,
        }

    def executions(self) -> list[dict[str, Any]]:
        """Return the requests that the endpoint executed, in order."""
        return self.control("GET", "log")["executions"]


class EngineProcess(EndpointProcess):
    """A model engine."""

    def __init__(
        self, name: str, zone: str = "", service: str = "model", **options: Any
    ) -> None:
        if options.get("checks_fencing"):
            options["fencing"] = True
        super().__init__("engine", name, zone, service, **options)


class ServiceProcess(EndpointProcess):
    """A plain service."""

    def __init__(
        self, name: str, zone: str = "", service: str = "records", **options: Any
    ) -> None:
        super().__init__("service", name, zone, service, **options)


class EntryProcess(ManagedProcess):
    """An entry of sassafrasdale.

    :param flags: further options of ``sassafrasdale entry``.
    """

    def __init__(
        self, name: str, zone: str, store: str, cloud: str, **flags: Any
    ) -> None:
        self.name = name
        self.zone = zone
        self.address = f"{LOOPBACK}:{free_port()}"
        self.peer_address = f"{LOOPBACK}:{free_port()}"
        self.client = Client(self.address)
        options = {
            "name": name,
            "availability_zone": zone,
            "address": self.address,
            "peer_address": self.peer_address,
            "store": store,
            "cloud": cloud,
            **flags,
        }
        super().__init__(["sassafrasdale", "entry", *_flags(options)])

    def instance(self) -> dict[str, Any]:
        """Return the entry's item in the instance list."""
        return {
            "name": self.name,
            "role": "entry",
            "availability_zone": self.zone,
            "address": self.address,
            "peer_address": self.peer_address,
        }

    def wait_until_ready(self) -> None:
        """Wait until the entry reports that it is ready.

        :raises ProcessError: if it doesn't in time.
        """
        self.wait_for("/health/ready")

    def wait_until_live(self) -> None:
        """Wait until the entry serves its health check, ready or not.

        :raises ProcessError: if it doesn't in time.
        """
        self.wait_for("/health/live")

    def wait_for(self, path: str, limit: timedelta = START_LIMIT) -> None:
        """Wait until ``path`` returns 200.

        :raises ProcessError: if it doesn't in time.
        """
        deadline = time.monotonic() + limit.total_seconds()
        while time.monotonic() < deadline and self.return_code is None:
            try:
                if self.client.call("GET", path).status == 200:
                    return
            except HTTPError:
                pass
            time.sleep(READY_POLL.total_seconds())
        raise ProcessError(f"{self.name}: {path} did not return 200\n{self.stderr}")


def start_entry(
    name: str, zone: str, store: str, cloud: str, **flags: Any
) -> EntryProcess:
    """Start an entry and wait until it is ready; the caller closes it."""
    entry = EntryProcess(name, zone, store, cloud, **flags)
    entry.__enter__()
    return entry


def free_port() -> int:
    """Reserve a port that nothing listens on and no other process has reserved."""
    while True:
        port = random.choice(PORTS)
        reserved = _bound(RESERVATION_HOST, port, socket.SOCK_DGRAM)
        if reserved is None:
            continue
        probe = _bound(LOOPBACK, port, socket.SOCK_STREAM)
        if probe is None:
            reserved.close()
            continue
        probe.close()
        _reserved_ports[port] = reserved
        return port


def _bound(host: str, port: int, kind: socket.SocketKind) -> socket.socket | None:
    sock = socket.socket(type=kind)
    try:
        sock.bind((host, port))
    except OSError:
        sock.close()
        return None
    return sock


def _flags(options: Mapping[str, Any]) -> list[str]:
    flags = []
    for name, value in options.items():
        flag = "--" + name.replace("_", "-")
        if value is True:
            flags.append(flag)
        elif value is not None and value is not False:
            flags.extend([flag, str(value)])
    return flags


def _drain(pipe: IO[bytes], take: Any) -> None:
    def read() -> None:
        try:
            for line in pipe:
                take(line)
        except ValueError:
            return

    threading.Thread(target=read, daemon=True).start()
