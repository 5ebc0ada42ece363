"""Gateways as real processes, on stand-ins for the platform's services."""

import json
import os
import signal
import subprocess
import sys
import tempfile
from collections.abc import Callable, Sequence
from datetime import timedelta
from pathlib import Path

from sassafrasdale.clock import SystemClock
from sassafrasdale.green import connect, sleep
from sassafrasdale.structures import Address
from standins.duty_calls import DutyCalls
from standins.endpoint_links import EndpointLinks
from standins.gateway_endpoints import Defect, StandInEndpoint
from standins.kv_store import KvStore
from standins.processes import free_port

LOOPBACK = "127.0.0.1"
POLL = timedelta(milliseconds=20)
LIMIT = timedelta(seconds=10)
# Interpreter arguments that run the gateway program.
GATEWAY = ("-m", "sassafrasdale")
AddressMapper = Callable[[Address], Address]


def direct(own: Address) -> Address:
    """Return the address itself: there is no proxy."""
    return own


class GatewayProcess:
    """The process of one gateway.

    :param name: name of its instance.
    :param settings: fields of its settings file; name, zone and addresses are added.
    :param program: interpreter arguments that run the program.
    """

    def __init__(
        self,
        name: str,
        zone: str,
        settings: dict,
        program: Sequence[str] = GATEWAY,
    ) -> None:
        self._program = program
        front, ready, peers, metrics = (free_port() for _ in range(4))
        self.name = name
        self.address = Address(LOOPBACK, front)
        self.ready_address = Address(LOOPBACK, ready)
        self.metrics_address = Address(LOOPBACK, metrics)
        self._fields = {
            **settings,
            "node": name,
            "zone": zone,
            "ip": LOOPBACK,
            "listen": {"front": str(self.address), "ready": str(self.ready_address)},
            "portRange": [peers, peers],
        }
        self._folder = tempfile.TemporaryDirectory()
        self._path = Path(self._folder.name) / "settings.json"
        self._log_path = Path(self._folder.name) / "log"
        self._process: subprocess.Popen | None = None

    def write_settings(self, **changed: object) -> None:
        """Write the settings file, with some fields replaced."""
        self._path.write_text(json.dumps({**self._fields, **changed}), "utf-8")

    def launch(self) -> None:
        """Start the process."""
        if not self._path.exists():
            self.write_settings()
        command = [sys.executable, *self._program, "gateway"]
        command += ["--metrics-port", str(self.metrics_address.port)]
        with self._log_path.open("ab") as log:
            self._process = subprocess.Popen(
                command,
                env={**os.environ, "SASSAFRASDALE_BOOT": str(self._path)},
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def wait_until_ready(self) -> None:
        """Wait until the readiness probe succeeds."""
        wait_for(lambda: self.is_ready(), f"{self.name} is not ready")

    def is_ready(self) -> bool:
        """Return whether the readiness probe succeeds."""
        answer = ask(self.ready_address, b"GET /v1/ready HTTP/1.1\r\nHost: h\r\n\r\n")
        return answer.startswith(b"HTTP/1.1 200")

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        self._process.send_signal(number)

    def exit_code(self) -> int | None:
        """Return the exit code, or None while the process runs."""
        return self._process.poll()

    @property
    def pid(self) -> int:
        """Id of the process."""
        return self._process.pid

    def log_lines(self) -> list[dict]:
        """Return the log records so far."""
        lines = self._log_path.read_text("utf-8").splitlines()
        return [json.loads(line) for line in lines if line.startswith("{")]

    def output(self) -> str:
        """Return everything written to standard output and standard error."""
        return self._log_path.read_text("utf-8")

    def close(self) -> None:
        """Kill the process if it runs, and delete its files."""
        if self._process is not None and self._process.poll() is None:
            self._process.kill()
            self._process.wait()
        self._folder.cleanup()


class GatewayFleet:
    """Stand-ins for the platform's services, with gateways and endpoints.

    :param settings: settings that all gateways share.
    :param configuration: the operators' configuration; None to write none yet.
    """

    def __init__(self, settings: dict, configuration: dict | None) -> None:
        clock = SystemClock()
        self.store = KvStore(clock)
        self.duties = DutyCalls(clock)
        self._store_address = self.store.serve(Address(LOOPBACK, 0))
        duties = self.duties.serve(Address(LOOPBACK, 0))
        self._settings = {
            **settings,
            "cloud": {"addr": str(duties), "duties": ["metering", "scale"]},
        }
        self._clock = clock
        self.gateways: list[GatewayProcess] = []
        if configuration is not None:
            self.store.put("op/config", configuration)

    def add_endpoint(
        self,
        name: str,
        service: str,
        zone: str,
        *,
        streams: bool,
        crash_marker: bytes = b"",
        proxy: AddressMapper = direct,
        version: str = "v1",
        defect: Defect | None = None,
    ) -> StandInEndpoint:
        """Start an endpoint; see :class:`StandInEndpoint` for the parameters."""
        endpoint = StandInEndpoint(
            name,
            service,
            zone,
            self.store,
            self._clock,
            streams=streams,
            crash_marker=crash_marker,
            proxy=proxy,
            version=version,
            defect=defect,
        )
        endpoint.start()
        return endpoint

    def add_gateway(
        self,
        name: str,
        zone: str,
        *,
        program: Sequence[str] = GATEWAY,
        proxy: AddressMapper = direct,
        endpoint_links: EndpointLinks | None = None,
    ) -> GatewayProcess:
        """Return a gateway that is not started yet.

        :param proxy: maps the store's address to the one that the gateway uses.
        :param endpoint_links: the gateway's own links to endpoints; None for none.
        """
        address = self._store_address
        if endpoint_links is not None:
            address = self.store.serve(Address(LOOPBACK, 0), endpoint_links.seen_as)
        store = {"addr": str(proxy(address)), "ttlMinMs": 1000}
        settings = {**self._settings, "platform": store}
        gateway = GatewayProcess(name, zone, settings, program)
        self.gateways.append(gateway)
        return gateway

    def close(self) -> None:
        """Kill all gateways."""
        for gateway in self.gateways:
            gateway.close()


def restart(gateways: Sequence[GatewayProcess]) -> None:
    """Kill gateways at once, start them again, and wait until they are ready."""
    for gateway in gateways:
        gateway.signal(KILL)
    for gateway in gateways:
        wait_for(lambda g=gateway: g.exit_code() is not None, "it still runs")
        gateway.launch()
    for gateway in gateways:
        gateway.wait_until_ready()


def status_of(response: bytes) -> int:
    """Return the status of a raw response; 0 if there is none."""
    return int(response[9:12] or 0)


def wait_for(condition, failure: str, limit: timedelta = LIMIT) -> None:
    """Wait until a condition holds, while the stand-ins' green threads run.

    :raises AssertionError: if it doesn't hold within ``limit``; with text ``failure``.
    """
    clock = SystemClock()
    until = clock.elapsed() + limit
    while not condition():
        if clock.elapsed() >= until:
            raise AssertionError(failure)
        sleep(POLL)


def ask(address: Address, data: bytes) -> bytes:
    """Send raw bytes to an address and return the response.

    With ``Connection: close`` in the request, read until the peer closes or sends
    nothing for 20 s; otherwise return the first chunk, if it arrives within 0.5 s.
    The response is empty if the connection fails.
    """
    try:
        sock = connect(address, timedelta(seconds=1))
    except OSError:
        return b""
    parts = []
    try:
        sock.sendall(data)
        sock.settimeout(0.5 if b"Connection: close" not in data else 20)
        while part := sock.recv(65536):
            parts.append(part)
            if b"onnection: close" not in data:
                break
    except OSError:
        pass
    finally:
        sock.close()
    return b"".join(parts)


TERM = signal.SIGTERM
HUP = signal.SIGHUP
KILL = signal.SIGKILL
STOP = signal.SIGSTOP
CONT = signal.SIGCONT
