"""The endpoints as one request's exchange sees them: choices, loads, budgets."""

from collections.abc import Callable, Collection, Mapping, Sequence
from datetime import timedelta

from sassafrasdale.clock import Clock
from sassafrasdale.decisions.news import ToldLoad, unseen_work
from sassafrasdale.decisions.paces import EnginePaces, low_pause
from sassafrasdale.decisions.shares import DemandShares
from sassafrasdale.deployment import (
    Bounds,
    Configuration,
    Customer,
    RequestTraits,
    Service,
)
from sassafrasdale.gateway.asking import Asking
from sassafrasdale.gateway.assignment import SendEnd
from sassafrasdale.gateway.directory import Directory, EndpointRecord
from sassafrasdale.gateway.peer_states import loads_by_endpoint
from sassafrasdale.gateway.peering import Peering
from sassafrasdale.gateway.placement import CacheBelief, Placement, shared_parts
from sassafrasdale.gateway.reading import ReadingTimes
from sassafrasdale.gateway.repeats import Repeats
from sassafrasdale.gateway.rollouts import Rollouts
from sassafrasdale.gateway.tickets import Attempt
from sassafrasdale.gateway.usage import UsageCounts

# Time over which the engines' load is averaged. Requests come in clumps; endpoints
# take seconds to start, so a clump is over before they would help.
WORK_WINDOW = timedelta(seconds=5)
# An endpoint that gives no answer at all is most likely gone; one that answers with
# a failure of its own now and then may be as good as the others.
NO_ANSWER_WEIGHT = 3


class Fleet:
    """All endpoints, with what this gateway and its peers have under way there.

    :param directory: listed endpoints.
    :param placement: choice among them.
    :param cache: expected contents of the engines' memories.
    :param paces: told of the streams' pauses.
    :param peering: the other gateways.
    :param usage: counts of the requests that began.
    :param configuration: the version in force.
    :param bounds: share of repeats that is allowed.
    :param rollouts: which versions of a service's endpoints get requests.
    :param asking: asks the zone's dispatcher; None where this gateway always chooses
        by itself.
    """

    def __init__(
        self,
        directory: Directory,
        placement: Placement,
        cache: CacheBelief,
        paces: EnginePaces,
        peering: Peering,
        usage: UsageCounts,
        configuration: Callable[[], Configuration],
        bounds: Bounds,
        clock: Clock,
        rollouts: Rollouts,
        asking: Asking | None = None,
    ) -> None:
        self._asking = asking
        self._rollouts = rollouts
        self._directory = directory
        self._placement = placement
        self._cache = cache
        self._paces = paces
        self._peering = peering
        self._usage = usage
        self._configuration = configuration
        self._clock = clock
        self._repeats = Repeats(bounds, peering.count, clock)
        self._reading = ReadingTimes(peering.token_times)
        self._work = DemandShares(WORK_WINDOW)
        self._peer_loads: dict[str, ToldLoad] = {}
        self._news_age = timedelta()
        self._peer_work: dict[str, float] = {}

    @property
    def repeats(self) -> Repeats:
        """Budget of sends beyond the first."""
        return self._repeats

    def endpoints(self, service: str) -> list[EndpointRecord]:
        """Return the endpoints of a service that get requests."""
        return self._rollouts.usable(service, self._directory.of_service(service))

    def is_listed(self, record: EndpointRecord) -> bool:
        """Return whether an endpoint is listed as one that takes requests."""
        return self._directory.records.get(record.name) is record and record.is_ready

    def token_times(self) -> dict[str, float]:
        """Return the time for a prompt token that was seen here, s, by service."""
        return self._reading.seen()

    def work(self) -> Mapping[str, float]:
        """Return the engine time that this gateway's requests take a second."""
        return self._work.report(self._clock.elapsed())

    def refresh_peer_loads(self) -> None:
        """Take the peers' loads as last heard."""
        groups = self._peering.in_touch()
        self._peer_loads = loads_by_endpoint(groups)
        self._peer_work.clear()
        ages = [group.age for group in groups]
        self._news_age = sum(ages, timedelta()) / max(len(ages), 1)

    def begin(
        self,
        service: str,
        traits: RequestTraits,
        tried: Collection[str],
        route: str = "",
        *,
        again: bool,
    ) -> Attempt | None:
        """Choose the endpoint for a request's next send, which begins.

        :param tried: endpoints that it was sent to before.
        :param route: name of its route.
        :param again: whether it was sent to any.
        :returns: None if there is no endpoint.
        """
        attempt = self._begin_next(service, traits, tried, route, again=again)
        if attempt is not None:
            attempt.route = route
        return attempt

    def _begin_next(
        self,
        service: str,
        traits: RequestTraits,
        tried: Collection[str],
        route: str,
        *,
        again: bool,
    ) -> Attempt | None:
        if not again:
            attempt = self._begin_on_trial(service, traits, tried, route)
            if attempt is not None:
                return attempt
        if self._asking is not None and self._service(service).engine is not None:
            attempt = self._begin_as_named(service, traits, tried)
            if attempt is not None:
                return attempt
        return self.begin_here(service, traits, tried, again=again)

    def _begin_on_trial(
        self,
        service: str,
        traits: RequestTraits,
        tried: Collection[str],
        route: str,
    ) -> Attempt | None:
        """Choose an endpoint of a version on trial, if the request is in the sample."""
        if not self._rollouts:
            return None
        listed = self._directory.of_service(service)
        sample = self._rollouts.sample(service, route, listed)
        candidates = [record for record in sample if record.name not in tried]
        if not candidates:
            return None
        return self._begin_among(candidates, sample, service, traits, again=False)

    def note_send(self, attempt: Attempt, *, again: bool) -> None:
        """Note that a request goes out to an endpoint.

        :param again: whether it was sent before.
        """
        self._repeats.note_send(attempt.service, again=again)
        if not again and self._rollouts:
            self._rollouts.note_send(attempt.record, attempt.route)

    def _begin_as_named(
        self, service: str, traits: RequestTraits, tried: Collection[str]
    ) -> Attempt | None:
        named = self._asking.ask(service, traits, tried)
        if named is None:
            return None
        number, assigned = named
        record = self._directory.records.get(assigned.endpoint)
        if record is None or not self._may_use(record, service, tried):
            self._asking.ended(number, SendEnd.OTHERWISE)
            return None
        self._cache.sent(record.name, traits.parts, self._cache_tokens(service))
        attempt = Attempt(
            record,
            service,
            self._clock.elapsed(),
            assigned.unread_tokens,
            self._directory.records.get(assigned.source),
            assigned.queued_tokens,
            number=number,
            named_by=self._asking.dispatcher,
        )
        self._asking.opened(number, lambda: self._take_over(attempt))
        return attempt

    def _may_use(
        self, record: EndpointRecord, service: str, tried: Collection[str]
    ) -> bool:
        """Return whether an endpoint that was named is one for this gateway, too.

        It may have learned of a departure first, or be the one that can't reach it.
        """
        if record.name in tried or not record.is_ready:
            return False
        if not self._rollouts.usable(service, [record]):
            return False
        health = self._directory.health_of(service)
        return health.may_serve(record.name, self._clock.elapsed())

    def _weights(self, service: str) -> Mapping[str, float]:
        """Return what an endpoint's health lets it have, by name; 0 for nothing."""
        return self._directory.health_of(service).weights(self._clock.elapsed())

    def _take_over(self, attempt: Attempt) -> None:
        """Count a send here that a dispatcher no longer counts."""
        attempt.number = None
        attempt.record.in_flight += 1
        if not attempt.has_first:
            attempt.record.unread_tokens += attempt.unread_tokens

    def begin_here(
        self,
        service: str,
        traits: RequestTraits,
        tried: Collection[str],
        *,
        again: bool,
    ) -> Attempt | None:
        """Choose by what this gateway knows, and count the send as under way."""
        listed = self.endpoints(service)
        candidates = [record for record in listed if record.name not in tried]
        return self._begin_among(candidates, listed, service, traits, again=again)

    def _begin_among(
        self,
        candidates: Sequence[EndpointRecord],
        listed: Sequence[EndpointRecord],
        service: str,
        traits: RequestTraits,
        *,
        again: bool,
    ) -> Attempt | None:
        """Choose among some endpoints, and count the send as under way.

        :param listed: those of the same versions, among which parts have their homes.
        """
        weights = self._weights(service)
        record = self._choose(candidates, service, traits, weights)
        if record is None:
            return None
        return self._began(record, listed, traits, weights, again=again)

    def _choose(
        self,
        candidates: Sequence[EndpointRecord],
        service: str,
        traits: RequestTraits,
        weights: Mapping[str, float],
    ) -> EndpointRecord | None:
        """Return the endpoint for a request's next send, if there is one."""
        return self._placement.choose(
            candidates,
            self._service(service),
            traits,
            self._peer_loads,
            weights,
            self._reading.token_time(service),
            unseen_work(self._work_of_peers(service), self._news_age, len(candidates)),
        )

    def _work_of_peers(self, service: str) -> float:
        """Return the peers' work as of the last refresh: many requests ask for it."""
        if service not in self._peer_work:
            work = self._peering.work(service)
            self._peer_work[service] = work
        return self._peer_work[service]

    def has_another(self, service: str, tried: Collection[str]) -> bool:
        """Return whether a service has endpoints that were not tried."""
        return any(record.name not in tried for record in self.endpoints(service))

    def _began(
        self,
        record: EndpointRecord,
        listed: Sequence[EndpointRecord],
        traits: RequestTraits,
        weights: Mapping[str, float],
        *,
        again: bool,
    ) -> Attempt:
        """Note a send as under way.

        :param listed: endpoints among which the home of a part is found.
        :param again: whether the request was sent before. Its work counts once:
            where endpoints are too few, sends that they refuse would look like load.
        """
        service = self._service(record.endpoint.service)
        unread = 0
        source = None
        if service.engine is not None:
            unread = self._placement.unread_tokens(record, listed or [record], traits)
            source = self._placement.source(
                record,
                self._fetchable(record, weights),
                service,
                traits,
                self._reading.token_time(service.name),
                self._clock.elapsed(),
            )
            if source is not None:
                tokens = sum(part.tokens for part in shared_parts(traits))
                unread = min(unread, max((traits.prompt_tokens or 0) - tokens, 0))
            self._cache.sent(record.name, traits.parts, service.engine.cache_tokens)
            took = unread * self._reading.token_time(service.name)
            now = self._clock.elapsed()
            if not again:
                self._work.add(service.name, now, took.total_seconds())
        queued = record.unread_tokens
        record.in_flight += 1
        record.unread_tokens += unread
        return Attempt(
            record,
            service.name,
            self._clock.elapsed(),
            unread,
            source,
            queued,
            self._news_age,
        )

    def first_token(self, attempt: Attempt, *, has_read: bool = True) -> None:
        """Note that an endpoint has read the whole prompt, or need not any more.

        :param has_read: whether it has. An endpoint that fails a request at once would
            look like one that reads in no time.
        """
        if attempt.has_first:
            return
        took = self._clock.elapsed() - attempt.began_at if has_read else None
        if took is not None:
            self._rollouts.note_first(attempt.record, attempt.route, took)
        if attempt.number is None:
            self.first_here(attempt, took)
        else:
            attempt.has_first = True
            self._asking.first_token(attempt.number, took)

    def first_here(self, attempt: Attempt, took: timedelta | None) -> None:
        """Note the same of a send that is counted here.

        :param took: time since it was sent; None where the prompt was not read.
        """
        if attempt.has_first:
            return
        attempt.has_first = True
        attempt.record.unread_tokens -= attempt.unread_tokens
        if took is not None:
            self._reading.observe(attempt.service, attempt.unread_tokens, took)

    def ended(self, attempt: Attempt) -> None:
        """Note that a send is no longer under way."""
        if attempt.number is None:
            self.end_here(attempt)
        else:
            self._asking.ended(attempt.number, attempt.end, attempt.pause)

    def end_here(self, attempt: Attempt) -> None:
        """Note the same of a send that is counted here."""
        if not attempt.has_first:
            attempt.has_first = True
            attempt.record.unread_tokens -= attempt.unread_tokens
        attempt.record.in_flight -= 1

    def observe(
        self, record: EndpointRecord, end: SendEnd, pause: timedelta | None
    ) -> None:
        """Note how another gateway's send ended, which was counted here.

        :param pause: a low pause between the stream's events; none where there were
            too few.
        """
        if pause:
            self._paces.observe_low(record.name, pause)
        if end is SendEnd.OTHERWISE:
            return
        self._directory.health_of(record.endpoint.service).observe(
            record.name,
            ok=end is SendEnd.ANSWERED,
            now=self._clock.elapsed(),
            weight=NO_ANSWER_WEIGHT if end is SendEnd.FAILED else 1,
        )

    def answered(self, attempt: Attempt, status: int, took: timedelta) -> None:
        """Note an endpoint's answer."""
        record = attempt.record
        self._rollouts.note_end(record, attempt.route, ok=status < 500)
        self._directory.health_of(record.endpoint.service).observe(
            record.name, ok=status < 500, now=self._clock.elapsed(), latency=took
        )

    def streamed(self, attempt: Attempt, pauses: Sequence[timedelta] = ()) -> None:
        """Note a stream that ended whole.

        :param pauses: times between its events.
        """
        attempt.end = SendEnd.ANSWERED
        self._rollouts.note_end(attempt.record, attempt.route, ok=True)
        attempt.pause = low_pause(pauses)
        if attempt.pause is not None:
            self._paces.observe_low(attempt.record.name, attempt.pause)
        self._directory.health_of(attempt.service).observe(
            attempt.record.name, ok=True, now=self._clock.elapsed()
        )

    def failed_by_version(self, attempt: Attempt) -> None:
        """Hold a failure against the version of its endpoint, too.

        Not where the endpoint itself has ended: all that ran there fails at once.
        """
        self._rollouts.note_end(attempt.record, attempt.route, ok=False)

    def failed(self, attempt: Attempt, is_fault: bool) -> None:
        """Note a send without an answer; a refusal is no fault."""
        record = attempt.record
        if is_fault:
            attempt.end = SendEnd.FAILED
            self._directory.health_of(record.endpoint.service).observe(
                record.name,
                ok=False,
                now=self._clock.elapsed(),
                weight=NO_ANSWER_WEIGHT,
            )

    def left(self, attempt: Attempt) -> None:
        """Note that a caller has left; what it did not wait for took this long."""
        if not attempt.has_first:
            waited = self._clock.elapsed() - attempt.began_at
            self._rollouts.note_first(attempt.record, attempt.route, waited)

    def began_to_run(self, customer: Customer | None) -> None:
        """Count a request as begun for its customer's usage."""
        if customer is not None:
            self._usage.add(customer.name)

    def _fetchable(
        self, record: EndpointRecord, weights: Mapping[str, float]
    ) -> list[EndpointRecord]:
        """Return the engines whose memory an engine can have.

        They are healthy or about to leave, and of its version while there are two.
        """
        service = record.endpoint.service
        version = record.endpoint.version
        any_version = self._rollouts.get(service) is None
        return [
            other
            for other in self._directory.all_of_service(service)
            if weights.get(other.name, 1.0) > 0
            and (any_version or other.endpoint.version == version)
        ]

    def _cache_tokens(self, service: str) -> int:
        engine = self._service(service).engine
        return 0 if engine is None else engine.cache_tokens

    def _service(self, name: str) -> Service:
        known = self._configuration().services.get(name)
        return known or Service(name)
