"""Callers of three entries that check every answer against what it must be."""

import json
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta

from hdrh.histogram import HdrHistogram
from urllib3.exceptions import HTTPError

from sassafrasdale.clock import Clock, SystemClock
from sassafrasdale.green import spawn
from sassafrasdale.green_http import GreenHttpPool, http_pool
from sassafrasdale.structures import Address
from standins.fleet import Fleet
from standins.generation import reference_text

CUSTOMERS = ("cube-labs", "ready-mix-plants", "site-engineers")
MODEL = "reports"
MAX_TOKENS = 16
MICROSECOND = timedelta(microseconds=1)
LONGEST = timedelta(minutes=2)
READ_LIMIT = timedelta(seconds=60)
# Of each hundred requests: lookups, certificates; the rest are generations.
LOOKUPS = 60
CERTIFICATES = 10


def histogram() -> HdrHistogram:
    """Return a histogram of microseconds, up to two minutes."""
    return HdrHistogram(1, LONGEST // MICROSECOND, 3)


@dataclass(slots=True)
class Tally:
    """What the callers saw.

    :param outcomes: answers by kind of request and outcome.
    :param wrong: answers that were not what they must be.
    :param latency: time to a whole answer, by kind, in microseconds.
    """

    outcomes: Counter = field(default_factory=Counter)
    wrong: list[str] = field(default_factory=list)
    latency: dict[str, HdrHistogram] = field(default_factory=dict)

    def record(self, kind: str, outcome: str, taken: timedelta) -> None:
        """Count one answer."""
        self.outcomes[kind, outcome] += 1
        self.latency.setdefault(kind, histogram()).record_value(taken // MICROSECOND)


class Caller:
    """One caller: asks one thing after the other, of any entry.

    :param number: number of the caller, part of all that it asks.
    :param pools: connections to the entries.
    :param tally: where its answers are counted.
    :param clock: source of time.
    """

    def __init__(
        self, number: int, pools: list[GreenHttpPool], tally: Tally, clock: Clock
    ) -> None:
        self._number = number
        self._pools = pools
        self._tally = tally
        self._clock = clock
        self._rng = random.Random(number)
        self._asked = 0

    def run(self, until: timedelta) -> None:
        """Ask until ``until``, elapsed time of the clock."""
        while self._clock.elapsed() < until:
            self._asked += 1
            draw = self._rng.randrange(100)
            if draw < LOOKUPS:
                self._timed("lookup", self._look_up)
            elif draw < LOOKUPS + CERTIFICATES:
                self._timed("certificate", self._issue)
            elif draw % 2:
                self._timed("whole", self._ask_whole)
            else:
                self._timed("streamed", self._ask_streamed)

    def _timed(self, kind: str, ask: Callable[[], str]) -> None:
        began = self._clock.elapsed()
        try:
            outcome = ask()
        except HTTPError as error:
            outcome = f"lost ({type(error).__name__})"
        self._tally.record(kind, outcome, self._clock.elapsed() - began)

    def _look_up(self) -> str:
        wanted = f"{self._number}-{self._asked}"
        answer = self._call("GET", f"/v1/services/records/lookups/{wanted}")
        if answer.status == 200 and json.loads(answer.data)["id"] != wanted:
            self._tally.wrong.append(f"lookup {wanted}: {answer.data!r}")
        return self._outcome(answer)

    def _issue(self) -> str:
        """Issue a certificate and ask for the same again through another entry."""
        key = f"{self._number}-{self._asked}"
        headers = {"Idempotency-Key": key}
        path = "/v1/services/records/certificates"
        first = self._call("POST", path, {"cube": key}, headers)
        again = self._call("POST", path, {"cube": key}, headers)
        both = first.status == again.status == 201
        if both and first.data != again.data:
            self._tally.wrong.append(f"two certificates for {key}")
        return self._outcome(first)

    def _ask_whole(self) -> str:
        body = self._chat()
        answer = self._call("POST", "/v1/chat/completions", body)
        if answer.status == 200:
            content = json.loads(answer.data)["choices"][0]["message"]["content"]
            self._check(body, content)
        return self._outcome(answer)

    def _ask_streamed(self) -> str:
        body = {**self._chat(), "stream": True}
        answer = self._call("POST", "/v1/chat/completions", body)
        if answer.status != 200:
            return self._outcome(answer)
        events = [
            line.removeprefix(b"data: ")
            for line in answer.data.split(b"\n")
            if line.startswith(b"data: ")
        ]
        if events[-1] != b"[DONE]":
            return "cut"
        chunks = [json.loads(event)["choices"][0]["delta"] for event in events[:-1]]
        self._check(body, "".join(chunk.get("content", "") for chunk in chunks))
        return self._outcome(answer)

    def _check(self, body: dict, content: str) -> None:
        if content != reference_text(MODEL, body["messages"], MAX_TOKENS):
            self._tally.wrong.append(f"{body['messages'][0]['content']}: {content}")

    def _chat(self) -> dict:
        question = f"Caller {self._number} asks about batch {self._asked}."
        return {
            "model": MODEL,
            "messages": [{"role": "user", "content": question}],
            "max_tokens": MAX_TOKENS,
        }

    def _call(self, method: str, path: str, body=None, headers=None):
        pool = self._rng.choice(self._pools)
        return pool.request(
            method,
            path,
            json=body,
            headers={
                "X-Customer": CUSTOMERS[self._number % len(CUSTOMERS)],
                **({"Content-Type": "application/json"} if body else {}),
                **(headers or {}),
            },
        )

    def _outcome(self, answer) -> str:
        outcome = answer.headers.get("X-Outcome", f"status {answer.status}")
        if answer.status < 400:
            return outcome
        return f"{outcome} ({answer.status}: {json.loads(answer.data)['detail'][:60]})"


def run_callers(fleet: Fleet, callers: int, duration: timedelta) -> Tally:
    """Let ``callers`` ask for ``duration`` and return what they saw."""
    clock = SystemClock()
    tally = Tally()
    pools = [
        http_pool(Address.parse(entry.address), size=callers, read_timeout=READ_LIMIT)
        for entry in fleet.entries
    ]
    until = clock.elapsed() + duration
    tasks = [
        spawn(Caller(number, pools, tally, clock).run, until)
        for number in range(callers)
    ]
    for task in tasks:
        task.wait()
    return tally
