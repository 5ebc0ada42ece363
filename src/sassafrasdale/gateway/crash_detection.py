"""Telling an endpoint's end from a connection that was only lost on its way."""

from datetime import timedelta

from sassafrasdale.clock import Clock
from sassafrasdale.gateway.directory import EndpointRecord
from sassafrasdale.green import Event, sleep
from sassafrasdale.http.connections import Reach

# All that an endpoint ran is lost within milliseconds, and one look serves for it. An
# endpoint that crashed is back after seconds.
VALID = timedelta(milliseconds=300)
# Looks at an endpoint that may have gone dark, and the pause between them: an opening
# packet may be lost on its way.
LOOKS = 3
LOOK_PAUSE = timedelta(milliseconds=300)


class Endings:
    """Looks whether endpoints have ended, once for all that ask at the same time.

    An endpoint that has ended refuses connections: its instance is there, and nothing
    listens. One whose connections were reset or cut on the way takes a new one, or
    gives no answer.

    :param clock: source of elapsed time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._looks: dict[str, tuple[timedelta, Event]] = {}

    def has_ended(self, record: EndpointRecord) -> bool:
        """Return whether an endpoint that has just lost a connection has ended."""
        now = self._clock.elapsed()
        self._forget_old(now)
        if record.name in self._looks:
            return self._looks[record.name][1].wait()
        outcome = Event()
        self._looks[record.name] = (now, outcome)
        refused = False
        try:
            refused = record.pool.look() is Reach.REFUSED
        finally:
            outcome.send(refused)
        return refused

    def look_often(self, record: EndpointRecord) -> Reach:
        """Return what an endpoint whose entry has lapsed makes of a connection.

        It counts as giving no answer if it gives none several times.
        """
        for number in range(LOOKS):
            if number:
                sleep(LOOK_PAUSE)
            reach = record.pool.look()
            if reach is not Reach.UNANSWERED:
                return reach
        return Reach.UNANSWERED

    def _forget_old(self, now: timedelta) -> None:
        for name, (began_at, outcome) in list(self._looks.items()):
            if outcome.ready() and now - began_at > VALID:
                del self._looks[name]
