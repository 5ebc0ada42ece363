"""Runs settings on several seeds, with each mechanism on or off."""

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
    Outcome,
    RequestKind,
    RunSettings,
)
from sassafrasdale.decisions.fetching import CacheLink
from sassafrasdale.decisions.load_reports import ReportedLoad, unreported_work
from sassafrasdale.deployment import (
    EngineTraits,
    PromptPart,
    RequestTraits,
    Service,
)

# Loads that are compared, as multiples of the usual one: a sustainable one, a burst.
LOADS = (1.0, 1.3)
# Slowness of a run's engines, relative to the fastest.
SLOWNESS = ((1, 1, 1.3, 1, 1), (1, 1, 1.3))
LINK = CacheLink(35_136, 550_000e6)
CACHE_TOKENS = 1_067_497
# Time over which the load is averaged, s.
WORK_WINDOW = 5.0
# Requests before this time find empty engines and don't count, s.
WARM_UP = 10.0
# Credit for a late request, as a fraction of that for one on time.
LATE_CREDIT = 0.1


@dataclass(frozen=True, slots=True)
class Mechanisms:
    """Mechanisms that a run uses.

    :param noise: factor on the unreported work, over which choices are spread.
    :param age_reports: whether peers' reported prefill tokens are reduced by the time
        since the report.
    :param fetch: whether shared parts may be fetched.
    :param step_times: whether engines' step times are estimated.
    """

    noise: float = 1.0
    age_reports: bool = True
    fetch: bool = True
    step_times: bool = True


# All mechanisms, all without one of them, and none.
ABLATION = {
    "all": Mechanisms(),
    "without spreading": Mechanisms(noise=0.0),
    "without reading since": Mechanisms(age_reports=False),
    "without fetches": Mechanisms(fetch=False),
    "without paces": Mechanisms(step_times=False),
    "none": Mechanisms(noise=0.0, age_reports=False, fetch=False, step_times=False),
}


class Run:
    """One run of a setting."""

    def __init__(self, setting: RunSettings, seed: int, ways: Mechanisms) -> None:
        self._setting = setting
        self._ways = ways
        self._rng = rng = Random(seed)
        computed: set[str] = set()
        self._engines = {
            f"i-{number}": Engine(f"i-{number}", slowness, setting, computed)
            for number, slowness in enumerate(setting.slowness)
        }
        engines = list(self._engines.values())
        self._gateways = [
            Gateway(engines, Random(rng.random())) for _ in range(setting.gateways)
        ]
        # A load balancer's hash distributes connections unevenly.
        self._weights = [rng.uniform(0.5, 1.5) for _ in self._gateways]
        link = LINK if ways.fetch else None
        self._service = Service("m", EngineTraits(128, CACHE_TOKENS, link))
        self._token_time = timedelta(seconds=setting.token_time)
        self._rate = sum(kind.rate for kind in setting.kinds) * setting.load
        self._reports = [(0.0, {}) for _ in self._gateways]
        self._next_exchange = [
            rng.uniform(0, setting.report_interval) for _ in self._gateways
        ]
        self._streaming: list[Job] = []
        self._done: list[Job] = []
        self._work_rate = 0.0
        self._number = 0

    def play(self) -> Outcome:
        """Run to the end and return the results."""
        setting = self._setting
        now = 0.0
        while now < setting.seconds:
            gap = self._rng.expovariate(self._rate / setting.batch_size)
            now += gap
            self._work_rate *= max(1 - gap / WORK_WINDOW, 0)
            self._advance(now)
            self._exchange_reports(now)
            extra = self._rng.expovariate(1 / max(setting.batch_size - 1, 1e-9))
            for _ in range(1 + int(extra)):
                self._send(now)
        return self._outcome()

    def _advance(self, now: float) -> None:
        for engine in self._engines.values():
            for job in engine.advance(now):
                job.record.prefill_tokens -= job.prefill_tokens
                if self._ways.step_times:
                    job.gateway.step_times.observe(engine.name, engine.gaps())
                self._streaming.append(job)
                self._done.append(job)
        ended = [job for job in self._streaming if job.first_at + STREAM_TIME <= now]
        for job in ended:
            job.record.in_flight -= 1
            self._streaming.remove(job)

    def _exchange_reports(self, now: float) -> None:
        for number, gateway in enumerate(self._gateways):
            if now >= self._next_exchange[number]:
                self._reports[number] = (now, gateway.loads())
                self._next_exchange[number] = now + self._setting.report_interval

    def _reported_loads(self, number: int, now: float) -> Mapping[str, ReportedLoad]:
        """Return the other gateways' loads, as last reported to a gateway."""
        in_flight, prefill_tokens, weighted_ages = Counter(), Counter(), Counter()
        for other, (at, loads) in enumerate(self._reports):
            if other == number:
                continue
            for name, (running, tokens) in loads.items():
                in_flight[name] += running
                prefill_tokens[name] += tokens
                weighted_ages[name] += tokens * (now - at)
        drains = self._ways.age_reports
        return {
            name: ReportedLoad(
                count,
                prefill_tokens[name],
                timedelta(
                    seconds=weighted_ages[name] / max(prefill_tokens[name], 1)
                    if drains
                    else 0
                ),
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
            self._reported_loads(number, now),
            {},
            self._token_time,
            self._unreported(number, now) * self._ways.noise,
        )
        source = gateway.placement.source(
            record,
            records,
            self._service,
            traits,
            self._token_time,
            timedelta(seconds=now),
        )
        prefill_tokens = gateway.placement.prefill_tokens(record, records, traits)
        if source is not None:
            prefill_tokens = min(prefill_tokens, traits.parts[-1].tokens)
        gateway.cache.record_prompt(record.name, traits.parts, CACHE_TOKENS)
        record.in_flight += 1
        record.prefill_tokens += prefill_tokens
        self._work_rate += prefill_tokens * setting.token_time / WORK_WINDOW
        job = Job(kind, traits, gateway, record, prefill_tokens, now)
        self._engines[record.name].enqueue(
            now, self._number, job, self._engines[source.name] if source else None
        )

    def _unreported(self, number: int, now: float) -> timedelta:
        ages = [
            now - at for other, (at, _) in enumerate(self._reports) if other != number
        ]
        age = timedelta(seconds=fmean(ages))
        return unreported_work(self._work_rate, age, len(self._engines))

    def _draw(self, kind: RequestKind) -> RequestTraits:
        """Draw a request of a kind, with parts that it may share with others."""
        self._number += 1
        parts = [
            PromptPart(f"{kind.name}{level}-{self._rng.randrange(variants)}", tokens)
            for level, (tokens, variants) in enumerate(kind.shared)
        ]
        factor = self._rng.lognormvariate(-(kind.sigma**2) / 2, kind.sigma)
        own = int(min(kind.mean * factor, kind.max_tokens))
        parts.append(PromptPart(f"own-{self._number}", own))
        tokens = sum(part.tokens for part in parts)
        return RequestTraits("r", prompt_tokens=tokens, parts=tuple(parts))

    def _outcome(self) -> Outcome:
        counts, late = Counter(), Counter()
        possible = earned = 0.0
        for job in self._done:
            if job.sent_at < WARM_UP:
                continue
            kind = job.kind
            credit = kind.credit * (0.3 + 0.7 * job.traits.prompt_tokens / kind.mean)
            on_time = job.first_at - job.sent_at <= kind.objective
            counts[kind.name] += 1
            late[kind.name] += not on_time
            possible += credit
            earned += credit * (1 if on_time else LATE_CREDIT)
        return Outcome(
            late={name: late[name] / count for name, count in counts.items()},
            credit=earned / possible,
            recomputed_tokens=sum(
                engine.read_again for engine in self._engines.values()
            ),
        )


def play(setting: RunSettings, seed: int, ways: Mechanisms) -> Outcome:
    """Return the results of one run."""
    return Run(setting, seed, ways).play()


def compare(seeds: int) -> None:
    """Print what each mechanism is worth, at a load that is borne and at a burst."""
    header = ("engines", "load", "mechanisms", "credit", "late", "read again")
    print("\t".join(header))
    for slowness, load, (name, ways) in product(SLOWNESS, LOADS, ABLATION.items()):
        setting = RunSettings(slowness=slowness, load=load)
        rows = [play(setting, seed, ways) for seed in range(seeds)]
        late = {
            kind: round(100 * fmean(row.late[kind] for row in rows), 2)
            for kind in sorted(rows[0].late)
        }
        credit = [row.credit for row in rows]
        shown = f"{fmean(credit):.4f} ± {stdev(credit):.4f}"
        recomputed = int(fmean(row.recomputed_tokens for row in rows))
        print(len(slowness), load, name, shown, late, recomputed, sep="\t")


if __name__ == "__main__":
    run(compare)
