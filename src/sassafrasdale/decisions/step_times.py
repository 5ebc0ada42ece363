"""Speed of each engine relative to the fastest of its service.

Workload: prompts of 50,000 tokens with an objective that the fastest engines just meet,
on engines of which a third take 1.3 times as long for everything. The step time of an
engine shows in the gaps between the events of any long stream, so a few streams suffice
to estimate it. Prompts ahead of a stream lengthen some gaps, so a low quantile of the
gaps of each stream is used, and a low quantile over several streams. In the model of
engines (``bench/placement``, six seeds, a burst of 1.3 times the usual load) 3.3 of 100
requests of its kind ``report`` are late on three engines without these estimates, and
2.0 with them.
"""

from collections import deque
from collections.abc import Collection, Mapping, Sequence
from datetime import timedelta

# Minimum number of gaps of a stream for an estimate.
MIN_GAPS = 8
# Quantile of the gaps of each stream: events that arrive together make the shortest
# gaps meaningless.
GAP_QUANTILE = 0.25
# Number of streams that the estimate of an engine is based on, and their minimum.
KEPT_STREAMS = 12
MIN_STREAMS = 3
# An engine that seems slower than this has a fault, which its health shows better.
MAX_SLOWNESS = 2.0


def low_gap(gaps: Sequence[timedelta]) -> timedelta | None:
    """Return a low quantile of a stream's gaps between events; None for too few."""
    if len(gaps) < MIN_GAPS:
        return None
    return sorted(gaps)[int(len(gaps) * GAP_QUANTILE)]


class EngineStepTimes:
    """Step times of engines, as estimated by one gateway."""

    def __init__(self) -> None:
        self._low_gaps: dict[str, deque[timedelta]] = {}
        self._step_times: dict[str, timedelta] = {}

    def observe(self, engine: str, gaps: Sequence[timedelta]) -> None:
        """Record the gaps between the events of a completed stream."""
        gap = low_gap(gaps)
        if gap is not None:
            self.observe_low_gap(engine, gap)

    def observe_low_gap(self, engine: str, gap: timedelta) -> None:
        """Record a stream by the low quantile of its gaps."""
        kept = self._low_gaps.setdefault(engine, deque(maxlen=KEPT_STREAMS))
        kept.append(gap)
        if len(kept) >= MIN_STREAMS:
            self._step_times[engine] = sorted(kept)[int(len(kept) * GAP_QUANTILE)]

    def forget(self, engine: str) -> None:
        """Remove an engine that is gone."""
        self._low_gaps.pop(engine, None)
        self._step_times.pop(engine, None)

    def slowness(self, engines: Collection[str]) -> Mapping[str, float]:
        """Return the step time of each engine as a multiple of the fastest one's.

        :returns: from 1 to :data:`MAX_SLOWNESS`; engines without an estimate are
            omitted.
        """
        known = {
            engine: step_time
            for engine in engines
            if (step_time := self._step_times.get(engine)) and step_time > timedelta()
        }
        fastest = min(known.values(), default=timedelta())
        return {
            engine: min(step_time / fastest, MAX_SLOWNESS)
            for engine, step_time in known.items()
        }
