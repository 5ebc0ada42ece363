"""Open-loop callers of streams, who come back once after a rejection."""

import re
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from datetime import timedelta
from itertools import count
from random import Random

from sassafrasdale.clock import SystemClock, milliseconds
from sassafrasdale.green import connect, sleep, spawn
from standins.gateway_fleet import GatewayProcess, status_of
from tests.gateway.world import request

CLOCK = SystemClock()
OBJECTIVE = timedelta(milliseconds=800)
DEADLINE = timedelta(seconds=3)
# Callers heed a Retry-After up to this fraction of the time that they have left.
RETRY_AFTER_FRACTION = 1 / 3
_RETRY_AFTER = re.compile(rb"retry-after: ([\d.]+)", re.IGNORECASE)
_FIRST_EVENT = b"\ndata: "
_STREAM_END = b"0\r\n\r\n"


@dataclass(frozen=True, slots=True)
class Kind:
    """A kind of request.

    :param rate: requests per second.
    :param tokens: length of the prompt.
    :param prefix: prefix of its targets, which selects the route.
    :param key: API key of its customer.
    """

    rate: float
    tokens: int
    prefix: str = "/reports/"
    key: str = "key-1"


@dataclass(slots=True)
class Attempt:
    """One attempt of a caller and what it received."""

    request_id: str
    gateway: str
    sent_at: timedelta
    received: bytes = b""
    first_event_at: timedelta | None = None
    ended_at: timedelta | None = None

    @property
    def status(self) -> int:
        """Status of the response; 0 if there is none."""
        return status_of(self.received)

    @property
    def is_rejected(self) -> bool:
        """Whether the response says that the request did not run."""
        return self.status in (429, 503)

    @property
    def is_answered(self) -> bool:
        """Whether a whole response was received."""
        return self.status != 0 and (
            self.status != 200 or self.received.endswith(_STREAM_END)
        )

    @property
    def retry_after(self) -> timedelta | None:
        """Time after which the caller should come back; None if it should not."""
        found = _RETRY_AFTER.search(self.received)
        return timedelta(seconds=float(found.group(1))) if found else None


@dataclass(slots=True)
class Call:
    """A caller's request over its attempts."""

    began_at: timedelta
    attempts: list[Attempt] = field(default_factory=list)

    @property
    def first_event_at(self) -> timedelta | None:
        """Time of its first event; None if there was none."""
        return self.attempts[-1].first_event_at

    @property
    def is_on_time(self) -> bool:
        """Whether the first event arrived within the objective."""
        at = self.first_event_at
        return at is not None and at - self.began_at <= OBJECTIVE


class Callers:
    """Callers that send at random times, whatever becomes of earlier requests.

    :param gateways: returns the gateways that the balancer sends to.
    """

    def __init__(self, gateways: Callable[[], list[GatewayProcess]]) -> None:
        self._gateways = gateways
        self._rng = Random(1)
        self._numbers = count()
        self._open = 0
        self.calls: dict[Kind, list[Call]] = {}

    @property
    def attempts(self) -> list[Attempt]:
        """All attempts."""
        return [
            attempt
            for calls in self.calls.values()
            for call in calls
            for attempt in call.attempts
        ]

    def send(self, kinds: Iterable[Kind], period: timedelta) -> None:
        """Send requests of some kinds for a time.

        The times of all are drawn at the start, so that a busy machine only delays
        requests and doesn't lower their rate.
        """
        began_at = CLOCK.elapsed()
        arrivals = []
        for kind in kinds:
            at = timedelta()
            while (at := at + self._pause(kind)) < period:
                arrivals.append((at, kind))
        for at, kind in sorted(arrivals, key=lambda arrival: arrival[0]):
            sleep(max(began_at + at - CLOCK.elapsed(), timedelta()))
            call = Call(CLOCK.elapsed())
            self.calls.setdefault(kind, []).append(call)
            self._open += 1
            spawn(self._play, kind, call)
        sleep(max(began_at + period - CLOCK.elapsed(), timedelta()))

    def wait_for_the_last(self) -> None:
        """Wait until all requests have ended."""
        while self._open:
            sleep(timedelta(milliseconds=20))

    def _pause(self, kind: Kind) -> timedelta:
        return timedelta(seconds=self._rng.expovariate(kind.rate))

    def _play(self, kind: Kind, call: Call) -> None:
        first = self._attempt(kind, call)
        pause = first.retry_after
        left = call.began_at + DEADLINE - CLOCK.elapsed()
        if first.is_rejected and pause and pause <= left * RETRY_AFTER_FRACTION:
            sleep(pause)
            self._attempt(kind, call)
        self._open -= 1

    def _attempt(self, kind: Kind, call: Call) -> Attempt:
        gateway = self._rng.choice(self._gateways())
        number = next(self._numbers)
        attempt = Attempt(f"r-{number}", gateway.name, CLOCK.elapsed())
        call.attempts.append(attempt)
        left = call.began_at + DEADLINE - CLOCK.elapsed()
        headers = {
            "Deadline-Ms": str(max(milliseconds(left), 1)),
            "Token-Count": f"{kind.tokens},8",
        }
        data = request(f"{kind.prefix}{number}", attempt.request_id, **headers)
        data = data.replace(b"Api-Key: key-1", f"Api-Key: {kind.key}".encode())
        _exchange(gateway, data, attempt)
        attempt.ended_at = CLOCK.elapsed()
        return attempt


def _exchange(gateway: GatewayProcess, data: bytes, attempt: Attempt) -> None:
    try:
        sock = connect(gateway.address, timedelta(seconds=1))
    except OSError:
        return
    try:
        sock.settimeout(DEADLINE.total_seconds())
        sock.sendall(data)
        while part := sock.recv(65_536):
            attempt.received += part
            if attempt.first_event_at is None and _FIRST_EVENT in attempt.received:
                attempt.first_event_at = CLOCK.elapsed()
    except OSError:
        return
    finally:
        sock.close()
