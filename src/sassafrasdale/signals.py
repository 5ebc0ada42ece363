"""Signal handling, with signals blocked until the program is loaded.

An earlier signal would terminate the process at once and drop the connections in its
backlog. This module uses the standard library only, as it is imported first.
"""

import signal
from collections.abc import Callable, Mapping

HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


def block_signals() -> None:
    """Block the handled signals until :func:`handle_signals` is called."""
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)


def handle_signals(handlers: Mapping[signal.Signals, Callable[[], None]]) -> None:
    """Install handlers and unblock the signals, which delivers pending ones."""
    for number, handle in handlers.items():
        signal.signal(number, _handler(handle))
    signal.pthread_sigmask(signal.SIG_UNBLOCK, HANDLED_SIGNALS)


def _handler(handle: Callable[[], None]) -> Callable[[int, object], None]:
    return lambda number, frame: handle()
