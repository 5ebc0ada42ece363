"""A replica of the plain service: some slots, and a short queue.

It admits requests in the order in which they arrive and rejects what is beyond its
queue, health checks included. It may fall silent: then it reads and sends nothing, and
goes on. Some of its answers it may send twice, the second one late.
"""

from collections import deque
from collections.abc import Callable

import eventlet
from eventlet.event import Event

from lib.fleet import Fleet, Record, pause
from lib.wire import header, read_exactly, read_head

SLOTS = 6
QUEUE = 3
IDLE_TIMEOUT = 15.0


class Exchange:
    """A request on a gateway's connection, until it is answered."""

    def __init__(self, link: "Link", head: bytes) -> None:
        self.link = link
        self.head = head
        self.is_check = head.startswith(b"GET /healthz")
        self.request_id = header(head, "request-id")
        self.answered = Event()


class Link:
    """A gateway's connection.

    :ivar second: a second answer to an earlier request, which goes out where the next
        answer is expected.
    """

    def __init__(self, sock) -> None:
        self.sock = sock
        self.second = b""


class PlainReplica:
    """A replica of the plain service.

    :param work: seconds that a request takes.
    :param sends_twice: returns whether an answer is sent a second time.
    :ivar runs: ids of the requests that it has begun to run.
    :ivar checks: health checks that it has answered, and `rejected_checks` of them
        that it rejected.
    """

    def __init__(
        self,
        name: str,
        zone: str,
        fleet: Fleet,
        record: Record,
        *,
        work: float,
        sends_twice: Callable[["PlainReplica", Exchange], bool],
    ) -> None:
        self.name = name
        self._record = record
        self._work = work
        self._sends_twice = sends_twice
        self._is_silent = False
        self._running = 0
        self._arrived: deque[Exchange] = deque()
        self._waiting: deque[Exchange] = deque()
        self.runs: list[str] = []
        self.checks = self.rejected_checks = 0
        self._listener = eventlet.listen(("127.0.0.1", 0), backlog=512)
        port = self._listener.getsockname()[1]
        eventlet.spawn(self._accept)
        entry = {
            "service": "records-app",
            "addr": f"127.0.0.1:{port}",
            "zone": zone,
            "version": "1",
            "slots": SLOTS,
            "state": "ready",
            "coldLeftMs": 0,
            "calls": 0,
        }
        fleet.store.put(f"servers/{name}", entry)

    def fall_silent(self, seconds: float) -> None:
        """Read and send nothing for a time, and go on."""
        self._is_silent = True
        pause(seconds)
        self._is_silent = False
        while self._arrived:
            self._admit(self._arrived.popleft())

    def _accept(self) -> None:
        while True:
            sock, _ = self._listener.accept()
            eventlet.spawn(self._serve, Link(sock))

    def _serve(self, link: Link) -> None:
        try:
            while True:
                link.sock.settimeout(IDLE_TIMEOUT)
                head, rest = read_head(link.sock)
                if not head:
                    return
                read_exactly(link.sock, int(header(head, "content-length") or 0), rest)
                exchange = Exchange(link, head)
                if self._is_silent:
                    self._arrived.append(exchange)
                else:
                    self._admit(exchange)
                exchange.answered.wait()
        except (OSError, EOFError):
            return
        finally:
            link.sock.close()

    def _admit(self, exchange: Exchange) -> None:
        """Run a request, let it wait, or reject it."""
        if self._running < SLOTS:
            self._running += 1
            eventlet.spawn(self._run, exchange)
        elif len(self._waiting) < QUEUE:
            self._waiting.append(exchange)
        else:
            eventlet.spawn(self._reject, exchange)

    def _run(self, exchange: Exchange) -> None:
        if exchange.is_check:
            self.checks += 1
            self._answer(exchange, "200 OK", f"Replica-Id: {self.name}")
        elif header(exchange.head, "expect-replica") != self.name:
            self._answer(exchange, "421 Misdirected Request", "Not-Run: 1")
        else:
            self.runs.append(exchange.request_id)
            self._record.write(f"runs {exchange.request_id} at {self.name}")
            pause(self._work)
            self._wait_while_silent()
            stamp = f"Replica-Stamp: stamp-{exchange.request_id}"
            self._answer(exchange, "200 OK", stamp, "booked")
        if self._waiting:
            eventlet.spawn(self._run, self._waiting.popleft())
        else:
            self._running -= 1

    def _reject(self, exchange: Exchange) -> None:
        if exchange.is_check:
            self.checks += 1
            self.rejected_checks += 1
        self._answer(exchange, "503 Service Unavailable", "Not-Run: 1")

    def _wait_while_silent(self) -> None:
        while self._is_silent:
            pause(0.005)

    def _answer(
        self, exchange: Exchange, status: str, line: str, body: str = ""
    ) -> None:
        """Send an answer; it echoes the request's id, if that has one."""
        link = exchange.link
        second, link.second = link.second, b""
        if second:
            self._record.write(
                f"{self.name} sends a late second answer, and then that to "
                f"{exchange.request_id or 'a health check'}: {second!r}"
            )
        lines = [f"HTTP/1.1 {status}"]
        if exchange.request_id:
            lines.append(f"Request-Id: {exchange.request_id}")
        lines += [line, f"Content-Length: {len(body)}", "", body]
        answer = "\r\n".join(lines).encode()
        if self._sends_twice(self, exchange):
            link.second = answer
        try:
            link.sock.sendall(second + answer)
        except OSError:
            link.sock.close()
        exchange.answered.send(None)
