"""Connections and pools of urllib3 on green sockets."""

import socket
from datetime import timedelta

import urllib3
from urllib3.connection import HTTPConnection
from urllib3.exceptions import ConnectTimeoutError, NewConnectionError

from sassafrasdale.green import connect
from sassafrasdale.structures import Address


class GreenHttpConnection(HTTPConnection):
    """HTTP connection on a green socket."""

    def _new_conn(self) -> socket.socket:
        try:
            return connect(
                Address(self._dns_host, self.port), timedelta(seconds=self.timeout)
            )
        except TimeoutError as error:
            raise ConnectTimeoutError(self, str(error)) from error
        except OSError as error:
            raise NewConnectionError(self, str(error)) from error


class GreenHttpPool(urllib3.HTTPConnectionPool):
    """Pool of green HTTP connections to one address."""

    ConnectionCls = GreenHttpConnection


def http_pool(
    address: Address,
    *,
    size: int = 64,
    connect_timeout: timedelta = timedelta(seconds=1),
    read_timeout: timedelta = timedelta(seconds=5),
) -> GreenHttpPool:
    """Return a connection pool for ``address`` without automatic retries."""
    return GreenHttpPool(
        address.host,
        address.port,
        maxsize=size,
        retries=False,
        timeout=urllib3.Timeout(
            connect=connect_timeout.total_seconds(), read=read_timeout.total_seconds()
        ),
    )
