"""Callers get what the engines can do, and the rest is told so at once.

The bounds are the targets of the design page on overload. The warm-up lets gateways
measure how long prompts take.
"""

from collections import Counter
from collections.abc import Iterator, Sequence
from datetime import timedelta
from statistics import quantiles

import pytest

from sassafrasdale.clock import SystemClock
from sassafrasdale.green import sleep, spawn
from standins.engine_gates import EngineCapacity
from standins.gateway_endpoints import TOKEN_TIME, StandInEndpoint
from standins.gateway_fleet import KILL, TERM, GatewayProcess, wait_for
from tests.guarantees.gateway_fleets import (
    ZONES,
    RunningFleet,
    add_engines,
    start_gateways,
)
from tests.guarantees.paced_callers import (
    DEADLINE,
    OBJECTIVE,
    Attempt,
    Call,
    Callers,
    Kind,
)
from tests.platform.documents import configuration

CLOCK = SystemClock()
SECOND = timedelta(seconds=1)
GATEWAYS = 4
ENGINES = 6
SLOTS = 4
MAX_WAITING = 12
# A prompt whose prefill takes a tenth of a second, and the rate of them at all engines.
TOKENS = 4000
SHORT_TOKENS = 200
ROOM = ENGINES * SECOND / (TOKEN_TIME * TOKENS)
WARM_UP = 1.5 * SECOND
LOAD_TIME = 5 * SECOND
ON_TIME_SHARE = 0.97
WORK_SHARE = 0.85
MAX_REJECTION_TIME = OBJECTIVE / 4
URGENT = "/urgent/"
USUAL_KEY = "key-usual"
SURGING_KEY = "key-surging"


def _configuration() -> dict:
    [stream] = [
        route for route in configuration()["routes"] if route["kind"] == "stream"
    ]
    route = {
        **stream,
        "timeoutMs": DEADLINE / timedelta(milliseconds=1),
        "goalMs": OBJECTIVE / timedelta(milliseconds=1),
        "priority": 5,
        "split": [{"service": "models", "weight": 1}],
        "sessionAffinity": False,
        "allowResume": False,
    }
    urgent = {**route, "name": "r-urgent", "prefix": URGENT, "priority": 0}
    engine = {"slots": SLOTS, "kvCap": 344_095}
    service = {"name": "models", "healthPath": "/healthz", "engine": engine}
    tenants = [
        {"name": key, "apiKeys": [key], "unit": "tokens", "ratePerS": 0}
        for key in ("key-1", USUAL_KEY, SURGING_KEY)
    ]
    return configuration(routes=[route, urgent], services=[service], tenants=tenants)


class Deployment(RunningFleet):
    """Gateways in two zones, engines with little room, and callers.

    :ivar serving: gateways that the balancer sends to.
    """

    def __init__(self) -> None:
        super().__init__(_configuration())
        self.engines: list[StandInEndpoint] = add_engines(self.fleet, ENGINES)
        self.set_speeds([1.0])
        start_gateways(self.fleet, GATEWAYS)
        self.serving = list(self.fleet.gateways)
        self.callers = Callers(lambda: self.serving)

    def set_speeds(self, speeds: Sequence[float]) -> None:
        """Bound what the engines can do; they get the speeds by turns."""
        for number, engine in enumerate(self.engines):
            speed = speeds[number % len(speeds)]
            engine.capacity = EngineCapacity(SLOTS, MAX_WAITING, speed)
            engine.register_again()

    def warm_up(self, share: float = 0.5) -> None:
        """Load the engines for a while with a share of what they can do.

        The time per token shows only in the difference of short and long prompts.
        """
        long = Kind(share * ROOM, TOKENS)
        self.callers.send([Kind(20, SHORT_TOKENS), long], WARM_UP)

    def load(self, kinds: Sequence[Kind], period: timedelta = LOAD_TIME) -> timedelta:
        """Send requests for a time, and return when it began."""
        began_at = CLOCK.elapsed()
        self.callers.send(kinds, period)
        return began_at

    def finish(self) -> None:
        """Wait for all responses, and check what holds under any load."""
        self.callers.wait_for_the_last()
        print(self._summary())
        runs = Counter(
            request_id for engine in self.engines for request_id in engine.request_ids
        )
        assert [name for name, times in runs.items() if times > 1] == []
        rejected = [each for each in self.callers.attempts if each.is_rejected]
        assert [each for each in rejected if each.request_id in runs] == []

    def _summary(self) -> str:
        return "\n".join(
            f"{kind}: {len(calls)} calls, "
            f"{sum(call.is_on_time for call in calls)} on time, statuses "
            f"{Counter(each.status for call in calls for each in call.attempts)}"
            for kind, calls in self.callers.calls.items()
        )

    def calls(self, kind: Kind, since: timedelta, until: timedelta) -> list[Call]:
        """Return the requests of a kind that arrived in a period."""
        return [
            call for call in self.callers.calls[kind] if since <= call.began_at < until
        ]

    def on_time_share(
        self, kind: Kind, since: timedelta, until: timedelta = timedelta.max
    ) -> float:
        """Return the share of a kind's arrivals in a period that are on time."""
        calls = self.calls(kind, since, until)
        return sum(call.is_on_time for call in calls) / len(calls)

    def on_time_rate(self, kind: Kind, since: timedelta, until: timedelta) -> float:
        """Return the rate of on-time first events in a period."""
        on_time = [
            call
            for call in self.callers.calls[kind]
            if call.is_on_time and since <= call.first_event_at < until
        ]
        return len(on_time) / ((until - since) / SECOND)

    def rejection_time(self, since: timedelta) -> timedelta:
        """Return the 95th percentile of the times until a rejection."""
        times = [
            each.ended_at - each.sent_at
            for each in self.callers.attempts
            if each.is_rejected and each.sent_at >= since
        ]
        return quantiles(times, n=20)[-1]

    def dispatcher(self) -> GatewayProcess:
        """Return the gateway that the first zone's gateways chose last."""
        [name, *_] = [
            line["peer"]
            for gateway in self.fleet.gateways[:: len(ZONES)]
            for line in reversed(gateway.log_lines())
            if line["message"] == "aggregator chosen"
        ]
        return next(each for each in self.fleet.gateways if each.name == name)


@pytest.fixture
def deployment() -> Iterator[Deployment]:
    started = Deployment()
    yield started
    started.close()


@pytest.mark.parametrize("times", [2, 5])
def test_overloaded_engines_do_on_time_work(deployment, times):
    """Guards against engines that are busy with what is late by then."""
    deployment.warm_up()
    kind = Kind(times * ROOM, TOKENS)
    since = deployment.load([kind])
    deployment.finish()
    until = since + LOAD_TIME
    assert deployment.on_time_rate(kind, since, until) >= WORK_SHARE * ROOM
    assert deployment.rejection_time(since) <= MAX_REJECTION_TIME


def test_urgent_requests_leave_the_rest_to_others(deployment):
    """Guards against non-urgent requests that starve beside urgent ones."""
    deployment.warm_up()
    urgent = Kind(20, TOKENS, URGENT)
    other = Kind(100, TOKENS)
    since = deployment.load([urgent, other])
    deployment.finish()
    until = since + LOAD_TIME
    assert deployment.on_time_share(urgent, since) >= ON_TIME_SHARE
    assert deployment.on_time_rate(other, since, until) >= 0.9 * (ROOM - urgent.rate)


def test_a_burst_is_over_a_second_after_its_end(deployment):
    """Guards against a queue, or retries, that outlast the burst."""
    deployment.warm_up(0.6)
    kind = Kind(0.6 * ROOM, TOKENS)
    burst = Kind(2.5 * ROOM, TOKENS)
    deployment.load([burst], 4 * SECOND)
    since = deployment.load([kind], 3.5 * SECOND)
    deployment.finish()
    assert deployment.on_time_share(kind, since + SECOND) >= ON_TIME_SHARE


def test_short_requests_do_not_wait_for_long_ones(deployment):
    """Guards against short prompts that are sent behind long ones.

    Each of the two kinds is half of the engines' work.
    """
    deployment.warm_up()
    short = Kind(0.3 * ROOM * 4, TOKENS // 4)
    long = Kind(0.3 * ROOM / 3, TOKENS * 3)
    since = deployment.load([short, long])
    deployment.finish()
    assert deployment.on_time_share(short, since) >= ON_TIME_SHARE


def test_slow_engines_get_less(deployment):
    """Guards against slow engines that get as many requests as fast ones."""
    speeds = [0.6, 1.0, 1.6]
    deployment.set_speeds(speeds)
    deployment.warm_up()
    kind = Kind(0.8 * ROOM * sum(speeds) / len(speeds), TOKENS)
    since = deployment.load([kind])
    deployment.finish()
    assert deployment.on_time_share(kind, since) >= ON_TIME_SHARE


def test_a_zone_is_replaced_by_the_other(deployment):
    """Guards against requests that wait for engines that are gone."""
    kind = Kind(0.45 * ROOM, TOKENS)
    deployment.warm_up(0.45)
    for engine in deployment.engines[::2]:
        engine.end()
    since = deployment.load([kind])
    deployment.finish()
    assert deployment.on_time_share(kind, since) >= ON_TIME_SHARE


def test_a_surging_customer_leaves_others_their_share(deployment):
    """Guards against a surge of one customer that delays another one."""
    usual = Kind(0.1 * ROOM, TOKENS, key=USUAL_KEY)
    before = Kind(0.5 * ROOM, TOKENS, key=SURGING_KEY)
    surging = Kind(6 * before.rate, TOKENS, key=SURGING_KEY)
    deployment.load([before], WARM_UP)
    since = deployment.load([usual, surging])
    deployment.finish()
    assert deployment.on_time_share(usual, since) >= 0.95


def test_a_killed_dispatcher_is_replaced(deployment):
    """Guards against queues that are lost with the gateway that kept them."""
    deployment.warm_up()
    kind = Kind(2 * ROOM, TOKENS)
    spawn(_kill_dispatcher, deployment, 2 * SECOND)
    since = deployment.load([kind], 6 * SECOND)
    deployment.finish()
    rate = deployment.on_time_rate(kind, since + 3 * SECOND, since + 6 * SECOND)
    assert rate >= WORK_SHARE * ROOM


def _kill_dispatcher(deployment: Deployment, pause: timedelta) -> None:
    sleep(pause)
    dispatcher = deployment.dispatcher()
    deployment.serving.remove(dispatcher)
    dispatcher.signal(KILL)


def test_a_stopping_gateway_answers_waiting_requests(deployment):
    """Guards against requests that are lost, or rejected though they run.

    :meth:`Deployment.finish` checks the latter.
    """
    deployment.warm_up()
    stopping = deployment.serving[1]
    spawn(_stop, deployment, stopping, 2 * SECOND)
    deployment.load([Kind(2 * ROOM, TOKENS)], 4 * SECOND)
    deployment.finish()
    asked = [each for each in deployment.callers.attempts if _is_at(each, stopping)]
    assert asked
    assert [each for each in asked if not each.is_answered] == []
    wait_for(lambda: stopping.exit_code() == 0, "it has not stopped")


def _stop(deployment: Deployment, gateway: GatewayProcess, pause: timedelta) -> None:
    """Stop a gateway; the balancer notices that a second later."""
    sleep(pause)
    gateway.signal(TERM)
    sleep(SECOND)
    deployment.serving.remove(gateway)


def _is_at(attempt: Attempt, gateway: GatewayProcess) -> bool:
    return attempt.gateway == gateway.name
