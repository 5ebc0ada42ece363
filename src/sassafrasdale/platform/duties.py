"""Client of the platform's duty API, whose calls carry a fencing number."""

import json
from collections.abc import Mapping
from datetime import timedelta

from sassafrasdale.clock import Clock
from sassafrasdale.http.connections import HttpClient
from sassafrasdale.http.exceptions import HttpError
from sassafrasdale.http.messages import Request, Response
from sassafrasdale.platform.exceptions import (
    DutyCallFailed,
    DutyCallRefused,
    NoEndpointAvailable,
)
from sassafrasdale.structures import Address

CALL_LIMIT = timedelta(seconds=1.5)
# The platform uses 409 for an old fencing number and for a lack of endpoints; the body
# tells them apart.
_CONFLICT = 409


class DutyClient:
    """Client for usage reports and endpoint orders of the leader.

    :param address: address of the duty API.
    :param holder: name of this gateway.
    :param clock: source of elapsed time.
    """

    def __init__(self, address: Address, holder: str, clock: Clock) -> None:
        self._client = HttpClient(address, clock)
        self._holder = holder

    def report_usage(
        self, window: int, counts: Mapping[str, int], fencing_number: int
    ) -> None:
        """Report the number of requests of each customer that started in a window.

        :param window: number of the window, counted from the start of 1970.
        :raises DutyCallRefused: if a newer leader has reported.
        :raises DutyCallFailed: if the outcome is unknown.
        """
        document = {"window": window, "counts": dict(counts)}
        response = self._post("/usage", document, fencing_number)
        if response.status == _CONFLICT:
            raise DutyCallRefused("usage: a newer fencing number was seen")

    def order_endpoints(
        self,
        service: str,
        availability_zone: str,
        count: int,
        fencing_number: int,
        *,
        reclaimable: bool,
    ) -> None:
        """Set the number of endpoints of a kind that a service has in a zone.

        :raises NoEndpointAvailable: if the platform has none of the kind left.
        :raises DutyCallRefused: if a newer leader has ordered.
        :raises DutyCallFailed: if the outcome is unknown.
        """
        document = {"service": service, "zone": availability_zone, "desired": count}
        if reclaimable:
            document["spot"] = True
        response = self._post("/scale", document, fencing_number)
        if response.status != _CONFLICT:
            return
        if reclaimable and b"fence" not in response.body.lower():
            raise NoEndpointAvailable(
                f"no reclaimable endpoints in {availability_zone}"
            )
        raise DutyCallRefused("orders: a newer fencing number was seen")

    def _post(self, target: str, document: dict, fencing_number: int) -> Response:
        headers = (
            ("content-type", "application/json"),
            ("duty-holder", self._holder),
            ("fence-token", str(fencing_number)),
        )
        body = json.dumps(document).encode()
        try:
            response = self._client.call(
                Request("POST", target, headers, body), CALL_LIMIT
            )
        except HttpError as error:
            raise DutyCallFailed(f"{target}: {error.message}") from error
        if response.status not in (200, _CONFLICT):
            raise DutyCallFailed(f"{target}: status {response.status}")
        return response
