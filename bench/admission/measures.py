"""Figures from the results of replays."""

from collections import defaultdict

from bench.admission.replay import Ending, Result


def useful_share(result: Result, start: float = 0.0, end: float = 0.0) -> float:
    """Return the work completed in time, as a share of the slots' capacity.

    :param start: second from which responses count.
    :param end: second up to which responses count, 0 for the end of the trace.
    """
    end = end or result.duration
    work = sum(
        outcome.request.work
        for outcome in result.outcomes
        if outcome.ending is Ending.IN_TIME and start <= outcome.at < end
    )
    return work / (result.slots * (end - start))


def in_time_share(result: Result, keep=lambda request: True) -> float:
    """Return the share of the requests with a response in time."""
    kept = [out for out in result.outcomes if keep(out.request)]
    good = sum(out.ending is Ending.IN_TIME for out in kept)
    return good / len(kept) if kept else 0.0


def in_time_by(result: Result, key) -> dict:
    """Return the share in time for each value of ``key(request)``."""
    groups = defaultdict(list)
    for out in result.outcomes:
        groups[key(out.request)].append(out.ending is Ending.IN_TIME)
    return {name: sum(good) / len(good) for name, good in sorted(groups.items())}


def jain(result: Result) -> float:
    """Return Jain's fairness index of in-time work over max-min fair work.

    Each customer's in-time work is divided by what a max-min fair division of
    the slots would give it; 1 is perfectly fair.
    """
    offered = defaultdict(float)
    served = defaultdict(float)
    for out in result.outcomes:
        offered[out.request.customer] += out.request.work
        if out.ending is Ending.IN_TIME:
            served[out.request.customer] += out.request.work
    fair = max_min(offered, result.slots * result.duration)
    ratios = [min(served[name] / fair[name], 1.0) for name in sorted(offered)]
    return sum(ratios) ** 2 / (len(ratios) * sum(x * x for x in ratios))


def max_min(offered: dict[str, float], capacity: float) -> dict[str, float]:
    """Return the max-min fair division of ``capacity`` among the offers."""
    fair: dict[str, float] = {}
    remaining = capacity
    for index, name in enumerate(sorted(offered, key=offered.get)):
        even_share = remaining / (len(offered) - index)
        fair[name] = min(offered[name], even_share)
        remaining -= fair[name]
    return fair


def quantile(values: list[float], share: float) -> float:
    """Return the value below which ``share`` of the values lie, 0 if none."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(int(len(ordered) * share), len(ordered) - 1)]


def held_until_shed(result: Result, share: float) -> float:
    """Return the quantile of the seconds for which shed requests were held."""
    held = [out.seconds for out in result.outcomes if out.ending is Ending.SHED]
    return quantile(held, share)


HELD_THRESHOLD = 0.05
"""Share of its timeout after which a shed request counts as held before."""


def held_share(result: Result) -> float:
    """Return the share of the shed requests that were held before they were shed."""
    shed = [out for out in result.outcomes if out.ending is Ending.SHED]
    held = sum(out.seconds > out.request.timeout * HELD_THRESHOLD for out in shed)
    return held / len(shed) if shed else 0.0


def latency(result: Result, share: float, start: float = 0.0) -> float:
    """Return the quantile of the response times in seconds, with late responses."""
    ends = (Ending.IN_TIME, Ending.LATE)
    kept = [out for out in result.outcomes if out.ending in ends and out.at >= start]
    return quantile([out.seconds for out in kept], share)


def peak_per_second(times: list[float], start: float, width: float) -> float:
    """Return the maximum rate per second in windows of ``width`` from ``start``."""
    counts: dict[int, int] = defaultdict(int)
    for when in times:
        if when >= start:
            counts[int((when - start) / width)] += 1
    return max(counts.values(), default=0) / width


def rate(times: list[float], start: float, end: float) -> float:
    """Return the mean rate per second between two seconds."""
    return sum(start <= when < end for when in times) / (end - start)
