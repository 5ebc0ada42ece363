"""What another gateway has received of a replicated table, and this one of its."""

from dataclasses import dataclass


@dataclass(slots=True)
class Confirmations:
    """Progress of the replication with another gateway, in versions of the tables.

    :param acked: version of the local table that the other gateway has received.
    :param received: version of the other gateway's table that was received here.
    :param received_from: its incarnation that sent that version.
    """

    acked: int = 0
    received: int = 0
    received_from: int = 0

    def note_update(self, incarnation: int, since: int, version: int) -> None:
        """Record an update that was received.

        :param incarnation: the sender's.
        :param since: version that the update follows; one that does not follow what
            was received leaves a gap.
        :param version: version of the sender's table with it.
        """
        if incarnation != self.received_from:
            self.received_from, self.received = incarnation, 0
        if since <= self.received:
            self.received = max(self.received, version)

    def note_ack(self, received: int, received_from: int, incarnation: int) -> None:
        """Record what the other gateway has received.

        :param received_from: incarnation of this gateway from which it has that.
        :param incarnation: this gateway's own.
        """
        self.acked = received if received_from == incarnation else 0
