"""The usage report, which the leader sends once per window.

Two leaders must not report different counts for one window. The counts are therefore
written to the store before they are sent, conditional on the revision that was read. A
later leader finds them there and sends the same.
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
from sassafrasdale.gateway.usage import ClusterTime
from sassafrasdale.green import sleep
from sassafrasdale.platform.duties import DutyClient
from sassafrasdale.platform.exceptions import DutyCallFailed, DutyCallRefused

log = Logger("metering")

USAGE_RECORD = "sassafrasdale/usage"
# Counts by customer, by window.
USAGE_ADAPTER = TypeAdapter(dict[int, dict[str, int]])
# Maximum wait for peers' counts of a window's last moments. The window is reported as
# soon as all peers have reported theirs, since an unreported window is lost if all
# gateways are killed at once.
GATHER_TIMEOUT = timedelta(seconds=2)
# Interval between checks for a window that is due.
STEP_INTERVAL = timedelta(milliseconds=500)
# Windows whose counts the record keeps.
RECORDED_WINDOWS = 6


class UsageReporter:
    """Task that reports windows while this gateway is the leader.

    :param lease: the leader's lease.
    :param client: client for the platform's duty calls.
    :param record: stored counts, written before they are sent.
    :param total: returns all gateways' counts of a window, and up to when these are
        complete.
    :param window: length of a window.
    :param delay: time after a window within which its report is due.
    """

    def __init__(
        self,
        lease: LeaseHolder,
        client: DutyClient,
        record: DutyRecord,
        total: Callable[[int], UsageTotal],
        time: ClusterTime,
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
        # A window that ended before this gateway started may still be unreported.
        self._next_window = self._oldest_open()
        self._started_at = time.seconds
        self._recorded: dict[int, dict[str, int]] = {}
        self._fencing_number = 0
        self._store_epoch = 0
        self._restored_at: float | None = None
        # Windows before this one may have been sent under a record that was lost.
        self._first_safe_window = 0

    def run(self) -> None:
        """Report until the task is killed."""
        while True:
            sleep(STEP_INTERVAL)
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
        """Report the oldest unreported window, if it is due."""
        now = self._time.seconds
        self._note_restore(now)
        self._skip_overdue()
        end = (self._next_window + 1) * self._window
        if now < end:
            return
        permit = self._lease.permit(checks_fencing=True)
        total = self._total(self._next_window)
        waited = now - max(end, self._started_at)
        if waited < GATHER_TIMEOUT.total_seconds() and total.complete_since < end:
            return
        if permit.fencing_number != self._fencing_number:
            self._recorded = {}
            self._read_record()
            self._fencing_number = permit.fencing_number
            if self._restored_at is not None:
                self._first_safe_window = int(self._restored_at // self._window)
        elif not self._record.is_known:
            self._read_record()
        if self._may_have_been_sent(self._next_window):
            log.notice(
                "usage windows left out, as their record may be lost",
                first=self._next_window,
                next=self._first_safe_window,
            )
            self._next_window = self._first_safe_window
            return
        counts = self._record_counts(self._next_window, total.counts)
        permit = self._lease.permit(checks_fencing=True)
        self._client.report_usage(self._next_window, counts, permit.fencing_number)
        log.info(
            "usage reported",
            window=self._next_window,
            requests=sum(counts.values()),
            fencing_number=permit.fencing_number,
        )
        self._next_window += 1

    def _note_restore(self, now: float) -> None:
        if self._record.store_epoch > self._store_epoch:
            self._store_epoch = self._record.store_epoch
            self._restored_at = now

    def _may_have_been_sent(self, window: int) -> bool:
        """Return whether a former leader may have sent other counts of a window.

        A restored store may lack the record of that.
        """
        return window < self._first_safe_window and window not in self._recorded

    def _skip_overdue(self) -> None:
        """Skip the windows whose report deadline has passed."""
        oldest = self._oldest_open()
        if oldest > self._next_window:
            log.debug("usage windows skipped", first=self._next_window, next=oldest)
            self._next_window = oldest

    def _oldest_open(self) -> int:
        return int((self._time.seconds - self._delay) // self._window)

    def _read_record(self) -> None:
        # A restored store may have lost what this leader has recorded and sent.
        self._recorded = {**(self._record.read() or {}), **self._recorded}
        # A former leader recorded these windows and most likely sent them.
        if self._recorded:
            self._next_window = max(self._next_window, max(self._recorded))

    def _record_counts(
        self, window: int, total: Mapping[str, int]
    ) -> Mapping[str, int]:
        """Record a window's counts, and return the recorded counts."""
        if window in self._recorded:
            return self._recorded[window]
        counts = dict(total)
        windows = {
            number: recorded
            for number, recorded in self._recorded.items()
            if number > window - RECORDED_WINDOWS
        }
        windows[window] = counts
        self._record.write(windows)
        self._recorded = windows
        return counts
