"""Round-robin polling of the platform's store by the gateways.

A watch that is sent while the store is unresponsive is never answered, and its
connection looks the same as one to a store without changes. A tenth of a second of
unresponsiveness can lose the watches of all gateways: one change triggers all of them,
so they send new ones at the same time. Only a request with an immediate response shows
that a change was missed. If each gateway polled, that would cost one call per gateway
every half second; with round-robin polling, two hundred gateways cost as much as one,
and the gateway that finds a change notifies the others.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from datetime import timedelta


@dataclass(frozen=True, slots=True)
class PollSlot:
    """Position of a gateway in the polling order.

    :param index: its position, from 0.
    :param count: number of gateways that poll.
    """

    index: int
    count: int

    def time_until(self, now: float, step: timedelta) -> timedelta:
        """Return the time until this gateway's next poll.

        :param now: seconds since 1970, nearly the same at all gateways.
        :param step: time between the polls of two gateways.
        """
        length = step.total_seconds()
        return timedelta(seconds=(self.index * length - now) % (self.count * length))


def poll_slot_of(zone: str, place: int, counts: Mapping[str, int]) -> PollSlot:
    """Return the poll slot of a gateway.

    :param zone: its availability zone.
    :param place: its position among the polling gateways of its zone, from 0.
    :param counts: number of polling gateways in each zone in contact, its own included.
    """
    before = sum(count for other, count in counts.items() if other < zone)
    return PollSlot(before + place, sum(counts.values()))
