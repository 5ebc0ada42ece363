"""One non-idempotent call: claimed in the store, then sent at most once.

The order is what the guarantee rests on:

1. a fresh connection to an endpoint, on which nothing has been sent;
2. the claim, by create-if-absent in the platform's store;
3. the first byte to the endpoint.

A claim never lapses while its holder may still send, so a holder that freezes
after step 2 can only ever be the one that runs the request.
"""

from collections.abc import Callable
from datetime import timedelta

from sassafrasdale.charts import Lifecycle, load_chart
from sassafrasdale.clock import Clock
from sassafrasdale.endpoints.adapters import Connection, EndpointAnswer
from sassafrasdale.endpoints.directory import Endpoint
from sassafrasdale.endpoints.exceptions import AnswerLost, NotSent, Refused
from sassafrasdale.green import sleep, spawn
from sassafrasdale.requests.claims import (
    Answered as ClaimAnswered,
)
from sassafrasdale.requests.claims import (
    Claim,
    ClaimKey,
    Claims,
    FingerprintMismatch,
    Granted,
    InProgress,
    OutcomeLost,
    StoredAnswer,
)
from sassafrasdale.requests.exceptions import ClaimRefused, KeyReused
from sassafrasdale.requests.execution import Choose, endpoint_request
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
# Pause between two looks at a claim that another request holds.
POLL = timedelta(milliseconds=100)


class GuardedExecution:
    """A call that at most one entry sends, once.

    :param call: what the caller asked for; it has an idempotency key.
    :param claim_id: unique id of this attempt at the claim.
    :param fingerprint: hash of what is asked, to tell a retry from a reuse.
    :param holder: name of this entry.
    :param choose: gives an endpoint, or None.
    :param is_alive: whether the entry of a name is alive, as far as is known.
    :param claims: the claims in the platform's store.
    :param clock: source of time.
    """

    def __init__(
        self,
        call: ServiceCall,
        *,
        claim_id: str,
        fingerprint: str,
        holder: str,
        choose: Choose,
        is_alive: Callable[[str], bool],
        claims: Claims,
        clock: Clock,
    ) -> None:
        self._call = call
        self._claim_id = claim_id
        self._fingerprint = fingerprint
        self._holder = holder
        self._choose = choose
        self._is_alive = is_alive
        self._claims = claims
        self._clock = clock
        self._life = Lifecycle(load_chart("request"))
        self._avoid: set[str] = set()

    @property
    def state(self) -> str:
        """State of the request's chart."""
        return self._life.state

    def run(self) -> Outcome:
        """Claim the call, send it once and return how it ended.

        :raises KeyReused: the key names another request.
        """
        self._life.fire("admit")
        link = self._connect()
        if link is None:
            return self._refuse("no endpoint takes the request now")
        try:
            return self._run_claimed(link)
        except ClaimRefused as error:
            return self._refuse(error.message, error.retry_after)
        finally:
            link.close()

    def _run_claimed(self, link: "Link") -> Outcome:
        claimed = self._claim()
        while isinstance(claimed, InProgress) and claimed.claim_id != self._claim_id:
            if not self._is_alive(claimed.holder):
                return self._lose("the entry that ran the request is gone")
            if self._remaining() <= POLL:
                return self._lose("the request is still running")
            sleep(POLL)
            claimed = self._claim()
        match claimed:
            case Granted(claim):
                self._life.fire("claim")
                return self._send_once(link, claim)
            case ClaimAnswered(stored):
                self._life.fire("replay")
                return Answered(stored.status, stored.headers, stored.body)
            case FingerprintMismatch():
                raise KeyReused(
                    "the idempotency key names another request",
                    field="Idempotency-Key",
                )
            case OutcomeLost():
                return self._lose("the first execution's outcome is not known")

    def _claim(self):
        call = self._call.call
        key = ClaimKey(call.service, call.customer, call.idempotency_key)
        return self._claims.claim(key, self._fingerprint, self._claim_id, self._holder)

    def _send_once(self, link: "Link", claim: Claim) -> Outcome:
        while True:
            # A process that was frozen since its claim finds the deadline passed:
            # its caller has gone, so what was never sent stays unsent.
            if self._remaining() <= timedelta():
                return self._withdraw(claim, "the deadline has passed")
            if not link.renew_if_older(CONNECTION_FRESH):
                return self._withdraw(claim, "no endpoint takes the request now")
            try:
                answer = self._send(link)
            except Refused as error:
                self._avoid.add(link.endpoint.name)
                self._life.fire("retry")
                if not link.replace():
                    return self._withdraw(claim, error.message, error.retry_after)
                continue
            except AnswerLost as error:
                spawn(self._claims.mark_unknown, claim)
                return self._lose(error.message)
            self._life.fire("answer")
            stored = StoredAnswer(answer.status, answer.headers, answer.body)
            # The answer is the caller's in any case; a retry that comes before
            # it is stored finds the claim and asks again.
            spawn(self._claims.settle, claim, stored)
            return Answered(answer.status, answer.headers, answer.body)

    def _send(self, link: "Link") -> EndpointAnswer:
        self._life.fire("send")
        endpoint = link.endpoint
        endpoint.in_flight += 1
        try:
            return link.connection.send(endpoint_request(self._call), self._remaining())
        finally:
            endpoint.in_flight -= 1

    def _connect(self) -> "Link | None":
        link = Link(self._choose, self._avoid, self._clock)
        return link if link.replace() else None

    def _remaining(self) -> timedelta:
        return self._call.call.deadline - self._clock.elapsed()

    def _withdraw(
        self, claim: Claim, reason: str, retry_after: timedelta | None = None
    ) -> Outcome:
        spawn(self._claims.abandon, claim)
        return self._refuse(reason, retry_after)

    def _refuse(self, reason: str, retry_after: timedelta | None = None) -> Outcome:
        self._life.fire("refuse")
        return NotRun(reason, retry_after or RETRY_AFTER)

    def _lose(self, reason: str) -> Outcome:
        self._life.fire("lose")
        return Unknown(reason, RETRY_AFTER)


class Link:
    """A fresh connection to a chosen endpoint, and when it was opened.

    :param choose: gives an endpoint, or None.
    :param avoid: names of endpoints not to take; unreachable ones are added.
    :param clock: source of time.
    """

    def __init__(self, choose: Choose, avoid: set[str], clock: Clock) -> None:
        self._choose = choose
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
        while True:
            endpoint = self._choose(frozenset(self._avoid))
            if endpoint is None:
                return False
            try:
                self._connection = endpoint.adapter.connect()
            except NotSent:
                self._avoid.add(endpoint.name)
                continue
            self._endpoint = endpoint
            self._opened_at = self._clock.elapsed()
            return True

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
