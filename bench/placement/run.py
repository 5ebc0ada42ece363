"""Plays a setting on several seeds, for one way to look at old news."""

from collections import Counter
from datetime import timedelta
from itertools import product
from random import Random
from statistics import fmean

from cyclopts import run

from bench.placement.model import (
    STREAM_TIME,
    Engine,
    Gateway,
    Job,
    Outcome,
    Setting,
)
from sassafrasdale.decisions.fetching import MemoryLink
from sassafrasdale.decisions.news import ToldLoad
from sassafrasdale.deployment import (
    EngineTraits,
    PromptPart,
    RequestTraits,
    Service,
)

# Engines of a run, by how much slower they are than the fastest.
SLOWNESS = ((1, 1, 1.3, 1, 1), (1, 1, 1.3))
LINK = MemoryLink(35_136, 550_000e6)


def play(setting: Setting, seed: int, *, noise: float, drains: bool, fetch: bool):
    """Return the outcome of one run.

    :param noise: part of the unseen work that choices are spread over.
    :param drains: whether what peers told counts as read since.
    """
    rng = Random(seed)
    ever: set[str] = set()
    engines = [
        Engine(f"i-{n}", slow, setting, ever) for n, slow in enumerate(setting.slowness)
    ]
    by_name = {engine.name: engine for engine in engines}
    gateways = [Gateway(engines, Random(rng.random())) for _ in range(setting.gateways)]
    weights = [rng.uniform(0.5, 1.5) for _ in gateways]
    service = Service("m", EngineTraits(128, 1_067_497, LINK if fetch else None))
    token_time = timedelta(seconds=setting.token_time)
    now = 0.0
    number = 0
    ending = []
    told = [(0.0, {}) for _ in gateways]
    next_news = [rng.uniform(0, setting.news) for _ in gateways]
    done = []
    total_rate = sum(kind.rate for kind in setting.kinds) * setting.load
    work_rate = 0.0
    while now < setting.seconds:
        now += rng.expovariate(total_rate / setting.clump)
        for engine in engines:
            for job in engine.advance(now):
                job.record.unread_tokens -= job.unread
                ending.append((job.first_at + STREAM_TIME, job))
                done.append(job)
        still = []
        for at, job in ending:
            if at <= now:
                job.record.in_flight -= 1
            else:
                still.append((at, job))
        ending = still
        for index, gateway in enumerate(gateways):
            if now >= next_news[index]:
                told[index] = (now, gateway.loads())
                next_news[index] = now + setting.news
        for _ in range(1 + int(rng.expovariate(1 / max(setting.clump - 1, 1e-9)))):
            [index] = rng.choices(range(len(gateways)), weights)
            kind = rng.choices(setting.kinds, [kind.rate for kind in setting.kinds])[0]
            gateway = gateways[index]
            parts = []
            for level, (tokens, things) in enumerate(kind.shared):
                parts.append(
                    PromptPart(f"{kind.name}{level}-{rng.randrange(things)}", tokens)
                )
            mu = -(kind.sigma**2) / 2
            own = min(
                int(kind.mean * rng.lognormvariate(mu, kind.sigma)), int(kind.most)
            )
            number += 1
            parts.append(PromptPart(f"own{number}", own))
            traits = RequestTraits(
                "r",
                prompt_tokens=sum(part.tokens for part in parts),
                parts=tuple(parts),
            )
            peers = {}
            ages = []
            for other, (at, loads) in enumerate(told):
                if other == index:
                    continue
                ages.append(now - at)
                for name, (in_flight, unread) in loads.items():
                    before = peers.get(name, (0, 0.0, 0.0))
                    peers[name] = (
                        before[0] + in_flight,
                        before[1] + unread,
                        before[2] + unread * (now - at),
                    )
            heard = {}
            for name, (in_flight, unread, aged) in peers.items():
                age = aged / unread if drains and unread else 0.0
                heard[name] = ToldLoad(in_flight, unread, timedelta(seconds=age))
            unseen = timedelta(
                seconds=noise * work_rate * sum(ages) / len(ages) / len(engines)
            )
            records = list(gateway.records.values())
            record = gateway.placement.choose(
                records, service, traits, heard, {}, token_time, unseen
            )
            source = gateway.placement.source(
                record, records, service, traits, token_time
            )
            unread = gateway.placement.unread_tokens(record, records, traits)
            if source is not None:
                unread = min(unread, own)
            gateway.cache.sent(record.name, traits.parts, 1_067_497)
            job = Job(kind, traits, gateway, record, unread, now)
            record.in_flight += 1
            record.unread_tokens += unread
            work_rate += unread * setting.token_time / 5
            by_name[record.name].take(
                now, number, job, by_name[source.name] if source else None
            )
        work_rate *= 1 - min(0.2 * setting.clump / total_rate, 1)
    outcome = Outcome(read_again=sum(engine.read_again for engine in engines))
    asked, late, owed, earned = Counter(), Counter(), 0.0, 0.0
    for job in done:
        if job.sent_at < 10:
            continue
        worth = job.kind.worth * (
            0.3 + 0.7 * job.traits.prompt_tokens / (job.kind.mean + 1)
        )
        on_time = job.first_at - job.sent_at <= job.kind.objective
        asked[job.kind.name] += 1
        late[job.kind.name] += not on_time
        owed += worth
        earned += worth * (1 if on_time else 0.1)
    outcome.late = {name: late[name] / asked[name] for name in asked}
    outcome.credit = earned / owed
    return outcome


def compare(seeds: int) -> None:
    """Print credit, late requests and tokens read again for each way to choose."""
    header = ("engines", "drains", "fetch", "noise", "credit", "late", "read again")
    print("\t".join(header))
    ways = product(SLOWNESS, (False, True), (False, True), (0, 0.5, 1, 2))
    for slowness, drains, fetch, noise in ways:
        setting = Setting(slowness=slowness, load=1.3)
        rows = [
            play(setting, seed, noise=noise, drains=drains, fetch=fetch)
            for seed in range(seeds)
        ]
        late = {
            name: round(fmean(row.late[name] for row in rows), 4)
            for name in rows[0].late
        }
        credit = round(fmean(row.credit for row in rows), 4)
        again = int(fmean(row.read_again for row in rows))
        print(len(slowness), drains, fetch, noise, credit, late, again, sep="\t")


if __name__ == "__main__":
    run(compare)
