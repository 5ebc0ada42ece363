"""Records of streams that have begun, on one gateway."""

from collections import OrderedDict, deque
from collections.abc import Iterator
from dataclasses import dataclass
from datetime import timedelta
from enum import IntEnum

from sassafrasdale.clock import Clock
from sassafrasdale.decisions.stream_versions import StreamBinding, merge_bindings

# Records of one gateway. An aggregator of a large zone has 17,000.
MAX_RECORDS = 50_000


class Origin(IntEnum):
    """Where a record comes from: this gateway's callers, its zone, or another zone."""

    OWN = 0
    ZONE = 1
    ELSEWHERE = 2


@dataclass(slots=True)
class StreamRecord:
    """A stream that has begun.

    :param group: whose records compete with it for space.
    :param expires_at: elapsed time from which its caller can't come back.
    """

    binding: StreamBinding
    origin: Origin
    group: str
    recorded_at: timedelta
    expires_at: timedelta


class StreamRecords:
    """Bounded table of streams by name.

    When it is full, the group that has most records loses its oldest.

    :param clock: source of elapsed time.
    """

    def __init__(self, clock: Clock, max_records: int = MAX_RECORDS) -> None:
        self._clock = clock
        self._max_records = max_records
        self._records: dict[bytes, StreamRecord] = {}
        self._groups: dict[str, OrderedDict[bytes, None]] = {}
        self._expiries: deque[tuple[timedelta, bytes]] = deque()

    def __len__(self) -> int:
        """Return the number of records."""
        return len(self._records)

    def get(self, name: bytes) -> StreamRecord | None:
        """Return the record of a stream; None if it is not known."""
        record = self._records.get(name)
        if record is None or record.expires_at <= self._clock.elapsed():
            return None
        return record

    def add(
        self,
        name: bytes,
        binding: StreamBinding,
        left: timedelta,
        origin: Origin,
        group: str = "",
    ) -> bool:
        """Add a record, and return whether anything new was learned.

        A stream that is known with another binding is known with none.

        :param left: time for which its caller may take it up.
        :param group: whose records compete with it for space.
        """
        known = self.get(name)
        if known is not None:
            merged = merge_bindings(known.binding, binding)
            is_new = merged != known.binding or origin < known.origin
            known.binding = merged
            known.origin = min(known.origin, origin)
            return is_new
        now = self._clock.elapsed()
        self._discard(name)
        self._records[name] = StreamRecord(binding, origin, group, now, now + left)
        self._groups.setdefault(group, OrderedDict())[name] = None
        self._expiries.append((now + left, name))
        self._make_room()
        return True

    def of_origin(self, origin: Origin) -> Iterator[tuple[bytes, StreamRecord]]:
        """Return the records of an origin, the oldest first."""
        now = self._clock.elapsed()
        for name, record in self._records.items():
            if record.origin is origin and record.expires_at > now:
                yield name, record

    def remove_expired(self) -> None:
        """Remove records whose callers can't come back any more."""
        now = self._clock.elapsed()
        # Lives differ between routes, so some expired ones wait behind later ones.
        while self._expiries and self._expiries[0][0] <= now:
            _, name = self._expiries.popleft()
            record = self._records.get(name)
            if record is not None and record.expires_at <= now:
                self._discard(name)

    def _make_room(self) -> None:
        while len(self._records) > self._max_records:
            largest = max(self._groups.values(), key=len)
            self._discard(next(iter(largest)))

    def _discard(self, name: bytes) -> None:
        record = self._records.pop(name, None)
        if record is None:
            return
        group = self._groups[record.group]
        del group[name]
        if not group:
            del self._groups[record.group]
