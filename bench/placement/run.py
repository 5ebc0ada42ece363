"""Plays a setting on several seeds, with each mechanism on or off."""

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass
from datetime import timedelta
from itertools import product
from random import Random
from statistics import fmean, stdev

from cyclopts import run

from bench.placement.model import (
    STREAM_TIME,
    Engine,
    Gateway,
    Job,
    Kind,
    Outcome,
    Setting,
)
from sassafrasdale.decisions.fetching import MemoryLink
from sassafrasdale.decisions.news import ToldLoad, unseen_work
from sassafrasdale.deployment import (
    EngineTraits,
    PromptPart,
    RequestTraits,
    Service,
)

# Loads that are compared, as multiples of the usual one: one that is borne, a burst.
LOADS = (1.0, 1.3)
# Engines of a run, by how much slower they are than the fastest.
SLOWNESS = ((1, 1, 1.3, 1, 1), (1, 1, 1.3))
LINK = MemoryLink(35_136, 550_000e6)
CACHE_TOKENS = 1_067_497
# Time over which the load is averaged, s.
WORK_WINDOW = 5.0
# What comes before this time meets empty engines and doesn't count, s.
WARM_UP = 10.0
# What a late request is worth, as a part of one on time.
LATE_WORTH = 0.1


@dataclass(frozen=True, slots=True)
class Ways:
    """Mechanisms that a run uses.

    :param noise: part of the unseen work that choices are spread over.
    :param drains: whether what peers told counts as read since.
    :param fetch: whether shared parts may be fetched.
    :param paces: whether engines' paces are learned.
    """

    noise: float = 1.0
    drains: bool = True
    fetch: bool = True
    paces: bool = True


# All mechanisms, each one switched off alone, and none.
ABLATION = {
    "all": Ways(),
    "without spreading": Ways(noise=0.0),
    "without reading since": Ways(drains=False),
    "without fetches": Ways(fetch=False),
    "without paces": Ways(paces=False),
    "none": Ways(noise=0.0, drains=False, fetch=False, paces=False),
}


class Run:
    """One run of a setting."""

    def __init__(self, setting: Setting, seed: int, ways: Ways) -> None:
        self._setting = setting
        self._ways = ways
        self._rng = rng = Random(seed)
        ever: set[str] = set()
        self._engines = {
            f"i-{number}": Engine(f"i-{number}", slowness, setting, ever)
            for number, slowness in enumerate(setting.slowness)
        }
        engines = list(self._engines.values())
        self._gateways = [
            Gateway(engines, Random(rng.random())) for _ in range(setting.gateways)
        ]
        # A balancer's hash is uneven.
        self._weights = [rng.uniform(0.5, 1.5) for _ in self._gateways]
        link = LINK if ways.fetch else None
        self._service = Service("m", EngineTraits(128, CACHE_TOKENS, link))
        self._token_time = timedelta(seconds=setting.token_time)
        self._rate = sum(kind.rate for kind in setting.kinds) * setting.load
        self._told = [(0.0, {}) for _ in self._gateways]
        self._next_news = [rng.uniform(0, setting.news) for _ in self._gateways]
        self._streaming: list[Job] = []
        self._done: list[Job] = []
        self._work_rate = 0.0
        self._number = 0

    def play(self) -> Outcome:
        """Play to the end and return what it gave."""
        setting = self._setting
        now = 0.0
        while now < setting.seconds:
            pause = self._rng.expovariate(self._rate / setting.clump)
            now += pause
            self._work_rate *= max(1 - pause / WORK_WINDOW, 0)
            self._read_until(now)
            self._tell(now)
            beyond_first = self._rng.expovariate(1 / max(setting.clump - 1, 1e-9))
            for _ in range(1 + int(beyond_first)):
                self._send(now)
        return self._outcome()

    def _read_until(self, now: float) -> None:
        for engine in self._engines.values():
            for job in engine.advance(now):
                job.record.unread_tokens -= job.unread
                if self._ways.paces:
                    job.gateway.paces.observe(engine.name, engine.pauses())
                self._streaming.append(job)
                self._done.append(job)
        ended = [job for job in self._streaming if job.first_at + STREAM_TIME <= now]
        for job in ended:
            job.record.in_flight -= 1
            self._streaming.remove(job)

    def _tell(self, now: float) -> None:
        for number, gateway in enumerate(self._gateways):
            if now >= self._next_news[number]:
                self._told[number] = (now, gateway.loads())
                self._next_news[number] = now + self._setting.news

    def _heard(self, number: int, now: float) -> Mapping[str, ToldLoad]:
        """Return what a gateway knows of the others' loads."""
        in_flight, unread, aged = Counter(), Counter(), Counter()
        for other, (at, loads) in enumerate(self._told):
            if other == number:
                continue
            for name, (running, tokens) in loads.items():
                in_flight[name] += running
                unread[name] += tokens
                aged[name] += tokens * (now - at)
        drains = self._ways.drains
        return {
            name: ToldLoad(
                count,
                unread[name],
                timedelta(seconds=aged[name] / max(unread[name], 1) if drains else 0),
            )
            for name, count in in_flight.items()
        }

    def _send(self, now: float) -> None:
        setting = self._setting
        [number] = self._rng.choices(range(setting.gateways), self._weights)
        gateway = self._gateways[number]
        rates = [kind.rate for kind in setting.kinds]
        [kind] = self._rng.choices(setting.kinds, rates)
        traits = self._draw(kind)
        records = list(gateway.records.values())
        record = gateway.placement.choose(
            records,
            self._service,
            traits,
            self._heard(number, now),
            {},
            self._token_time,
            self._unseen(number, now) * self._ways.noise,
        )
        source = gateway.placement.source(
            record,
            records,
            self._service,
            traits,
            self._token_time,
            timedelta(seconds=now),
        )
        unread = gateway.placement.unread_tokens(record, records, traits)
        if source is not None:
            unread = min(unread, traits.parts[-1].tokens)
        gateway.cache.sent(record.name, traits.parts, CACHE_TOKENS)
        record.in_flight += 1
        record.unread_tokens += unread
        self._work_rate += unread * setting.token_time / WORK_WINDOW
        job = Job(kind, traits, gateway, record, unread, now)
        self._engines[record.name].take(
            now, self._number, job, self._engines[source.name] if source else None
        )

    def _unseen(self, number: int, now: float) -> timedelta:
        ages = [now - at for other, (at, _) in enumerate(self._told) if other != number]
        age = timedelta(seconds=fmean(ages))
        return unseen_work(self._work_rate, age, len(self._engines))

    def _draw(self, kind: Kind) -> RequestTraits:
        """Return a request of a kind, with parts that others may share."""
        self._number += 1
        parts = [
            PromptPart(f"{kind.name}{level}-{self._rng.randrange(things)}", tokens)
            for level, (tokens, things) in enumerate(kind.shared)
        ]
        factor = self._rng.lognormvariate(-(kind.sigma**2) / 2, kind.sigma)
        own = int(min(kind.mean * factor, kind.most))
        parts.append(PromptPart(f"own-{self._number}", own))
        tokens = sum(part.tokens for part in parts)
        return RequestTraits("r", prompt_tokens=tokens, parts=tuple(parts))

    def _outcome(self) -> Outcome:
        asked, late = Counter(), Counter()
        owed = earned = 0.0
        for job in self._done:
            if job.sent_at < WARM_UP:
                continue
            kind = job.kind
            worth = kind.worth * (0.3 + 0.7 * job.traits.prompt_tokens / kind.mean)
            on_time = job.first_at - job.sent_at <= kind.objective
            asked[kind.name] += 1
            late[kind.name] += not on_time
            owed += worth
            earned += worth * (1 if on_time else LATE_WORTH)
        return Outcome(
            late={name: late[name] / count for name, count in asked.items()},
            credit=earned / owed,
            read_again=sum(engine.read_again for engine in self._engines.values()),
        )


def play(setting: Setting, seed: int, ways: Ways) -> Outcome:
    """Return the outcome of one run."""
    return Run(setting, seed, ways).play()


def compare(seeds: int) -> None:
    """Print what each mechanism is worth, at a load that is borne and at a burst."""
    header = ("engines", "load", "mechanisms", "credit", "late", "read again")
    print("\t".join(header))
    for slowness, load, (name, ways) in product(SLOWNESS, LOADS, ABLATION.items()):
        setting = Setting(slowness=slowness, load=load)
        rows = [play(setting, seed, ways) for seed in range(seeds)]
        late = {
            kind: round(100 * fmean(row.late[kind] for row in rows), 2)
            for kind in sorted(rows[0].late)
        }
        credit = [row.credit for row in rows]
        shown = f"{fmean(credit):.4f} ± {stdev(credit):.4f}"
        again = int(fmean(row.read_again for row in rows))
        print(len(slowness), load, name, shown, late, again, sep="\t")


if __name__ == "__main__":
    run(compare)
