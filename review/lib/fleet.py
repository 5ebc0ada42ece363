"""Gateways as processes, started with the command of the deploy file.

The store and the duty calls are the project's own stand-ins.
"""

import atexit
import json
import os
import random
import resource
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
from collections.abc import Callable
from datetime import timedelta
from pathlib import Path

from sassafrasdale.clock import SystemClock
from sassafrasdale.green import sleep
from sassafrasdale.structures import Address
from standins.duty_calls import DutyCalls
from standins.kv_store import KvStore

ROOT = Path(__file__).resolve().parents[2]
ZONES = {"nasr-hall": "cairo", "giza-hall": "cairo", "helwan-hall": "cairo"}
# Figures of the sheet of ecmt-cubes.
MEMORY_MB = 300
MAX_FDS = 4100
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
    "retryAfterS": 9.4,
}


# The port of the deploy file's metrics, and the ports between gateways.
METRICS_PORT = 9464
RANGE_PORTS = 16

_processes: list[subprocess.Popen] = []
_folders: list[Path] = []


def start_process(command: list[str], **options: object) -> subprocess.Popen:
    """Start a process that ends with this one at the latest."""
    process = subprocess.Popen(command, **options)
    _processes.append(process)
    return process


def new_folder() -> Path:
    """Return a temporary folder, which is deleted at the end of this process."""
    folder = Path(tempfile.mkdtemp(prefix="review-"))
    _folders.append(folder)
    return folder


def end_all() -> None:
    """End all processes that were started, and delete the temporary folders."""
    for process in _processes:
        if process.poll() is None:
            process.kill()
    for process in _processes:
        process.wait()
    for folder in _folders:
        shutil.rmtree(folder, ignore_errors=True)


def pause(seconds: float) -> None:
    """Wait while the stand-ins of this process run on."""
    sleep(timedelta(seconds=seconds))


def free_port(host: str, count: int = 1) -> int:
    """Return the first of some ports in a row that nothing uses at a loopback address.

    They are below those that the kernel gives to outgoing connections.
    """
    while True:
        first = random.randint(12_000, 32_000)
        if all(_is_free(host, first + number) for number in range(count)):
            return first


def free_address() -> str:
    """Return a loopback address at which the deploy file's metrics port is free."""
    while True:
        ip = f"127.{random.randint(1, 250)}.{random.randint(1, 250)}.1"
        if _is_free(ip, METRICS_PORT):
            return ip


def _is_free(host: str, port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(type=kind) as sock:
            try:
                sock.bind((host, port))
            except OSError:
                return False
    return True


def exit_status(run: Callable[[], int]) -> int:
    """Return the status of a case; 2 if an error ends it, as it then couldn't run."""
    try:
        return run()
    except Exception:
        traceback.print_exc()
        return 2


class Gateway:
    """One gateway's machine: its process, and what the platform sees of it."""

    def __init__(self, name: str, zone: str, store: Address, cloud: Address) -> None:
        self.name = name
        self.zone = zone
        self.ip = free_address()
        self.front = free_port(self.ip)
        self.ready = free_port(self.ip)
        first = free_port(self.ip, RANGE_PORTS)
        folder = new_folder()
        self._settings = folder / "settings.json"
        self._log = folder / "log"
        self.process: subprocess.Popen | None = None
        fields = {
            "node": name,
            "role": "gateway",
            "machineClass": "front",
            "serves": ["front"],
            "ip": self.ip,
            "zone": zone,
            "region": "cairo",
            "zones": ZONES,
            "listen": {
                "front": f"{self.ip}:{self.front}",
                "ready": f"{self.ip}:{self.ready}",
            },
            "portRange": [first, first + RANGE_PORTS - 1],
            "seedNodes": [],
            "bootstrap": True,
            "lossCounts": False,
            "limits": {
                "cpuShare": 0.537,
                "cores": 2,
                "memoryMb": MEMORY_MB,
                "maxFds": MAX_FDS,
                "linkMbps": 1000.0,
                "diskMb": 0,
            },
            "dataDir": None,
            "discovery": "platform",
            "entry": "vip",
            "heartbeatMs": 1200,
            "contracts": ["base", "drain", "config", "recover", "engine", "stream"],
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
        }
        self._settings.write_text(json.dumps(fields), "utf-8")

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text("utf-8"))
        command = deploy["roles"]["gateway"]["run"].split()
        kept = ("PATH", "HOME", "LANG")
        environment = {key: os.environ[key] for key in kept if key in os.environ}
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["SASSAFRASDALE_BOOT"] = str(self._settings)
        with self._log.open("ab") as log:
            self.process = start_process(
                command,
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=subprocess.STDOUT,
                preexec_fn=_limit_descriptors,
            )

    def is_ready(self, limit: float = 0.5) -> bool:
        """Return whether the readiness question of the platform gets a 200."""
        from eventlet.green import socket as green_socket

        sock = green_socket.socket()
        sock.settimeout(limit)
        try:
            sock.connect((self.ip, self.ready))
            sock.sendall(b"GET /v1/ready HTTP/1.1\r\nHost: platform\r\n\r\n")
            return sock.recv(64).startswith(b"HTTP/1.1 200")
        except OSError:
            return False
        finally:
            sock.close()

    def is_running(self) -> bool:
        """Return whether the process runs."""
        return self.process is not None and self.process.poll() is None

    def kill(self) -> None:
        """Kill the process, and wait for its end."""
        if self.is_running():
            self.process.send_signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    def memory_mb(self) -> int:
        """Return the process's resident memory; 0 if it has ended."""
        try:
            status = Path(f"/proc/{self.process.pid}/status").read_text("ascii")
        except OSError:
            return 0
        for line in status.splitlines():
            if line.startswith("VmRSS"):
                return int(line.split()[1]) // 1024
        return 0


def _limit_descriptors() -> None:
    resource.setrlimit(resource.RLIMIT_NOFILE, (MAX_FDS, MAX_FDS))


class Fleet:
    """The platform's stand-ins, and gateways.

    :param store: kind of the store.
    """

    def __init__(self, configuration: dict, store: type[KvStore] = KvStore) -> None:
        # Whoever ends the script early must not leave its processes behind.
        atexit.register(end_all)
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            signal.signal(number, lambda number, frame: sys.exit(2))
        clock = SystemClock()
        self.store = store(clock)
        self._duties = DutyCalls(clock)
        self._cloud_address = self._duties.serve(Address("127.0.0.1", 0))
        self.gateways: list[Gateway] = []
        self.store.put("op/config", configuration)

    def add_gateway(
        self, name: str, zone: str, store: Address | None = None
    ) -> Gateway:
        """Return a gateway that is not started yet.

        :param store: the store's address for it; None for one of its own.
        """
        store = store or self.store.serve(Address("127.0.0.1", 0))
        gateway = Gateway(name, zone, store, self._cloud_address)
        self.gateways.append(gateway)
        return gateway

    def wait_until_ready(self, limit: float = 15.0) -> bool:
        """Return whether all gateways are ready in time."""
        until = time.monotonic() + limit
        while time.monotonic() < until:
            if all(gateway.is_ready() for gateway in self.gateways):
                return True
            pause(0.1)
        return False


class Record:
    """The record of a run: what was sent, answered and run."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._began_at = time.monotonic()

    def write(self, text: str) -> None:
        """Write a line, with the time since the start."""
        since = time.monotonic() - self._began_at
        self._file.write(f"{since:8.3f} {text}\n")
        self._file.flush()

    def say(self, text: str) -> None:
        """Write a line, and print it."""
        print(text, flush=True)
        self.write(text)


def route(name: str, kind: str, service: str, **changed: object) -> dict:
    """Return a route of the configuration."""
    return {
        "name": name,
        "host": "labs.example",
        "prefix": f"/{name}/",
        "kind": kind,
        "timeoutMs": 8000,
        "service": service,
        "maxTries": 1,
        "noAuth": False,
        **changed,
    }


def configuration(routes: list[dict]) -> dict:
    """Return a configuration with both services of ecmt-cubes and one tenant."""
    return {
        "version": 3,
        "routes": routes,
        "services": [
            {
                "name": "model-pool",
                "healthPath": "/healthz",
                "maxConns": 370,
                "engine": {"slots": 64, "kvCap": 344095},
            },
            {"name": "records-app", "healthPath": "/healthz", "maxConns": 110},
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": "lab", "apiKeys": ["lab-key"], "ratePerS": 0}],
    }
