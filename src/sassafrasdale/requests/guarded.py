"""Execution of a non-idempotent call: claimed in the store, then sent at most once.

The guarantee depends on this order:

1. open a fresh connection to an endpoint, on which nothing has been sent;
2. create the claim in the platform's store, if absent;
3. send the first byte to the endpoint.

A claim never expires while its holder may still send. So if a holder is paused after
step 2, no other process can run the request.
"""

from dataclasses import replace
from datetime import timedelta

from sassafrasdale.charts import Lifecycle, load_chart
from sassafrasdale.clock import Clock
from sassafrasdale.endpoints.adapters import Connection, EndpointResponse
from sassafrasdale.endpoints.directory import Endpoint
from sassafrasdale.endpoints.exceptions import NotSent, Refused, ResponseLost
from sassafrasdale.green import spawn
from sassafrasdale.requests.claim_records import Claim
from sassafrasdale.requests.claimant import Claimant
from sassafrasdale.requests.execution import Choose, Observe, endpoint_request
from sassafrasdale.requests.structures import (
    Answered,
    NotRun,
    Outcome,
    ServiceCall,
    Unknown,
)

RETRY_AFTER = timedelta(seconds=1)
# Maximum age of a connection that was opened before the claim. After a longer wait,
# or a pause of the process, the connection may be unresponsive for good.
MAX_CONNECTION_AGE = timedelta(seconds=1)


class GuardedExecution:
    """A call that at most one entry sends, once.

    :param call: the caller's request; it has an idempotency key.
    :param claimant: claims the call.
    :param choose: returns an endpoint, or None.
    :param observe: records whether an endpoint responded.
    :param clock: source of time.
    """

    def __init__(
        self,
        call: ServiceCall,
        claimant: Claimant,
        choose: Choose,
        observe: Observe,
        clock: Clock,
    ) -> None:
        self._call = call
        self._claimant = claimant
        self._observe = observe
        self._clock = clock
        self._lifecycle = Lifecycle(load_chart("request"))
        self._avoid: set[str] = set()
        self._fresh = FreshConnection(choose, observe, self._avoid, clock)

    @property
    def state(self) -> str:
        """State in the request statechart."""
        return self._lifecycle.state

    def run(self) -> Outcome:
        """Claim the call, send it once and return its outcome.

        :raises KeyReused: the key was used for another request.
        """
        self._lifecycle.fire("admit")
        if not self._fresh.replace():
            return self._refuse("no endpoint takes the request now")
        try:
            obtained = self._claimant.obtain()
            if isinstance(obtained, Claim):
                self._lifecycle.fire("claim")
                return self._send_once(obtained)
            return self._end_unsent(obtained)
        finally:
            self._fresh.close()

    def _end_unsent(self, outcome: Outcome) -> Outcome:
        event = {Answered: "replay", NotRun: "refuse", Unknown: "lose"}[type(outcome)]
        self._lifecycle.fire(event)
        return outcome

    def _send_once(self, claim: Claim) -> Outcome:
        while True:
            # A process that was paused after its claim may find that the deadline has
            # passed. The caller no longer waits, so the request is not sent.
            if self._remaining() <= timedelta():
                return self._withdraw(claim, "the deadline has passed")
            if not self._fresh.renew_if_older(MAX_CONNECTION_AGE):
                return self._withdraw(claim, "no endpoint takes the request now")
            try:
                response = self._send()
            except Refused as error:
                self._avoid.add(self._fresh.endpoint.name)
                self._lifecycle.fire("retry")
                if not self._fresh.replace():
                    return replace(
                        self._withdraw(claim, error.message, error.retry_after),
                        overloaded=True,
                    )
                continue
            except ResponseLost as error:
                self._observe(self._fresh.endpoint, ok=False)
                spawn(self._claimant.mark_unknown, claim)
                self._lifecycle.fire("lose")
                return Unknown(error.message, RETRY_AFTER)
            self._observe(self._fresh.endpoint, ok=True)
            self._lifecycle.fire("answer")
            answered = Answered(response.status, response.headers, response.body)
            # The response is returned even if it can't be stored. A retry that comes
            # before it is stored finds the claim and polls it.
            spawn(self._claimant.store_response, claim, answered)
            return answered

    def _send(self) -> EndpointResponse:
        self._lifecycle.fire("send")
        endpoint = self._fresh.endpoint
        endpoint.in_flight += 1
        try:
            request = endpoint_request(self._call)
            return self._fresh.connection.send(request, self._remaining())
        finally:
            endpoint.in_flight -= 1

    def _remaining(self) -> timedelta:
        return self._call.call.deadline - self._clock.elapsed()

    def _withdraw(
        self, claim: Claim, reason: str, retry_after: timedelta | None = None
    ) -> NotRun:
        spawn(self._claimant.release, claim)
        return self._refuse(reason, retry_after)

    def _refuse(self, reason: str, retry_after: timedelta | None = None) -> NotRun:
        self._lifecycle.fire("refuse")
        return NotRun(reason, retry_after or RETRY_AFTER)


class FreshConnection:
    """A fresh connection to a chosen endpoint, with its age.

    :param choose: returns an endpoint, or None.
    :param observe: records unreachable endpoints.
    :param avoid: names of endpoints to avoid; unreachable ones are added.
    :param clock: source of time.
    """

    def __init__(
        self, choose: Choose, observe: Observe, avoid: set[str], clock: Clock
    ) -> None:
        self._choose = choose
        self._observe = observe
        self._avoid = avoid
        self._clock = clock
        self._endpoint: Endpoint | None = None
        self._connection: Connection | None = None
        self._opened_at = timedelta()

    @property
    def endpoint(self) -> Endpoint:
        """The connected endpoint."""
        return self._endpoint

    @property
    def connection(self) -> Connection:
        """The open connection."""
        return self._connection

    def replace(self) -> bool:
        """Open a fresh connection; return whether any endpoint accepted one."""
        self.close()
        while (endpoint := self._choose(frozenset(self._avoid))) is not None:
            try:
                self._connection = endpoint.adapter.connect()
            except NotSent:
                self._observe(endpoint, ok=False)
                self._avoid.add(endpoint.name)
                continue
            self._endpoint = endpoint
            self._opened_at = self._clock.elapsed()
            return True
        return False

    def renew_if_older(self, age: timedelta) -> bool:
        """Open a fresh connection if this one is older or its endpoint is leaving.

        :returns: whether a connection is open.
        """
        is_young = self._clock.elapsed() - self._opened_at <= age
        if is_young and self._endpoint.takes_work:
            return True
        return self.replace()

    def close(self) -> None:
        """Close the connection, if one is open."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None
