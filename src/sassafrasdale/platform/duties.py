"""Calls that one gateway at a time makes to the platform, with a fencing number."""

import json
from collections.abc import Mapping
from datetime import timedelta

from sassafrasdale.clock import Clock
from sassafrasdale.http.connections import HttpClient
from sassafrasdale.http.exceptions import HttpError
from sassafrasdale.http.messages import Answer, Request
from sassafrasdale.platform.exceptions import (
    DutyCallFailed,
    DutyCallRefused,
    NoneAvailable,
)
from sassafrasdale.structures import Address

CALL_LIMIT = timedelta(seconds=1.5)
# The platform says 409 for two things; a refusal for want of endpoints says why.
_CONFLICT = 409


class DutyClient:
    """Usage reports and orders of endpoints.

    :param address: where the platform takes them.
    :param holder: name of this gateway.
    :param clock: source of elapsed time.
    """

    def __init__(self, address: Address, holder: str, clock: Clock) -> None:
        self._client = HttpClient(address, clock)
        self._holder = holder

    def report_usage(
        self, window: int, counts: Mapping[str, int], fencing_number: int
    ) -> None:
        """Report the requests of each customer that began in a window.

        :param window: number of the window, counted from the start of 1970.
        :raises DutyCallRefused: if a newer holder has reported.
        :raises DutyCallFailed: if that is not known to have succeeded.
        """
        document = {"window": window, "counts": dict(counts)}
        answer = self._post("/usage", document, fencing_number)
        if answer.status == _CONFLICT:
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
        """Order how many endpoints of a kind a service has in a zone.

        :raises NoneAvailable: if the platform has none of the kind now.
        :raises DutyCallRefused: if a newer holder has ordered.
        :raises DutyCallFailed: if that is not known to have succeeded.
        """
        document = {"service": service, "zone": availability_zone, "desired": count}
        if reclaimable:
            document["spot"] = True
        answer = self._post("/scale", document, fencing_number)
        if answer.status != _CONFLICT:
            return
        if reclaimable and b"fence" not in answer.body.lower():
            raise NoneAvailable(f"no reclaimable endpoints in {availability_zone}")
        raise DutyCallRefused("orders: a newer fencing number was seen")

    def _post(self, target: str, document: dict, fencing_number: int) -> Answer:
        headers = (
            ("content-type", "application/json"),
            ("duty-holder", self._holder),
            ("fence-token", str(fencing_number)),
        )
        body = json.dumps(document).encode()
        try:
            answer = self._client.call(
                Request("POST", target, headers, body), CALL_LIMIT
            )
        except HttpError as error:
            raise DutyCallFailed(f"{target}: {error.message}") from error
        if answer.status not in (200, _CONFLICT):
            raise DutyCallFailed(f"{target}: status {answer.status}")
        return answer
