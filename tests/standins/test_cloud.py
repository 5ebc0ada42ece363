"""Tests of the cloud API over HTTP, and of each of its faults."""

import threading
import time
from datetime import UTC, datetime, timedelta

import pytest

from standins.clients import Client

LIST = "/cloud/v1/instances"


def register(client: Client, name: str, **fields: object) -> None:
    instance = {"name": name, "availability_zone": "a", **fields}
    assert client.call("POST", "/standin/instances", instance).status == 201


def listed(client: Client) -> dict[str, dict]:
    instances = client.call("GET", LIST).json()["instances"]
    return {instance["name"]: instance for instance in instances}


def start(client: Client, request_id: str, zone: str = "a"):
    body = {"request_id": request_id, "service": "s", "availability_zone": zone}
    return client.call("POST", LIST, body)


def notices(client: Client, after: int = 0, wait_ms: int = 0) -> dict:
    path = f"/cloud/v1/notices?after={after}&wait_ms={wait_ms}"
    return client.call("GET", path).json()


def test_the_list_lags(platform, cloud):
    """The list would show changes at once, unlike that of a real cloud.

    With a lag of 1 s, a removed instance stays in the list for that long, and a new
    one appears as late.
    """
    register(cloud, "early")
    time.sleep(1)
    platform.set_faults(cloud={"list_lag_ms": 1000})
    register(cloud, "late")
    platform.remove("early")
    assert "early" in listed(cloud)
    assert "late" not in listed(cloud)
    time.sleep(1)
    assert "early" not in listed(cloud)
    assert "late" in listed(cloud)


def test_a_longer_lag_does_not_empty_the_list(platform, cloud):
    """Every instance disappears from the list when its lag is increased.

    The list as of a time before any instance was registered is empty.
    """
    register(cloud, "shown")
    before = listed(cloud)
    assert "shown" in before
    platform.set_faults(cloud={"list_lag_ms": 10_000})
    register(cloud, "held-back")
    assert listed(cloud) == before


def test_a_notice_wakes_a_waiting_reader_and_may_be_repeated(platform, cloud):
    """A reader that is waiting gets a notice too late, or only once.

    While the reader waits, the notice is sent twice, with the same time of reclaim.
    """
    register(cloud, "leaving")
    after = notices(cloud)["next"]
    threading.Timer(0.1, platform.give_notice, ("leaving", 5, 2)).start()
    started = time.monotonic()
    found = notices(cloud, after, wait_ms=5000)
    assert time.monotonic() - started < 2
    time.sleep(0.1)
    found = notices(cloud, after)["notices"]
    assert [notice["instance"] for notice in found] == ["leaving", "leaving"]
    left = datetime.fromisoformat(found[0]["leaves_at"]) - datetime.now(UTC)
    assert timedelta(seconds=3) < left < timedelta(seconds=5)
    assert listed(cloud)["leaving"]["state"] == "leaving"


def test_a_wait_for_notices_times_out(cloud):
    last = notices(cloud)["next"]
    assert notices(cloud, last, wait_ms=50) == {"notices": [], "next": last}


def test_a_reclaimed_zone_notifies_its_instances_and_refuses_starts(platform, cloud):
    """Instances could be started in a zone that is being reclaimed.

    The zone's reclaimable instances get notices. Starts there are refused with
    ``Retry-After`` until the zone is given back.
    """
    register(cloud, "b-1", availability_zone="b")
    register(cloud, "b-2", availability_zone="b", reclaimable=False)
    assert platform.reclaim_zone("b", 5) == ["b-1"]
    refused = start(cloud, "r-1", "b")
    assert refused.status == 409
    assert refused.headers["Retry-After"]
    platform.give_back_zone("b")
    assert start(cloud, "r-1", "b").status == 201


def test_starts_are_refused_without_capacity_and_are_idempotent(platform, cloud):
    """A repeated start request would start a second instance.

    Capacity runs out in every zone, then is available again, and the same start is
    requested twice.
    """
    platform.set_faults(cloud={"refuse_starts": True})
    assert start(cloud, "r-2").status == 409
    platform.set_faults(cloud={"refuse_starts": False})
    first = start(cloud, "r-2").json()
    assert start(cloud, "r-2").json() == first
    starts = platform.control("GET", "starts")["starts"]
    assert [item["request_id"] for item in starts].count("r-2") == 1


def test_an_instance_is_released_once(cloud):
    register(cloud, "spare")
    assert cloud.call("DELETE", f"{LIST}/spare").status == 200
    assert cloud.call("DELETE", f"{LIST}/spare").status == 404


def test_prices(platform, cloud):
    prices = [{"availability_zone": "a", "price_per_hour": 1.5}]
    platform.control("POST", "prices", {"prices": prices})
    assert cloud.call("GET", "/cloud/v1/prices").json()["prices"] == prices


@pytest.mark.parametrize("kind", ["refuse"])
def test_an_outage_of_the_cloud_does_not_affect_the_store(platform, cloud, kind):
    platform.set_faults(cloud={"outage": kind})
    assert cloud.call("GET", LIST).status == 503
    store = Client(platform.store)
    assert store.call("POST", "/v3/kv/range", {"key": "YQ=="}).status == 200
