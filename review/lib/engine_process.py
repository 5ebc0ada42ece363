"""An engine as a process, whose streams have no length and end with their connections.

Usage::

    python3 review/lib/engine_process.py PORT NAME EVENTS EVENT_SECONDS RECORD

It uses the standard library only, and listens at 127.0.0.1. What it runs it writes to
RECORD, one line each.
"""

import socket
import sys
import threading
import time
from pathlib import Path


def main() -> None:
    """Serve until the process is killed."""
    port, name = int(sys.argv[1]), sys.argv[2]
    events, event_time = int(sys.argv[3]), float(sys.argv[4])
    record = Path(sys.argv[5])
    listener = socket.create_server(("127.0.0.1", port), backlog=128)
    while True:
        sock, _ = listener.accept()
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        arguments = (sock, name, events, event_time, record)
        threading.Thread(target=serve, args=arguments, daemon=True).start()


def serve(
    sock: socket.socket, name: str, events: int, event_time: float, record: Path
) -> None:
    """Answer the requests of one connection; a stream ends it."""
    try:
        while answer(sock, name, events, event_time, record):
            pass
    except OSError:
        return
    finally:
        sock.close()


def answer(
    sock: socket.socket, name: str, events: int, event_time: float, record: Path
) -> bool:
    """Answer one request, and return whether the connection is kept."""
    head = read_head(sock)
    if not head:
        return False
    request_id = header(head, "request-id")
    if head.startswith("GET /healthz"):
        sock.sendall(
            f"HTTP/1.1 200 OK\r\nReplica-Id: {name}\r\n"
            "Content-Length: 0\r\n\r\n".encode()
        )
        return True
    if header(head, "expect-replica") != name:
        sock.sendall(b"HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n")
        return True
    first = int(header(head, "last-event-id") or 0) + 1
    with record.open("a", encoding="utf-8") as lines:
        lines.write(f"runs {request_id} at {name} from event {first}\n")
    sock.sendall(
        f"HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\n"
        f"Replica-Stamp: stamp-{request_id}\r\nWeight-Versions: 1\r\n"
        "Content-Type: text/event-stream\r\nConnection: close\r\n\r\n".encode()
    )
    for number in range(first, events + 1):
        time.sleep(event_time)
        sock.sendall(f"id: {number}\ndata: piece {number}\n\n".encode())
    return False


def read_head(sock: socket.socket) -> str:
    """Return the head of a request, whose body is empty here; "" at the end."""
    data = b""
    while b"\r\n\r\n" not in data:
        part = sock.recv(65536)
        if not part:
            return ""
        data += part
    return data.decode("latin-1")


def header(head: str, name: str) -> str:
    """Return a header of a head; empty if it has none."""
    for line in head.split("\r\n")[1:]:
        key, _, value = line.partition(":")
        if key.strip().lower() == name:
            return value.strip()
    return ""


if __name__ == "__main__":
    main()
