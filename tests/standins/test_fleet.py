"""Tests of a complete deployment's processes."""

import time
from collections.abc import Callable

from standins.clients import Client
from standins.fleet import Fleet
from standins.processes import ROOT

AUTHORITY = ROOT / "examples" / "authority.yaml"


def wait_until(holds: Callable[[], bool]) -> None:
    deadline = time.monotonic() + 10
    while time.monotonic() < deadline and not holds():
        time.sleep(0.05)
    assert holds()


def test_instances_start_and_end_as_ordered_through_the_cloud():
    """Orders to the cloud API would have no effect on the endpoints.

    An endpoint is ordered, then released; its process must start and end.
    """
    with Fleet(AUTHORITY.read_text(encoding="utf-8"), entries=0) as fleet:
        fleet.follow_orders()
        cloud = Client(fleet.platform.cloud)
        order = {
            "request_id": "r-1",
            "service": "records",
            "availability_zone": "cairo-a",
            "instance_class": "cpu-small",
            "reclaimable": True,
        }
        cloud.call("POST", "/cloud/v1/instances", order)
        wait_until(lambda: len(fleet.endpoints_of("records")) == 4)
        assert "i-1" in cloud.call("GET", "/cloud/v1/instances").data.decode()
        cloud.call("DELETE", "/cloud/v1/instances/i-1")
        wait_until(lambda: fleet.process("i-1").return_code is not None)


def test_the_instances_of_a_reclaimed_zone_are_killed():
    """Instances would outlive their notice, or those of another zone be killed.

    A zone of a fleet that serves its text is reclaimed.
    """
    with Fleet(AUTHORITY.read_text(encoding="utf-8"), entries=1) as fleet:
        assert len(fleet.endpoints_of("reports")) == 3
        status = fleet.entries[0].client.call("GET", "/admin/v1/status").json()
        assert status["revision"] == 1
        names = fleet.reclaim_zone("cairo-b", seconds=0.5)
        assert names == ["explanations-2", "records-2", "reports-2"]
        wait_until(lambda: all(fleet.process(n).return_code for n in names))
        assert fleet.process("reports-1").return_code is None
