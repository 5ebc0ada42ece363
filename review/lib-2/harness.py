"""A small deployment for the cases: gateways as processes, all else as stand-ins.

The gateways are started with the command of the deploy file, from the build of the
deploy file. Store and duty API are the project's own stand-ins; replicas and clients
are in this module.
"""

import json
import os
import shlex
import signal
import subprocess
import sys
import tempfile
import time
import tomllib
import uuid
from dataclasses import dataclass, field
from datetime import timedelta
from pathlib import Path

from sassafrasdale.clock import SystemClock
from sassafrasdale.green import connect, listen, make_green, sleep, spawn  # noqa: F401
from sassafrasdale.structures import Address
from standins.duty_calls import DutyCalls
from standins.kv_store import KvStore
from standins.processes import free_port

ROOT = Path(__file__).resolve().parents[2]
LOOPBACK = "127.0.0.1"
HOST = "desk.example"
KEY = "key-1"
TENANT = "tenant-1"
HELD, BROKEN, NOT_RUN = 0, 1, 2

BOUNDS = {
    "seedLagS": 3,
    "addrReuseS": 2,
    "contactMs": 3000,
    "ackMs": 4000,
    "syncS": 4,
    "drainMs": 2000,
    "graceS": 8,
    "lossSlackMs": 200,
    "configApplyMs": 2000,
    "downgradeSlackMs": 250,
    "stretchMaxMs": 5000,
    "strictRevoke": False,
    "revokeMs": 5000,
    "retryRatio": 0.2,
    "retryWindowS": 10,
    "retrySlack": 58,
    "quotaWindowS": 8,
    "quotaOver": 0.1,
    "quotaSlack": 110000,
    "requireFence": True,
    "leaseMs": 3000,
    "thawSlackMs": 300,
    "usageWindowS": 5,
    "usageOff": 0.05,
    "usageLateS": 10,
    "recoveryS": 12,
    "passMs": 120,
    "canaryShare": 0.1,
    "canarySlack": 50,
    "rollbackMs": 5000,
    "retryAfterS": 9.4,
}


def route(name: str, service: str, kind: str, **changed: object) -> dict:
    """Return a route of the configuration; its prefix is its name."""
    fields = {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "kind": kind,
        "timeoutMs": 4000,
        "goalMs": 2000,
        "priority": 2,
        "service": service,
        "maxTries": 2,
        "noAuth": False,
    }
    return {**fields, **changed}


def configuration(routes: list[dict], services: list[str], **changed: object) -> dict:
    """Return a configuration with one customer that has no limit."""
    fields = {
        "version": 7,
        "routes": routes,
        "services": [
            {"name": name, "healthPath": "/healthz", "maxConns": 110}
            for name in services
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": TENANT, "apiKeys": [KEY], "ratePerS": 0, "burst": 0}],
    }
    return {**fields, **changed}


class Record:
    """What was sent, answered and run, written to a file in the case's folder."""

    def __init__(self, folder: Path) -> None:
        self._began_at = time.monotonic()
        self._file = (folder / "record.txt").open("w", encoding="utf-8")

    def note(self, text: str) -> None:
        """Write a line with the time since the start."""
        now = time.monotonic() - self._began_at
        self._file.write(f"{now:9.3f} {text}\n")
        self._file.flush()


class Gateway:
    """One process of the deploy file's role."""

    def __init__(self, name: str, zone: str, settings: dict) -> None:
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text("utf-8"))
        front, ready, peers, metrics = (free_port() for _ in range(4))
        self.name = name
        self.address = Address(LOOPBACK, front)
        self.ready_address = Address(LOOPBACK, ready)
        command = shlex.split(deploy["roles"]["gateway"]["run"])
        # All machines of a case share the loopback address, so ports differ.
        command[command.index("--metrics-port") + 1] = str(metrics)
        command[0] = sys.executable
        self._command = command
        self._folder = tempfile.TemporaryDirectory()
        self._settings = Path(self._folder.name) / "settings.json"
        self.log_path = Path(self._folder.name) / "log"
        self._fields = {
            **settings,
            "node": name,
            "zone": zone,
            "ip": LOOPBACK,
            "listen": {"front": str(self.address), "ready": str(self.ready_address)},
            "portRange": [peers, peers],
        }
        self._process: subprocess.Popen | None = None

    def start(self) -> None:
        """Start the process."""
        self._settings.write_text(json.dumps(self._fields), "utf-8")
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["SASSAFRASDALE_BOOT"] = str(self._settings)
        with self.log_path.open("ab") as log:
            self._process = subprocess.Popen(
                self._command,
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def is_ready(self) -> bool:
        """Return whether the gateway reports that it is ready."""
        answer = exchange(
            self.ready_address, b"GET /v1/ready HTTP/1.1\r\nHost: h\r\n\r\n", 1
        )
        return answer is not None and answer.status == 200

    def wait_until_ready(self, limit: float = 20) -> None:
        """Wait until it is ready.

        :raises RuntimeError: if it does not become ready.
        """
        until = time.monotonic() + limit
        while not self.is_ready():
            if time.monotonic() > until:
                raise RuntimeError(f"{self.name} is not ready")
            pause(0.1)

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        self._process.send_signal(number)

    @property
    def is_running(self) -> bool:
        """Whether the process runs."""
        return self._process is not None and self._process.poll() is None

    def log(self) -> str:
        """Return what it has written."""
        return self.log_path.read_text("utf-8")

    def end(self) -> None:
        """Kill the process."""
        if self.is_running:
            self._process.send_signal(signal.SIGKILL)
            self._process.wait()
        self._folder.cleanup()


@dataclass
class Message:
    """One request or response as it was read."""

    first_line: str
    headers: dict[str, str]
    body: bytes = b""
    is_complete: bool = True

    @property
    def status(self) -> int:
        """Status of a response."""
        return int(self.first_line.split(" ")[1])

    @property
    def target(self) -> str:
        """Target of a request."""
        return self.first_line.split(" ")[1]

    def header(self, name: str) -> str:
        """Return a header; empty without it."""
        return self.headers.get(name.lower(), "")


class Reader:
    """Reads messages with a length or in chunks from a socket."""

    def __init__(self, sock) -> None:
        self._sock = sock
        self._data = b""

    def _fill(self) -> bool:
        part = self._sock.recv(65536)
        self._data += part
        return bool(part)

    def _line(self) -> bytes | None:
        while b"\r\n" not in self._data:
            if not self._fill():
                return None
        line, _, self._data = self._data.partition(b"\r\n")
        return line

    def _exactly(self, count: int) -> bytes | None:
        while len(self._data) < count:
            if not self._fill():
                return None
        part, self._data = self._data[:count], self._data[count:]
        return part

    def message(self) -> Message | None:
        """Return the next message; None at the end of the connection."""
        first = self._line()
        if first is None:
            return None
        headers = {}
        while line := self._line():
            name, _, value = line.decode("latin-1").partition(":")
            headers[name.strip().lower()] = value.strip()
        if line is None:
            return None
        message = Message(first.decode("latin-1"), headers)
        if message.header("transfer-encoding") == "chunked":
            message.is_complete = self._chunks(message)
        elif length := int(message.header("content-length") or 0):
            body = self._exactly(length)
            message.is_complete = body is not None
            message.body = body or self._data
        return message

    def _chunks(self, message: Message) -> bool:
        while True:
            line = self._line()
            if line is None:
                return False
            size = int(line.split(b";")[0], 16)
            part = self._exactly(size + 2)
            if part is None:
                return False
            if not size:
                return True
            message.body += part[:-2]


def exchange(address: Address, data: bytes, limit: float) -> Message | None:
    """Send a request on a new connection; return the response, None without one."""
    try:
        sock = connect(address, timedelta(seconds=1))
    except OSError:
        return None
    try:
        sock.settimeout(limit)
        sock.sendall(data)
        return Reader(sock).message()
    except OSError:
        return None
    finally:
        sock.close()


def pause(seconds: float) -> None:
    """Wait, while the stand-ins go on."""
    sleep(timedelta(seconds=seconds))


def response(status: int, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return a response with a length."""
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body


@dataclass
class Run:
    """A request that a replica has begun to run."""

    request_id: str
    at: float
    replica: str


class Replica:
    """A plain replica: registers itself, and runs each request for some time.

    :param work: seconds that a request takes.
    """

    def __init__(
        self,
        name: str,
        service: str,
        zone: str,
        store: KvStore,
        record: Record,
        runs: list[Run],
        work: float = 0.09,
        slots: int = 6,
    ) -> None:
        self.name = name
        self.service = service
        self.zone = zone
        self.store = store
        self.record = record
        self.runs = runs
        self.work = work
        self.slots = slots
        self.born = int(time.time() * 1000)
        self._listener = listen(Address(LOOPBACK, 0))
        self.address = Address(LOOPBACK, self._listener.getsockname()[1])
        self.is_listed = False
        spawn(self._accept)

    def register(self, state: str = "ready") -> None:
        """Write the registration."""
        self.is_listed = True
        self.store.put(
            f"servers/{self.name}",
            {
                "service": self.service,
                "addr": str(self.address),
                "zone": self.zone,
                "version": "v1",
                "slots": self.slots,
                "state": state,
                "coldLeftMs": 0,
                "calls": 0,
            },
        )

    def _accept(self) -> None:
        while True:
            sock, _ = self._listener.accept()
            spawn(self._serve, sock)

    def _serve(self, sock) -> None:
        reader = Reader(sock)
        state: dict = {}
        try:
            while (request := reader.message()) is not None:
                self.handle(sock, request, state)
        except OSError:
            pass
        finally:
            sock.close()

    def handle(self, sock, request: Message, state: dict) -> None:
        """Answer one request.

        :param state: what is kept for the connection.
        """
        if request.target == "/healthz":
            sock.sendall(self.health())
            return
        if request.header("expect-replica") not in ("", self.name):
            sock.sendall(response(421, self._own(request)))
            return
        sock.sendall(self.run(request))

    def _own(self, request: Message) -> dict[str, str]:
        return {"Request-Id": request.header("request-id")}

    def health(self) -> bytes:
        """Return the response to a health check."""
        return response(200, {"Replica-Id": self.name})

    def run(self, request: Message) -> bytes:
        """Run a request, and return its response."""
        request_id = request.header("request-id")
        self.runs.append(Run(request_id, time.monotonic(), self.name))
        self.record.note(f"runs     {request_id} at {self.name}")
        pause(self.work)
        headers = {
            "Request-Id": request_id,
            "Replica-Stamp": f"{self.name}.{request_id}",
        }
        return response(200, headers, f"done {request_id} by {self.name}".encode())


@dataclass
class Sent:
    """A client's request and its answer."""

    request_id: str
    at: float
    answer: Message | None = None


@dataclass
class Deployment:
    """All of a case.

    :ivar sent: requests of the clients.
    :ivar runs: runs at the replicas.
    """

    folder: Path
    settings: dict = field(default_factory=dict)
    sent: list[Sent] = field(default_factory=list)
    runs: list[Run] = field(default_factory=list)

    def __post_init__(self) -> None:
        clock = SystemClock()
        self.record = Record(self.folder)
        self.store = KvStore(clock)
        self.duties = DutyCalls(clock)
        store = self.store.serve(Address(LOOPBACK, 0))
        cloud = self.duties.serve(Address(LOOPBACK, 0))
        self._fields = {
            "role": "gateway",
            "machineClass": "front",
            "serves": ["front"],
            "region": "here",
            "zones": {"a": "here", "b": "here"},
            "seedNodes": [],
            "bootstrap": True,
            "lossCounts": False,
            "limits": {
                "cpuShare": 0.537,
                "cores": 2,
                "memoryMb": 300,
                "maxFds": 4100,
                "linkMbps": 1000.0,
                "diskMb": 0,
            },
            "dataDir": None,
            "discovery": "platform",
            "entry": "vip",
            "heartbeatMs": 1200,
            "contracts": ["base", "drain", "config", "retry", "recover", "platform"],
            "tolerate": {"machines": 1, "zones": 0, "regions": 0},
            "bounds": BOUNDS,
            "platform": {
                "addr": str(store),
                "form": "kv",
                "writesPerS": 400,
                "readsPerS": 2000,
                "historyS": 20,
                "valueBytes": 1048576,
                "ttlMinMs": 1000,
            },
            "cloud": {
                "addr": str(cloud),
                "ratePerS": 50.0,
                "duties": ["metering", "scale"],
                "dutyPerS": 50.0,
            },
            **self.settings,
        }
        self.gateways: list[Gateway] = []

    def add_gateway(self, zone: str = "a", **changed: object) -> Gateway:
        """Start a gateway."""
        name = f"front-{zone}-{len(self.gateways) + 1}"
        gateway = Gateway(name, zone, {**self._fields, **changed})
        self.gateways.append(gateway)
        gateway.start()
        return gateway

    def send(
        self,
        gateway: Gateway,
        target: str,
        *,
        method: str = "POST",
        body: bytes = b"order",
        limit: float = 4.0,
        headers: tuple[str, ...] = (),
    ) -> Sent:
        """Send a client's request on a new connection, and wait for the answer."""
        request_id = uuid.uuid4().hex[:16]
        lines = [
            f"{method} {target} HTTP/1.1",
            f"Host: {HOST}",
            f"Request-Id: {request_id}",
            f"Deadline-Ms: {int(limit * 1000)}",
            f"Api-Key: {KEY}",
            f"Content-Length: {len(body)}",
            *headers,
            "",
            "",
        ]
        data = "\r\n".join(lines).encode() + body
        sent = Sent(request_id, time.monotonic())
        self.sent.append(sent)
        self.record.note(f"sent     {request_id} {method} {target} to {gateway.name}")
        sent.answer = exchange(gateway.address, data, limit + 0.5)
        answer = sent.answer
        said = "no answer" if answer is None else answer.first_line
        stamp = "" if answer is None else answer.header("replica-stamp")
        self.record.note(f"answered {request_id} {said} stamp={stamp or '-'}")
        return sent

    def close(self) -> None:
        """End all processes."""
        for gateway in self.gateways:
            gateway.end()


def has_trouble() -> bool:
    """Return whether the case is run with its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def main(case) -> None:
    """Run a case, and exit with its result.

    :param case: called with the deployment; returns whether the rule was broken.
    """
    try:
        deployment = Deployment(Path(sys.argv[1]).resolve())
    except Exception as error:
        print(f"could not run: {error!r}", file=sys.stderr)
        os._exit(NOT_RUN)

    def stop(*_: object) -> None:
        deployment.close()
        os._exit(NOT_RUN)

    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, stop)
    result = NOT_RUN
    try:
        is_broken = case(deployment)
        ended = [each.name for each in deployment.gateways if not each.is_running]
        if ended:
            raise RuntimeError(f"{', '.join(ended)} ended")
        result = BROKEN if is_broken else HELD
        deployment.record.note("the rule was broken" if is_broken else "the rule held")
    except Exception as error:
        deployment.record.note(f"the case could not run: {error!r}")
        print(f"could not run: {error!r}", file=sys.stderr)
    finally:
        deployment.close()
        sys.stdout.flush()
        os._exit(result)
