"""A TCP proxy whose open connections can be made unresponsive."""

import socket
import threading

from sassafrasdale.structures import Address

CHUNK = 65536


class Proxy:
    """Forwards connections to ``target``, in its own threads."""

    def __init__(self, target: Address) -> None:
        self._target = (target.host, target.port)
        self._listening = socket.create_server(("127.0.0.1", 0))
        self._silenced: threading.Event = threading.Event()
        self.accepted = 0
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def address(self) -> Address:
        """Address on which the proxy listens."""
        return Address(*self._listening.getsockname())

    def silence(self) -> None:
        """Discard all data on open connections from now on, and keep them open."""
        self._silenced.set()
        self._silenced = threading.Event()

    def close(self) -> None:
        """Accept no more connections."""
        self._listening.close()

    def _accept(self) -> None:
        while True:
            try:
                client, _ = self._listening.accept()
            except OSError:
                return
            self.accepted += 1
            server = socket.create_connection(self._target)
            for source, sink in ((client, server), (server, client)):
                threading.Thread(
                    target=self._forward,
                    args=(source, sink, self._silenced),
                    daemon=True,
                ).start()

    @staticmethod
    def _forward(
        source: socket.socket, sink: socket.socket, silenced: threading.Event
    ) -> None:
        try:
            while data := source.recv(CHUNK):
                if not silenced.is_set():
                    sink.sendall(data)
        except OSError:
            pass
        if not silenced.is_set():
            sink.close()
