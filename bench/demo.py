"""Bring up both users' deployments on stand-ins and serve real requests.

Usage::

    python -m bench.demo

For each deployment the platform, engines, services and three entries start as
processes. It sends a lookup, a non-idempotent call with a retry through another entry,
and asks for a complete and a streamed response. The exit code is 0 if all succeed.
"""

import json
import sys
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from standins.fleet import Fleet
from standins.generation import reference_text
from standins.processes import EntryProcess

EXAMPLES = Path(__file__).parent.parent / "examples"
MAX_TOKENS = 12


@dataclass(frozen=True, slots=True)
class Deployment:
    """The requests to one deployment.

    :param name: name of the example configuration.
    :param customer: the customer that calls.
    :param plain: name of the plain service.
    :param lookup: path of a lookup there.
    :param call: path of a non-idempotent call there.
    :param model: name of the model service.
    :param question: prompt for the model.
    """

    name: str
    customer: str
    plain: str
    lookup: str
    call: str
    model: str
    question: str


DEPLOYMENTS = (
    Deployment(
        "authority",
        "cube-labs",
        "records",
        "/lookups/batch-7",
        "/certificates",
        "reports",
        "Draft the compliance report of batch 7.",
    ),
    Deployment(
        "association",
        "planners",
        "bookings",
        "/lookups/june-12",
        "/holds",
        "replies",
        "Reply to the Alleyne family about June 12.",
    ),
)


class CheckError(Exception):
    """A response is not as expected."""


def serve(deployment: Deployment) -> list[str]:
    """Send each request once; return the lines of the summary.

    :raises CheckError: if a response is not as expected.
    """
    text = (EXAMPLES / f"{deployment.name}.yaml").read_text(encoding="utf-8")
    with Fleet(text, entries=3) as fleet:
        first, second, third = fleet.entries
        lines = [
            f"{deployment.name}: {len(fleet.endpoints)} endpoints, 3 entries",
            _lookup(first, deployment),
            _call(first, second, deployment),
            _complete(second, deployment),
            _streamed(third, deployment),
        ]
        executions = fleet.executions(deployment.plain)
        runs = sum(item["path"] == deployment.call for item in executions)
        _check(runs == 1, f"{deployment.call} ran {runs} times")
        return [*lines, f"  {deployment.call} ran {runs} time"]


def _lookup(entry: EntryProcess, deployment: Deployment) -> str:
    path = f"/v1/services/{deployment.plain}{deployment.lookup}"
    response = entry.client.call("GET", path, headers=_headers(deployment))
    _check(response.status == 200, f"lookup: {response.status} {response.data!r}")
    return f"  lookup through {entry.name}: {response.status}"


def _call(one: EntryProcess, other: EntryProcess, deployment: Deployment) -> str:
    path = f"/v1/services/{deployment.plain}{deployment.call}"
    headers = {**_headers(deployment), "Idempotency-Key": "demo-1"}
    responses = [
        entry.client.call("POST", path, {"for": "demo"}, headers)
        for entry in (one, other)
    ]
    _check(
        responses[0].status == 201, f"call: {responses[0].status} {responses[0].data!r}"
    )
    _check(responses[0].data == responses[1].data, "the retry got a different response")
    return f"  {deployment.call} through {one.name}, retried through {other.name}"


def _complete(entry: EntryProcess, deployment: Deployment) -> str:
    response = entry.client.call(
        "POST", "/v1/chat/completions", _chat(deployment), _headers(deployment)
    )
    _check(response.status == 200, f"whole: {response.status} {response.data!r}")
    content = response.json()["choices"][0]["message"]["content"]
    _check(content == _expected(deployment), "the whole answer is not the engine's")
    return f"  whole answer through {entry.name}: {len(content.split())} tokens"


def _streamed(entry: EntryProcess, deployment: Deployment) -> str:
    body = {**_chat(deployment), "stream": True}
    response = entry.client.call(
        "POST", "/v1/chat/completions", body, _headers(deployment)
    )
    _check(response.status == 200, f"stream: {response.status} {response.data!r}")
    data = [
        line.removeprefix(b"data: ")
        for line in response.data.split(b"\n")
        if line.startswith(b"data: ")
    ]
    _check(data[-1] == b"[DONE]", "the stream is incomplete")
    tokens = [
        json.loads(event)["choices"][0]["delta"].get("content", "")
        for event in data[:-1]
    ]
    _check("".join(tokens) == _expected(deployment), "the stream is not the engine's")
    return f"  streamed answer through {entry.name}: {len(data)} events"


def _chat(deployment: Deployment) -> dict:
    return {
        "model": deployment.model,
        "messages": [{"role": "user", "content": deployment.question}],
        "max_tokens": MAX_TOKENS,
    }


def _expected(deployment: Deployment) -> str:
    chat = _chat(deployment)
    return reference_text(chat["model"], chat["messages"], MAX_TOKENS)


def _headers(deployment: Deployment) -> dict[str, str]:
    return {"X-Customer": deployment.customer}


def _check(holds: bool, message: str) -> None:
    if not holds:
        raise CheckError(message)


def run_demo(
    serve: Callable[[Any], list[str]], deployments: Iterable[Any], summary: str
) -> int:
    """Serve each deployment, print its summary, and return the exit code."""
    try:
        for deployment in deployments:
            print("\n".join(serve(deployment)), flush=True)
    except CheckError as error:
        print(f"FAILED: {error}", file=sys.stderr)
        return 1
    print(summary)
    return 0


def main() -> int:
    """Serve both deployments and print a summary."""
    return run_demo(
        serve,
        DEPLOYMENTS,
        "both deployments answered every request, each non-idempotent call once",
    )


if __name__ == "__main__":
    sys.exit(main())
