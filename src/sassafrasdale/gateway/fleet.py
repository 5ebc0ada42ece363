"""Endpoint choice and load accounting for the attempts of this gateway's requests."""

from collections.abc import Callable, Collection, Iterator, Mapping, Sequence
from datetime import timedelta

from sassafrasdale.clock import Clock
from sassafrasdale.decisions.request_times import RequestTimes
from sassafrasdale.decisions.shares import DemandShares
from sassafrasdale.decisions.silence import CommonStall
from sassafrasdale.decisions.step_times import EngineStepTimes, low_gap
from sassafrasdale.decisions.stream_versions import UNRESUMABLE_RETRY_AFTER
from sassafrasdale.deployment import (
    Bounds,
    Configuration,
    Customer,
    EndpointSignals,
    RequestTraits,
    Service,
)
from sassafrasdale.gateway.admission.endpoint_times import EndpointTimes
from sassafrasdale.gateway.admission.free_capacity import FreeCapacity
from sassafrasdale.gateway.advertisements.endpoint_gate import (
    EndpointGate,
    Unavailability,
)
from sassafrasdale.gateway.attempts import Attempt
from sassafrasdale.gateway.directory import Directory, EndpointRecord
from sassafrasdale.gateway.dispatcher_client import DispatcherClient
from sassafrasdale.gateway.dispatcher_messages import Assignment, AttemptResult
from sassafrasdale.gateway.eligibility import EndpointEligibility
from sassafrasdale.gateway.peer_loads import PeerLoads
from sassafrasdale.gateway.peering import Peering
from sassafrasdale.gateway.placement import (
    CacheEstimate,
    Placement,
    shared_parts,
)
from sassafrasdale.gateway.plain_endpoints import PlainEndpoints
from sassafrasdale.gateway.prefill_times import PrefillTimes
from sassafrasdale.gateway.retry_budgets import RetryBudgets
from sassafrasdale.gateway.rollouts import Rollouts
from sassafrasdale.gateway.usage import UsageCounts

# Time over which the engines' load is averaged. Requests arrive in bursts, and
# endpoints take seconds to start, so a burst is over before they would help.
WORK_WINDOW = timedelta(seconds=5)
# An endpoint that doesn't respond is most likely gone; one that returns an occasional
# error may be as good as the others.
NO_RESPONSE_WEIGHT = 3
VERSION_UNAVAILABLE = Unavailability(
    "no endpoint of the stream's version", UNRESUMABLE_RETRY_AFTER
)


class Fleet:
    """All endpoints, with this gateway's and its peers' attempts in progress.

    :param directory: registered endpoints.
    :param placement: chooses among them.
    :param cache: estimated contents of the engines' KV caches.
    :param step_times: estimates the engines' step times from the gaps between stream
        events.
    :param peering: the other gateways.
    :param usage: counts of the requests that ran.
    :param configuration: returns the current configuration.
    :param bounds: share of requests that may be retried.
    :param rollouts: which versions of a service's endpoints get requests.
    :param gate: which endpoints take a request now.
    :param dispatcher_client: reports on the attempts that the zone's dispatcher counts;
        None if there are none.
    :param may_begin: returns whether streams of a service may begin at a version.
    """

    def __init__(
        self,
        directory: Directory,
        placement: Placement,
        cache: CacheEstimate,
        step_times: EngineStepTimes,
        peering: Peering,
        usage: UsageCounts,
        configuration: Callable[[], Configuration],
        bounds: Bounds,
        clock: Clock,
        rollouts: Rollouts,
        gate: EndpointGate,
        dispatcher_client: DispatcherClient | None = None,
        may_begin: Callable[[str, str], bool] = lambda service, version: True,
    ) -> None:
        self._eligibility = EndpointEligibility(directory, rollouts, may_begin, clock)
        self._gate = gate
        self._dispatcher_client = dispatcher_client
        self._rollouts = rollouts
        self._directory = directory
        self._placement = placement
        self._cache = cache
        self._step_times = step_times
        self._peering = peering
        self._usage = usage
        self._configuration = configuration
        self._clock = clock
        self._retry_budgets = RetryBudgets(bounds, peering.gateway_count, clock)
        self._prefill_times = PrefillTimes(peering.prefill_times)
        self._work = DemandShares(WORK_WINDOW)
        self._request_times = RequestTimes()
        self._peer_loads = PeerLoads(peering)
        self._free_capacity = FreeCapacity(
            configuration,
            directory.of_service,
            step_times.slowness,
            self._prefill_times,
            self._peer_loads,
        )
        self._common_stall = CommonStall()
        self._capacities: dict[str, float] = {}
        self._plain_endpoints = PlainEndpoints(directory, peering, configuration, clock)
        self._endpoint_times = EndpointTimes(
            configuration,
            directory.of_service,
            self._plain_endpoints,
            self._prefill_times,
            clock,
        )

    @property
    def endpoint_times(self) -> EndpointTimes:
        """Expected times of requests at their endpoints."""
        return self._endpoint_times

    @property
    def retry_budgets(self) -> RetryBudgets:
        """Budgets for retries."""
        return self._retry_budgets

    def endpoints(self, service: str) -> list[EndpointRecord]:
        """Return the endpoints of a service that may get requests."""
        return self._eligibility.endpoints(service)

    def is_registered(self, record: EndpointRecord) -> bool:
        """Return whether an endpoint is registered as ready."""
        return self._directory.records.get(record.name) is record and record.is_ready

    def doubt_version(self, attempt: Attempt) -> None:
        """Record that an attempt's endpoint may have restarted."""
        self._directory.doubt_version(attempt.record)

    def since_receipt(self) -> timedelta | None:
        """Return the time since bytes came from any endpoint; None if none ever did."""
        return self._directory.since_receipt()

    def token_times(self) -> dict[str, float]:
        """Return the measured time per prompt token, in seconds, by service."""
        return self._prefill_times.measured()

    def work(self) -> Mapping[str, float]:
        """Return the engine time that this gateway's requests take per second."""
        return self._work.report(self._clock.elapsed())

    def request_time(self, service: str) -> timedelta | None:
        """Return the mean endpoint time of requests placed here; None if unknown."""
        return self._request_times.mean(service, self._clock.elapsed())

    def refresh_peer_loads(self) -> None:
        """Update the peers' loads from their latest reports."""
        self._peer_loads.refresh()
        self._capacities.clear()
        self._plain_endpoints.refresh()
        self._free_capacity.refresh()

    def is_full(self, service: str) -> bool:
        """Return whether a service is known to have no endpoint with room now."""
        return self._free_capacity.is_full(service)

    @property
    def report_age(self) -> timedelta:
        """Mean age of the other gateways' load reports."""
        return self._peer_loads.report_age

    def is_dispatched(self, service: str) -> bool:
        """Return whether the zone's dispatcher assigns a service's endpoints.

        Only it knows how much room brittle endpoints have.
        """
        if self._service(service).engine is not None:
            return True
        registered = self._directory.of_service(service)
        is_assigned = self._plain_endpoints.is_assigned(service)
        return is_assigned or self._gate.rooms.has_brittle(registered)

    def backed_off(self) -> frozenset[str]:
        """Return the endpoints that want no requests from this gateway now."""
        return self._gate.backed_off()

    def all_backed_off(self, service: str, backed_off: Collection[str]) -> bool:
        """Return whether all endpoints of a service are among the backed-off ones."""
        if not backed_off:
            return False
        registered = self._directory.of_service(service)
        return all(record.name in backed_off for record in registered)

    def capacity(self, service: str) -> float:
        """Return the endpoint time per second for the requests that wait here."""
        if service not in self._capacities:
            # Many requests need it between two refreshes.
            self._capacities[service] = self._estimate_capacity(service)
        return self._capacities[service]

    def _estimate_capacity(self, service: str) -> float:
        weights = self._health_weights(service)
        usable = [
            record.name
            for record in self._eligibility.endpoints(service)
            if weights.get(record.name, 1.0) > 0
        ]
        slowness = self._step_times.slowness(usable)
        total = sum(1 / slowness.get(name, 1.0) for name in usable)
        own = self.work().get(service, 0.0)
        return total * self._peering.work_share(service, own)

    def peer_in_flight(self, endpoint: str) -> int:
        """Return the requests in flight that the other gateways last reported."""
        return self._peer_loads.in_flight(endpoint)

    def start_canary_attempt(
        self,
        service: str,
        traits: RequestTraits,
        tried: Collection[str],
        route: str,
    ) -> Attempt | None:
        """Start at a canary endpoint if the request is in the canary's sample."""
        sample, candidates = self._eligibility.sample(service, route, traits, tried)
        if not candidates:
            return None
        backed_off = self._gate.backed_off()
        return self._start_among(
            candidates, sample, service, traits, backed_off, is_retry=False
        )

    def count_attempt(self, attempt: Attempt, *, is_retry: bool) -> None:
        """Count an attempt for the retry budget and the canary's statistics.

        :param is_retry: whether this attempt is a retry.
        """
        self._retry_budgets.count_attempt(attempt.service, is_retry=is_retry)
        if not is_retry and self._rollouts:
            self._rollouts.record_request(attempt.record, attempt.route)

    def adopt_assignment(
        self,
        assigned: Assignment,
        service: str,
        traits: RequestTraits,
        tried: Collection[str],
    ) -> Attempt | None:
        """Return the attempt at an assigned endpoint; None if it can't be used here."""
        record = self._directory.records.get(assigned.endpoint)
        is_usable = (
            record is not None
            and self._eligibility.may_use(record, service, traits, tried)
            and not self._gate.is_backed_off(record)
        )
        if not is_usable or not (assigned.has_permit or self._gate.take(record)):
            return None
        self._cache.record_prompt(
            record.name, traits.parts, self._cache_tokens(service)
        )
        return Attempt(
            record,
            service,
            self._clock.elapsed(),
            assigned.prefill_tokens,
            self._directory.records.get(assigned.source),
            assigned.queued_tokens,
            has_permit=assigned.has_permit or self._gate.is_limited(record),
            needed=timedelta(seconds=assigned.needed_s),
        )

    def _health_weights(self, service: str) -> Mapping[str, float]:
        """Return the endpoints' health weights by name; 0 excludes an endpoint."""
        return self._directory.health_of(service).weights(self._clock.elapsed())

    def count_locally(self, attempt: Attempt) -> None:
        """Count an attempt locally that the dispatcher no longer counts."""
        attempt.number = None
        attempt.record.in_flight += 1
        if not attempt.has_first_token:
            attempt.record.prefill_tokens += attempt.prefill_tokens

    def start_local_attempt(
        self,
        service: str,
        traits: RequestTraits,
        tried: Collection[str],
        backed_off: Collection[str],
        *,
        is_retry: bool,
        only_with_room: bool = False,
        connected: Collection[str] | None = None,
    ) -> Attempt | None:
        """Choose an endpoint by this gateway's own data, and count the attempt.

        :param backed_off: endpoints that want no requests from the gateway that will
            send the attempt, which may be another one.
        :param only_with_room: whether only endpoints that have room come into question.
        :param connected: endpoints to which that gateway has connections to reuse; None
            if that is not known.
        """
        registered = self._eligibility.endpoints_for(service, traits)
        candidates = [record for record in registered if record.name not in tried]
        return self._start_among(
            candidates,
            registered,
            service,
            traits,
            backed_off,
            is_retry=is_retry,
            only_with_room=only_with_room,
            connected=connected,
        )

    def _start_among(
        self,
        candidates: Sequence[EndpointRecord],
        registered: Sequence[EndpointRecord],
        service: str,
        traits: RequestTraits,
        backed_off: Collection[str],
        *,
        is_retry: bool,
        only_with_room: bool = False,
        connected: Collection[str] | None = None,
    ) -> Attempt | None:
        """Choose among the candidates, and count the attempt as in progress.

        An endpoint that fails is chosen only if all fail, not if the others are
        backed off or at their limits.

        :param registered: endpoints of the same versions, among which prompt parts have
            their owners.
        :param backed_off: candidates that want no requests from the gateway that sends.
        """
        weights = self._health_weights(service)
        eligible = self._healthy(candidates, weights)
        if backed_off:
            eligible = [rec for rec in eligible if rec.name not in backed_off]
        if only_with_room:
            eligible = self._with_room(
                eligible, service, is_any=not backed_off and candidates == registered
            )
        permitted = self._gate.with_permit(eligible)
        if is_retry:
            permitted = self._responding(permitted, service)
        record = self._choose(permitted, service, traits, weights, connected)
        if record is None or not self._gate.take(record):
            return None
        return self._start_at(record, registered, traits, weights, is_retry=is_retry)

    def _with_room(
        self, eligible: Sequence[EndpointRecord], service: str, *, is_any: bool
    ) -> Sequence[EndpointRecord]:
        """Return the endpoints with room; remember it if the service has none.

        :param is_any: whether no endpoint is left out for this request's sake.
        """
        with_room = self._free_capacity.with_room(service, eligible)
        if eligible and not with_room and is_any:
            self._free_capacity.mark_full(service)
        return with_room

    def _healthy(
        self, candidates: Sequence[EndpointRecord], weights: Mapping[str, float]
    ) -> Sequence[EndpointRecord]:
        """Return the candidates that are not ejected, or all if all are."""
        healthy = [rec for rec in candidates if weights.get(rec.name, 1.0) > 0]
        return healthy or candidates

    def _responding(
        self, candidates: Sequence[EndpointRecord], service: str
    ) -> Sequence[EndpointRecord]:
        """Return the candidates with room whose last outcome is a success, or all.

        Few attempts are allowed, so a retry should not meet a second faulty endpoint.
        """
        health = self._directory.health_of(service)
        known = [rec for rec in candidates if health.has_succeeded_last(rec.name)]
        return self._free_capacity.with_room(service, known) or candidates

    def may_send(self, attempt: Attempt) -> bool:
        """Return whether an attempt may still be sent.

        Since it was chosen, its endpoint may have named a limit, asked for back-off,
        begun to leave, or restarted at another version.
        """
        if not self._eligibility.may_still_run(attempt):
            return False
        if self._gate.is_backed_off(attempt.record):
            return False
        if not attempt.has_permit:
            attempt.has_permit = self._gate.take(attempt.record)
        return attempt.has_permit

    def _choose(
        self,
        candidates: Sequence[EndpointRecord],
        service: str,
        traits: RequestTraits,
        weights: Mapping[str, float],
        connected: Collection[str] | None,
    ) -> EndpointRecord | None:
        """Return the endpoint for a request's next attempt, if there is one."""
        return self._placement.choose(
            candidates,
            self._service(service),
            traits,
            self._peer_loads.by_endpoint,
            weights,
            self._prefill_times.token_time(service),
            self._peer_loads.unreported_work(service, len(candidates)),
            self._plain_endpoints.slow(service, [rec.name for rec in candidates]),
            connected,
        )

    def unavailability(self, service: str, traits: RequestTraits) -> Unavailability:
        """Return why no endpoint of a service takes a request, and until when."""
        usable = self._eligibility.endpoints_for(service, traits)
        if traits.binding is not None and not usable:
            return VERSION_UNAVAILABLE
        return self._gate.unavailability(usable, self._peering.gateway_count())

    def forget(self, endpoint: str) -> None:
        """Drop what was observed of an endpoint that is gone."""
        self._plain_endpoints.forget(endpoint)

    def has_alternative(
        self, service: str, traits: RequestTraits, tried: Collection[str]
    ) -> bool:
        """Return whether endpoints that were not tried may get a request."""
        return any(map(self._gate.is_open, self._others(service, traits, tried)))

    def alternatives(
        self, service: str, traits: RequestTraits, tried: Collection[str]
    ) -> list[EndpointRecord]:
        """Return the endpoints that were not tried and may get a request now."""
        return list(filter(self._gate.is_open, self._others(service, traits, tried)))

    def may_get_room(
        self, service: str, traits: RequestTraits, excluded: Collection[str]
    ) -> bool:
        """Return whether endpoints may get a request, now or once they have room."""
        return any(map(self._gate.may_open, self._others(service, traits, excluded)))

    def _others(
        self, service: str, traits: RequestTraits, excluded: Collection[str]
    ) -> Iterator[EndpointRecord]:
        """Yield the endpoints for a request but the excluded ones."""
        for record in self._eligibility.endpoints_for(service, traits):
            if record.name not in excluded:
                yield record

    def _start_at(
        self,
        record: EndpointRecord,
        registered: Sequence[EndpointRecord],
        traits: RequestTraits,
        weights: Mapping[str, float],
        *,
        is_retry: bool,
    ) -> Attempt:
        """Count an attempt as in progress.

        :param registered: endpoints among which the owner of a prompt part is found.
        :param is_retry: whether this attempt is a retry. A request's work counts once:
            otherwise attempts that overloaded endpoints refuse would look like load.
        """
        service = self._service(record.endpoint.service)
        prefill_tokens = 0
        source = None
        if service.engine is not None:
            prefill_tokens = self._placement.prefill_tokens(
                record, registered or [record], traits
            )
            source = self._placement.source(
                record,
                self._fetch_sources(record, weights),
                service,
                traits,
                self._prefill_times.token_time(service.name),
                self._clock.elapsed(),
            )
            if source is not None:
                tokens = sum(part.tokens for part in shared_parts(traits))
                prefill_tokens = min(
                    prefill_tokens, max((traits.prompt_tokens or 0) - tokens, 0)
                )
            self._cache.record_prompt(
                record.name, traits.parts, service.engine.cache_tokens
            )
            took = prefill_tokens * self._prefill_times.token_time(service.name)
            now = self._clock.elapsed()
            if not is_retry:
                self._work.add(service.name, now, took.total_seconds())
                self._request_times.observe(service.name, took, now)
        queued = record.prefill_tokens
        record.in_flight += 1
        record.prefill_tokens += prefill_tokens
        return Attempt(
            record,
            service.name,
            self._clock.elapsed(),
            prefill_tokens,
            source,
            queued,
            self._peer_loads.report_age,
            has_permit=self._gate.is_limited(record),
        )

    def record_first_token(
        self, attempt: Attempt, *, is_prefilled: bool = True
    ) -> None:
        """Record that an endpoint has finished a prefill, or need not any more.

        :param is_prefilled: whether it has finished. An endpoint that fails a request
            at once would look like one whose prefill takes no time.
        """
        if attempt.has_first_token:
            return
        took = self._clock.elapsed() - attempt.began_at if is_prefilled else None
        if took is not None:
            self._rollouts.record_first_byte(attempt.record, attempt.route, took)
        if attempt.number is None:
            self.record_local_first_token(attempt, took)
        else:
            attempt.has_first_token = True
            self._dispatcher_client.record_first_token(attempt.number, took)

    def record_local_first_token(
        self, attempt: Attempt, took: timedelta | None
    ) -> None:
        """Record the first token of an attempt that is counted locally.

        :param took: time since it was sent; None if there was no prefill.
        """
        if attempt.has_first_token:
            return
        attempt.has_first_token = True
        attempt.record.prefill_tokens -= attempt.prefill_tokens
        self._free_capacity.record_release(attempt.record)
        if took is None:
            return
        self._endpoint_times.observe(attempt, took)
        self._prefill_times.observe(attempt.service, attempt.prefill_tokens, took)

    def finish_attempt(self, attempt: Attempt) -> None:
        """Record that an attempt is no longer in progress."""
        if attempt.number is None:
            self.finish_local_attempt(attempt)
        else:
            self._dispatcher_client.record_end(
                attempt.number, attempt.result, attempt.gap
            )

    def finish_local_attempt(self, attempt: Attempt) -> None:
        """Record the end of an attempt that is counted locally."""
        if not attempt.has_first_token:
            attempt.has_first_token = True
            attempt.record.prefill_tokens -= attempt.prefill_tokens
        attempt.record.in_flight -= 1
        self._free_capacity.record_release(attempt.record)
        if attempt.result is not AttemptResult.SUCCEEDED:
            self._gate.rooms.record_incomplete(attempt.record.name)

    def record_remote_result(
        self, record: EndpointRecord, result: AttemptResult, gap: timedelta | None
    ) -> None:
        """Record the result of another gateway's attempt that was counted here.

        :param gap: a low gap between the stream's events; None if there were too few.
        """
        if gap:
            self._step_times.observe_low_gap(record.name, gap)
        if result is AttemptResult.NEUTRAL:
            return
        self._directory.health_of(record.endpoint.service).observe(
            record.name,
            ok=result is AttemptResult.SUCCEEDED,
            now=self._clock.elapsed(),
            weight=NO_RESPONSE_WEIGHT if result is AttemptResult.FAILED else 1,
        )

    def record_signals(self, attempt: Attempt, signals: EndpointSignals | None) -> None:
        """Record what an endpoint advertises in a response.

        :param signals: None if another endpoint has responded.
        """
        if signals is not None:
            self._gate.observe(attempt.record.name, signals, attempt.began_at)

    def record_response(self, attempt: Attempt, status: int, took: timedelta) -> None:
        """Record an endpoint's response."""
        record = attempt.record
        if status < 500:
            attempt.result = AttemptResult.SUCCEEDED
        self._rollouts.record_outcome(record, attempt.route, ok=status < 500)
        self._directory.health_of(record.endpoint.service).observe(
            record.name, ok=status < 500, now=self._clock.elapsed(), latency=took
        )

    def record_stream(self, attempt: Attempt, gaps: Sequence[timedelta] = ()) -> None:
        """Record a stream that was complete.

        :param gaps: times between its events.
        """
        attempt.result = AttemptResult.SUCCEEDED
        self._rollouts.record_outcome(attempt.record, attempt.route, ok=True)
        attempt.gap = low_gap(gaps)
        if attempt.gap is not None:
            self._step_times.observe_low_gap(attempt.record.name, attempt.gap)
        self._directory.health_of(attempt.service).observe(
            attempt.record.name, ok=True, now=self._clock.elapsed()
        )

    def record_version_failure(self, attempt: Attempt) -> None:
        """Count a failure against the version of its endpoint, too.

        Not called if the endpoint itself has crashed: then all its requests fail at
        once.
        """
        self._rollouts.record_outcome(attempt.record, attempt.route, ok=False)

    def record_failure(self, attempt: Attempt, is_fault: bool) -> None:
        """Record an attempt without a response.

        A refusal is no fault, but brittle endpoints bear few of them. Nor is a stall of
        all endpoints a fault of one.
        """
        record = attempt.record
        if is_fault and self._has_stalled_with_others(record):
            attempt.result = AttemptResult.NEUTRAL
        elif is_fault:
            attempt.result = AttemptResult.FAILED
            self._directory.health_of(record.endpoint.service).observe(
                record.name,
                ok=False,
                now=self._clock.elapsed(),
                weight=NO_RESPONSE_WEIGHT,
            )
        else:
            self._gate.rooms.record_rejection(record.name)

    def _has_stalled_with_others(self, record: EndpointRecord) -> bool:
        directory = self._directory
        return self._common_stall.lasts(
            directory.since_receipt(),
            directory.waited_elsewhere(record),
            self._clock.elapsed(),
        )

    def excuse_failure(self, attempt: Attempt) -> None:
        """Take back a failure that was not the endpoint's."""
        attempt.result = AttemptResult.NEUTRAL
        self._directory.health_of(attempt.service).forget(attempt.record.name)

    def withhold_report(self, attempt: Attempt) -> None:
        """Keep a failure from the dispatcher, which may reach the endpoint."""
        attempt.result = AttemptResult.NEUTRAL

    def record_disconnect(self, attempt: Attempt) -> None:
        """Record a disconnect of the caller.

        If there was no first token yet, its wait counts as the time to first token in
        the canary's statistics.
        """
        if not attempt.has_first_token:
            waited = self._clock.elapsed() - attempt.began_at
            self._rollouts.record_first_byte(attempt.record, attempt.route, waited)

    def count_usage(self, customer: Customer | None) -> None:
        """Count a request that began to run towards its customer's usage."""
        if customer is not None:
            self._usage.add(customer.name)

    def _fetch_sources(
        self, record: EndpointRecord, weights: Mapping[str, float]
    ) -> list[EndpointRecord]:
        """Return the engines whose KV cache an engine may fetch from.

        They are healthy or about to leave, and of its version, as a KV cache is what a
        version has written.
        """
        service = record.endpoint.service
        version = record.endpoint.version
        return [
            other
            for other in self._directory.all_of_service(service)
            if weights.get(other.name, 1.0) > 0 and other.endpoint.version == version
        ]

    def _cache_tokens(self, service: str) -> int:
        engine = self._service(service).engine
        return 0 if engine is None else engine.cache_tokens

    def _service(self, name: str) -> Service:
        return self._configuration().service(name)
