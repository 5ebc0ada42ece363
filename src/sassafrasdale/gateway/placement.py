"""Choice of the endpoint for a request."""

from collections import OrderedDict
from collections.abc import Collection, Mapping, Sequence
from datetime import timedelta
from random import Random

from xxhash import xxh64_intdigest

from sassafrasdale.decisions.fetching import is_fetch_worthwhile, transfer_time
from sassafrasdale.decisions.load_reports import (
    NO_LOAD,
    ReportedLoad,
    remaining_prefill_tokens,
)
from sassafrasdale.decisions.step_times import EngineStepTimes
from sassafrasdale.deployment import PromptPart, RequestTraits, Service
from sassafrasdale.gateway.directory import EndpointRecord

# Time that each running request on an engine adds to another's.
RUNNING_REQUEST_TIME = timedelta(milliseconds=2)
# Time that a request takes at a plain endpoint, one that is no engine, while it has
# free slots.
PLAIN_REQUEST_TIME = timedelta(milliseconds=20)
# Penalty for an endpoint in another availability zone: the network round trip and the
# price of the traffic.
CROSS_ZONE_PENALTY = timedelta(milliseconds=4)
# Time that a new connection costs: its handshake, and the endpoint's work for it.
NEW_CONNECTION_TIME = timedelta(milliseconds=4)
# Penalty for a full endpoint over an idle one, so that equal ones share the load.
LOAD_PENALTY = timedelta(milliseconds=1)
# Share of an engine's KV cache that cached prompt parts are expected to keep; running
# requests have the rest.
CACHED_SHARE = 0.6
# Time in which a new engine's cache receives most of the shared parts that are in use.
CACHE_WARMUP_TIME = timedelta(seconds=8)


class CacheEstimate:
    """Estimate of the prompt parts that each engine has in its KV cache.

    It is based on this gateway's own attempts. In addition, a part is assumed to be
    cached at its owner, the endpoint that rendezvous hashing picks on all gateways
    alike: some of them will have sent it there. Otherwise a gateway that once chose
    another engine because of the load would keep doing so, and many engines would
    prefill the same part.
    """

    def __init__(self) -> None:
        self._parts: dict[str, OrderedDict[str, int]] = {}
        self._tokens: dict[str, int] = {}

    def record_prompt(
        self, endpoint: str, parts: Sequence[PromptPart], capacity: int
    ) -> None:
        """Record that an engine gets a prompt."""
        cached = self._parts.setdefault(endpoint, OrderedDict())
        total = self._tokens.get(endpoint, 0)
        for part in parts:
            total += part.tokens - cached.pop(part.name, 0)
            cached[part.name] = part.tokens
        while total > capacity * CACHED_SHARE and cached:
            total -= cached.popitem(last=False)[1]
        self._tokens[endpoint] = total

    def cached_tokens(self, endpoint: str, parts: Sequence[PromptPart]) -> int:
        """Return the tokens of a prompt's prefix that an engine is expected to have."""
        cached = self._parts.get(endpoint, {})
        tokens = 0
        for part in parts:
            if part.name not in cached:
                break
            tokens += part.tokens
        return tokens

    def forget(self, endpoint: str) -> None:
        """Drop the estimate for an engine that is gone."""
        self._parts.pop(endpoint, None)
        self._tokens.pop(endpoint, None)


def shared_parts(traits: RequestTraits) -> tuple[PromptPart, ...]:
    """Return the parts of a prompt that other requests may share."""
    return traits.parts[:-1]


def owner_of(part: str, names: Collection[str]) -> str:
    """Return the owner of a part by rendezvous hashing, the same on all gateways."""
    return max(names, key=lambda name: xxh64_intdigest(f"{part} {name}".encode()))


class Placement:
    """Chooses endpoints by a request's expected completion time there.

    :param availability_zone: where this gateway runs.
    :param cache: estimated contents of the engines' KV caches.
    :param step_times: step times of the engines, some of which are slower than others.
    """

    def __init__(
        self,
        availability_zone: str,
        cache: CacheEstimate,
        step_times: EngineStepTimes,
        rng: Random,
    ) -> None:
        self._availability_zone = availability_zone
        self._cache = cache
        self._step_times = step_times
        self._rng = rng

    def choose(
        self,
        candidates: Sequence[EndpointRecord],
        service: Service,
        traits: RequestTraits,
        peer_loads: Mapping[str, ReportedLoad],
        weights: Mapping[str, float],
        token_time: timedelta,
        unreported_work: timedelta = timedelta(),
        slow_endpoints: Mapping[str, float] | None = None,
        connected: Collection[str] | None = None,
    ) -> EndpointRecord | None:
        """Return the best of the candidates, or None if there are none.

        :param peer_loads: load from the other gateways, by endpoint.
        :param weights: health by endpoint; 0 for one that is ejected.
        :param token_time: time that an engine takes to prefill a token.
        :param unreported_work: engine time that the other gateways' requests have most
            likely taken at an endpoint since they reported their loads.
        :param slow_endpoints: factors by which plain endpoints are slower than usual,
            if this gateway assigns them to all gateways of its zone; None if not.
        :param connected: endpoints to which the gateway that sends has connections to
            reuse; None if that is not known.
        """
        if not candidates:
            return None
        healthy = [rec for rec in candidates if weights.get(rec.name, 1.0) > 0]
        owner = self._owner(healthy or candidates, traits)
        slowness = self._step_times.slowness([record.name for record in candidates])

        def cost(record: EndpointRecord) -> timedelta:
            load = peer_loads.get(record.name, NO_LOAD)
            if slow_endpoints is not None and service.engine is None:
                factor = slow_endpoints.get(record.name, 1.0)
                expected = self._assigned_time(record, load) * factor
            else:
                scaled_token_time = token_time * slowness.get(record.name, 1.0)
                expected = self._expected_time(
                    record, service, traits, load, owner, scaled_token_time
                )
                expected += unreported_work * self._rng.random()
            if connected is not None and record.name not in connected:
                expected += NEW_CONNECTION_TIME
            return expected / max(weights.get(record.name, 1.0), 0.05)

        return min(healthy or candidates, key=lambda rec: (cost(rec), rec.name))

    def source(
        self,
        record: EndpointRecord,
        others: Sequence[EndpointRecord],
        service: Service,
        traits: RequestTraits,
        token_time: timedelta,
        now: timedelta,
    ) -> EndpointRecord | None:
        """Return the engine from which another one should fetch shared prompt parts.

        That is the one that this gateway sent them to, or else their owner among the
        others: a new engine becomes the owner of parts that another one has owned so
        far. An engine that has them cached fetches nothing.

        :param record: the engine that gets the request.
        :param others: engines that still serve, including leaving ones.
        :param now: elapsed time.
        """
        shared = shared_parts(traits)
        wanted = sum(part.tokens for part in shared)
        missing = wanted - self._cache.cached_tokens(record.name, shared)
        engine = service.engine
        if engine is None or not is_fetch_worthwhile(missing, engine.link, token_time):
            return None
        others = [other for other in others if other.name != record.name]
        if not others:
            return None
        best = max(others, key=lambda rec: self._cache.cached_tokens(rec.name, shared))
        if self._cache.cached_tokens(best.name, shared) >= wanted:
            return best
        # New engines have little cached yet; if all are new, any may have the parts.
        warmed_up = [
            rec for rec in others if now - rec.registered_at > CACHE_WARMUP_TIME
        ] or others
        owner = self._owner(warmed_up, traits)
        return next(other for other in warmed_up if other.name == owner)

    def prefill_tokens(
        self,
        record: EndpointRecord,
        candidates: Sequence[EndpointRecord],
        traits: RequestTraits,
    ) -> int:
        """Return the prompt tokens that an engine is expected to prefill.

        :param candidates: the engines among which the owner of a part is found.
        """
        return self._uncached_tokens(record, traits, self._owner(candidates, traits))

    def _uncached_tokens(
        self, record: EndpointRecord, traits: RequestTraits, owner: str
    ) -> int:
        prompt = traits.prompt_tokens or 0
        if record.name == owner:
            cached = sum(part.tokens for part in shared_parts(traits))
        else:
            cached = self._cache.cached_tokens(record.name, traits.parts)
        return max(prompt - cached, 0)

    def _owner(
        self, candidates: Sequence[EndpointRecord], traits: RequestTraits
    ) -> str:
        parts = shared_parts(traits)
        if not parts:
            return ""
        return owner_of(parts[-1].name, [rec.name for rec in candidates])

    def _assigned_time(self, record: EndpointRecord, load: ReportedLoad) -> timedelta:
        """Return the expected time at a plain endpoint that this gateway assigns.

        Its requests from this zone are all known, so one with a free slot takes no
        longer than an idle one. The rest comes from other zones, whose dispatchers
        prefer their own endpoints.
        """
        slots = record.endpoint.slots
        in_flight = record.in_flight + load.in_flight
        waiting = max(in_flight + 1 - slots, 0)
        expected = PLAIN_REQUEST_TIME * (1 + waiting / slots)
        if record.endpoint.availability_zone != self._availability_zone:
            expected += CROSS_ZONE_PENALTY
        return expected + LOAD_PENALTY * in_flight / slots

    def _expected_time(
        self,
        record: EndpointRecord,
        service: Service,
        traits: RequestTraits,
        load: ReportedLoad,
        owner: str,
        token_time: timedelta,
    ) -> timedelta:
        same_zone = record.endpoint.availability_zone == self._availability_zone
        network_time = timedelta() if same_zone else CROSS_ZONE_PENALTY
        in_flight = record.in_flight + load.in_flight
        if service.engine is None:
            return network_time + PLAIN_REQUEST_TIME * (
                1 + in_flight / record.endpoint.slots
            )
        queued_tokens = record.prefill_tokens + remaining_prefill_tokens(
            load, token_time
        )
        uncached = self._uncached_tokens(record, traits, owner)
        shared = self._missing_shared_tokens(record, traits, owner)
        if is_fetch_worthwhile(shared, service.engine.link, token_time):
            uncached -= shared
            network_time += transfer_time(shared, service.engine.link)
        return (
            network_time
            + token_time * (queued_tokens + uncached)
            + RUNNING_REQUEST_TIME * in_flight
        )

    def _missing_shared_tokens(
        self, record: EndpointRecord, traits: RequestTraits, owner: str
    ) -> int:
        """Return the tokens of shared parts that an engine is expected to lack."""
        if record.name == owner:
            return 0
        shared = shared_parts(traits)
        wanted = sum(part.tokens for part in shared)
        return wanted - self._cache.cached_tokens(record.name, shared)
