"""Counts requests by outcome, for the metrics and the burn report."""

from datetime import timedelta

from sassafrasdale.burn import BurnCounters, burns_to_json
from sassafrasdale.clock import Clock
from sassafrasdale.metrics import Metrics
from sassafrasdale.requests.generation import Generation
from sassafrasdale.requests.structures import (
    Answered,
    Call,
    NotRun,
    Outcome,
    OutcomeName,
    Unknown,
)
from sassafrasdale.text.structures import Objective, Service, Text

FIRST_SERVER_ERROR = 500


class RequestCounters:
    """Counts the outcomes of this entry's requests.

    :param metrics: the entry's metrics.
    :param clock: source of time.
    """

    def __init__(self, metrics: Metrics, clock: Clock) -> None:
        self._metrics = metrics
        self._clock = clock
        self._burn_counters = BurnCounters()
        self._services: dict[str, Service] = {}

    def set_text(self, text: Text) -> None:
        """Set the objectives of a new configuration revision."""
        self._services = dict(text.services)
        self._burn_counters.set_objectives(
            {name: service.objective.share for name, service in text.services.items()}
        )

    def begin(self, call: Call) -> timedelta:
        """Count a started request; return the time, for ``end``."""
        self._metrics.request_began(call.service)
        return self._clock.elapsed()

    def end(
        self,
        call: Call,
        outcome: Outcome | None,
        began: timedelta,
        first_token_at: timedelta | None = None,
    ) -> None:
        """Count an ended request.

        :param outcome: its outcome; None if its caller disconnected.
        :param began: the time that ``begin`` returned.
        :param first_token_at: elapsed time of the first token, or None.
        """
        now = self._clock.elapsed()
        latency = now - began
        name = outcome_name(outcome) if outcome else OutcomeName.UNKNOWN
        self._metrics.request_ended(call.service, name.value, latency)
        service = self._services.get(call.service)
        if service is not None and outcome is not None:
            first_token = first_token_at - began if first_token_at else None
            in_time = _is_success(outcome) and _meets_objective(
                service.objective, latency, first_token
            )
            self._burn_counters.record(call.service, now, in_time)

    def count_usage(self, generation: Generation) -> None:
        """Count the recomputed tokens of a generation."""
        if not isinstance(generation.outcome, Answered):
            return
        ending = generation.ending()
        if ending and ending.usage and ending.usage.recomputed:
            service = generation.call.call.service
            self._metrics.tokens_recomputed(service, ending.usage.recomputed)

    def burn(self) -> dict:
        """Return the counts for the burn report as a JSON document."""
        return {
            "services": burns_to_json(
                self._burn_counters.snapshot(self._clock.elapsed())
            )
        }


def outcome_name(outcome: Outcome) -> OutcomeName:
    """Return the name under which ``outcome`` is reported."""
    match outcome:
        case Answered():
            return OutcomeName.ANSWERED
        case NotRun():
            return OutcomeName.NOT_RUN
        case Unknown():
            return OutcomeName.UNKNOWN


def _meets_objective(
    objective: Objective, latency: timedelta, first_token: timedelta | None
) -> bool:
    """Return whether a response met the service's objective."""
    if latency > objective.latency:
        return False
    if objective.first_token is None or first_token is None:
        return True
    return first_token <= objective.first_token


def _is_success(outcome: Outcome) -> bool:
    return isinstance(outcome, Answered) and outcome.status < FIRST_SERVER_ERROR
