"""Whether an outside system answers, with a log line when that changes."""

from datetime import timedelta

from logbook import Logger

from sassafrasdale.clock import Clock

log = Logger("dependencies")


class Dependency:
    """What is known of an outside system from the calls made to it.

    :param name: name for the logs.
    :param clock: source of elapsed time.
    """

    def __init__(self, name: str, clock: Clock) -> None:
        self._name = name
        self._clock = clock
        self._lost_at: timedelta | None = None
        self._failed_at: timedelta | None = None
        self._answered = False

    @property
    def is_reached(self) -> bool:
        """Whether the last call was answered."""
        return self._answered and self._lost_at is None

    @property
    def since_failure(self) -> timedelta | None:
        """Time since the last failed call; None if none ever failed."""
        if self._failed_at is None:
            return None
        return self._clock.elapsed() - self._failed_at

    def failed(self, error: Exception) -> None:
        """Record a call that got no answer."""
        self._failed_at = self._clock.elapsed()
        if self._lost_at is None:
            self._lost_at = self._failed_at
            log.warning(
                "dependency lost",
                dependency=self._name,
                error=type(error).__name__,
                why=str(error),
            )

    def succeeded(self) -> None:
        """Record a call that was answered."""
        if self._lost_at is not None:
            gap = self._clock.elapsed() - self._lost_at
            log.notice(
                "dependency regained",
                dependency=self._name,
                away_s=round(gap.total_seconds(), 3),
            )
        elif not self._answered:
            log.info("dependency reached", dependency=self._name)
        self._answered = True
        self._lost_at = None
