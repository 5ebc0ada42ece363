"""Distinguishes an endpoint's crash from a lost connection."""

from collections.abc import Callable
from datetime import timedelta

from sassafrasdale.clock import Clock
from sassafrasdale.gateway.directory import EndpointRecord
from sassafrasdale.green import Event, sleep
from sassafrasdale.http.connections import ProbeResult

# All requests of a crashed endpoint lose their connections within milliseconds, and
# share the probe that shows the crash. The endpoint may be back seconds later.
RESULT_TTL = timedelta(milliseconds=300)
# Time in which a crashed endpoint has closed all its sockets.
SETTLE_TIME = timedelta(milliseconds=30)
# Probes of an endpoint that may be unreachable, and the interval between them: a SYN
# packet may be lost.
PROBES = 3
PROBE_INTERVAL = timedelta(milliseconds=300)


class CrashDetector:
    """Probes whether endpoints have crashed, once for all concurrent callers.

    An endpoint that has crashed refuses connections: its instance runs, but nothing
    listens. One whose connections were reset or cut in the network accepts a new one,
    or doesn't reply.

    :param clock: source of elapsed time.
    :param confirm: returns whether an endpoint that this gateway can't reach is at
        fault, rather than the gateway's own link to it.
    """

    def __init__(
        self,
        clock: Clock,
        confirm: Callable[[EndpointRecord], bool] = lambda record: True,
    ) -> None:
        self._clock = clock
        self._confirm = confirm
        self._probes: dict[str, tuple[timedelta, Event]] = {}

    def has_crashed(self, record: EndpointRecord) -> bool:
        """Return whether an endpoint that has just lost a connection has crashed."""
        now = self._clock.elapsed()
        self._forget_old(now)
        if record.name in self._probes:
            return self._probes[record.name][1].wait()
        result = Event()
        self._probes[record.name] = (now, result)
        crashed = False
        try:
            refused = record.pool.probe() is ProbeResult.REFUSED
            crashed = refused and self._confirm(record)
        finally:
            result.send(crashed)
            if not crashed:
                # It may crash a moment later.
                del self._probes[record.name]
        return crashed

    def is_serving(self, record: EndpointRecord) -> bool:
        """Return whether an endpoint that has just closed a connection still serves.

        A crashed one may close its connections a moment before its listener, so it is
        probed twice.
        """
        if record.pool.probe() is not ProbeResult.OPEN:
            return False
        sleep(SETTLE_TIME)
        return record.pool.probe() is ProbeResult.OPEN

    def confirm(self, record: EndpointRecord) -> bool:
        """Return whether an endpoint that this gateway can't reach is at fault."""
        return self._confirm(record)

    def probe_repeatedly(self, record: EndpointRecord) -> ProbeResult:
        """Return the result of probing an endpoint whose registration has expired.

        It counts as unresponsive only if several probes get no reply.
        """
        for number in range(PROBES):
            if number:
                sleep(PROBE_INTERVAL)
            result = record.pool.probe()
            if result is not ProbeResult.UNANSWERED:
                return result
        return ProbeResult.UNANSWERED

    def _forget_old(self, now: timedelta) -> None:
        for name, (began_at, result) in list(self._probes.items()):
            if result.ready() and now - began_at > RESULT_TTL:
                del self._probes[name]
