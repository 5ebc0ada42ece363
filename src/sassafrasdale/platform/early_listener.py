"""Listening socket that is opened before the rest of the program is loaded.

A process that restarts after a kill takes most of a second to import its modules.
Without a listening socket, callers' connections are refused in that time; with one,
they wait in its backlog. So this module uses the standard library only and validates
nothing: a socket that it can't open is opened later, with an error that says why.
"""

import json
import socket
from collections.abc import Mapping
from pathlib import Path

PATH_VARIABLE = "SASSAFRASDALE_BOOT"
# Maximum number of connections that wait to be accepted.
BACKLOG = 1024

_listeners: dict[str, socket.socket] = {}


def open_early_listener(environ: Mapping[str, str]) -> None:
    """Open the callers' listening socket at the address in the settings file."""
    try:
        fields = json.loads(Path(environ[PATH_VARIABLE]).read_text(encoding="utf-8"))
        address = fields["listen"]["front"]
        host, _, port = address.rpartition(":")
        _listeners[address] = socket.create_server((host, int(port)), backlog=BACKLOG)
    except (KeyError, TypeError, ValueError, OSError):
        # The settings are read again and validated after the program is loaded.
        return


def take_early_listener(address: str) -> socket.socket | None:
    """Return the socket that was opened early for an address, or None."""
    return _listeners.pop(address, None)
