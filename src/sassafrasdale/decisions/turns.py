"""Which gateway asks the platform's store next, where they do so by turns.

A watch that is sent into a silence of the store is never answered, and nothing on its
connection tells that from a quiet store. A silence of a tenth of a second can swallow
the watches of all gateways: one change wakes them all, so they ask in step. Only a
question whose answer is due at once shows that a change was missed. Asked by each
gateway, that costs a call a gateway each half second; by turns, it costs as much for
two hundred as for one, and the one that finds a change tells the others.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from datetime import timedelta


@dataclass(frozen=True, slots=True)
class Turn:
    """A gateway's place among those that ask by turns.

    :param index: its place, from 0.
    :param count: how many they are.
    """

    index: int
    count: int

    def time_until(self, now: float, step: timedelta) -> timedelta:
        """Return the time until this turn comes next.

        :param now: seconds since 1970, nearly the same at all gateways.
        :param step: time between two gateways' turns.
        """
        length = step.total_seconds()
        return timedelta(seconds=(self.index * length - now) % (self.count * length))


def turn_of(zone: str, place: int, counts: Mapping[str, int]) -> Turn:
    """Return a gateway's turn.

    :param place: its place among the gateways of its zone that ask, from 0.
    :param counts: gateways that ask in each zone that is in touch, its own too.
    """
    before = sum(count for other, count in counts.items() if other < zone)
    return Turn(before + place, sum(counts.values()))
