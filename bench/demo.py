"""Bring up both users' deployments on stand-ins and serve real requests.

Usage::

    python -m bench.demo

For each deployment the platform, engines, services and three entries start as
processes; lookups, a non-idempotent call with a retry through another entry, a
whole and a streamed answer are asked for. The exit code is 0 if all went well.
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
    """What to ask of one deployment.

    :param name: name of the example text.
    :param customer: who calls.
    :param plain: name of the plain service.
    :param lookup: path of a lookup there.
    :param effect: path of a non-idempotent call there.
    :param model: name of the model service.
    :param question: what the model is asked.
    """

    name: str
    customer: str
    plain: str
    lookup: str
    effect: str
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
    """An answer was not what it should be."""


def serve(deployment: Deployment) -> list[str]:
    """Ask for everything once; return the lines of the summary.

    :raises CheckError: an answer is wrong.
    """
    text = (EXAMPLES / f"{deployment.name}.yaml").read_text(encoding="utf-8")
    with Fleet(text, entries=3) as fleet:
        first, second, third = fleet.entries
        lines = [
            f"{deployment.name}: {len(fleet.endpoints)} endpoints, 3 entries",
            _lookup(first, deployment),
            _effect(first, second, deployment),
            _whole(second, deployment),
            _streamed(third, deployment),
        ]
        executions = fleet.executions(deployment.plain)
        runs = sum(item["path"] == deployment.effect for item in executions)
        _check(runs == 1, f"{deployment.effect} ran {runs} times")
        return [*lines, f"  {deployment.effect} ran {runs} time"]


def _lookup(entry: EntryProcess, deployment: Deployment) -> str:
    path = f"/v1/services/{deployment.plain}{deployment.lookup}"
    answer = entry.client.call("GET", path, headers=_headers(deployment))
    _check(answer.status == 200, f"lookup: {answer.status} {answer.data!r}")
    return f"  lookup through {entry.name}: {answer.status}"


def _effect(one: EntryProcess, other: EntryProcess, deployment: Deployment) -> str:
    path = f"/v1/services/{deployment.plain}{deployment.effect}"
    headers = {**_headers(deployment), "Idempotency-Key": "demo-1"}
    answers = [
        entry.client.call("POST", path, {"for": "demo"}, headers)
        for entry in (one, other)
    ]
    _check(answers[0].status == 201, f"call: {answers[0].status} {answers[0].data!r}")
    _check(answers[0].data == answers[1].data, "the retry got another answer")
    return f"  {deployment.effect} through {one.name}, retried through {other.name}"


def _whole(entry: EntryProcess, deployment: Deployment) -> str:
    answer = entry.client.call(
        "POST", "/v1/chat/completions", _chat(deployment), _headers(deployment)
    )
    _check(answer.status == 200, f"whole: {answer.status} {answer.data!r}")
    content = answer.json()["choices"][0]["message"]["content"]
    _check(content == _expected(deployment), "the whole answer is not the engine's")
    return f"  whole answer through {entry.name}: {len(content.split())} tokens"


def _streamed(entry: EntryProcess, deployment: Deployment) -> str:
    body = {**_chat(deployment), "stream": True}
    answer = entry.client.call(
        "POST", "/v1/chat/completions", body, _headers(deployment)
    )
    _check(answer.status == 200, f"stream: {answer.status} {answer.data!r}")
    data = [
        line.removeprefix(b"data: ")
        for line in answer.data.split(b"\n")
        if line.startswith(b"data: ")
    ]
    _check(data[-1] == b"[DONE]", "the stream did not come to its end")
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
    """Serve each deployment, print what was asked, and return the exit code."""
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
