"""Recording of strikes against the features of the requests that a crash has ended."""

from collections.abc import Sequence
from dataclasses import dataclass
from datetime import timedelta

from sassafrasdale.decisions.quarantine import StrikeLedger
from sassafrasdale.decisions.recent_map import RecentMap
from sassafrasdale.decisions.strikes import SAME_CRASH_WINDOW, Strike, StrikeState
from sassafrasdale.gateway.quarantine.fingerprints import RequestFeatures
from sassafrasdale.gateway.quarantine.soundness import RunProgress, SoundParts
from sassafrasdale.gateway.usage import ClusterTime

# Most parts of one request that are struck by a crash.
MAX_STRUCK_PARTS = 32
# Most recent strikes that are kept to recognize further ones of the same crash.
MAX_RECENT_STRIKES = 2000


@dataclass(frozen=True, slots=True)
class LostRun:
    """A request's run at an endpoint that ended without a response.

    :param version: of the endpoint's software.
    """

    features: RequestFeatures
    endpoint: str
    version: str
    progress: RunProgress

    @property
    def begun(self) -> bool:
        """Whether the run had produced events."""
        return self.progress.began_at is not None


class StrikeRecorder:
    """Records the crashes that this gateway has observed.

    :param name: this gateway's name.
    :param ledger: strikes of all gateways.
    :param sound_parts: parts of prompts that have run well here.
    :param time: cluster time, which strikes are dated by.
    """

    def __init__(
        self,
        name: str,
        ledger: StrikeLedger,
        sound_parts: SoundParts,
        time: ClusterTime,
    ) -> None:
        self._name = name
        self._ledger = ledger
        self._sound_parts = sound_parts
        self._time = time
        # When the crash of an endpoint was last recorded against a part, by whether
        # the run had sent events.
        self._struck_at: RecentMap[tuple[str, str, bool], float] = RecentMap(
            MAX_RECENT_STRIKES
        )

    def record(self, run: LostRun, age: timedelta) -> None:
        """Record the crash of an endpoint against each feature of a request.

        :param run: the request's run there.
        :param age: time since the crash.
        """
        at = self._time.seconds - age.total_seconds()
        self._ledger.add(self._strike(run.features.fingerprint, run, at))
        if not run.progress.is_sound:
            for part in self._parts_to_strike(run.features.parts):
                self._strike_part(part, run, at)

    def _parts_to_strike(self, parts: Sequence[str]) -> list[str]:
        """Return the parts that are struck, those that are not known to be sound first.

        Callers choose how many parts their prompts have.
        """
        return sorted(parts, key=self._sound_parts.is_sound)[:MAX_STRUCK_PARTS]

    def _strike_part(self, part: str, run: LostRun, at: float) -> None:
        """Strike a part, once for all requests with it that a crash has ended."""
        key = (part, run.endpoint, run.begun)
        struck_at = self._struck_at.get(key)
        window = SAME_CRASH_WINDOW.total_seconds()
        if struck_at is not None and abs(at - struck_at) <= window:
            return
        self._struck_at.set(key, at)
        is_learning = self._sound_parts.is_learning
        self._ledger.add(
            self._strike(part, run, at, run.features.fingerprint),
            StrikeState.KNOWN_SOUND if is_learning else StrikeState.NEW,
        )

    def _strike(
        self, feature: str, run: LostRun, at: float, request: str = ""
    ) -> Strike:
        return Strike(
            feature, run.endpoint, run.version, run.begun, at, self._name, request
        )
