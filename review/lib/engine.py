"""A sound engine: reads a request whole, prefills, and streams its events."""

from collections.abc import Callable

import eventlet

from lib.fleet import Fleet, Record, pause
from lib.wire import header, read_exactly, read_head

MAX_CONNECTIONS = 370
SLOTS = 64
IDLE_TIMEOUT = 15.0


class Engine:
    """A replica of the engines' service.

    :param prefill: seconds until the first event.
    :param events: events of each stream.
    :param event_time: seconds between two events.
    :param on_run: called with the id of each request that begins to run.
    """

    def __init__(
        self,
        name: str,
        zone: str,
        fleet: Fleet,
        record: Record,
        *,
        prefill: float,
        events: int,
        event_time: float,
        on_run: Callable[[str], None],
    ) -> None:
        self._name = name
        self._record = record
        self._prefill = prefill
        self._events = events
        self._event_time = event_time
        self._on_run = on_run
        self._open = 0
        self._listener = eventlet.listen(("127.0.0.1", 0), backlog=512)
        port = self._listener.getsockname()[1]
        eventlet.spawn(self._accept)
        entry = {
            "service": "model-pool",
            "addr": f"127.0.0.1:{port}",
            "zone": zone,
            "version": "1",
            "slots": SLOTS,
            "state": "ready",
            "coldLeftMs": 0,
            "calls": 0,
        }
        fleet.store.put(f"servers/{name}", entry)

    def _accept(self) -> None:
        while True:
            sock, _ = self._listener.accept()
            if self._open >= MAX_CONNECTIONS:
                sock.close()
                continue
            eventlet.spawn(self._serve, sock)

    def _serve(self, sock) -> None:
        self._open += 1
        try:
            while True:
                sock.settimeout(IDLE_TIMEOUT)
                head, rest = read_head(sock)
                if not head:
                    return
                self._answer(sock, head, rest)
        except (OSError, EOFError):
            return
        finally:
            self._open -= 1
            sock.close()

    def _answer(self, sock, head: bytes, rest: bytes) -> None:
        size = int(header(head, "content-length") or 0)
        read_exactly(sock, size, rest)
        line = head.split(b"\r\n")[0]
        if line.startswith(b"GET /healthz"):
            sock.sendall(
                b"HTTP/1.1 200 OK\r\nReplica-Id: %b\r\nContent-Length: 0\r\n\r\n"
                % self._name.encode()
            )
            return
        request_id = header(head, "request-id")
        if header(head, "expect-replica") != self._name:
            sock.sendall(b"HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n")
            return
        self._on_run(request_id)
        self._record.write(f"runs {request_id} at {self._name}, {size} bytes")
        first = int(header(head, "last-event-id") or 0) + 1
        pause(self._prefill)
        sock.sendall(
            (
                f"HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\n"
                f"Replica-Stamp: stamp-{request_id}\r\nWeight-Versions: 1\r\n"
                f"Keep-Alive: timeout={IDLE_TIMEOUT:.0f}\r\n"
                "Content-Type: text/event-stream\r\n"
                "Transfer-Encoding: chunked\r\n\r\n"
            ).encode()
        )
        for number in range(first, self._events + 1):
            event = f"id: {number}\ndata: piece {number} of {request_id}\n\n".encode()
            sock.sendall(b"%x\r\n%b\r\n" % (len(event), event))
            pause(self._event_time)
        sock.sendall(b"0\r\n\r\n")
        self._record.write(f"ended {request_id} at {self._name}")
