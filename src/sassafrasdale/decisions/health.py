"""Outlier ejection of endpoints, with probation and slow start."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from datetime import timedelta
from random import Random
from statistics import median_low

from sassafrasdale.charts import Chart, Lifecycle, load_chart
from sassafrasdale.decisions.backoff import spread_retry_after


@dataclass(frozen=True, slots=True)
class HealthSettings:
    """Constants of outlier ejection.

    :param failures: consecutive failures after which an endpoint is ejected.
    :param ejection: minimum duration of an ejection; the actual one is random, up to
        twice as long.
    :param slow_start: time over which a readmitted endpoint's weight rises to 1.
    :param smallest_weight: weight of an endpoint that was just readmitted.
    :param most_ejected: maximum fraction of the endpoints that may be ejected.
    :param slow_factor: multiple of the endpoints' median latency above which an
        endpoint's weight is reduced in proportion.
    :param latency_smoothing: weight of a new latency in an endpoint's moving average.
    :param failure_smoothing: weight of a new outcome in an endpoint's failure rate.
    :param failure_half_life: half-life of a failure rate, so that an endpoint that gets
        no requests is tried again.
    :param tolerated_failures: excess of the failure rate over the endpoints' median up
        to which the weight is unchanged.
    :param failure_cost: reduction of the weight per unit of failure rate above that; 0
        if only consecutive failures count.
    """

    failures: int = 5
    ejection: timedelta = timedelta(seconds=5)
    slow_start: timedelta = timedelta(seconds=2)
    smallest_weight: float = 0.1
    most_ejected: float = 0.7
    slow_factor: float = 2.0
    latency_smoothing: float = 0.1
    failure_smoothing: float = 0.15
    failure_half_life: timedelta = timedelta(seconds=4)
    tolerated_failures: float = 0.1
    failure_cost: float = 0.0


@dataclass(slots=True)
class _EndpointRecord:
    """Health of one endpoint.

    :param until: end of the ejection or of the slow start.
    :param outcome_at: elapsed time of the last outcome, from which the failure rate
        decays.
    """

    lifecycle: Lifecycle = field(default_factory=lambda: Lifecycle(_chart()))
    failures: int = 0
    until: timedelta = timedelta()
    latency: timedelta | None = None
    failure_rate: float = 0.0
    outcome_at: timedelta = timedelta()
    has_succeeded_last: bool = False


def _chart() -> Chart:
    return load_chart("endpoint_health")


class Health:
    """Health of the endpoints of one service, as observed by one entry.

    Usage::

        health.observe("model-1", ok=False, now=clock.elapsed())
        weights = health.weights(clock.elapsed())

    :param rng: source of randomness, so that entries readmit at different times.
    """

    def __init__(self, rng: Random, settings: HealthSettings | None = None) -> None:
        self._rng = rng
        self._settings = settings or HealthSettings()
        self._records: dict[str, _EndpointRecord] = {}

    def set_endpoints(self, names: frozenset[str]) -> None:
        """Set the current endpoints; remove those that left."""
        kept = {name: self._records.get(name) for name in sorted(names)}
        self._records = {
            name: record or _EndpointRecord() for name, record in kept.items()
        }

    def forget(self, name: str) -> None:
        """Reset an endpoint that was replaced by a new one of its name."""
        if name in self._records:
            self._records[name] = _EndpointRecord()

    def observe(
        self,
        name: str,
        *,
        ok: bool,
        now: timedelta,
        latency: timedelta | None = None,
        weight: int = 1,
    ) -> None:
        """Record the outcome of a request to an endpoint.

        :param weight: number of failures that this one counts as.
        :param latency: duration of a successful request, for services whose requests
            all take about equally long.
        """
        record = self._records.get(name)
        if record is None:
            return
        self._advance(record, now)
        self._record_outcome(record, ok, now)
        if ok:
            record.failures = 0
            self._record_latency(record, latency)
            return
        record.failures += weight
        if self._is_outlier(record) and self._may_eject():
            self._eject(record, now)

    def may_serve(self, name: str, now: timedelta) -> bool:
        """Return whether an endpoint is not ejected: its weight is above 0."""
        record = self._records.get(name)
        if record is None:
            return True
        self._advance(record, now)
        return record.lifecycle.state != "ejected"

    def has_succeeded_last(self, name: str) -> bool:
        """Return whether the last outcome at an endpoint was a success.

        That of an endpoint without any is not known.
        """
        record = self._records.get(name)
        return record is not None and record.has_succeeded_last

    def weights(self, now: timedelta) -> Mapping[str, float]:
        """Return each endpoint's weight: 0 ejected, 1 healthy, between on probation."""
        for record in self._records.values():
            self._advance(record, now)
        median = self._median_latency()
        failure_rates = {
            name: self._failure_rate(record, now)
            for name, record in self._records.items()
        }
        median_rate = median_low(failure_rates.values()) if failure_rates else 0.0
        return {
            name: self._weight(record, now)
            * self._latency_factor(record, median)
            * self._failure_factor(failure_rates[name] - median_rate)
            for name, record in self._records.items()
        }

    def _record_outcome(
        self, record: _EndpointRecord, ok: bool, now: timedelta
    ) -> None:
        failure_rate = self._failure_rate(record, now)
        outcome = 0.0 if ok else 1.0
        record.failure_rate = failure_rate + self._settings.failure_smoothing * (
            outcome - failure_rate
        )
        record.outcome_at = now
        record.has_succeeded_last = ok

    def _failure_rate(self, record: _EndpointRecord, now: timedelta) -> float:
        age = now - record.outcome_at
        return record.failure_rate * 0.5 ** (age / self._settings.failure_half_life)

    def _failure_factor(self, excess: float) -> float:
        """Return the weight factor of an endpoint for its failure rate.

        An endpoint that fails only some of its requests is rarely ejected, since each
        success resets its consecutive failures. If all endpoints fail alike, none is
        penalized.
        """
        settings = self._settings
        reduction = (
            max(excess - settings.tolerated_failures, 0.0) * settings.failure_cost
        )
        return max(1 - reduction, settings.smallest_weight)

    def _record_latency(
        self, record: _EndpointRecord, latency: timedelta | None
    ) -> None:
        if latency is None:
            return
        if record.latency is None:
            record.latency = latency
        change = latency - record.latency
        record.latency += change * self._settings.latency_smoothing

    def _median_latency(self) -> timedelta | None:
        known = [rec.latency for rec in self._records.values() if rec.latency]
        return median_low(known) if known else None

    def _latency_factor(
        self, record: _EndpointRecord, median: timedelta | None
    ) -> float:
        """Return the weight factor of an endpoint for its latency.

        An endpoint that is slow but responds is never ejected, and with few requests in
        flight it looks idle; without this factor it would get its full share.
        """
        if median is None or record.latency is None:
            return 1.0
        slowness = record.latency / (median * self._settings.slow_factor)
        return max(1 / max(slowness, 1.0), self._settings.smallest_weight)

    def _is_outlier(self, record: _EndpointRecord) -> bool:
        if record.lifecycle.state == "probation":
            return True
        return record.failures >= self._settings.failures

    def _may_eject(self) -> bool:
        ejected = sum(
            rec.lifecycle.state == "ejected" for rec in self._records.values()
        )
        return ejected + 1 <= len(self._records) * self._settings.most_ejected

    def _eject(self, record: _EndpointRecord, now: timedelta) -> None:
        if not record.lifecycle.allows("eject"):
            return
        record.lifecycle.fire("eject")
        record.until = now + spread_retry_after(self._settings.ejection, self._rng)
        record.failures = 0

    def _advance(self, record: _EndpointRecord, now: timedelta) -> None:
        if record.lifecycle.state == "ejected" and now >= record.until:
            record.lifecycle.fire("readmit")
            record.until = now + self._settings.slow_start
        if record.lifecycle.state == "probation" and now >= record.until:
            record.lifecycle.fire("recover")

    def _weight(self, record: _EndpointRecord, now: timedelta) -> float:
        match record.lifecycle.state:
            case "ejected":
                return 0.0
            case "probation":
                left = (record.until - now) / self._settings.slow_start
                return max(1 - left, self._settings.smallest_weight)
            case _:
                return 1.0
