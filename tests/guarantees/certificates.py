"""A deployment with one plain service, whose requests are not idempotent."""

from collections.abc import Iterator
from concurrent.futures import Future, ThreadPoolExecutor
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass, field
from datetime import timedelta
from uuid import uuid4

from standins.clients import Response
from standins.processes import (
    START_LIMIT,
    EntryProcess,
    PlatformProcess,
    ServiceProcess,
    start_entry,
)
from tests.guarantees.operators import TEXT, put_text, wait_until

CLAIMS_PREFIX = "sassafrasdale/claims"
TIMEOUT = timedelta(seconds=4)


@dataclass(frozen=True, slots=True)
class Reply:
    """The reply to a caller's request for a certificate."""

    status: int
    outcome: str
    retry_after: str | None
    body: bytes

    @classmethod
    def from_response(cls, response: Response) -> "Reply":
        """Return the reply in an HTTP response."""
        headers = response.headers
        return cls(
            response.status,
            headers.get("X-Outcome", ""),
            headers.get("Retry-After"),
            response.data,
        )


@dataclass
class Deployment:
    """Platform, service and entries, and a thread pool for callers."""

    platform: PlatformProcess
    service: ServiceProcess
    entries: list[EntryProcess]
    threads: ThreadPoolExecutor = field(default_factory=ThreadPoolExecutor)

    def issue(
        self,
        entry: EntryProcess,
        key: str,
        timeout: timedelta = TIMEOUT,
        request_id: str | None = None,
    ) -> Reply:
        """Request a certificate with idempotency key ``key``; return the reply."""
        headers = {
            "X-Customer": "cube-labs",
            "X-Request-Id": request_id or uuid4().hex,
            "Idempotency-Key": key,
            "X-Timeout-Ms": str(int(timeout.total_seconds() * 1000)),
        }
        path = "/v1/services/records/certificates"
        return Reply.from_response(
            entry.client.call("POST", path, {"batch": key}, headers)
        )

    def issue_later(
        self, entry: EntryProcess, key: str, timeout: timedelta = TIMEOUT
    ) -> "Future[Reply]":
        """Request a certificate in a background thread."""
        return self.threads.submit(self.issue, entry, key, timeout)

    def executions(self, key: str) -> int:
        """Return how often the service executed a request with ``key``."""
        counts = self.service.counts()
        return counts["by_idempotency_key"].get(key, 0)

    def wait_for_call(self, key: str) -> None:
        """Wait until the service has executed a request with ``key``."""
        wait_until(lambda: self.executions(key), TIMEOUT)

    def claim_writes(self) -> int:
        """Return how many writes of claims the store has received."""
        return self.platform.counts()["store"].get(f"writes below {CLAIMS_PREFIX}", 0)

    def wait_for_claim(self, before: int) -> None:
        """Wait until the store has received more than ``before`` writes of claims."""
        wait_until(lambda: self.claim_writes() > before, TIMEOUT)

    def clear_faults(self) -> None:
        """Clear all injected faults."""
        self.platform.set_faults(
            store={"outage": None, "delay_ms": 0, "drop_writes": 0}
        )
        self.service.set_faults(outage=None, delay_ms=0, drop_answers=0, slow_factor=1)

    @contextmanager
    def spare_entry(self) -> Iterator[EntryProcess]:
        """Start an extra entry that a test may kill."""
        entry = start_entry(
            f"spare-{uuid4().hex[:8]}",
            "zone-c",
            self.platform.store,
            self.platform.cloud,
        )
        try:
            self.platform.register(entry)
            for member in (*self.entries, entry):
                wait_until(
                    lambda member=member: alive_peers(member) >= len(self.entries),
                    START_LIMIT,
                )
            # The first claim of a process also has to be granted a lease.
            assert self.issue(entry, uuid4().hex).outcome == "answered"
            yield entry
        finally:
            entry.close()
            self.platform.remove(entry.name)


def alive_peers(entry: EntryProcess) -> int:
    """Return how many peers ``entry`` considers alive."""
    peers = entry.client.call("GET", "/admin/v1/status").json()["peers"]
    return sum(peer["state"] == "alive" for peer in peers)


@contextmanager
def deployment() -> Iterator[Deployment]:
    """Start the platform, the service and two entries."""
    with ExitStack() as stack:
        platform = stack.enter_context(PlatformProcess())
        service = stack.enter_context(ServiceProcess("records-1", "zone-a"))
        platform.register(service)
        entries = []
        for number, zone in enumerate(("zone-a", "zone-b")):
            name = f"entry-{number}"
            entry = EntryProcess(name, zone, platform.store, platform.cloud)
            stack.callback(entry.close)
            entry.launch()
            entry.wait_until_live()
            platform.register(entry)
            entries.append(entry)
        assert put_text(entries[0], TEXT, 0).status == 200
        for entry in entries:
            entry.wait_until_ready()
            wait_until(lambda entry=entry: alive_peers(entry), START_LIMIT)
        started = Deployment(platform, service, entries)
        stack.callback(started.threads.shutdown, wait=False)
        for entry in entries:
            wait_until(
                lambda entry=entry: started.issue(entry, uuid4().hex).status == 201,
                TIMEOUT * 3,
            )
        yield started
