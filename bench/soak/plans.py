"""The disruptions of a soak, drawn from a seed."""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from random import Random

from bench.soak.deployment import is_plain
from standins.gateway_endpoints import Endless
from standins.kv_store import Fault
from standins.links import LinkFault

SECOND = timedelta(seconds=1)
# Traffic before the first disruption.
QUIET_START = 2 * SECOND
# Time between the starts of two disruptions: less than most of them last, so that they
# overlap.
MIN_PAUSE = SECOND / 10
MAX_PAUSE = 1.2 * SECOND
# Most times that the store is restored from a copy in one soak.
MAX_RESTORES = 2
# Most callers with a part that crashes engines in one soak, and how long they send.
MAX_PARTS = 2
MAX_PART_SECONDS = 12
# Pauses of endpoints begin about this often, in some cases several in a row, in others
# right after a change of the configuration.
PAUSE_INTERVAL = 5 * SECOND
MAX_PAUSE_SERIES = 3
PAUSE_RANGE = (0.3, 5)
PAUSE_GAP_RANGE = (0.3, 2)
PAUSE_AFTER_CHANGE = SECOND / 10
# Most releases, and most times that responses are endless, in one soak.
MAX_RELEASES = 2
MAX_ENDLESS = 2

# Faults that a plan may draw for a link.
LINK_FAULTS = (
    LinkFault.DELAYS,
    LinkFault.RESETS,
    LinkFault.SILENT,
    LinkFault.ANSWERS_LOST,
)


@dataclass(frozen=True, slots=True)
class Kill:
    """A gateway is killed, and restarted after a while."""

    gateway: int
    duration: timedelta


@dataclass(frozen=True, slots=True)
class Pause:
    """A gateway's process is stopped by a signal for a while."""

    gateway: int
    duration: timedelta


@dataclass(frozen=True, slots=True)
class Restart:
    """A gateway is shut down in order, and restarted once it has ended."""

    gateway: int


@dataclass(frozen=True, slots=True)
class KillAll:
    """All gateways are killed at once, and restarted after a while."""

    duration: timedelta


@dataclass(frozen=True, slots=True)
class StoreOutage:
    """The store refuses calls, does not respond or loses responses, for a while."""

    fault: Fault
    duration: timedelta


@dataclass(frozen=True, slots=True)
class StoreCompaction:
    """The store compacts its history, so that watches must restart."""


@dataclass(frozen=True, slots=True)
class StoreRestore:
    """The store is away for a while, and comes back from a copy.

    :param age: age of the copy as the store goes away.
    """

    age: timedelta
    duration: timedelta


@dataclass(frozen=True, slots=True)
class StoreLinkFault:
    """The link between a gateway and the store has a fault for a while."""

    gateway: int
    fault: LinkFault
    duration: timedelta


@dataclass(frozen=True, slots=True)
class EndpointLinkFault:
    """The link between all gateways and an endpoint has a fault for a while."""

    endpoint: int
    fault: LinkFault
    duration: timedelta


@dataclass(frozen=True, slots=True)
class EndpointCrash:
    """An endpoint crashes with all requests it runs, and restarts."""

    endpoint: int


@dataclass(frozen=True, slots=True)
class EndpointRelease:
    """An endpoint leaves, and restarts at another version."""

    endpoint: int


@dataclass(frozen=True, slots=True)
class EndpointPause:
    """The processes of endpoints stop for a while, and then go on where they were."""

    endpoints: tuple[int, ...]
    duration: timedelta


@dataclass(frozen=True, slots=True)
class EndlessResponses:
    """Responses of endpoints have no end, for a while."""

    endpoints: tuple[int, ...]
    kind: Endless
    duration: timedelta


@dataclass(frozen=True, slots=True)
class CrashingRequest:
    """A caller repeats a request that crashes each endpoint which runs it.

    :param number: distinguishes it from other such requests.
    """

    number: int
    duration: timedelta


@dataclass(frozen=True, slots=True)
class CrashingPart:
    """A caller sends new requests that share a part which crashes each engine."""

    duration: timedelta


@dataclass(frozen=True, slots=True)
class EndpointDrain:
    """An endpoint registers as draining, and as ready again after a while."""

    endpoint: int
    duration: timedelta


@dataclass(frozen=True, slots=True)
class ClockStep:
    """A gateway's time of day is stepped forward or back."""

    gateway: int
    ahead: bool


@dataclass(frozen=True, slots=True)
class NewRoute:
    """Operators add a route."""


@dataclass(frozen=True, slots=True)
class Revocation:
    """Operators revoke a key."""


Disruption = (
    Kill
    | Pause
    | Restart
    | KillAll
    | StoreOutage
    | StoreCompaction
    | StoreRestore
    | StoreLinkFault
    | EndpointLinkFault
    | EndpointCrash
    | EndpointRelease
    | EndpointPause
    | EndlessResponses
    | CrashingRequest
    | CrashingPart
    | EndpointDrain
    | ClockStep
    | NewRoute
    | Revocation
)


@dataclass(frozen=True, slots=True)
class Step:
    """A disruption and when it begins, relative to the start of the traffic."""

    at: timedelta
    disruption: Disruption


@dataclass(frozen=True, slots=True)
class SoakPlan:
    """The disruptions of one soak.

    :param duration: time from the start of the traffic to its end.
    """

    seed: int
    gateways: int
    endpoints: int
    duration: timedelta
    steps: tuple[Step, ...]

    def lines(self) -> list[str]:
        """Return the plan as text, one line per step."""
        head = (
            f"seed {self.seed}: {self.gateways} gateways, {self.endpoints} endpoints,"
            f" {self.duration.total_seconds():.0f} s"
        )
        steps = (
            f"  {step.at.total_seconds():6.2f} s  {step.disruption}"
            for step in self.steps
        )
        return [head, *steps]


def draw_plan(
    seed: int, duration: timedelta, *, gateways: int = 4, endpoints: int = 8
) -> SoakPlan:
    """Return the plan of a seed: a sequence of disruptions, most of which overlap."""
    rng = Random(seed)
    steps = []
    at = QUIET_START
    while at < duration:
        drawn = rng.choices(DRAWS, [draw.weight for draw in DRAWS])[0]
        steps.append(Step(at, drawn.make(rng, gateways, endpoints)))
        at += rng.uniform(0, 1) ** 2 * (MAX_PAUSE - MIN_PAUSE) + MIN_PAUSE
    steps += _draw_restores(seed, duration)
    steps += _draw_crashing_parts(seed, duration)
    steps += _draw_pauses(seed, duration, endpoints)
    steps += _draw_releases(seed, duration, endpoints)
    steps += _draw_endless(seed, duration, endpoints)
    steps.sort(key=lambda step: step.at)
    return SoakPlan(seed, gateways, endpoints, duration, tuple(steps))


def _draw_restores(seed: int, duration: timedelta) -> list[Step]:
    """Return restores of the store; other draws of a seed don't depend on them."""
    rng = Random(f"restores {seed}")
    return [
        Step(
            QUIET_START + rng.random() * (duration - QUIET_START),
            StoreRestore(rng.uniform(0.2, 8) * SECOND, _draw_duration(rng, 1)),
        )
        for _ in range(rng.randrange(MAX_RESTORES + 1))
    ]


def _draw_crashing_parts(seed: int, duration: timedelta) -> list[Step]:
    """Return crashing parts; other draws of a seed don't depend on them."""
    rng = Random(f"parts {seed}")
    return [
        Step(
            QUIET_START + rng.random() * (duration - QUIET_START),
            CrashingPart(_draw_duration(rng, MAX_PART_SECONDS)),
        )
        for _ in range(rng.randrange(MAX_PARTS + 1))
    ]


def _draw_pauses(seed: int, duration: timedelta, endpoints: int) -> list[Step]:
    """Return pauses of endpoints; other draws of a seed don't depend on them."""
    rng = Random(f"pauses {seed}")
    steps = []
    for _ in range(rng.randint(1, 1 + duration // PAUSE_INTERVAL)):
        paused = _draw_endpoints(rng, endpoints)
        at = _draw_time(rng, duration)
        for _ in range(rng.choice([1, 1, MAX_PAUSE_SERIES])):
            if rng.random() < 0.5:
                steps.append(Step(at - PAUSE_AFTER_CHANGE, NewRoute()))
            lasts = rng.uniform(*PAUSE_RANGE) * SECOND
            steps.append(Step(at, EndpointPause(paused, lasts)))
            at += lasts + rng.uniform(*PAUSE_GAP_RANGE) * SECOND
    return [step for step in steps if step.at < duration]


def _draw_releases(seed: int, duration: timedelta, endpoints: int) -> list[Step]:
    """Return releases; other draws of a seed don't depend on them."""
    rng = Random(f"releases {seed}")
    return [
        Step(_draw_time(rng, duration), EndpointRelease(rng.randrange(endpoints)))
        for _ in range(rng.randrange(MAX_RELEASES + 1))
    ]


def _draw_endless(seed: int, duration: timedelta, endpoints: int) -> list[Step]:
    """Return endless responses; other draws of a seed don't depend on them."""
    rng = Random(f"endless {seed}")
    return [
        Step(
            _draw_time(rng, duration),
            EndlessResponses(
                (rng.randrange(endpoints),),
                rng.choice(list(Endless)),
                _draw_duration(rng, 5),
            ),
        )
        for _ in range(rng.randrange(MAX_ENDLESS + 1))
    ]


def _draw_time(rng: Random, duration: timedelta) -> timedelta:
    return QUIET_START + rng.random() * (duration - QUIET_START)


def _draw_endpoints(rng: Random, endpoints: int) -> tuple[int, ...]:
    """Return endpoints of one service: all, some or one."""
    plain = rng.random() < 0.3
    service = [n for n in range(endpoints) if is_plain(n) == plain]
    count = rng.choice([len(service), rng.randint(1, len(service)), 1])
    return tuple(sorted(rng.sample(service, count)))


@dataclass(frozen=True, slots=True)
class Draw:
    """A kind of disruption and its weight in the draw."""

    weight: float
    make: Callable[[Random, int, int], Disruption]


def _draw_duration(rng: Random, max_seconds: float) -> timedelta:
    return rng.uniform(0.05, max_seconds) * SECOND


DRAWS = (
    Draw(
        3,
        lambda rng, gateways, _: Kill(rng.randrange(gateways), _draw_duration(rng, 2)),
    ),
    Draw(
        2,
        lambda rng, gateways, _: Pause(rng.randrange(gateways), _draw_duration(rng, 4)),
    ),
    Draw(2, lambda rng, gateways, _: Restart(rng.randrange(gateways))),
    Draw(0.5, lambda rng, _, __: KillAll(_draw_duration(rng, 1))),
    Draw(
        2,
        lambda rng, _, __: StoreOutage(_draw_store_fault(rng), _draw_duration(rng, 5)),
    ),
    Draw(1, lambda *_: StoreCompaction()),
    Draw(
        2,
        lambda rng, gateways, _: StoreLinkFault(
            rng.randrange(gateways), rng.choice(LINK_FAULTS), _draw_duration(rng, 5)
        ),
    ),
    Draw(
        3,
        lambda rng, _, endpoints: EndpointLinkFault(
            rng.randrange(endpoints),
            rng.choice(LINK_FAULTS),
            _draw_duration(rng, 4),
        ),
    ),
    Draw(2, lambda rng, _, endpoints: EndpointCrash(rng.randrange(endpoints))),
    Draw(
        1, lambda rng, *_: CrashingRequest(rng.randrange(1000), _draw_duration(rng, 12))
    ),
    Draw(
        2,
        lambda rng, _, endpoints: EndpointDrain(
            rng.randrange(endpoints), _draw_duration(rng, 4)
        ),
    ),
    Draw(
        1,
        lambda rng, gateways, _: ClockStep(rng.randrange(gateways), rng.random() < 0.5),
    ),
    Draw(3, lambda *_: NewRoute()),
    Draw(1, lambda *_: Revocation()),
)


def _draw_store_fault(rng: Random) -> Fault:
    return rng.choice([Fault.BUSY, Fault.SILENT, Fault.LOSES_ANSWERS])
