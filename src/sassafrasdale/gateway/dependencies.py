"""Health of an external dependency, logged when it changes."""

from collections.abc import Callable
from datetime import timedelta

from logbook import Logger

from sassafrasdale.clock import Clock

log = Logger("dependencies")


class Dependency:
    """Health of an external system, derived from the calls made to it.

    A failed call reflects the state at the time at which it was sent. It is ignored
    once a call that was sent later has got a response.

    :param name: name for the logs.
    :param clock: source of elapsed time.
    :param on_recovery: called when the system responds again after an outage.
    """

    def __init__(
        self, name: str, clock: Clock, on_recovery: Callable[[], None] = lambda: None
    ) -> None:
        self._name = name
        self._clock = clock
        self._on_recovery = on_recovery
        self._lost_at: timedelta | None = None
        self._failed_at: timedelta | None = None
        self._last_success_sent_at: timedelta | None = None

    @property
    def is_reachable(self) -> bool:
        """Whether the last call got a response."""
        return self._last_success_sent_at is not None and self._lost_at is None

    @property
    def since_failure(self) -> timedelta | None:
        """Time since the last failed call; None if no call has failed."""
        if self._failed_at is None:
            return None
        return self._clock.elapsed() - self._failed_at

    def failed(self, error: Exception, sent_at: timedelta) -> None:
        """Record a call that got no response.

        :param sent_at: elapsed time at which it was sent.
        """
        if (
            self._last_success_sent_at is not None
            and sent_at < self._last_success_sent_at
        ):
            return
        self._failed_at = self._clock.elapsed()
        if self._lost_at is not None:
            return
        self._lost_at = self._failed_at
        log.warning(
            "dependency lost",
            dependency=self._name,
            error=type(error).__name__,
            why=str(error),
        )

    def succeeded(self, sent_at: timedelta) -> None:
        """Record a call that got a response.

        :param sent_at: elapsed time at which it was sent.
        """
        if self._last_success_sent_at is None:
            log.info("dependency reached", dependency=self._name)
        self._last_success_sent_at = max(sent_at, self._last_success_sent_at or sent_at)
        if self._lost_at is None:
            return
        outage = self._clock.elapsed() - self._lost_at
        self._lost_at = None
        log.notice(
            "dependency regained",
            dependency=self._name,
            away_s=round(outage.total_seconds(), 3),
        )
        self._on_recovery()
