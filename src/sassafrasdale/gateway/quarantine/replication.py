"""Replication of strikes between gateways.

Each update contains what has changed since the version that the receiver last
confirmed. So lost updates are sent again, and a restarted gateway is sent everything.
"""

from collections.abc import Callable

from msgspec import Struct
from msgspec.msgpack import Decoder, Encoder

from sassafrasdale.decisions.quarantine import StrikeLedger
from sassafrasdale.decisions.strikes import Strike, StrikeState, TrackedStrike
from sassafrasdale.gateway.confirmations import Confirmations

# Most strikes in one message; a crash of an endpoint with sixty requests causes as
# many.
MAX_ROWS = 200


class StrikeRow(Struct, frozen=True, array_like=True):
    """A strike with its state, as it is sent and stored."""

    fingerprint: str
    endpoint: str
    version: str
    begun: bool
    at: float
    witness: str
    state: int = 0
    request: str = ""

    @classmethod
    def of(cls, tracked: TrackedStrike) -> "StrikeRow":
        """Return the row for a strike."""
        strike = tracked.strike
        return cls(
            strike.fingerprint,
            strike.endpoint,
            strike.version,
            strike.begun,
            strike.at,
            strike.witness,
            int(tracked.state),
            strike.request,
        )

    @property
    def strike(self) -> Strike:
        """The strike without its state."""
        return Strike(
            self.fingerprint,
            self.endpoint,
            self.version,
            self.begun,
            self.at,
            self.witness,
            self.request,
        )


class StrikeUpdate(Struct, frozen=True, array_like=True):
    """Update on strikes from one gateway to another.

    :param since: version of the sender's ledger that the rows follow.
    :param version: version of the sender's ledger once the rows are applied.
    :param received: version of the receiver's ledger that the sender has received.
    :param received_from: incarnation of the receiver that sent that version.
    """

    since: int
    version: int
    rows: tuple[StrikeRow, ...]
    received: int
    received_from: int


encode = Encoder().encode
STRIKE_ROW = Decoder(StrikeRow)


class StrikeReplicator:
    """Sends strikes to other gateways and applies the updates from them.

    :param ledger: the strikes that are known here.
    :param incarnation: this gateway's own.
    """

    def __init__(self, ledger: StrikeLedger, incarnation: int) -> None:
        self._ledger = ledger
        self._incarnation = incarnation
        self._peers: dict[str, Confirmations] = {}

    def update_for(self, name: str) -> StrikeUpdate:
        """Return the update for another gateway: all that it has not confirmed."""
        peer = self._peer(name)
        changed = self._ledger.since(peer.acked, MAX_ROWS)
        version = changed[-1].changed if changed else self._ledger.version
        return StrikeUpdate(
            peer.acked,
            version,
            tuple(StrikeRow.of(tracked) for tracked in changed),
            peer.received,
            peer.received_from,
        )

    def apply(self, name: str, incarnation: int, update: StrikeUpdate | None) -> None:
        """Apply another gateway's update, and note which version it has received."""
        if update is None:
            return
        peer = self._peer(name)
        peer.note_update(incarnation, update.since, update.version)
        peer.note_ack(update.received, update.received_from, self._incarnation)
        for row in update.rows:
            # A later version of the program may send more states.
            state = StrikeState(row.state & _KNOWN_STATES)
            self._ledger.add(row.strike, state)

    def forget(self, is_gone: Callable[[str], bool]) -> None:
        """Drop the replication state for gateways that are gone for good."""
        for name in list(self._peers):
            if is_gone(name):
                del self._peers[name]

    def _peer(self, name: str) -> Confirmations:
        return self._peers.setdefault(name, Confirmations())


_KNOWN_STATES = sum(StrikeState)
