"""Whether an outside system answers, with a log line when that changes."""

from collections.abc import Callable
from datetime import timedelta

from logbook import Logger

from sassafrasdale.clock import Clock

log = Logger("dependencies")


class Dependency:
    """What is known of an outside system from the calls made to it.

    A failed call tells of the time at which it was sent. Once a later one has been
    answered it says nothing of now, and is passed over.

    :param name: name for the logs.
    :param clock: source of elapsed time.
    :param regained: called when the system answers again after an outage.
    """

    def __init__(
        self, name: str, clock: Clock, regained: Callable[[], None] = lambda: None
    ) -> None:
        self._name = name
        self._clock = clock
        self._regained = regained
        self._lost_at: timedelta | None = None
        self._failed_at: timedelta | None = None
        self._answered_to: timedelta | None = None

    @property
    def is_reached(self) -> bool:
        """Whether the last call was answered."""
        return self._answered_to is not None and self._lost_at is None

    @property
    def since_failure(self) -> timedelta | None:
        """Time since the last failed call; None if none ever failed."""
        if self._failed_at is None:
            return None
        return self._clock.elapsed() - self._failed_at

    def failed(self, error: Exception, asked_at: timedelta) -> None:
        """Record a call that got no answer.

        :param asked_at: elapsed time at which it was sent.
        """
        if self._answered_to is not None and asked_at < self._answered_to:
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

    def succeeded(self, asked_at: timedelta) -> None:
        """Record a call that was answered.

        :param asked_at: elapsed time at which it was sent.
        """
        if self._answered_to is None:
            log.info("dependency reached", dependency=self._name)
        self._answered_to = max(asked_at, self._answered_to or asked_at)
        if self._lost_at is None:
            return
        gap = self._clock.elapsed() - self._lost_at
        self._lost_at = None
        log.notice(
            "dependency regained",
            dependency=self._name,
            away_s=round(gap.total_seconds(), 3),
        )
        self._regained()
