"""One call of a plain service: where it goes, how often, and how it ended."""

from collections.abc import Callable
from datetime import timedelta
from typing import Protocol

from sassafrasdale.charts import Lifecycle, load_chart
from sassafrasdale.clock import Clock
from sassafrasdale.decisions.budgets import RetryBudget
from sassafrasdale.endpoints.adapters import EndpointAnswer, EndpointRequest
from sassafrasdale.endpoints.directory import Endpoint
from sassafrasdale.endpoints.exceptions import AnswerLost, NotSent, Refused
from sassafrasdale.requests.hedges import Hedger, Race
from sassafrasdale.requests.structures import (
    Answered,
    NotRun,
    Outcome,
    ServiceCall,
    Unknown,
    end_event,
)

RETRY_AFTER = timedelta(seconds=1)
# An attempt of an idempotent call gets this share of the time that is left, so
# that a silent endpoint leaves time for another one.
ATTEMPT_SHARE = 0.4
MIN_ATTEMPT = timedelta(milliseconds=250)

Choose = Callable[[frozenset[str]], Endpoint | None]


class Observe(Protocol):
    """Takes note of how an endpoint did."""

    def __call__(
        self, endpoint: Endpoint, *, ok: bool, latency: timedelta | None = None
    ) -> None:
        """Note that ``endpoint`` answered, or failed to.

        :param latency: time of an answer, for calls that take alike.
        """


class IdempotentExecution:
    """A call that may be sent more than once.

    :param call: what the caller asked for.
    :param choose: gives an endpoint, or None; its argument names endpoints not
        to take.
    :param observe: told whether an endpoint answered.
    :param budget: retries that the service's successes allow.
    :param hedger: decides on a second endpoint for a slow call.
    :param clock: source of time.
    """

    def __init__(
        self,
        call: ServiceCall,
        choose: Choose,
        observe: Observe,
        budget: RetryBudget,
        hedger: Hedger,
        clock: Clock,
    ) -> None:
        self._call = call
        self._choose = choose
        self._observe = observe
        self._budget = budget
        self._hedger = hedger
        self._clock = clock
        self._life = Lifecycle(load_chart("request"))
        self._sent = False
        self._refused = False

    @property
    def state(self) -> str:
        """State of the request's chart."""
        return self._life.state

    def run(self) -> Outcome:
        """Send the call until it is answered or given up."""
        self._life.fire("admit")
        outcome = self._attempt_all()
        event = end_event(outcome)
        if self._life.allows(event):
            self._life.fire(event)
        return outcome

    def _attempt_all(self) -> Outcome:
        avoid: set[str] = set()
        again: Endpoint | None = None
        while True:
            remaining = self._call.call.deadline - self._clock.elapsed()
            if remaining <= timedelta():
                return self._give_up("the deadline has passed")
            endpoint = again or self._choose(frozenset(avoid))
            if endpoint is None:
                return self._give_up("no endpoint takes the request now")
            again = None
            try:
                answer = self._attempt(endpoint, remaining, avoid)
                self._budget.deposit(self._clock.elapsed())
                return Answered(answer.status, answer.headers, answer.body)
            except Refused as error:
                self._refused = True
                reason = error.message
            except NotSent as error:
                self._observe(endpoint, ok=False)
                reason = error.message
            except AnswerLost as error:
                self._sent = True
                reason = error.message
                if error.silent and endpoint.takes_work:
                    again = endpoint
                else:
                    self._observe(endpoint, ok=False)
            if again is None and not self._may_repeat(endpoint, avoid):
                return self._give_up(f"{reason}; the retry budget is spent")
            if self._life.allows("retry"):
                self._life.fire("retry")

    def _may_repeat(self, endpoint: Endpoint, avoid: set[str]) -> bool:
        """Avoid ``endpoint`` from now on; return whether the budget has a retry.

        A call whose connection fell silent goes again to the same endpoint on a
        fresh one, and needs no budget for it: all the calls of an entry fall
        silent at once, more than any budget allows, and the endpoint has most
        likely not seen them. The connections say how often that may be so.
        """
        avoid.add(endpoint.name)
        return self._budget.try_spend(self._clock.elapsed())

    def _attempt(
        self, endpoint: Endpoint, remaining: timedelta, avoid: set[str]
    ) -> EndpointAnswer:
        """Send to ``endpoint``, and to another one too if it is slow.

        :raises EndpointError: no attempt was answered.
        """
        if self._life.allows("send"):
            self._life.fire("send")
        limit = min(remaining, max(remaining * ATTEMPT_SHARE, MIN_ATTEMPT))
        patience = self._hedger.delay()
        if patience is None or patience >= limit:
            return self._send(endpoint, limit)
        with Race() as race:
            race.start(endpoint, lambda: self._send(endpoint, limit))
            finish = race.wait(patience)
            if finish is None and (other := self._second(endpoint, avoid)):
                # The first may run on and answer later; that is no matter for a
                # call that may be repeated.
                race.start(other, lambda: self._send(other, limit - patience))
            finish = race.winner(finish)
        if isinstance(finish.result, Exception):
            raise finish.result
        return finish.result

    def _second(self, first: Endpoint, avoid: set[str]) -> Endpoint | None:
        """Return an endpoint for a hedge, if one may be sent."""
        if not self._hedger.has_room:
            return None
        other = self._choose(frozenset({*avoid, first.name}))
        if other is None or not self._hedger.try_hedge():
            return None
        return other

    def _send(self, endpoint: Endpoint, limit: timedelta) -> EndpointAnswer:
        began = self._clock.elapsed()
        endpoint.in_flight += 1
        try:
            answer = endpoint.adapter.send(endpoint_request(self._call), limit)
        finally:
            endpoint.in_flight -= 1
        latency = self._clock.elapsed() - began
        self._observe(endpoint, ok=True, latency=latency)
        self._hedger.observe(latency)
        return answer

    def _give_up(self, reason: str) -> Outcome:
        if self._sent:
            return Unknown(reason, RETRY_AFTER)
        return NotRun(reason, RETRY_AFTER, overloaded=self._refused)


def endpoint_request(call: ServiceCall) -> EndpointRequest:
    """Return the HTTP request that carries ``call`` to an endpoint."""
    headers = [*call.headers, ("X-Request-Id", call.call.request_id)]
    if call.call.idempotency_key:
        headers.append(("Idempotency-Key", call.call.idempotency_key))
    return EndpointRequest(call.method, call.target, tuple(headers), call.body)
