"""Beliefs about this gateway's links to the endpoints, and their diagnosis."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from datetime import timedelta
from random import Random

from logbook import Logger

from sassafrasdale.clock import Clock, milliseconds, optional_milliseconds
from sassafrasdale.decisions.links import (
    FAILURES_TO_DIAGNOSE,
    LinkBelief,
    Reachability,
    is_confirmed_crash,
    is_link_lost,
)
from sassafrasdale.decisions.silence import (
    ENGINE_SILENCE,
    PLAIN_SILENCE,
    RESPONDING_TIME,
    is_link_suspicious,
)
from sassafrasdale.deployment import Service
from sassafrasdale.gateway.directory import Directory, EndpointRecord
from sassafrasdale.gateway.forwarding.checks import LinkChecks
from sassafrasdale.gateway.forwarding.forwarders import Forwarders
from sassafrasdale.green import Event, sleep, spawn
from sassafrasdale.http.connections import ProbeResult

log = Logger("links")

CONNECTION_FAILED = "connection failed"
TICK_INTERVAL = timedelta(milliseconds=100)
RECEIPT_POLL = timedelta(milliseconds=10)
# Minimum interval between two diagnoses of one link.
DIAGNOSIS_INTERVAL = timedelta(seconds=1)
# Time that a request waits for a diagnosis before it goes to another endpoint.
DIAGNOSIS_WAIT = timedelta(milliseconds=100)
# A kept connection of a partitioned link is used if bytes have come this recently: some
# partitions refuse new connections only.
LIVE_TIME = timedelta(milliseconds=300)
# Links that fail within this time of each other may have one cause.
FAILURE_WINDOW = timedelta(seconds=3)
# Interval at which peers are asked while links are lost: some may have recovered, or
# were never asked.
SEARCH_INTERVAL = timedelta(milliseconds=500)
# Endpoints about which peers are asked in the background at the same time.
MAX_BACKGROUND_QUESTIONS = 2


@dataclass(slots=True)
class _Link:
    """What is known of the link to one endpoint.

    :param failures: exchanges in a row that ended without a byte.
    :param unreached_at: elapsed time of the last diagnosis that found it failing.
    :param diagnosis: the diagnosis under way.
    """

    record: EndpointRecord
    belief: LinkBelief = field(default_factory=LinkBelief)
    failures: int = 0
    failed_at: timedelta = timedelta()
    diagnosed_at: timedelta | None = None
    unreached_at: timedelta | None = None
    diagnosis: Event | None = None


class LinkMonitor:
    """Finds out which links of this gateway are lost.

    :param directory: the registered endpoints.
    :param forwarders: peers that are asked whether they reach an endpoint.
    :param checks: checks links from here.
    :param service: returns a service of the current configuration.
    :param clock: source of elapsed time.
    :param rng: source of randomness.
    :param count: counts an event by name, for metrics.
    """

    def __init__(
        self,
        directory: Directory,
        forwarders: Forwarders,
        checks: LinkChecks,
        service: Callable[[str], Service],
        clock: Clock,
        rng: Random,
        count: Callable[[str], None] = lambda name: None,
    ) -> None:
        self._directory = directory
        self._forwarders = forwarders
        self._service = service
        self._checks = checks
        self._clock = clock
        self._rng = rng
        self._count = count
        self._links: dict[str, _Link] = {}
        self._next_search_at = timedelta()
        self._asking = 0

    def is_partitioned(self, record: EndpointRecord) -> bool:
        """Return whether the link to an endpoint is lost."""
        link = self._links.get(record.name)
        return link is not None and link.record is record and link.belief.is_partitioned

    def has_live_connections(self, record: EndpointRecord) -> bool:
        """Return whether bytes came a moment ago on connections that were kept."""
        received_at = record.pool.received_at
        if received_at is None:
            return False
        return self._clock.elapsed() - received_at <= LIVE_TIME

    def record_connect_failure(self, record: EndpointRecord, took: timedelta) -> bool:
        """Diagnose a link after a connection failed, and return whether it is lost.

        A diagnosis that takes long goes on in the background.

        :param took: time until the connection failed; a check would take as long.
        """
        link = self._link(record)
        diagnosis = self._begin_diagnosis(link, CONNECTION_FAILED)
        if diagnosis is not None and took < DIAGNOSIS_WAIT:
            diagnosis.wait(timeout=DIAGNOSIS_WAIT.total_seconds())
        return self.is_partitioned(record)

    def record_lost_connection(self, record: EndpointRecord) -> None:
        """Record that a connection was lost, and diagnose the link if that repeats."""
        link = self._link(record)
        received_at = record.pool.received_at
        if received_at is not None and received_at > link.failed_at:
            link.failures = 0
        link.failures += 1
        link.failed_at = self._clock.elapsed()
        if link.failures >= FAILURES_TO_DIAGNOSE:
            self._begin_diagnosis(link, "connections lost")

    def begin_checks(self, records: Sequence[EndpointRecord]) -> None:
        """Begin checks whether endpoints respond.

        Peers are asked about those that this gateway does not reach itself.
        """
        own = [record for record in records if not self.is_partitioned(record)]
        self._checks.begin(own)
        lost = [record for record in records if self.is_partitioned(record)]
        for record in self._rng.sample(lost, len(lost)):
            if self._asking >= MAX_BACKGROUND_QUESTIONS:
                return
            if self.can_check(record):
                self._asking += 1
                spawn(self._ask_in_background, record)

    def _ask_in_background(self, record: EndpointRecord) -> None:
        try:
            answers = self._forwarders.ask(record.name)
            if Reachability.REACHED in answers.values():
                record.note_reached_by_peer(self._clock.elapsed())
        finally:
            self._asking -= 1

    def can_check(self, record: EndpointRecord) -> bool:
        """Return whether a check shows that an endpoint responds."""
        return self._checks.can_check(record)

    def confirm_crash(self, record: EndpointRecord) -> bool:
        """Return whether an endpoint that seems to have crashed here has crashed.

        If it has not, this gateway's link is lost.
        """
        asked_at = self._clock.elapsed()
        others = spawn(self._checks.reaches_others, record, asked_at)
        answers = self._forwarders.ask(record.name)
        if Reachability.REACHED in answers.values():
            self._mark_lost(self._link(record), "refused", answers)
            return False
        return is_confirmed_crash(
            tuple(answers.values()),
            has_peers=self._forwarders.has_peers,
            reaches_others=others.wait(),
        )

    def answer(self, name: str) -> Reachability:
        """Return for a peer whether this gateway reaches an endpoint."""
        record = self._directory.records.get(name)
        if record is None or self.is_partitioned(record):
            return Reachability.UNKNOWN
        result = self._checks.check(record, is_new=False)
        if result is ProbeResult.OPEN:
            return Reachability.REACHED
        return Reachability.NOT_REACHED

    def run(self) -> None:
        """Watch the links until the task is killed."""
        while True:
            sleep(TICK_INTERVAL)
            self.step()

    def step(self) -> None:
        """Diagnose silent links, and check lost ones that are due."""
        now = self._clock.elapsed()
        self._look_for_forwarders(now)
        for record in list(self._directory.records.values()):
            link = self._links.get(record.name)
            partitioned = self.is_partitioned(record)
            if record.connections and self._is_silent(record, now):
                if partitioned:
                    # The idle connections are as dead as the silent ones.
                    record.pool.close()
                else:
                    self._begin_diagnosis(self._link(record), "silent")
            if partitioned and link.belief.is_check_due(now):
                link.belief.begin_check(now)
                spawn(self._recheck, link)

    def _look_for_forwarders(self, now: timedelta) -> None:
        """Ask some peers now and then whether they could help, while links are lost."""
        if now < self._next_search_at:
            return
        self._next_search_at = now + SEARCH_INTERVAL
        self._forget_unregistered()
        self._checks.forget_unregistered()
        self._forwarders.close_unlisted()
        lost = [
            name for name, link in self._links.items() if link.belief.is_partitioned
        ]
        if lost:
            spawn(self._forwarders.ask, self._rng.choice(lost))

    def _link(self, record: EndpointRecord) -> _Link:
        link = self._links.get(record.name)
        if link is None or link.record is not record:
            link = self._links[record.name] = _Link(record)
        return link

    def _forget_unregistered(self) -> None:
        records = self._directory.records
        for name, link in list(self._links.items()):
            if records.get(name) is not link.record:
                del self._links[name]

    def _is_silent(self, record: EndpointRecord, now: timedelta) -> bool:
        sent = [conn.sent_at for conn in record.connections if conn.sent_at is not None]
        if not sent:
            return False
        since = min(sent)
        if record.pool.received_at is not None:
            since = max(since, record.pool.received_at)
        is_engine = self._service(record.endpoint.service).engine is not None
        return now - since >= (ENGINE_SILENCE if is_engine else PLAIN_SILENCE)

    def _begin_diagnosis(self, link: _Link, evidence: str) -> Event | None:
        """Return the diagnosis under way; None if the last one was just now."""
        if link.belief.is_partitioned:
            return None
        if link.diagnosis is not None:
            return link.diagnosis
        now = self._clock.elapsed()
        if (
            link.diagnosed_at is not None
            and now - link.diagnosed_at < DIAGNOSIS_INTERVAL
        ):
            return None
        link.diagnosed_at = now
        diagnosis = link.diagnosis = Event()
        spawn(self._diagnose, link, evidence, diagnosis)
        return diagnosis

    def _diagnose(self, link: _Link, evidence: str, diagnosis: Event) -> None:
        try:
            is_new = evidence == CONNECTION_FAILED
            own = self._checks.check(link.record, is_new=is_new)
            checked_at = self._clock.elapsed()
            if own is ProbeResult.OPEN or not self._is_suspicious(own):
                return
            answers = self._ask(link)
            if not is_link_lost(Reachability.NOT_REACHED, tuple(answers.values())):
                return
            is_silent = own is ProbeResult.SILENT and not is_new
            if is_silent and self._goes_on(link.record, checked_at):
                log.info("silent endpoint goes on", endpoint=link.record.name)
                return
            self._mark_lost(link, evidence, answers)
        finally:
            link.diagnosis = None
            diagnosis.send(None)

    def _goes_on(self, record: EndpointRecord, since: timedelta) -> bool:
        """Return whether bytes come from an endpoint that was silent.

        Peers may have reached it as a stall of it ended. Its requests here go on then,
        too, if not in the same instant.
        """
        deadline = self._clock.elapsed() + RESPONDING_TIME
        while True:
            received_at = record.pool.received_at
            if received_at is not None and received_at > since:
                return True
            if self._clock.elapsed() >= deadline:
                return False
            sleep(RECEIPT_POLL)

    def _ask(self, link: _Link) -> dict[str, Reachability]:
        """Ask peers whether they reach an endpoint that this gateway does not reach.

        Where other links have failed, too, and the peers asked first are no help, more
        gateways of the other zones are found and asked.
        """
        answers = self._forwarders.ask(link.record.name)
        link.unreached_at = self._clock.elapsed()
        if Reachability.REACHED in answers.values() or not self._has_more_failures():
            return answers
        self._forwarders.extend()
        return self._forwarders.ask(link.record.name)

    def _has_more_failures(self) -> bool:
        since = self._clock.elapsed() - FAILURE_WINDOW
        failed = [
            link
            for link in self._links.values()
            if link.unreached_at is not None and link.unreached_at >= since
        ]
        return len(failed) > 1

    def _is_suspicious(self, own: ProbeResult) -> bool:
        if own is not ProbeResult.SILENT:
            return True
        return is_link_suspicious(self._directory.since_receipt())

    def _mark_lost(
        self, link: _Link, evidence: str, answers: dict[str, Reachability]
    ) -> None:
        if link.belief.is_partitioned:
            return
        now = self._clock.elapsed()
        link.belief.mark_lost(now)
        record = link.record
        # The failures that led here are the link's, not the endpoint's.
        self._directory.health_of(record.endpoint.service).forget(record.name)
        self._count("endpoint link lost")
        silence = None
        if record.pool.received_at is not None:
            silence = now - record.pool.received_at
        log.warning(
            "endpoint link lost",
            endpoint=record.name,
            evidence=evidence,
            silent_ms=optional_milliseconds(silence),
            reached_by=sorted(
                name
                for name, answer in answers.items()
                if answer is Reachability.REACHED
            ),
            lost=self._lost_count(),
            endpoints=len(self._directory.records),
        )
        spawn(self._forwarders.extend)
        for other in self._directory.records.values():
            if other is not record:
                self._begin_diagnosis(self._link(other), "another link is lost")

    def _lost_count(self) -> int:
        return sum(link.belief.is_partitioned for link in self._links.values())

    def _recheck(self, link: _Link) -> None:
        result = self._checks.check(link.record, is_new=True)
        lost_at = link.belief.lost_at
        now = self._clock.elapsed()
        is_answered = result is ProbeResult.OPEN
        if link.belief.record_check(now, is_answered=is_answered):
            link.failures = 0
            self._count("endpoint link regained")
            log.notice(
                "endpoint link regained",
                endpoint=link.record.name,
                lost_ms=milliseconds(now - lost_at),
                lost=self._lost_count(),
            )
