"""Execution of an idempotent call of a plain service, with retries and hedges."""

from collections.abc import Callable
from datetime import timedelta
from typing import Protocol

from sassafrasdale.charts import Lifecycle, load_chart
from sassafrasdale.clock import Clock
from sassafrasdale.decisions.budgets import RetryBudget
from sassafrasdale.endpoints.adapters import EndpointRequest, EndpointResponse
from sassafrasdale.endpoints.directory import Endpoint
from sassafrasdale.endpoints.exceptions import NotSent, Refused, ResponseLost
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
# Share of the remaining time that one attempt of an idempotent call may take, so
# that an unresponsive endpoint leaves time for another one.
ATTEMPT_TIME_SHARE = 0.4
MIN_ATTEMPT_TIME = timedelta(milliseconds=250)

Choose = Callable[[frozenset[str]], Endpoint | None]


class Observe(Protocol):
    """Records the behaviour of an endpoint."""

    def __call__(
        self, endpoint: Endpoint, *, ok: bool, latency: timedelta | None = None
    ) -> None:
        """Record that ``endpoint`` responded, or failed to.

        :param latency: response time, for calls of comparable duration.
        """


class IdempotentExecution:
    """A call that may be sent more than once.

    :param call: the caller's request.
    :param choose: returns an endpoint, or None; its argument names the endpoints to
        avoid.
    :param observe: records whether an endpoint responded.
    :param budget: retry budget, filled by the service's successes.
    :param hedger: decides on hedging a slow call.
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
        self._lifecycle = Lifecycle(load_chart("request"))
        self._sent = False
        self._refused = False

    @property
    def state(self) -> str:
        """State in the request statechart."""
        return self._lifecycle.state

    def run(self) -> Outcome:
        """Make attempts until one is answered or none may follow."""
        self._lifecycle.fire("admit")
        outcome = self._attempt_all()
        event = end_event(outcome)
        if self._lifecycle.allows(event):
            self._lifecycle.fire(event)
        return outcome

    def _attempt_all(self) -> Outcome:
        avoid: set[str] = set()
        same_endpoint: Endpoint | None = None
        while True:
            remaining = self._call.call.deadline - self._clock.elapsed()
            if remaining <= timedelta():
                return self._give_up("the deadline has passed")
            endpoint = same_endpoint or self._choose(frozenset(avoid))
            if endpoint is None:
                return self._give_up("no endpoint takes the request now")
            same_endpoint = None
            try:
                response = self._attempt(endpoint, remaining, avoid)
                self._budget.deposit(self._clock.elapsed())
                return Answered(response.status, response.headers, response.body)
            except Refused as error:
                self._refused = True
                reason = error.message
            except NotSent as error:
                self._observe(endpoint, ok=False)
                reason = error.message
            except ResponseLost as error:
                self._sent = True
                reason = error.message
                if error.unresponsive and endpoint.takes_work:
                    same_endpoint = endpoint
                else:
                    self._observe(endpoint, ok=False)
            if same_endpoint is None and not self._may_retry(endpoint, avoid):
                return self._give_up(f"{reason}; the retry budget is spent")
            if self._lifecycle.allows("retry"):
                self._lifecycle.fire("retry")

    def _may_retry(self, endpoint: Endpoint, avoid: set[str]) -> bool:
        """Avoid ``endpoint`` from now on; return whether the budget allows a retry.

        A call whose connection became unresponsive is sent to the same endpoint
        again on a fresh connection, outside the budget: all calls of an entry may
        become unresponsive at once, more than any budget allows, and the endpoint
        has most likely not received them. The connection pools limit how often this
        is assumed.
        """
        avoid.add(endpoint.name)
        return self._budget.try_spend(self._clock.elapsed())

    def _attempt(
        self, endpoint: Endpoint, remaining: timedelta, avoid: set[str]
    ) -> EndpointResponse:
        """Send to ``endpoint``, and hedge on another one if it is slow.

        :raises EndpointError: no attempt was answered.
        """
        if self._lifecycle.allows("send"):
            self._lifecycle.fire("send")
        limit = min(remaining, max(remaining * ATTEMPT_TIME_SHARE, MIN_ATTEMPT_TIME))
        hedge_delay = self._hedger.delay()
        if hedge_delay is None or hedge_delay >= limit:
            return self._send(endpoint, limit)
        with Race() as race:
            race.start(endpoint, lambda: self._send(endpoint, limit))
            finished = race.wait(hedge_delay)
            if finished is None and (hedge := self._hedge_endpoint(endpoint, avoid)):
                # The first attempt may still run and respond later, which is
                # harmless for an idempotent call.
                race.start(hedge, lambda: self._send(hedge, limit - hedge_delay))
            finished = race.winner(finished)
        if isinstance(finished.result, Exception):
            raise finished.result
        return finished.result

    def _hedge_endpoint(self, first: Endpoint, avoid: set[str]) -> Endpoint | None:
        """Return an endpoint for a hedge, or None if hedging is not possible."""
        if not self._hedger.has_spare_capacity:
            return None
        hedge = self._choose(frozenset({*avoid, first.name}))
        if hedge is None or not self._hedger.try_hedge():
            return None
        return hedge

    def _send(self, endpoint: Endpoint, limit: timedelta) -> EndpointResponse:
        began = self._clock.elapsed()
        endpoint.in_flight += 1
        try:
            response = endpoint.adapter.send(endpoint_request(self._call), limit)
        finally:
            endpoint.in_flight -= 1
        latency = self._clock.elapsed() - began
        self._observe(endpoint, ok=True, latency=latency)
        self._hedger.observe(latency)
        return response

    def _give_up(self, reason: str) -> Outcome:
        if self._sent:
            return Unknown(reason, RETRY_AFTER)
        return NotRun(reason, RETRY_AFTER, overloaded=self._refused)


def endpoint_request(call: ServiceCall) -> EndpointRequest:
    """Return the HTTP request for ``call`` to an endpoint."""
    headers = [*call.headers, ("X-Request-Id", call.call.request_id)]
    if call.call.idempotency_key:
        headers.append(("Idempotency-Key", call.call.idempotency_key))
    return EndpointRequest(call.method, call.target, tuple(headers), call.body)
