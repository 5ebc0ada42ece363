"""Record of requested instance starts that the platform doesn't list yet.

Starts are recorded in the platform's store before they are sent. The next leader
reads them, counts them in its plan, and sends them again with the same request
ids. So no start is lost or executed twice when a leader crashes or is paused
between recording and sending it.
"""

import json
from collections.abc import Collection, Iterable, Mapping
from dataclasses import asdict, dataclass, replace
from datetime import datetime, timedelta
from typing import Any

from sassafrasdale.coordination.stores import ABSENT, BaseStore
from sassafrasdale.decisions.structures import (
    RefusedStart,
    RunningInstance,
    StartInstance,
)
from sassafrasdale.duties.exceptions import RecordChanged
from sassafrasdale.structures import Instance

STARTS_KEY = "sassafrasdale/capacity"
# A start whose instance is not listed after this time is dropped and planned again.
START_TIMEOUT = timedelta(minutes=3)
# Refusals older than this don't affect the plan.
REFUSAL_TTL = timedelta(minutes=10)


@dataclass(frozen=True, slots=True)
class PendingStart:
    """A requested start.

    :param order: the start as planned.
    :param ordered_at: when it was recorded.
    :param known: names of the service's instances that were listed at that time.
    """

    order: StartInstance
    ordered_at: datetime
    known: tuple[str, ...]

    def as_instance(self) -> RunningInstance:
        """Return the expected instance, in the form that the plan uses."""
        order = self.order
        return RunningInstance(
            name=order.request_id,
            availability_zone=order.availability_zone,
            instance_class=order.instance_class,
            reclaimable=order.reclaimable,
            serving=False,
        )

    def matches(self, instance: Instance) -> bool:
        """Return whether a listed instance may result from this start."""
        order = self.order
        expected = (order.service, order.availability_zone, order.instance_class)
        found = (instance.service, instance.availability_zone, instance.instance_class)
        return found == expected and instance.name not in self.known


@dataclass(frozen=True, slots=True)
class Refusal:
    """Consecutive refusals of one kind of instance."""

    availability_zone: str
    instance_class: str
    reclaimable: bool
    refusals: int
    refused_at: datetime


@dataclass(frozen=True, slots=True)
class StartRecord:
    """Stored record of the capacity duty.

    :param number: number of writes of the record; part of new request ids.
    :param pending: starts whose instances are not listed yet.
    :param refusals: recent refusals of starts by the cloud.
    """

    number: int = 0
    pending: tuple[PendingStart, ...] = ()
    refusals: tuple[Refusal, ...] = ()

    def of_service(self, service: str) -> list[RunningInstance]:
        """Return the expected instances of a service's pending starts."""
        return [
            start.as_instance()
            for start in self.pending
            if start.order.service == service
        ]

    def refused(self, now: datetime) -> list[RefusedStart]:
        """Return the refusals with their age."""
        return [
            RefusedStart(
                each.availability_zone,
                each.instance_class,
                each.reclaimable,
                each.refusals,
                now - each.refused_at,
            )
            for each in self.refusals
        ]

    def with_starts(self, starts: Iterable[PendingStart]) -> "StartRecord":
        """Return the record with ``starts`` added."""
        return replace(self, pending=(*self.pending, *starts))

    def without(self, request_ids: Collection[str]) -> "StartRecord":
        """Return the record without the starts in ``request_ids``."""
        remaining = [s for s in self.pending if s.order.request_id not in request_ids]
        return replace(self, pending=tuple(remaining))

    def with_refusal(self, order: StartInstance, now: datetime) -> "StartRecord":
        """Return the record after the cloud refused ``order``."""
        kind = (order.availability_zone, order.instance_class, order.reclaimable)
        others = [each for each in self.refusals if _kind(each) != kind]
        count = sum(each.refusals for each in self.refusals if _kind(each) == kind)
        refusal = Refusal(*kind, count + 1, now)
        updated = replace(self, refusals=(*others, refusal))
        return updated.without({order.request_id})

    def reconciled(self, listed: Iterable[Instance], now: datetime) -> "StartRecord":
        """Return the record without listed starts, expired starts and old refusals."""
        pending = [s for s in self.pending if now - s.ordered_at < START_TIMEOUT]
        unmatched = list(listed)
        remaining = []
        for start in pending:
            match = next((each for each in unmatched if start.matches(each)), None)
            if match is None:
                remaining.append(start)
            else:
                unmatched.remove(match)
        refusals = [r for r in self.refusals if now - r.refused_at < REFUSAL_TTL]
        return replace(self, pending=tuple(remaining), refusals=tuple(refusals))

    def to_json(self) -> bytes:
        """Return the record as it is stored."""
        return json.dumps(asdict(self), default=datetime.isoformat).encode()

    @classmethod
    def from_json(cls, value: bytes) -> "StartRecord":
        """Return the record stored as ``value``."""
        fields = json.loads(value)
        return cls(
            fields["number"],
            tuple(_pending(each) for each in fields["pending"]),
            tuple(_refusal(each) for each in fields["refusals"]),
        )


class StartRecordStore:
    """Reads the record and writes it by compare-and-swap.

    :param store: the platform's store.
    """

    def __init__(self, store: BaseStore) -> None:
        self._store = store
        self._mod_revision = ABSENT

    def read(self) -> StartRecord:
        """Return the record.

        :raises StoreError: if the store can't be read.
        """
        stored = self._store.get(STARTS_KEY)
        self._mod_revision = stored.mod_revision if stored else ABSENT
        return StartRecord.from_json(stored.value) if stored else StartRecord()

    def write(self, record: StartRecord) -> StartRecord:
        """Replace the record that was read by ``record``; return it as written.

        :raises RecordChanged: if another leader has written it since.
        :raises StoreError: if the store fails; read the record before the next write.
        """
        numbered = replace(record, number=record.number + 1)
        swap = self._store.compare_and_swap(
            STARTS_KEY, numbered.to_json(), self._mod_revision
        )
        if not swap:
            raise RecordChanged("another entry has written the record of starts")
        self._mod_revision = swap.revision
        return numbered


def _kind(refusal: Refusal) -> tuple[str, str, bool]:
    return (refusal.availability_zone, refusal.instance_class, refusal.reclaimable)


def _pending(fields: Mapping[str, Any]) -> PendingStart:
    return PendingStart(
        StartInstance(**fields["order"]),
        datetime.fromisoformat(fields["ordered_at"]),
        tuple(fields["known"]),
    )


def _refusal(fields: Mapping[str, Any]) -> Refusal:
    refused_at = datetime.fromisoformat(fields["refused_at"])
    return Refusal(**{**fields, "refused_at": refused_at})
