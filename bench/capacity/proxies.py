"""A TCP proxy that counts the bytes in both directions."""

import socket
import threading

CHUNK = 65536
LOOPBACK = "127.0.0.1"


class CountingProxy:
    """Forwards connections to ``target``; runs in its own threads.

    :param target: address as ``host:port``.
    """

    def __init__(self, target: str) -> None:
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        self._listener = socket.create_server((LOOPBACK, 0), backlog=1024)
        self._lock = threading.Lock()
        self.bytes = 0
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def address(self) -> str:
        """Where it listens, as ``host:port``."""
        host, port = self._listener.getsockname()
        return f"{host}:{port}"

    def _accept(self) -> None:
        while True:
            client, _ = self._listener.accept()
            server = socket.create_connection(self._target)
            for source, sink in ((client, server), (server, client)):
                threading.Thread(
                    target=self._forward, args=(source, sink), daemon=True
                ).start()

    def _forward(self, source: socket.socket, sink: socket.socket) -> None:
        try:
            while data := source.recv(CHUNK):
                with self._lock:
                    self.bytes += len(data)
                sink.sendall(data)
        except OSError:
            pass
        finally:
            sink.close()
