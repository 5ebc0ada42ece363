"""Limit on the requests that a canary version may get.

Each gateway limits the canary's requests to a fraction of those that it has itself sent
to the service. The limit therefore holds for all gateways together, even without
communication and however often they restart.
"""

from collections import defaultdict
from random import Random

# Fraction of the allowed share that the canary gets throughout the rollout, and the
# maximum fraction. The difference is reserved for the full share shortly before the
# end.
SAMPLED_FRACTION = 0.5
MAX_FRACTION = 0.9
# Maximum number of canary requests of a route that are deferred. While the canary's
# endpoints start, nothing can be sent to them; once they have started, the deferred
# requests must not be sent all at once.
MAX_DEFERRED = 2.0


class CanaryAllowance:
    """Counts one service's requests at one gateway, and allows canary requests.

    Usage::

        if allowance.may_try("r-lookups"):
            ...
        allowance.record_request("r-lookups", is_canary=True)  # when it is sent

    :param share: fraction of all requests that the canary may get.
    :param rng: source of randomness for rounding. A gateway often sees only a fraction
        of a request's worth of the share; with random rounding the fractions of many
        gateways add up to it.
    """

    def __init__(self, share: float, rng: Random) -> None:
        self._sampled_fraction = share * SAMPLED_FRACTION
        self._max_fraction = share * MAX_FRACTION
        self._rounding = rng.random()
        self._deferred: defaultdict[str, float] = defaultdict(rng.random)
        self._sent = 0
        self._canary_requests = 0

    @property
    def sent(self) -> int:
        """Number of requests sent to the service."""
        return self._sent

    @property
    def canary_requests(self) -> int:
        """Number of these sent to the canary."""
        return self._canary_requests

    def may_try(self, route: str, *, full: bool = False) -> bool:
        """Return whether a route's next request may be sent to the canary.

        :param full: whether the canary gets its full share, so that the rest of it may
            be used at once.
        """
        if self._canary_requests + 1 > self._sent * self._max_fraction + self._rounding:
            return False
        return full or self._deferred[route] >= 1

    def record_request(self, route: str, *, is_canary: bool) -> None:
        """Count a request when it is first sent."""
        self._sent += 1
        deferred = min(self._deferred[route] + self._sampled_fraction, MAX_DEFERRED)
        if is_canary:
            self._canary_requests += 1
            deferred -= 1
        self._deferred[route] = deferred
