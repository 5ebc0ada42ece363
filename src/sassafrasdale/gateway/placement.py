"""Which endpoint gets a request."""

from collections import OrderedDict
from collections.abc import Collection, Mapping, Sequence
from datetime import timedelta
from random import Random

from xxhash import xxh64_intdigest

from sassafrasdale.decisions.fetching import pays, transfer_time
from sassafrasdale.decisions.news import NO_LOAD, ToldLoad, still_unread
from sassafrasdale.decisions.paces import EnginePaces
from sassafrasdale.deployment import PromptPart, RequestTraits, Service
from sassafrasdale.gateway.directory import EndpointRecord

# Time that each request that runs on an engine adds to another's.
RUNNING_TIME = timedelta(milliseconds=2)
# Time that a request takes at a plain endpoint while it has free places.
PLAIN_TIME = timedelta(milliseconds=20)
# Handicap of an endpoint in another availability zone: the way there and back, and
# the price of the bytes.
OTHER_ZONE = timedelta(milliseconds=4)
# Part of an engine's memory that cached parts are expected to keep; running
# requests have the rest.
CACHED_SHARE = 0.6
# Time in which an engine that starts gets most of the shared parts that are in use.
FILLING = timedelta(seconds=8)


class CacheBelief:
    """Which prompt parts each engine is expected to have in its memory.

    Known from this gateway's own sends. Besides, a part is expected at its home,
    which all gateways find by the same hash: some of them will have sent it there.
    Without that, a gateway that once went elsewhere for the load would go on doing
    so, and each part would be read by many engines.
    """

    def __init__(self) -> None:
        self._parts: dict[str, OrderedDict[str, int]] = {}
        self._tokens: dict[str, int] = {}

    def sent(self, endpoint: str, parts: Sequence[PromptPart], capacity: int) -> None:
        """Note that an engine reads a prompt."""
        held = self._parts.setdefault(endpoint, OrderedDict())
        total = self._tokens.get(endpoint, 0)
        for part in parts:
            total += part.tokens - held.pop(part.name, 0)
            held[part.name] = part.tokens
        while total > capacity * CACHED_SHARE and held:
            total -= held.popitem(last=False)[1]
        self._tokens[endpoint] = total

    def cached_tokens(self, endpoint: str, parts: Sequence[PromptPart]) -> int:
        """Return how much of a prompt's beginning an engine is expected to have."""
        held = self._parts.get(endpoint, {})
        tokens = 0
        for part in parts:
            if part.name not in held:
                break
            tokens += part.tokens
        return tokens

    def forget(self, endpoint: str) -> None:
        """Drop what is known of an engine that is gone."""
        self._parts.pop(endpoint, None)
        self._tokens.pop(endpoint, None)


def shared_parts(traits: RequestTraits) -> tuple[PromptPart, ...]:
    """Return the parts of a prompt that other requests may have, too."""
    return traits.parts[:-1]


def home_of(part: str, names: Collection[str]) -> str:
    """Return the endpoint that a part's hash names, on all gateways alike."""
    return max(names, key=lambda name: xxh64_intdigest(f"{part} {name}".encode()))


class Placement:
    """Chooses endpoints by the time that a request is expected to take there.

    :param availability_zone: where this gateway runs.
    :param cache: expected contents of the engines' memories.
    :param paces: how much slower some engines are than others.
    """

    def __init__(
        self,
        availability_zone: str,
        cache: CacheBelief,
        paces: EnginePaces,
        rng: Random,
    ) -> None:
        self._availability_zone = availability_zone
        self._cache = cache
        self._paces = paces
        self._rng = rng

    def choose(
        self,
        candidates: Sequence[EndpointRecord],
        service: Service,
        traits: RequestTraits,
        peers: Mapping[str, ToldLoad],
        weights: Mapping[str, float],
        token_time: timedelta,
        unseen: timedelta = timedelta(),
    ) -> EndpointRecord | None:
        """Return the best of the candidates, or None if there are none.

        :param peers: load from the other gateways, by endpoint.
        :param weights: health by endpoint; 0 for one that is ejected.
        :param token_time: time that an engine takes for a prompt token.
        :param unseen: engine time that the other gateways' requests have most likely
            taken at an endpoint since they told their loads.
        """
        if not candidates:
            return None
        sound = [rec for rec in candidates if weights.get(rec.name, 1.0) > 0]
        home = self._home(sound or candidates, traits)
        slowness = self._paces.slowness([record.name for record in candidates])

        def cost(record: EndpointRecord) -> timedelta:
            load = peers.get(record.name, NO_LOAD)
            pace = token_time * slowness.get(record.name, 1.0)
            expected = self._expected_time(record, service, traits, load, home, pace)
            expected += unseen * self._rng.random()
            return expected / max(weights.get(record.name, 1.0), 0.05)

        return min(sound or candidates, key=lambda rec: (cost(rec), rec.name))

    def source(
        self,
        record: EndpointRecord,
        others: Sequence[EndpointRecord],
        service: Service,
        traits: RequestTraits,
        token_time: timedelta,
        now: timedelta,
    ) -> EndpointRecord | None:
        """Return the engine from which another one should fetch shared parts.

        That is the one that this gateway sent them to, or else their home among the
        others: a new engine becomes the home of parts that the next one has had so far.
        An engine that has them already fetches nothing.

        :param record: the engine that gets the request.
        :param others: engines that still serve, leaving ones too.
        :param now: elapsed time.
        """
        shared = shared_parts(traits)
        wanted = sum(part.tokens for part in shared)
        missing = wanted - self._cache.cached_tokens(record.name, shared)
        engine = service.engine
        if engine is None or not pays(missing, engine.link, token_time):
            return None
        others = [other for other in others if other.name != record.name]
        if not others:
            return None
        best = max(others, key=lambda rec: self._cache.cached_tokens(rec.name, shared))
        if self._cache.cached_tokens(best.name, shared) >= wanted:
            return best
        # New ones have had little yet; where all are new, any may be the one.
        filled = [rec for rec in others if now - rec.listed_at > FILLING] or others
        home = self._home(filled, traits)
        return next(other for other in filled if other.name == home)

    def unread_tokens(
        self,
        record: EndpointRecord,
        candidates: Sequence[EndpointRecord],
        traits: RequestTraits,
    ) -> int:
        """Return the prompt tokens that an engine is expected to have to read.

        :param candidates: the engines among which the home of a part is found.
        """
        return self._uncached_tokens(record, traits, self._home(candidates, traits))

    def _uncached_tokens(
        self, record: EndpointRecord, traits: RequestTraits, home: str
    ) -> int:
        prompt = traits.prompt_tokens or 0
        if record.name == home:
            cached = sum(part.tokens for part in shared_parts(traits))
        else:
            cached = self._cache.cached_tokens(record.name, traits.parts)
        return max(prompt - cached, 0)

    def _home(self, candidates: Sequence[EndpointRecord], traits: RequestTraits) -> str:
        parts = shared_parts(traits)
        if not parts:
            return ""
        return home_of(parts[-1].name, [rec.name for rec in candidates])

    def _expected_time(
        self,
        record: EndpointRecord,
        service: Service,
        traits: RequestTraits,
        load: ToldLoad,
        home: str,
        token_time: timedelta,
    ) -> timedelta:
        here = record.endpoint.availability_zone == self._availability_zone
        distance = timedelta() if here else OTHER_ZONE
        in_flight = record.in_flight + load.in_flight
        if service.engine is None:
            return distance + PLAIN_TIME * (1 + in_flight / record.endpoint.slots)
        unread = record.unread_tokens + still_unread(load, token_time)
        own = self._uncached_tokens(record, traits, home)
        shared = self._missing_shared(record, traits, home)
        if pays(shared, service.engine.link, token_time):
            own -= shared
            distance += transfer_time(shared, service.engine.link)
        return distance + token_time * (unread + own) + RUNNING_TIME * in_flight

    def _missing_shared(
        self, record: EndpointRecord, traits: RequestTraits, home: str
    ) -> int:
        """Return the tokens of shared parts that an engine is expected to lack."""
        if record.name == home:
            return 0
        shared = shared_parts(traits)
        wanted = sum(part.tokens for part in shared)
        return wanted - self._cache.cached_tokens(record.name, shared)
