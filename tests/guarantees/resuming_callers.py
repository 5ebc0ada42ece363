"""Callers of streams that leave, and take their streams up at other gateways."""

import re
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from datetime import timedelta
from itertools import pairwise

from sassafrasdale.clock import SystemClock
from sassafrasdale.green import connect, sleep, spawn
from standins.gateway_endpoints import StandInEndpoint
from standins.gateway_fleet import GatewayProcess, wait_for
from tests.gateway.world import request
from tests.guarantees.gateway_fleets import ZONES, RunningFleet, start_gateways

CLOCK = SystemClock()
EVENTS = 12
EVENT_TIME = timedelta(milliseconds=100)
# Share of the streams that have begun before a disruption.
BEGUN_SHARE = 0.75
# Time without data after which a caller gives an attempt up.
SILENCE_LIMIT = timedelta(seconds=4)
_EVENT = re.compile(rb"id: (\d+)\ndata: token \d+ of \S+ by (\S+)\n\n")
_STATUS = re.compile(rb"HTTP/1\.1 (\d{3})")
_RETRY_AFTER = re.compile(rb"retry-after: ([\d.]+)", re.IGNORECASE)


@dataclass(slots=True)
class Attempt:
    """One attempt of a caller and what it received.

    :param last_event: last event that the caller had before.
    """

    request_id: str
    last_event: int
    sent_at: timedelta
    received: bytes = b""
    ended_at: timedelta | None = None
    received_at: list[timedelta] = field(default_factory=list)

    @property
    def longest_gap(self) -> timedelta:
        """Longest time without data, from the first data on."""
        pairs = pairwise(self.received_at)
        return max((late - early for early, late in pairs), default=timedelta())

    @property
    def status(self) -> int:
        """Status of the response; 0 if none began."""
        found = _STATUS.match(self.received)
        return int(found.group(1)) if found else 0

    @property
    def events(self) -> list[tuple[int, str]]:
        """Numbers of the complete events, with the versions that wrote them."""
        return [
            (int(number), version.decode())
            for number, version in _EVENT.findall(self.received)
        ]

    @property
    def has_retry_after(self) -> bool:
        """Whether the response says when to come back."""
        return bool(_RETRY_AFTER.search(self.received))

    @property
    def took(self) -> timedelta:
        """Time until its end."""
        return self.ended_at - self.sent_at


@dataclass(slots=True)
class Stream:
    """A caller's stream over all of its attempts."""

    target: str
    attempts: list[Attempt] = field(default_factory=list)

    @property
    def events(self) -> list[tuple[int, str]]:
        """All events that the caller has received, with their versions."""
        return [event for attempt in self.attempts for event in attempt.events]

    @property
    def longest_gap(self) -> timedelta:
        """Longest time without data within one of its attempts."""
        return max(attempt.longest_gap for attempt in self.attempts)

    @property
    def last_event(self) -> int:
        """Number of the last event; 0 for none."""
        return max((number for number, _ in self.events), default=0)

    @property
    def versions(self) -> set[str]:
        """Versions that wrote its events."""
        return {version for _, version in self.events}

    @property
    def first_attempt(self) -> str:
        """Id of the attempt that brought the first event; empty without one."""
        return next((each.request_id for each in self.attempts if each.events), "")

    @property
    def went_on(self) -> bool:
        """Whether it was taken up and brought further events."""
        return any(each.events for each in self.attempts if each.last_event)

    @property
    def is_complete(self) -> bool:
        """Whether each event came once and in order, up to the last one."""
        return [number for number, _ in self.events] == list(range(1, EVENTS + 1))


def add_versioned_engines(
    running: RunningFleet, versions: Sequence[str]
) -> list[StandInEndpoint]:
    """Add one engine for each of the versions, in all zones by turns."""
    engines = []
    for number, version in enumerate(versions):
        engine = running.fleet.add_endpoint(
            f"m-{number}", "models", ZONES[number % 2], streams=True, version=version
        )
        engine.events = EVENTS
        engine.event_time = EVENT_TIME
        engine.names_version = True
        engines.append(engine)
    return engines


class StreamingFleet(RunningFleet):
    """Gateways and engines of several versions, with callers of streams.

    :param gateways: number of gateways.
    :param versions: version of each engine.
    """

    def __init__(self, gateways: int, versions: Sequence[str]) -> None:
        super().__init__()
        self.engines = add_versioned_engines(self, versions)
        start_gateways(self.fleet, gateways)
        self.streams: list[Stream] = []

    @property
    def gateways(self) -> list[GatewayProcess]:
        """All gateways."""
        return self.fleet.gateways

    @property
    def mixed(self) -> list[Stream]:
        """Streams that hold events of several versions."""
        return [stream for stream in self.streams if len(stream.versions) > 1]

    @property
    def taken_up(self) -> list[Stream]:
        """Streams that were taken up after their first event."""
        return [
            stream
            for stream in self.streams
            if any(attempt.last_event for attempt in stream.attempts)
        ]

    @property
    def share_gone_on(self) -> float:
        """Fraction of the streams taken up that went on."""
        return sum(each.went_on for each in self.taken_up) / len(self.taken_up)

    def run(self, count: int, play: Callable[[Stream, int], None]) -> None:
        """Have callers play a story at the same time, and wait for all of them.

        :param play: plays one caller's story, given its stream and its number.
        """
        ended = []

        def run_one(stream: Stream, number: int) -> None:
            play(stream, number)
            ended.append(number)

        for number in range(count):
            stream = Stream(f"/reports/{len(self.streams)}")
            self.streams.append(stream)
            spawn(run_one, stream, number)
        wait_for(
            lambda: len(ended) == count, "callers not ended", timedelta(seconds=60)
        )

    def wait_until_begun(self, event: int) -> None:
        """Wait until most of the streams have come to an event."""
        wait_for(
            lambda: (
                sum(stream.last_event >= event for stream in self.streams)
                > len(self.streams) * BEGUN_SHARE
            ),
            "streams not begun",
        )

    def send(
        self,
        stream: Stream,
        gateway: int,
        *,
        leave_after: int | None = None,
        give_up_after: timedelta = SILENCE_LIMIT,
    ) -> Attempt:
        """Send an attempt, as a new stream or taking it up, and read the response.

        :param leave_after: number of the event after which the caller disconnects.
        :param give_up_after: time without data after which it disconnects.
        """
        attempt = Attempt(
            f"{stream.target.rpartition('/')[2]}-{len(stream.attempts)}",
            stream.last_event,
            CLOCK.elapsed(),
        )
        headers = {"Deadline-Ms": "8000", "Token-Count": "100,12"}
        if attempt.last_event:
            headers["Last-Event-Id"] = str(attempt.last_event)
            headers["Resumes"] = stream.first_attempt
        stream.attempts.append(attempt)
        data = request(stream.target, attempt.request_id, **headers)
        self._exchange(
            self.gateways[gateway], data, attempt, leave_after, give_up_after
        )
        attempt.ended_at = CLOCK.elapsed()
        return attempt

    def _exchange(
        self,
        gateway: GatewayProcess,
        data: bytes,
        attempt: Attempt,
        leave_after: int | None,
        give_up_after: timedelta,
    ) -> None:
        try:
            sock = connect(gateway.address, timedelta(seconds=1))
        except OSError:
            return
        try:
            sock.settimeout(give_up_after.total_seconds())
            sock.sendall(data)
            while part := sock.recv(65_536):
                attempt.received += part
                attempt.received_at.append(CLOCK.elapsed())
                if leave_after and any(n >= leave_after for n, _ in attempt.events):
                    return
        except OSError:
            return
        finally:
            sock.close()

    def take_up(self, stream: Stream, gateway: int, pause: timedelta) -> None:
        """Take a stream up at another gateway after a pause, unless it is complete."""
        if stream.last_event < EVENTS:
            sleep(pause)
            self.send(stream, gateway)
