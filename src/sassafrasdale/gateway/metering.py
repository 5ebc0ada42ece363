"""The usage report, which the holder of the duties sends once a window.

Two holders must not report different counts for one window. So the counts are
written to the store before they are sent, under the revision that was read; a
later holder finds them there and sends the same.
"""

from collections.abc import Callable, Mapping
from datetime import timedelta

from logbook import Logger
from pydantic import TypeAdapter

from sassafrasdale.clock import Clock
from sassafrasdale.coordination.exceptions import LeaseNotHeld, StoreError
from sassafrasdale.coordination.leases import LeaseHolder
from sassafrasdale.gateway.peer_states import UsageTotal
from sassafrasdale.gateway.records import DutyRecord
from sassafrasdale.gateway.usage import TrueTime
from sassafrasdale.green import sleep
from sassafrasdale.platform.duties import DutyClient
from sassafrasdale.platform.exceptions import DutyCallFailed, DutyCallRefused

log = Logger("metering")

USAGE_RECORD = "sassafrasdale/usage"
# Counts by customer, by window.
USAGE_FORM = TypeAdapter(dict[int, dict[str, int]])
# Longest time that peers' counts of a window's last moments are waited for. Where all
# have told theirs sooner, it is reported sooner: a window that is not yet reported is
# lost where all gateways are killed at once.
GATHERING_TIME = timedelta(seconds=2)
# Pause between two looks at what is due.
PAUSE = timedelta(milliseconds=500)
# Windows whose counts the record keeps.
RECORDED_WINDOWS = 6


class UsageReporter:
    """Task that reports windows while this gateway holds the duties.

    :param lease: the lease for the duties.
    :param client: the platform's duty calls.
    :param record: counts that were written down before they were sent.
    :param total: all gateways' counts of a window, and since when all have told theirs.
    :param window: length of a window.
    :param delay: time after a window in which its report is due.
    """

    def __init__(
        self,
        lease: LeaseHolder,
        client: DutyClient,
        record: DutyRecord,
        total: Callable[[int], UsageTotal],
        time: TrueTime,
        clock: Clock,
        window: timedelta,
        delay: timedelta,
    ) -> None:
        self._lease = lease
        self._client = client
        self._record = record
        self._total = total
        self._time = time
        self._clock = clock
        self._window = window.total_seconds()
        self._delay = delay.total_seconds()
        # A window that ended before this gateway started may be still unreported.
        self._next = self._oldest_due()
        self._started_at = time.seconds
        self._recorded: dict[int, dict[str, int]] = {}
        self._held = 0

    def run(self) -> None:
        """Report until the task is killed."""
        while True:
            sleep(PAUSE)
            try:
                self.step()
            except LeaseNotHeld:
                continue
            except StoreError as error:
                log.warning("usage not recorded", why=str(error))
            except DutyCallFailed as error:
                log.warning("usage report not confirmed", why=error.message)
            except DutyCallRefused as error:
                log.warning("usage report refused, stepping down", why=error.message)
                self._lease.release()

    def step(self) -> None:
        """Report the oldest window that is due, if any."""
        now = self._time.seconds
        self._skip_late()
        end = (self._next + 1) * self._window
        if now < end:
            return
        permit = self._lease.permit(checks_fencing=True)
        total = self._total(self._next)
        waited = now - max(end, self._started_at)
        if waited < GATHERING_TIME.total_seconds() and total.told_since < end:
            return
        if permit.fencing_number != self._held or not self._record.is_known:
            self._read_record()
            self._held = permit.fencing_number
        counts = self._write_down(self._next, total.counts)
        permit = self._lease.permit(checks_fencing=True)
        self._client.report_usage(self._next, counts, permit.fencing_number)
        log.info(
            "usage reported",
            window=self._next,
            requests=sum(counts.values()),
            fencing_number=permit.fencing_number,
        )
        self._next += 1

    def _skip_late(self) -> None:
        """Pass over the windows that others reported, or that are overdue."""
        oldest = self._oldest_due()
        if oldest > self._next:
            log.debug("usage windows passed over", first=self._next, next=oldest)
            self._next = oldest

    def _oldest_due(self) -> int:
        return int((self._time.seconds - self._delay) // self._window)

    def _read_record(self) -> None:
        self._recorded = self._record.read() or {}
        # A former holder wrote these down and most likely sent them.
        if self._recorded:
            self._next = max(self._next, max(self._recorded))

    def _write_down(self, window: int, total: Mapping[str, int]) -> Mapping[str, int]:
        """Write a window's counts down, and return what is written."""
        if window in self._recorded:
            return self._recorded[window]
        counts = dict(total)
        kept = {
            number: held
            for number, held in self._recorded.items()
            if number > window - RECORDED_WINDOWS
        }
        kept[window] = counts
        self._record.write(kept)
        self._recorded = kept
        return counts
