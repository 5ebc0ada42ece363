"""How long requests are seen to queue at each endpoint before their first token.

An entry knows its own requests only, but each of them that waits longer than its
own computation takes tells of the requests of others ahead of it, sooner than a
load report does.
"""

from datetime import timedelta

QUEUE_HALF_LIFE = timedelta(seconds=1)
"""Age at which a queueing time that was seen counts half."""

NO_TIME = timedelta()


class QueueTimes:
    """Queueing times that one entry sees, by endpoint."""

    def __init__(self) -> None:
        self._waiting: dict[str, dict[str, timedelta]] = {}
        self._seen: dict[str, tuple[timedelta, timedelta]] = {}

    def sent(
        self, endpoint: str, request_id: str, at: timedelta, expected: timedelta
    ) -> None:
        """Note a request that is sent at the elapsed time ``at``.

        :param expected: time to its first token if it need not queue.
        """
        self._waiting.setdefault(endpoint, {})[request_id] = at + expected

    def answered(self, endpoint: str, request_id: str, at: timedelta) -> None:
        """Note that a request has its first token."""
        due = self._waiting.get(endpoint, {}).pop(request_id, None)
        if due is not None:
            self._seen[endpoint] = (max(NO_TIME, at - due), at)

    def withdrawn(self, endpoint: str, request_id: str) -> None:
        """Note that a request ends without a first token."""
        self._waiting.get(endpoint, {}).pop(request_id, None)

    def forget(self, endpoint: str) -> None:
        """Drop what is known of an endpoint that is gone."""
        self._waiting.pop(endpoint, None)
        self._seen.pop(endpoint, None)

    def queueing(self, endpoint: str, now: timedelta) -> timedelta:
        """Return the queueing time to expect at an endpoint."""
        expected = NO_TIME
        seen = self._seen.get(endpoint)
        if seen is not None:
            waited, at = seen
            expected = waited * 0.5 ** ((now - at) / QUEUE_HALF_LIFE)
        waiting = self._waiting.get(endpoint)
        if waiting:
            # The first that was sent has waited longest.
            due = next(iter(waiting.values()))
            expected = max(expected, now - due)
        return expected
