"""The usage report, which the holder of the duties sends once a window.

Two holders must not report different counts for one window. So the counts are
written to the store before they are sent, under the revision that was read; a
later holder finds them there and sends the same.
"""

import json
from collections.abc import Callable, Mapping
from datetime import timedelta

from logbook import Logger

from sassafrasdale.clock import Clock
from sassafrasdale.coordination.exceptions import LeaseNotHeld, StoreError
from sassafrasdale.coordination.leases import LeaseHolder
from sassafrasdale.coordination.stores import BaseStore
from sassafrasdale.gateway.usage import TrueTime
from sassafrasdale.green import sleep
from sassafrasdale.platform.duties import DutyClient
from sassafrasdale.platform.exceptions import DutyCallFailed, DutyCallRefused

log = Logger("metering")

RECORD_KEY = "sassafrasdale/usage"
# Peers' counts of a window's last moments come within a few exchanges.
GATHERING_TIME = timedelta(seconds=2)
# Pause between two looks at what is due.
PAUSE = timedelta(milliseconds=500)
# Windows whose counts the record keeps.
RECORDED_WINDOWS = 6


class UsageReporter:
    """Task that reports windows while this gateway holds the duties.

    :param lease: the lease for the duties.
    :param client: the platform's duty calls.
    :param store: the platform's store.
    :param total: all gateways' counts of a window.
    :param window: length of a window.
    :param delay: time after a window in which its report is due.
    """

    def __init__(
        self,
        lease: LeaseHolder,
        client: DutyClient,
        store: BaseStore,
        total: Callable[[int], Mapping[str, int]],
        time: TrueTime,
        clock: Clock,
        window: timedelta,
        delay: timedelta,
    ) -> None:
        self._lease = lease
        self._client = client
        self._store = store
        self._total = total
        self._time = time
        self._clock = clock
        self._window = window.total_seconds()
        self._delay = delay.total_seconds()
        self._next = int(time.seconds // self._window)
        self._recorded: dict[int, dict[str, int]] = {}
        self._revision: int | None = None
        self._held = 0

    def run(self) -> None:
        """Report until the task is killed."""
        while True:
            sleep(PAUSE)
            try:
                self.step()
            except LeaseNotHeld:
                self._revision = None
            except StoreError as error:
                # The write may have landed: read it before anything is sent.
                self._revision = None
                log.warning("usage not recorded", why=str(error))
            except DutyCallFailed as error:
                log.warning("usage report not confirmed", why=error.message)
            except DutyCallRefused as error:
                log.warning("usage report refused, stepping down", why=error.message)
                self._revision = None
                self._lease.release()

    def step(self) -> None:
        """Report the oldest window that is due, if any."""
        now = self._time.seconds
        self._skip_late(now)
        end = (self._next + 1) * self._window
        if now < end + GATHERING_TIME.total_seconds():
            return
        permit = self._lease.permit(checks_fencing=True)
        if permit.fencing_number != self._held or self._revision is None:
            self._read_record()
            self._held = permit.fencing_number
        counts = self._record(self._next)
        permit = self._lease.permit(checks_fencing=True)
        self._client.report_usage(self._next, counts, permit.fencing_number)
        log.info(
            "usage reported",
            window=self._next,
            requests=sum(counts.values()),
            fencing_number=permit.fencing_number,
        )
        self._next += 1

    def _skip_late(self, now: float) -> None:
        """Pass over the windows that others reported, or that are overdue."""
        oldest = int((now - self._delay) // self._window)
        if oldest > self._next:
            log.debug("usage windows passed over", first=self._next, next=oldest)
            self._next = oldest

    def _read_record(self) -> None:
        held = self._store.get(RECORD_KEY)
        self._recorded = {}
        self._revision = 0
        if held is None:
            return
        self._revision = held.mod_revision
        self._recorded = {
            int(number): counts for number, counts in json.loads(held.value).items()
        }
        # A former holder wrote these down and most likely sent them.
        if self._recorded:
            self._next = max(self._next, max(self._recorded))

    def _record(self, window: int) -> Mapping[str, int]:
        """Write a window's counts down, and return what is written."""
        if window in self._recorded:
            return self._recorded[window]
        counts = dict(self._total(window))
        kept = {
            number: held
            for number, held in self._recorded.items()
            if number > window - RECORDED_WINDOWS
        }
        kept[window] = counts
        value = json.dumps(kept).encode()
        swap = self._store.compare_and_swap(RECORD_KEY, value, self._revision)
        if not swap:
            self._read_record()
            raise LeaseNotHeld("another holder has written the usage record")
        self._recorded = kept
        self._revision = swap.revision
        return counts
