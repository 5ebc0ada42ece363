"""Client of the platform's cloud API: instances, reclaim notices and prices."""

import json
from collections.abc import Iterator, Mapping
from contextlib import contextmanager
from dataclasses import dataclass
from datetime import datetime, timedelta
from random import Random
from typing import Any

from urllib3 import HTTPResponse
from urllib3 import Timeout as HttpTimeout
from urllib3.exceptions import HTTPError

from sassafrasdale.clock import milliseconds
from sassafrasdale.coordination.exceptions import (
    CloudError,
    CloudNotReached,
    StartRefused,
)
from sassafrasdale.green import Queue, Timeout, sleep, timeout
from sassafrasdale.green_http import http_pool
from sassafrasdale.structures import Address, Instance, InstanceState, Notice, Role

CALL_TIMEOUT = timedelta(seconds=2)
CONNECT_TIMEOUT = timedelta(seconds=1)
LIST_INTERVAL = timedelta(seconds=1)
PRICE_INTERVAL = timedelta(seconds=30)
NOTICE_POLL_TIME = timedelta(seconds=2)
ERROR_DELAY = timedelta(milliseconds=300)
JITTER = 0.2


@dataclass(frozen=True, slots=True)
class Price:
    """Price of an instance class in an availability zone."""

    availability_zone: str
    instance_class: str
    reclaimable: bool
    price_per_hour: float


@dataclass(frozen=True, slots=True)
class InstancesListed:
    """Message: the platform's list of instances, which may be out of date."""

    instances: tuple[Instance, ...]


@dataclass(frozen=True, slots=True)
class NoticeGiven:
    """Message: the platform announced a reclaim. It may be delivered twice."""

    notice: Notice


@dataclass(frozen=True, slots=True)
class PricesListed:
    """Message: the platform's prices."""

    prices: tuple[Price, ...]


class CloudClient:
    """Client of the cloud API.

    :param address: address of the API.
    """

    def __init__(self, address: Address) -> None:
        self._address = address
        self._pool = self._new_pool()

    def instances(self) -> tuple[Instance, ...]:
        """Return the instances that the platform lists.

        :raises CloudNotReached: if the API gave no usable response.
        """
        response = self._call("GET", "/cloud/v1/instances")
        with _parsing(response):
            return tuple(_instance(fields) for fields in response["instances"])

    def notices(self, after: int, wait: timedelta) -> tuple[tuple[Notice, ...], int]:
        """Return the notices after ``after``, and the sequence to pass next.

        :param wait: how long the API may wait for a notice (long polling).
        :raises CloudNotReached: if the API gave no usable response.
        """
        wait_ms = milliseconds(wait)
        path = f"/cloud/v1/notices?after={after}&wait_ms={wait_ms}"
        response = self._call("GET", path, call_timeout=wait + CALL_TIMEOUT)
        with _parsing(response):
            notices = tuple(_notice(fields) for fields in response["notices"])
            return notices, int(response["next"])

    def prices(self) -> tuple[Price, ...]:
        """Return the prices of instance classes by availability zone.

        :raises CloudNotReached: if the API gave no usable response.
        """
        response = self._call("GET", "/cloud/v1/prices")
        with _parsing(response):
            return tuple(_price(fields) for fields in response["prices"])

    def start_instance(
        self,
        request_id: str,
        *,
        service: str,
        availability_zone: str,
        instance_class: str,
        reclaimable: bool,
    ) -> None:
        """Start an instance; idempotent by ``request_id``.

        :raises StartRefused: if the cloud has no such instance available.
        :raises CloudNotReached: if the API gave no usable response; retry the call.
        """
        body = {
            "request_id": request_id,
            "service": service,
            "availability_zone": availability_zone,
            "instance_class": instance_class,
            "reclaimable": reclaimable,
        }
        self._call("POST", "/cloud/v1/instances", body=body)

    def release_instance(self, name: str) -> None:
        """Release the instance ``name``.

        :raises CloudNotReached: if the API gave no usable response.
        """
        self._call("DELETE", f"/cloud/v1/instances/{name}")

    def _call(
        self,
        method: str,
        path: str,
        *,
        body: Mapping[str, Any] | None = None,
        call_timeout: timedelta = CALL_TIMEOUT,
    ) -> dict[str, Any]:
        pool = self._pool
        # No read timeout here: the timeout around the call covers reading.
        wait = HttpTimeout(connect=CONNECT_TIMEOUT.total_seconds(), read=None)
        headers = {"Content-Type": "application/json"}
        content = json.dumps(body).encode() if body is not None else None
        try:
            with timeout(call_timeout):
                response = pool.request(
                    method, path, body=content, headers=headers, timeout=wait
                )
            _check_status(response)
            return json.loads(response.data) if response.data else {}
        except (Timeout, HTTPError, OSError, ValueError) as error:
            # Pooled connections may stay unresponsive while new ones work; this
            # shows as a timeout. So every existing connection is closed.
            self._drop_connections(pool)
            raise CloudNotReached(
                f"no response from the cloud API to {path}: {error}",
                retry_after=ERROR_DELAY,
            ) from error

    def _drop_connections(self, pool: Any) -> None:
        if pool is not self._pool:
            return
        self._pool = self._new_pool()
        pool.close()

    def _new_pool(self) -> Any:
        return http_pool(self._address, size=4, connect_timeout=CONNECT_TIMEOUT)


class _Poller:
    """Task that repeats a step at an interval, or after a delay if it failed."""

    def __init__(
        self, client: CloudClient, inbox: Queue, rng: Random | None = None
    ) -> None:
        self._client = client
        self._inbox = inbox
        self._rng = rng or Random()

    def run(self) -> None:
        """Poll until the task is killed."""
        while True:
            try:
                pause = self.step()
            except CloudError as error:
                pause = error.retry_after or ERROR_DELAY
            sleep(pause * self._rng.uniform(1 - JITTER, 1 + JITTER))

    def step(self) -> timedelta:
        """Poll once, post the result, and return the time until the next step."""
        raise NotImplementedError


class InstanceWatcher(_Poller):
    """Task that posts the list of instances as ``InstancesListed``."""

    def step(self) -> timedelta:
        """Post the list and return the time until the next step."""
        self._inbox.put(InstancesListed(self._client.instances()))
        return LIST_INTERVAL


class NoticeWatcher(_Poller):
    """Task that posts reclaim notices as ``NoticeGiven``."""

    def __init__(
        self, client: CloudClient, inbox: Queue, rng: Random | None = None
    ) -> None:
        super().__init__(client, inbox, rng)
        self._after = 0

    def step(self) -> timedelta:
        """Wait for notices, post them, and return the time until the next step."""
        notices, self._after = self._client.notices(self._after, NOTICE_POLL_TIME)
        for notice in notices:
            self._inbox.put(NoticeGiven(notice))
        return timedelta()


class PriceWatcher(_Poller):
    """Task that posts the prices as ``PricesListed``."""

    def step(self) -> timedelta:
        """Post the prices and return the time until the next step."""
        self._inbox.put(PricesListed(self._client.prices()))
        return PRICE_INTERVAL


def _check_status(response: HTTPResponse) -> None:
    if response.status < 300:
        return
    detail = response.data.decode(errors="replace")[:200]
    if response.status == 409:
        delay = timedelta(seconds=float(response.headers.get("Retry-After", "1")))
        raise StartRefused(detail, retry_after=delay)
    raise ValueError(f"status {response.status}: {detail}")


@contextmanager
def _parsing(response: Any) -> Iterator[None]:
    """Raise errors of parsing ``response`` as ``CloudNotReached``.

    A malformed response must not end the task that polls the cloud API.
    """
    try:
        yield
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        raise CloudNotReached(
            f"malformed response from the cloud API: {error!r}",
            retry_after=ERROR_DELAY,
        ) from error


def _price(fields: Mapping[str, Any]) -> Price:
    return Price(
        fields["availability_zone"],
        fields["instance_class"],
        bool(fields["reclaimable"]),
        float(fields["price_per_hour"]),
    )


def _instance(fields: Mapping[str, Any]) -> Instance:
    peer_address = fields.get("peer_address")
    return Instance(
        name=fields["name"],
        role=Role(fields["role"]),
        availability_zone=fields["availability_zone"],
        address=Address.parse(fields["address"]),
        peer_address=Address.parse(peer_address) if peer_address else None,
        service=fields.get("service") or "",
        instance_class=fields.get("instance_class") or "",
        reclaimable=bool(fields.get("reclaimable", True)),
        checks_fencing=bool(fields.get("checks_fencing", False)),
        state=InstanceState(fields.get("state", "running")),
    )


def _notice(fields: Mapping[str, Any]) -> Notice:
    return Notice(
        int(fields["sequence"]),
        fields["instance"],
        datetime.fromisoformat(fields["leaves_at"]),
    )
