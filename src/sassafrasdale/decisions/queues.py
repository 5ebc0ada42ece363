"""Queueing time before the first token, observed per endpoint.

An entry only knows its own requests, but each of them that waits longer than its own
computation takes shows that requests of other entries are ahead of it, sooner than a
load report does.
"""

from datetime import timedelta

QUEUE_HALF_LIFE = timedelta(seconds=1)
"""Half-life of an observed queueing time."""

NO_TIME = timedelta()


class QueueTimes:
    """Queueing times that one entry observes, by endpoint."""

    def __init__(self) -> None:
        self._waiting: dict[str, dict[str, timedelta]] = {}
        self._observed: dict[str, tuple[timedelta, timedelta]] = {}

    def sent(
        self, endpoint: str, request_id: str, at: timedelta, expected: timedelta
    ) -> None:
        """Record a request sent at the elapsed time ``at``.

        :param expected: time to its first token without queueing.
        """
        self._waiting.setdefault(endpoint, {})[request_id] = at + expected

    def answered(self, endpoint: str, request_id: str, at: timedelta) -> None:
        """Record that a request has its first token."""
        due = self._waiting.get(endpoint, {}).pop(request_id, None)
        if due is not None:
            self._observed[endpoint] = (max(NO_TIME, at - due), at)

    def withdrawn(self, endpoint: str, request_id: str) -> None:
        """Record that a request ends without a first token."""
        self._waiting.get(endpoint, {}).pop(request_id, None)

    def forget(self, endpoint: str) -> None:
        """Remove an endpoint that is gone."""
        self._waiting.pop(endpoint, None)
        self._observed.pop(endpoint, None)

    def queue_time(self, endpoint: str, now: timedelta) -> timedelta:
        """Return the expected queueing time at an endpoint."""
        expected = NO_TIME
        observed = self._observed.get(endpoint)
        if observed is not None:
            waited, at = observed
            expected = waited * 0.5 ** ((now - at) / QUEUE_HALF_LIFE)
        waiting = self._waiting.get(endpoint)
        if waiting:
            # The request that was sent first has waited longest.
            due = next(iter(waiting.values()))
            expected = max(expected, now - due)
        return expected
