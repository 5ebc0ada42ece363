"""Whether a canary version is worse than the baseline version.

The outcomes of the requests to both versions over the same time are compared, by route
and by check: the failure rate, and the rate of responses that are several times slower
than usual. The evaluation rules are data classes; :func:`evaluate` applies either.
"""

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from datetime import timedelta
from math import exp, log

# Response times are counted in buckets with exponential bounds: each upper bound is
# this multiple of the previous one; the first is a millisecond.
BUCKET_RATIO = 1.5
MAX_BUCKETS = 30
# A response is slow if it takes this multiple of the median of its route and is beyond
# this quantile of it.
SLOW_RATIO = 2.0
SLOW_QUANTILE = 0.9
# Minimum number of baseline responses that define the baseline of a route.
MIN_BASELINE_RESPONSES = 20
# Tolerated rates of failures and of slow responses above the baseline. Few requests
# cannot distinguish smaller differences, and the endpoints of the baseline version have
# warm caches.
TOLERATED_FAILURES = 0.03
TOLERATED_SLOWNESS = 0.12
# Rates of bad responses above the tolerated one that are assumed for a bad version.
ALTERNATIVES = (0.1, 0.2, 0.4, 0.7)
# A version may become bad late. Responses of about this time are also evaluated
# separately, as all good ones before would hide the bad ones.
RECENT_WINDOW = timedelta(seconds=5)
# Minimum number of responses of the other endpoints that attribute a fault to one
# endpoint alone.
MIN_CLEARING_RESPONSES = 8
# If this fraction of the bad responses came from one endpoint, the evaluation waits for
# responses of others, up to this number of bad ones.
SINGLE_ENDPOINT_SHARE = 0.8
MAX_SINGLE_ENDPOINT_BAD = 15


@dataclass(slots=True)
class Outcomes:
    """Outcomes of the requests to some endpoints, on one route.

    :param answered: requests with a complete response.
    :param failed: requests that ran and failed.
    :param times: response times, as counts by bucket.
    """

    answered: int = 0
    failed: int = 0
    times: Counter[int] = field(default_factory=Counter)

    @property
    def count(self) -> int:
        """Number of requests that have ended."""
        return self.answered + self.failed

    def add(self, other: "Outcomes") -> None:
        """Add the outcomes of other requests."""
        self.answered += other.answered
        self.failed += other.failed
        self.times.update(other.times)

    def copy(self) -> "Outcomes":
        """Return an independent copy."""
        return Outcomes(self.answered, self.failed, self.times.copy())

    def since(self, earlier: "Outcomes") -> "Outcomes":
        """Return the difference to an earlier count, at least 0 if counts were lost."""
        return Outcomes(
            max(self.answered - earlier.answered, 0),
            max(self.failed - earlier.failed, 0),
            self.times - earlier.times,
        )

    def slower_than(self, bucket: int) -> int:
        """Return how many responses are above a bucket."""
        return sum(count for index, count in self.times.items() if index > bucket)


# Outcomes by endpoint, or group of endpoints, and route.
OutcomeTable = Mapping[tuple[str, str], Outcomes]


def latency_bucket(duration: timedelta) -> int:
    """Return the bucket of a response time."""
    millis = max(duration / timedelta(milliseconds=1), 1.0)
    return min(int(log(millis) / log(BUCKET_RATIO)) + 1, MAX_BUCKETS)


@dataclass(frozen=True, slots=True)
class FixedThreshold:
    """Rejects if the rate of bad responses exceeds the baseline by a fixed amount.

    :param excess: allowed rate of bad responses above the baseline.
    :param min_responses: minimum number of responses for a verdict.
    """

    excess: float = 0.15
    min_responses: int = 20


@dataclass(frozen=True, slots=True)
class SequentialTest:
    """Rejects once the odds against a good version are high.

    A mixture of likelihood ratios, valid for any number of responses: the probability
    that a good version ever exceeds the odds is at most the inverse of the odds.

    :param odds: odds that reject a version during the rollout.
    :param final_odds: odds that reject it at the end of the rollout. A good version
        that is rolled back can be tried again; a bad one that is completed cannot be
        taken back.
    """

    odds: float = 200.0
    final_odds: float = 20.0


Rule = FixedThreshold | SequentialTest


@dataclass(frozen=True, slots=True)
class Verdict:
    """Result of an evaluation.

    :param is_rejected: whether the version is rejected.
    :param reason: the check that failed, with its counts.
    """

    is_rejected: bool
    reason: str = ""


PASSED = Verdict(False)


@dataclass(frozen=True, slots=True)
class _Comparison:
    """Bad responses among those of the canary, and the rate in the baseline."""

    check: str
    bad: int
    count: int
    baseline: float

    def odds(self) -> float:
        """Return the odds that these responses come from a bad version."""
        logs = [self._log_ratio(self.baseline + excess) for excess in ALTERNATIVES]
        highest = max(logs)
        mean = sum(exp(value - highest) for value in logs) / len(logs)
        total = highest + log(mean)
        return exp(min(total, 700.0))

    def _log_ratio(self, share: float) -> float:
        share = min(share, 0.99)
        good = self.count - self.bad
        gained = self.bad * log(share / self.baseline)
        return gained + good * log((1 - share) / (1 - self.baseline))


def evaluate(
    canary: OutcomeTable, baseline: OutcomeTable, rule: Rule, *, final: bool = False
) -> Verdict:
    """Return whether the canary version is rejected.

    A fault of one endpoint is not attributed to its version: if the responses of the
    others indicate a good version, it is not rejected.

    :param canary: outcomes of the canary version.
    :param baseline: outcomes of the baseline version, over the same time.
    :param rule: evaluation rule.
    :param final: whether this is the last evaluation of the rollout.
    """
    finding = _most_significant(canary, baseline, rule, final=final)
    if finding is None:
        return PASSED
    for endpoint in {endpoint for endpoint, _ in canary}:
        rest = {key: row for key, row in canary.items() if key[0] != endpoint}
        others = _find_check(finding.check, rest, baseline)
        if others.count >= MIN_CLEARING_RESPONSES and others.odds() < 1:
            return PASSED
        is_single_endpoint = (
            finding.bad - others.bad >= finding.bad * SINGLE_ENDPOINT_SHARE
        )
        if is_single_endpoint and not final and finding.bad < MAX_SINGLE_ENDPOINT_BAD:
            return PASSED
    share = f"{finding.bad} of {finding.count}, usual {finding.baseline:.2f}"
    return Verdict(True, f"{finding.check}: {share}")


def _most_significant(
    canary: OutcomeTable, baseline: OutcomeTable, rule: Rule, *, final: bool
) -> _Comparison | None:
    """Return the comparison that rejects with the highest odds, if any."""
    found = [
        comparison
        for comparison in _comparisons(canary, baseline)
        if _rejects(comparison, rule, final=final)
    ]
    return max(found, key=lambda comparison: comparison.odds(), default=None)


def _rejects(comparison: _Comparison, rule: Rule, *, final: bool) -> bool:
    match rule:
        case FixedThreshold(excess, min_responses):
            if comparison.count < min_responses:
                return False
            return comparison.bad / comparison.count > comparison.baseline + excess
        case SequentialTest(odds, final_odds):
            return comparison.odds() >= (final_odds if final else odds)


def _find_check(check: str, rest: OutcomeTable, baseline: OutcomeTable) -> _Comparison:
    """Return the comparison of one check.

    :param rest: outcomes of the canary version without those of one endpoint.
    """
    for comparison in _comparisons(rest, baseline):
        if comparison.check == check:
            return comparison
    return _Comparison(check, 0, 0, 0.0)


def _comparisons(canary: OutcomeTable, baseline: OutcomeTable) -> Iterable[_Comparison]:
    """Compare each route, and all of them together, by each check."""
    canary_routes = _by_route(canary)
    baseline_routes = _by_route(baseline)
    overall = _sum(baseline_routes.values())
    slow = []
    for route, outcomes in canary_routes.items():
        usual = baseline_routes.get(route, overall)
        enough = usual.count >= MIN_BASELINE_RESPONSES
        yield _failures(f"failures on {route}", outcomes, usual if enough else overall)
        if enough and route in baseline_routes and usual.times and outcomes.times:
            slow.append(_slowness(f"slow on {route}", outcomes, usual))
    if len(canary_routes) > 1:
        yield _failures("failures on all routes", _sum(canary_routes.values()), overall)
    yield from slow
    if len(slow) > 1:
        yield _pooled("slow on all routes", slow)


def _failures(check: str, outcomes: Outcomes, usual: Outcomes) -> _Comparison:
    baseline = usual.failed / usual.count if usual.count else 0.0
    return _Comparison(
        check,
        outcomes.failed,
        outcomes.count,
        _capped_share(baseline + TOLERATED_FAILURES),
    )


def _slowness(check: str, outcomes: Outcomes, usual: Outcomes) -> _Comparison:
    limit = _slow_bucket(usual.times)
    baseline = usual.slower_than(limit) / usual.times.total()
    return _Comparison(
        check,
        outcomes.slower_than(limit),
        outcomes.times.total(),
        _capped_share(baseline + TOLERATED_SLOWNESS),
    )


def _pooled(check: str, comparisons: Sequence[_Comparison]) -> _Comparison:
    count = sum(comparison.count for comparison in comparisons)
    expected = sum(part.baseline * part.count for part in comparisons)
    bad = sum(comparison.bad for comparison in comparisons)
    return _Comparison(check, bad, count, expected / count)


def _capped_share(share: float) -> float:
    return min(share, 0.9)


def _slow_bucket(times: Counter[int]) -> int:
    """Return the highest bucket of responses that are not slow.

    :param times: at least one.
    """
    median = _quantile(times, 0.5)
    scaled = median + round(log(SLOW_RATIO) / log(BUCKET_RATIO))
    return max(scaled, _quantile(times, SLOW_QUANTILE))


def _quantile(times: Counter[int], share: float) -> int:
    wanted = times.total() * share
    cumulative = 0
    for bucket in sorted(times):
        cumulative += times[bucket]
        if cumulative >= wanted:
            return bucket
    return max(times)


def _by_route(rows: OutcomeTable) -> dict[str, Outcomes]:
    routes: dict[str, Outcomes] = {}
    for (_, route), outcomes in rows.items():
        routes.setdefault(route, Outcomes()).add(outcomes)
    return routes


def _sum(rows: Iterable[Outcomes]) -> Outcomes:
    total = Outcomes()
    for outcomes in rows:
        total.add(outcomes)
    return total


NO_OUTCOMES = Outcomes()


def split_outcomes(rows: OutcomeTable) -> tuple[OutcomeTable, OutcomeTable]:
    """Return the outcomes of the canary version, and those of the others.

    :param rows: outcomes by group and route; the others have an empty group.
    """
    canary = {key: row for key, row in rows.items() if key[0]}
    baseline = {key: row for key, row in rows.items() if not key[0]}
    return canary, baseline


class CanaryAnalysis:
    """Evaluates a canary version repeatedly while its requests are answered.

    :param rule: evaluation rule.
    """

    def __init__(self, rule: Rule) -> None:
        self._rule = rule
        self._earlier: dict[tuple[str, str], Outcomes] = {}
        self._latest: dict[tuple[str, str], Outcomes] = {}
        self._latest_at = timedelta()

    def evaluate(
        self, rows: OutcomeTable, now: timedelta, *, final: bool = False
    ) -> Verdict:
        """Return whether the version is rejected, by all outcomes or the recent ones.

        :param rows: outcomes so far; those of the baseline version have an empty group.
        :param now: elapsed time.
        :param final: whether this is the last evaluation of the rollout.
        """
        if now - self._latest_at >= RECENT_WINDOW / 2:
            self._earlier = self._latest
            self._latest = {key: row.copy() for key, row in rows.items()}
            self._latest_at = now
        recent = {
            key: row.since(self._earlier.get(key, NO_OUTCOMES))
            for key, row in rows.items()
        }
        verdicts = (
            evaluate(*split_outcomes(table), self._rule, final=final)
            for table in (rows, recent)
        )
        return next((verdict for verdict in verdicts if verdict.is_rejected), PASSED)
