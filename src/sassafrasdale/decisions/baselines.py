"""Routing strategies that serve as baselines for the routing policy."""

from collections.abc import Sequence
from random import Random

from xxhash import xxh64_intdigest

from sassafrasdale.decisions.structures import EndpointView


class RoundRobin:
    """Choose the endpoints in turn.

    :param turn: start position; entries start at different ones.
    """

    def __init__(self, turn: int = 0) -> None:
        self._turn = turn

    def choose(self, views: Sequence[EndpointView]) -> EndpointView | None:
        """Return the next endpoint that is not being reclaimed."""
        staying = [view for view in views if not view.leaving]
        if not staying:
            return None
        self._turn += 1
        return staying[self._turn % len(staying)]


class LeastRequests:
    """Choose the endpoint with the fewest own requests in flight.

    :param rng: breaks ties.
    """

    def __init__(self, rng: Random) -> None:
        self._rng = rng

    def choose(self, views: Sequence[EndpointView]) -> EndpointView | None:
        """Return the least loaded endpoint that is not being reclaimed."""
        staying = [view for view in views if not view.leaving]
        if not staying:
            return None
        return min(staying, key=lambda view: (view.in_flight, self._rng.random()))


class PrefixHash:
    """Choose the endpoint by rendezvous hashing of the conversation."""

    def choose(self, views: Sequence[EndpointView], key: int) -> EndpointView | None:
        """Return the endpoint of a conversation, without those being reclaimed.

        :param views: the endpoints.
        :param key: hash of what every turn of the conversation starts with.
        """
        staying = [view for view in views if not view.leaving]
        if not staying:
            return None
        return max(staying, key=lambda view: xxh64_intdigest(view.name.encode(), key))
