"""Time from a notice to the last new request that any entry sends."""

import itertools
import time
from datetime import datetime, timedelta

from standins.callers import MODEL, PLAIN, Balancer, CallerPool, call, start_fleet
from standins.processes import EndpointProcess, EntryProcess

ENTRIES = 9
CALLERS = 4 * ENTRIES
ROUNDS = 5
NOTICE_SECONDS = 60.0
NOTICE_INTERVAL_SECONDS = 1.5
LIST_LAG_MS = 10_000


def last_new_requests(
    endpoint: EndpointProcess, noticed: datetime
) -> dict[str, timedelta]:
    """Return how long after the notice each entry last sent a new request.

    Entries that sent none after it have zero; those that never sent any are left
    out. The callers' request ids begin with the entry's name.
    """
    last: dict[str, timedelta] = {}
    for item in endpoint.executions():
        entry = item["request_id"].partition(".")[0]
        after_notice = datetime.fromisoformat(item["at"]) - noticed
        last[entry] = max(last.get(entry, timedelta()), after_notice)
    return last


def send_requests(
    entry: EntryProcess, state: dict[str, bool], caller: int
) -> list[str]:
    """Send lookups, or prompts with short responses, until ``state`` is not running.

    :returns: the failures.
    """
    failed = []
    for number in itertools.count():
        request_id = f"{entry.name}.{caller}.{number}"
        if caller % 2:
            path = f"/v1/services/records/lookups/{caller}-{number}"
            response = call(entry, "GET", path, X_Request_Id=request_id)
        else:
            messages = [{"role": "user", "content": f"{caller} {number}"}]
            body = {"model": MODEL, "messages": messages, "max_tokens": 3}
            path = "/v1/chat/completions"
            response = call(entry, "POST", path, body, X_Request_Id=request_id)
        if response.status != 200:
            failed.append(f"{response.status} {response.data!r}")
        if not state["running"]:
            break
    return failed


def run_round(
    between_seconds: float = NOTICE_INTERVAL_SECONDS,
) -> tuple[list[timedelta], list[str]]:
    """Give notice to two engines and two services in turn.

    :param between_seconds: time before each notice and after the last.
    :returns: the time to the last new request of each entry to each of them, and
        the failures.
    """
    with start_fleet(step_ms=5, entries=ENTRIES) as fleet:
        fleet.platform.set_faults(
            store={"outage": "silent"}, cloud={"list_lag_ms": LIST_LAG_MS}
        )
        services = fleet.endpoints_of(PLAIN)
        engines = fleet.endpoints_of(MODEL)
        leaving = [services[0], engines[0], services[1], engines[1]]
        state = {"running": True}
        noticed = {}
        with CallerPool(Balancer(fleet.entries)) as callers:
            futures = [
                callers.submit(
                    send_requests, fleet.entries[number % ENTRIES], state, number
                )
                for number in range(CALLERS)
            ]
            time.sleep(between_seconds)
            for endpoint in leaving:
                noticed[endpoint.name] = datetime.now().astimezone()
                fleet.platform.give_notice(endpoint.name, NOTICE_SECONDS)
                time.sleep(between_seconds)
            time.sleep(between_seconds)
            state["running"] = False
            failed = [fault for future in futures for fault in future.result()]
        times = [
            last
            for endpoint in leaving
            for last in last_new_requests(endpoint, noticed[endpoint.name]).values()
        ]
    return times, failed


def measure() -> None:
    """Run the rounds and print the table."""
    times: list[timedelta] = []
    failed: list[str] = []
    for _ in range(ROUNDS):
        round_times, round_failures = run_round()
        times.extend(round_times)
        failed.extend(round_failures)
    milliseconds = sorted(each / timedelta(milliseconds=1) for each in times)
    print(
        "| entries | notices | pairs | median (ms) | p99 (ms) | worst (ms) | failed |"
    )
    print("| ---: | ---: | ---: | ---: | ---: | ---: | ---: |")
    median = milliseconds[len(milliseconds) // 2]
    p99 = milliseconds[int(len(milliseconds) * 0.99)]
    print(
        f"| {ENTRIES} | {4 * ROUNDS} | {len(times)} | {median:.0f} | {p99:.0f} | "
        f"{milliseconds[-1]:.0f} | {len(failed)} |"
    )
