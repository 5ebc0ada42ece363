"""Fixtures: stand-ins that the tests of a module share, or one for each test."""

from collections.abc import Iterator

import pytest

from standins.clients import Client
from standins.processes import EngineProcess, PlatformProcess, ServiceProcess


@pytest.fixture(scope="module")
def platform() -> Iterator[PlatformProcess]:
    with PlatformProcess() as process:
        yield process


@pytest.fixture
def store(platform: PlatformProcess) -> Iterator[Client]:
    yield Client(platform.store)
    platform.set_faults(store={"outage": None, "deaf_watches": False, "delay_ms": 0})


@pytest.fixture
def cloud(platform: PlatformProcess) -> Iterator[Client]:
    yield Client(platform.cloud)
    platform.set_faults(cloud={"outage": None, "list_lag_ms": 0})


@pytest.fixture
def engine() -> Iterator[EngineProcess]:
    with EngineProcess("engine-1", step_ms=5, event_lag_ms=0, event_loss=0) as process:
        yield process


@pytest.fixture(scope="module")
def service() -> Iterator[ServiceProcess]:
    with ServiceProcess("service-1") as process:
        yield process
