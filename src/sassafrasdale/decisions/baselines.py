"""Ways of routing that the policy is measured against."""

from collections.abc import Sequence
from random import Random

from xxhash import xxh64_intdigest

from sassafrasdale.decisions.structures import EndpointView


class RoundRobin:
    """Take the endpoints in turn."""

    def __init__(self) -> None:
        self._turn = 0

    def choose(self, views: Sequence[EndpointView]) -> EndpointView | None:
        """Return the next endpoint that is not leaving."""
        staying = [view for view in views if not view.leaving]
        if not staying:
            return None
        self._turn += 1
        return staying[self._turn % len(staying)]


class LeastRequests:
    """Take the endpoint with the fewest own requests in flight.

    :param rng: breaks ties.
    """

    def __init__(self, rng: Random) -> None:
        self._rng = rng

    def choose(self, views: Sequence[EndpointView]) -> EndpointView | None:
        """Return the endpoint with the fewest requests that is not leaving."""
        staying = [view for view in views if not view.leaving]
        if not staying:
            return None
        return min(staying, key=lambda view: (view.in_flight, self._rng.random()))


class PrefixHash:
    """Take the endpoint that a rendezvous hash of the first block names."""

    def choose(
        self, views: Sequence[EndpointView], blocks: Sequence[int]
    ) -> EndpointView | None:
        """Return the endpoint of the prefix that is not leaving.

        :param blocks: hashes of the prompt's blocks; the first decides.
        """
        staying = [view for view in views if not view.leaving]
        if not staying:
            return None
        seed = blocks[0] if blocks else 0
        return max(staying, key=lambda view: xxh64_intdigest(view.name, seed))
