"""One non-idempotent call: claimed in the store, then sent at most once.

The order is what the guarantee rests on:

1. a fresh connection to an endpoint, on which nothing has been sent;
2. the claim, by create-if-absent in the platform's store;
3. the first byte to the endpoint.

A claim never lapses while its holder may still send, so a holder that freezes
after step 2 can only ever be the one that runs the request.
"""

from dataclasses import replace
from datetime import timedelta

from sassafrasdale.charts import Lifecycle, load_chart
from sassafrasdale.clock import Clock
from sassafrasdale.endpoints.adapters import Connection, EndpointAnswer
from sassafrasdale.endpoints.directory import Endpoint
from sassafrasdale.endpoints.exceptions import AnswerLost, NotSent, Refused
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
# A connection opened before the claim is used only if the claim came this soon;
# after a longer wait, or a freeze of the process, it may be silent for good.
CONNECTION_FRESH = timedelta(seconds=1)


class GuardedExecution:
    """A call that at most one entry sends, once.

    :param call: what the caller asked for; it has an idempotency key.
    :param claimant: claims the call.
    :param choose: gives an endpoint, or None.
    :param observe: told whether an endpoint answered.
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
        self._life = Lifecycle(load_chart("request"))
        self._avoid: set[str] = set()
        self._link = Link(choose, observe, self._avoid, clock)

    @property
    def state(self) -> str:
        """State of the request's chart."""
        return self._life.state

    def run(self) -> Outcome:
        """Claim the call, send it once and return how it ended.

        :raises KeyReused: the key names another request.
        """
        self._life.fire("admit")
        if not self._link.replace():
            return self._refuse("no endpoint takes the request now")
        try:
            obtained = self._claimant.obtain()
            if isinstance(obtained, Claim):
                self._life.fire("claim")
                return self._send_once(obtained)
            return self._told(obtained)
        finally:
            self._link.close()

    def _told(self, outcome: Outcome) -> Outcome:
        event = {Answered: "replay", NotRun: "refuse", Unknown: "lose"}[type(outcome)]
        self._life.fire(event)
        return outcome

    def _send_once(self, claim: Claim) -> Outcome:
        while True:
            # A process that was frozen since its claim finds the deadline passed:
            # its caller has gone, so what was never sent stays unsent.
            if self._remaining() <= timedelta():
                return self._withdraw(claim, "the deadline has passed")
            if not self._link.renew_if_older(CONNECTION_FRESH):
                return self._withdraw(claim, "no endpoint takes the request now")
            try:
                answer = self._send()
            except Refused as error:
                self._avoid.add(self._link.endpoint.name)
                self._life.fire("retry")
                if not self._link.replace():
                    return replace(
                        self._withdraw(claim, error.message, error.retry_after),
                        overloaded=True,
                    )
                continue
            except AnswerLost as error:
                self._observe(self._link.endpoint, ok=False)
                spawn(self._claimant.mark_unknown, claim)
                self._life.fire("lose")
                return Unknown(error.message, RETRY_AFTER)
            self._observe(self._link.endpoint, ok=True)
            self._life.fire("answer")
            answered = Answered(answer.status, answer.headers, answer.body)
            # The answer is the caller's in any case; a retry that comes before
            # it is stored finds the claim and asks again.
            spawn(self._claimant.settle, claim, answered)
            return answered

    def _send(self) -> EndpointAnswer:
        self._life.fire("send")
        endpoint = self._link.endpoint
        endpoint.in_flight += 1
        try:
            request = endpoint_request(self._call)
            return self._link.connection.send(request, self._remaining())
        finally:
            endpoint.in_flight -= 1

    def _remaining(self) -> timedelta:
        return self._call.call.deadline - self._clock.elapsed()

    def _withdraw(
        self, claim: Claim, reason: str, retry_after: timedelta | None = None
    ) -> NotRun:
        spawn(self._claimant.abandon, claim)
        return self._refuse(reason, retry_after)

    def _refuse(self, reason: str, retry_after: timedelta | None = None) -> NotRun:
        self._life.fire("refuse")
        return NotRun(reason, retry_after or RETRY_AFTER)


class Link:
    """A fresh connection to a chosen endpoint, and when it was opened.

    :param choose: gives an endpoint, or None.
    :param observe: told of endpoints that can't be reached.
    :param avoid: names of endpoints not to take; unreachable ones are added.
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
        """The endpoint at the other end."""
        return self._endpoint

    @property
    def connection(self) -> Connection:
        """The open connection."""
        return self._connection

    def replace(self) -> bool:
        """Open a fresh connection; return whether any endpoint takes one."""
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
        """Open a fresh connection if this one is older, or its endpoint leaves."""
        young = self._clock.elapsed() - self._opened_at <= age
        if young and self._endpoint.takes_work:
            return True
        return self.replace()

    def close(self) -> None:
        """Close the connection, if one is open."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None
