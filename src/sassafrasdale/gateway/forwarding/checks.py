"""Checks of this gateway's own links to endpoints."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from datetime import timedelta
from random import Random

from logbook import Logger

from sassafrasdale.clock import Clock
from sassafrasdale.deployment import Service
from sassafrasdale.gateway.directory import Directory, EndpointRecord
from sassafrasdale.green import Event, sleep, spawn
from sassafrasdale.http.connections import ProbeResult
from sassafrasdale.platform.signals import health_request

log = Logger("links")

# Time in which an endpoint must respond to a check.
CHECK_TIMEOUT = timedelta(milliseconds=400)
# Time in which other endpoints' responses that are on their way show that this gateway
# reaches them; a check of its own costs them a request.
OTHERS_WAIT = timedelta(milliseconds=20)
OTHERS_POLL = timedelta(milliseconds=5)
# Other endpoints that are checked at once, and how often: those that refuse may have
# crashed as well.
OTHERS_CHECKED_AT_ONCE = 2
MAX_OTHERS_ROUNDS = 4
# Checks in the background at the same time.
MAX_BACKGROUND_CHECKS = 2
# Time for which peers that ask about the same endpoint get the same answer.
ANSWER_TTL = timedelta(milliseconds=100)


@dataclass(slots=True)
class _Check:
    """A check of a link, under way or ended."""

    result: Event = field(default_factory=Event)
    ended_at: timedelta = timedelta()


class LinkChecks:
    """Checks whether endpoints respond to this gateway.

    :param directory: the registered endpoints.
    :param service: returns a service of the current configuration.
    :param is_brittle: returns whether an endpoint fails if it has to reject requests,
        so that a check must not take a slot there.
    :param clock: source of elapsed time.
    :param rng: source of randomness.
    """

    def __init__(
        self,
        directory: Directory,
        service: Callable[[str], Service],
        is_brittle: Callable[[str], bool],
        clock: Clock,
        rng: Random,
    ) -> None:
        self._directory = directory
        self._service = service
        self._is_brittle = is_brittle
        self._clock = clock
        self._rng = rng
        self._checks: dict[tuple[str, bool], _Check] = {}
        self._in_background = 0

    def forget_unregistered(self) -> None:
        """Forget the checks of endpoints that are gone."""
        records = self._directory.records
        for key in [key for key in self._checks if key[0] not in records]:
            del self._checks[key]

    def check(self, record: EndpointRecord, *, is_new: bool) -> ProbeResult:
        """Return the result of a check, one for all that ask at the same time.

        :param is_new: whether it needs a new connection; each has a price.
        """
        now = self._clock.elapsed()
        check = self._checks.get((record.name, is_new))
        if check is not None and (
            not check.result.ready() or now - check.ended_at < ANSWER_TTL
        ):
            return check.result.wait()
        check = self._checks[record.name, is_new] = _Check()
        return self._run(record, check, is_new)

    def begin(self, records: Sequence[EndpointRecord]) -> None:
        """Check some endpoints in the background, for the bytes of their responses.

        Where a check would only open a connection, it shows nothing. Where only new
        connections respond, the kept ones are dropped.
        """
        for record in self._rng.sample(records, len(records)):
            if self._in_background >= MAX_BACKGROUND_CHECKS:
                return
            if self._has_health_check(record):
                self._in_background += 1
                spawn(self._check_in_background, record)

    def _check_in_background(self, record: EndpointRecord) -> None:
        try:
            if self.check(record, is_new=False) is not ProbeResult.SILENT:
                return
            if self.check(record, is_new=True) is ProbeResult.OPEN:
                log.info("kept connections died", endpoint=record.name)
                record.pool.close()
        finally:
            self._in_background -= 1

    def _has_health_check(self, record: EndpointRecord) -> bool:
        path = self._service(record.endpoint.service).health_path
        return bool(path) and not self._is_brittle(record.name)

    def _run(self, record: EndpointRecord, check: _Check, is_new: bool) -> ProbeResult:
        path = self._service(record.endpoint.service).health_path
        result = ProbeResult.UNANSWERED
        try:
            if self._has_health_check(record):
                result = record.pool.check(
                    health_request(path), CHECK_TIMEOUT, is_new=is_new
                )
            else:
                result = record.pool.probe()
        finally:
            check.ended_at = self._clock.elapsed()
            check.result.send(result)
        return result

    def reaches_others(self, record: EndpointRecord, since: timedelta) -> bool:
        """Return whether this gateway reaches an endpoint other than one."""
        others = [
            other
            for other in self._directory.records.values()
            if other is not record and other.is_ready
        ]
        if not others:
            return True
        deadline = since + OTHERS_WAIT
        while self._clock.elapsed() < deadline:
            if any(_has_received(other, since) for other in others):
                return True
            sleep(OTHERS_POLL)
        return self._any_responds(self._rng.sample(others, len(others)))

    def _any_responds(self, records: list[EndpointRecord]) -> bool:
        """Check endpoints by turns until one responds, or is not known to refuse."""
        for _ in range(MAX_OTHERS_ROUNDS):
            chosen = records[:OTHERS_CHECKED_AT_ONCE]
            records = records[OTHERS_CHECKED_AT_ONCE:]
            checks = [spawn(self.check, record, is_new=False) for record in chosen]
            results = [check.wait() for check in checks]
            if ProbeResult.OPEN in results:
                return True
            if any(result is not ProbeResult.REFUSED for result in results):
                return False
        return False


def _has_received(record: EndpointRecord, since: timedelta) -> bool:
    received_at = record.pool.received_at
    return received_at is not None and received_at > since
