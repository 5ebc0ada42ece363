"""Listening before anything else is loaded.

A process that starts again after a kill takes most of a second to load its program.
Without a listening socket, callers are turned away all that time; with one, their
connections wait in its queue. So this module uses the standard library only, and
checks nothing: what it can't open is opened later, with an error that says why.
"""

import json
import socket
from collections.abc import Mapping
from pathlib import Path

PATH_VARIABLE = "SASSAFRASDALE_BOOT"
# Connections that wait to be taken.
BACKLOG = 1024

_opened: dict[str, socket.socket] = {}


def open_early(environ: Mapping[str, str]) -> None:
    """Listen where callers connect, as the settings file says."""
    try:
        fields = json.loads(Path(environ[PATH_VARIABLE]).read_text(encoding="utf-8"))
        written = fields["listen"]["front"]
        host, _, port = written.rpartition(":")
        _opened[written] = socket.create_server((host, int(port)), backlog=BACKLOG)
    except (KeyError, TypeError, ValueError, OSError):
        # The settings are read and checked when the program is loaded.
        return


def take_opened(address: str) -> socket.socket | None:
    """Return the socket that was opened early for an address, if there is one."""
    return _opened.pop(address, None)
