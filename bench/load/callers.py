"""Callers of several entries that check every response against the expected one."""

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
MAX_LATENCY = timedelta(minutes=2)
READ_TIMEOUT = timedelta(seconds=60)
# Lookups and certificates among each hundred requests; the rest are generations.
LOOKUPS = 60
CERTIFICATES = 10


def histogram() -> HdrHistogram:
    """Return a histogram of microseconds, up to two minutes."""
    return HdrHistogram(1, MAX_LATENCY // MICROSECOND, 3)


@dataclass(slots=True)
class Tally:
    """The callers' results.

    :param outcomes: responses by kind of request and outcome.
    :param mismatches: responses that differ from the expected ones.
    :param latency: time to a complete response, by kind, in microseconds.
    """

    outcomes: Counter = field(default_factory=Counter)
    mismatches: list[str] = field(default_factory=list)
    latency: dict[str, HdrHistogram] = field(default_factory=dict)

    def record(self, kind: str, outcome: str, duration: timedelta) -> None:
        """Count one response."""
        self.outcomes[kind, outcome] += 1
        self.latency.setdefault(kind, histogram()).record_value(duration // MICROSECOND)


class Caller:
    """A caller that sends one request after another, each to a random entry.

    :param number: number of the caller, which is part of each of its requests.
    :param pools: connection pools of the entries.
    :param tally: where its responses are counted.
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
        self._request_count = 0

    def run(self, deadline: timedelta) -> None:
        """Send requests until ``deadline``, an elapsed time of the clock."""
        while self._clock.elapsed() < deadline:
            self._request_count += 1
            draw = self._rng.randrange(100)
            if draw < LOOKUPS:
                self._timed("lookup", self._look_up)
            elif draw < LOOKUPS + CERTIFICATES:
                self._timed("certificate", self._issue)
            elif draw % 2:
                self._timed("whole", self._ask_complete)
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
        lookup_id = f"{self._number}-{self._request_count}"
        response = self._call("GET", f"/v1/services/records/lookups/{lookup_id}")
        if response.status == 200 and json.loads(response.data)["id"] != lookup_id:
            self._tally.mismatches.append(f"lookup {lookup_id}: {response.data!r}")
        return self._outcome(response)

    def _issue(self) -> str:
        """Issue a certificate and repeat the request, through any entry."""
        key = f"{self._number}-{self._request_count}"
        headers = {"Idempotency-Key": key}
        path = "/v1/services/records/certificates"
        first = self._call("POST", path, {"cube": key}, headers)
        repeated = self._call("POST", path, {"cube": key}, headers)
        both_issued = first.status == repeated.status == 201
        if both_issued and first.data != repeated.data:
            self._tally.mismatches.append(f"two certificates for {key}")
        return self._outcome(first)

    def _ask_complete(self) -> str:
        body = self._chat()
        response = self._call("POST", "/v1/chat/completions", body)
        if response.status == 200:
            content = json.loads(response.data)["choices"][0]["message"]["content"]
            self._check(body, content)
        return self._outcome(response)

    def _ask_streamed(self) -> str:
        body = {**self._chat(), "stream": True}
        response = self._call("POST", "/v1/chat/completions", body)
        if response.status != 200:
            return self._outcome(response)
        events = [
            line.removeprefix(b"data: ")
            for line in response.data.split(b"\n")
            if line.startswith(b"data: ")
        ]
        if events[-1] != b"[DONE]":
            return "cut"
        chunks = [json.loads(event)["choices"][0]["delta"] for event in events[:-1]]
        self._check(body, "".join(chunk.get("content", "") for chunk in chunks))
        return self._outcome(response)

    def _check(self, body: dict, content: str) -> None:
        if content != reference_text(MODEL, body["messages"], MAX_TOKENS):
            self._tally.mismatches.append(
                f"{body['messages'][0]['content']}: {content}"
            )

    def _chat(self) -> dict:
        question = f"Caller {self._number} asks about batch {self._request_count}."
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

    def _outcome(self, response) -> str:
        outcome = response.headers.get("X-Outcome", f"status {response.status}")
        if response.status < 400:
            return outcome
        return (
            f"{outcome} ({response.status}: {json.loads(response.data)['detail'][:60]})"
        )


def run_callers(fleet: Fleet, callers: int, duration: timedelta) -> Tally:
    """Run ``callers`` for ``duration`` and return their results."""
    clock = SystemClock()
    tally = Tally()
    pools = [
        http_pool(Address.parse(entry.address), size=callers, read_timeout=READ_TIMEOUT)
        for entry in fleet.entries
    ]
    deadline = clock.elapsed() + duration
    tasks = [
        spawn(Caller(number, pools, tally, clock).run, deadline)
        for number in range(callers)
    ]
    for task in tasks:
        task.wait()
    return tally
