"""Starts of instances that were ordered and are not listed yet.

They are recorded in the platform's store before they are sent. The next holder
of the duty reads them, counts them, and sends them again under the same ids, so
that a start is neither lost nor made twice when its holder dies or pauses
between the record and the send.
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
# A start whose instance is not listed after this time is ordered anew.
START_LIMIT = timedelta(minutes=3)
# A refusal older than this has no bearing on a plan.
REFUSAL_MEMORY = timedelta(minutes=10)


@dataclass(frozen=True, slots=True)
class PendingStart:
    """An ordered start.

    :param order: what was ordered.
    :param ordered_at: when it was recorded.
    :param known: names of the service's instances that were listed by then.
    """

    order: StartInstance
    ordered_at: datetime
    known: tuple[str, ...]

    def as_instance(self) -> RunningInstance:
        """Return the instance that it will become, as the plan counts it."""
        order = self.order
        return RunningInstance(
            name=order.request_id,
            availability_zone=order.availability_zone,
            instance_class=order.instance_class,
            reclaimable=order.reclaimable,
            serving=False,
        )

    def is_met_by(self, instance: Instance) -> bool:
        """Return whether a listed instance may be the one that it started."""
        order = self.order
        wanted = (order.service, order.availability_zone, order.instance_class)
        found = (instance.service, instance.availability_zone, instance.instance_class)
        return found == wanted and instance.name not in self.known


@dataclass(frozen=True, slots=True)
class Refusal:
    """Refusals in a row of one kind of instance."""

    availability_zone: str
    instance_class: str
    reclaimable: bool
    refusals: int
    refused_at: datetime


@dataclass(frozen=True, slots=True)
class StartRecord:
    """What the store keeps of the duty.

    :param number: counts the writes of the record; part of new request ids.
    :param pending: starts that are not listed yet.
    :param refusals: starts that the cloud refused lately.
    """

    number: int = 0
    pending: tuple[PendingStart, ...] = ()
    refusals: tuple[Refusal, ...] = ()

    def of_service(self, service: str) -> list[RunningInstance]:
        """Return the instances that a service's pending starts will become."""
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
        """Return the record with further starts."""
        return replace(self, pending=(*self.pending, *starts))

    def without(self, request_ids: Collection[str]) -> "StartRecord":
        """Return the record without some starts."""
        kept = [s for s in self.pending if s.order.request_id not in request_ids]
        return replace(self, pending=tuple(kept))

    def with_refusal(self, order: StartInstance, now: datetime) -> "StartRecord":
        """Return the record after the cloud refused ``order``."""
        kind = (order.availability_zone, order.instance_class, order.reclaimable)
        others = [each for each in self.refusals if _kind(each) != kind]
        before = sum(each.refusals for each in self.refusals if _kind(each) == kind)
        refusal = Refusal(*kind, before + 1, now)
        kept = replace(self, refusals=(*others, refusal))
        return kept.without({order.request_id})

    def reconciled(self, listed: Iterable[Instance], now: datetime) -> "StartRecord":
        """Return the record without what the list shows or time has settled."""
        pending = [s for s in self.pending if now - s.ordered_at < START_LIMIT]
        unclaimed = list(listed)
        left = []
        for start in pending:
            met = next((each for each in unclaimed if start.is_met_by(each)), None)
            if met is None:
                left.append(start)
            else:
                unclaimed.remove(met)
        refusals = [r for r in self.refusals if now - r.refused_at < REFUSAL_MEMORY]
        return replace(self, pending=tuple(left), refusals=tuple(refusals))

    def to_json(self) -> bytes:
        """Return the record as the store keeps it."""
        return json.dumps(asdict(self), default=datetime.isoformat).encode()

    @classmethod
    def from_json(cls, value: bytes) -> "StartRecord":
        """Return the record that ``value`` holds."""
        fields = json.loads(value)
        return cls(
            fields["number"],
            tuple(_pending(each) for each in fields["pending"]),
            tuple(_refusal(each) for each in fields["refusals"]),
        )


class StartBook:
    """The record in the store, written by compare-and-swap.

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
        """Write ``record`` over the one that was read, and return it as written.

        :raises RecordChanged: if another holder has written it since.
        :raises StoreError: if the store fails; read it again before the next write.
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
