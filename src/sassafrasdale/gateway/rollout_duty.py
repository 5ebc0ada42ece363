"""The leader's rollout duty: advances each order and writes its status.

A status is written on the condition that neither the order nor the previous status has
changed. So a late write by a former leader has no effect, and the next leader continues
from the stored status.
"""

from datetime import timedelta

from logbook import Logger
from msgspec import DecodeError, Struct
from msgspec.json import Decoder, Encoder

from sassafrasdale.coordination.exceptions import LeaseNotHeld, StoreError
from sassafrasdale.coordination.leases import LeaseHolder
from sassafrasdale.coordination.stores import StoredValue
from sassafrasdale.decisions.rollouts import (
    RolloutAction,
    RolloutState,
    RolloutStatus,
    next_action,
)
from sassafrasdale.gateway.rollout import Rollout
from sassafrasdale.gateway.rollouts import Rollouts
from sassafrasdale.green import sleep
from sassafrasdale.platform.exceptions import ValueMalformed
from sassafrasdale.platform.rollouts import (
    decode_status,
    encode_status,
    order_key,
    status_key,
)
from sassafrasdale.platform.store import PlatformStore

log = Logger("rollout duty")

RECORDS_PREFIX = "sassafrasdale/rollouts/"
# Time between two steps while there are open orders.
STEP_INTERVAL = timedelta(milliseconds=200)


class RolloutRecord(Struct, frozen=True):
    """Record of an order that a leader stores for the next one.

    :param order: revision of the order.
    :param since: when the order was first seen, in seconds since 1970.
    """

    order: int
    since: float


_DECODER = Decoder(RolloutRecord)
_ENCODE = Encoder().encode


class RolloutDuty:
    """Task that carries out rollout orders while this gateway is the leader.

    :param lease: the lease for the duties.
    :param rollouts: all rollout orders.
    """

    def __init__(
        self,
        lease: LeaseHolder,
        store: PlatformStore,
        rollouts: Rollouts,
    ) -> None:
        self._lease = lease
        self._store = store
        self._rollouts = rollouts
        # Revisions of the orders whose record was read in this term.
        self._records_read: set[int] = set()
        self._fencing_number = 0

    def run(self) -> None:
        """Advance the open orders until the task is killed."""
        while True:
            self._rollouts.wait_for_order()
            sleep(STEP_INTERVAL)
            try:
                self.step()
            except LeaseNotHeld:
                continue
            except StoreError as error:
                log.warning("rollout status not written", why=str(error))

    def step(self) -> None:
        """Advance each open order.

        :raises LeaseNotHeld: if this gateway is not the leader.
        :raises StoreError: if the store does not respond.
        """
        for rollout in self._rollouts.open():
            permit = self._lease.permit(checks_fencing=True)
            if permit.fencing_number != self._fencing_number:
                self._fencing_number = permit.fencing_number
                self._records_read.clear()
            self._advance(rollout)

    def _advance(self, rollout: Rollout) -> None:
        if rollout.revision not in self._records_read:
            self._read_record(rollout)
        match next_action(self._rollouts.view(rollout)):
            case RolloutAction.WAIT:
                return
            case RolloutAction.FULL_SHARE:
                self._rollouts.start_full_share(rollout)
            case RolloutAction.START:
                self._write_status(rollout, RolloutState.RUNNING)
            case RolloutAction.COMPLETE:
                self._write_status(rollout, RolloutState.COMPLETE)
            case RolloutAction.ROLL_BACK:
                self._write_status(rollout, RolloutState.ROLLED_BACK)

    def _read_record(self, rollout: Rollout) -> None:
        """Restore the time at which a former leader first saw the order."""
        stored = self._store.get(RECORDS_PREFIX + rollout.order.service)
        self._records_read.add(rollout.revision)
        if stored is None:
            return
        try:
            record = _DECODER.decode(stored.value)
        except DecodeError as error:
            log.error("rollout record malformed", key=stored.key, why=str(error))
            return
        if record.order == rollout.revision:
            rollout.first_seen = min(rollout.first_seen, record.since)

    def _write_status(self, rollout: Rollout, state: RolloutState) -> None:
        order = rollout.order
        status = RolloutStatus(order.service, order.target, state)
        key = status_key(order.service)
        record = RolloutRecord(rollout.revision, rollout.first_seen)
        swap = self._store.compare_and_swap(
            key,
            encode_status(status),
            rollout.status_revision,
            also={RECORDS_PREFIX + order.service: _ENCODE(record)},
            unchanged={order_key(order.service): rollout.revision},
        )
        view = self._rollouts.view(rollout)
        log.notice(
            "rollout told",
            service=order.service,
            target=order.target,
            state=str(state),
            written=bool(swap),
            fencing_number=self._fencing_number,
            age_s=round(view.age.total_seconds(), 3),
            targets=view.targets,
            others=view.others,
            suspect=view.is_suspect,
        )
        if swap:
            self._rollouts.apply_status(status, swap.revision)
        elif swap.current is not None:
            self._apply_stored_status(rollout, swap.current)
        else:
            # A restored store may have lost it.
            rollout.status_revision = 0

    def _apply_stored_status(self, rollout: Rollout, stored: StoredValue) -> None:
        """Apply the stored status, written by another leader or another writer."""
        try:
            status = decode_status(stored.key, stored.value)
            self._rollouts.apply_status(status, stored.mod_revision)
        except ValueMalformed as error:
            log.error("rollout status malformed", key=stored.key, why=error.message)
        rollout.status_revision = stored.mod_revision
