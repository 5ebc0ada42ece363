"""Processor time of a round of the capacity duty, at the leader and at the others.

Usage::

    python -m bench.capacity duties

Calls to engines return immediately here; a real one costs as much as a load report.
"""

from random import Random

from bench.capacity.records import record_of
from bench.capacity.results import Panel, Row, fit_columns, plot, write
from bench.capacity.texts_of_size import ZONES, make_text
from bench.capacity.usage import own_cpu
from sassafrasdale.clock import SystemClock
from sassafrasdale.coordination.exceptions import LeaseNotHeld
from sassafrasdale.coordination.leases import Permit
from sassafrasdale.coordination.stores import Swap
from sassafrasdale.duties.capacity import STEP_INTERVAL, CapacityDuty
from sassafrasdale.duties.demand import FleetView
from sassafrasdale.endpoints.directory import Directory
from sassafrasdale.structures import Address, Instance, Role
from sassafrasdale.text.current import CurrentText

# Numbers of engines and of model services.
SIZES = ((6, 2), (60, 6), (480, 48), (1900, 200))
ROUNDS = 5
MILLISECONDS = 1000
PERCENT = 100


class FakeLease:
    """Replaces the duty's lease.

    :param is_held: whether this entry holds it.
    """

    state = "holding"

    def __init__(self, is_held: bool) -> None:
        self._is_held = is_held

    def permit(self, checks_fencing: bool) -> Permit:
        """Return a permit, or raise if the lease is not held."""
        if not self._is_held:
            raise LeaseNotHeld("not the holder")
        return Permit(1, STEP_INTERVAL * 100)


class FakeEngine:
    """Replaces the connections to an engine that is in the wanted state.

    :param service: the model that it has loaded.
    """

    calls = 0

    def __init__(self, service: str) -> None:
        self._service = service

    def ask(self, method: str, path: str, **_options: object) -> dict:
        """Return the engine's state."""
        FakeEngine.calls += 1
        return {"state": {"load_model": self._service}}


class EmptyStore:
    """Replaces the store; it is empty and accepts every write."""

    def get(self, key: str) -> None:
        """Return that there is no such key."""

    def compare_and_swap(self, *_arguments: object, **_options: object) -> Swap:
        """Return that the write was applied."""
        return Swap(True, 1)


def measure() -> None:
    """Measure every size and write the table and the plot."""
    rows = [_measure_size(engines, services) for engines, services in SIZES]
    slopes = {
        f"{y} by engines": fit_columns(rows, "engines", y)
        for y in ("other_round_ms", "holder_round_ms")
    }
    write("duties", {"duties": rows}, slopes, "python -m bench.capacity duties")
    panels = (
        Panel("engines", ("other_round_ms", "holder_round_ms"), "a round, ms"),
        Panel("engines", ("engine_calls",), "calls to engines a round"),
    )
    plot("capacity-duties", rows, panels)


def _measure_size(engines: int, services: int) -> Row:
    view = _view(engines, services)
    other = _round_ms(FakeLease(False), view)
    calls_before = FakeEngine.calls
    holder = _round_ms(FakeLease(True), view)
    row: Row = {
        "engines": engines,
        "services": services + 1,
        "other_round_ms": other,
        "other_cpu_percent": other
        / MILLISECONDS
        / STEP_INTERVAL.total_seconds()
        * PERCENT,
        "holder_round_ms": holder,
        "engine_calls": (FakeEngine.calls - calls_before) / ROUNDS,
    }
    print(row, flush=True)
    return row


def _round_ms(lease: FakeLease, view: FleetView) -> float:
    duty = CapacityDuty(
        lease, None, EmptyStore(), lambda: view, SystemClock(), Random(1)
    )
    cpu = own_cpu()
    for _ in range(ROUNDS):
        try:
            duty.step()
        except LeaseNotHeld:
            continue
    return (own_cpu() - cpu) / ROUNDS * MILLISECONDS


def _view(engines: int, services: int) -> FleetView:
    current = CurrentText()
    replicas = engines // services
    current.accept(record_of(1, make_text(services, replicas=replicas)))
    directory = Directory(SystemClock(), adapter_factory=lambda _: None)
    directory.replace(_instance(number, services) for number in range(engines))
    for endpoint in directory.endpoints:
        endpoint._adapter = FakeEngine(endpoint.instance.service)
    return FleetView(current.text, directory.endpoints, (), entries=320)


def _instance(number: int, services: int) -> Instance:
    return Instance(
        f"engine-{number}",
        Role.ENDPOINT,
        ZONES[number % len(ZONES)],
        Address("127.0.0.1", 1),
        service=f"model-{number % services}",
        instance_class="gpu-large",
    )
