"""Stand-in for the platform's API for duties: usage reports and scaling orders."""

import json
from dataclasses import dataclass

from sassafrasdale.clock import Clock
from sassafrasdale.green import listen, spawn
from sassafrasdale.http.messages import Request
from sassafrasdale.http.server import HttpServer, ServerConnection
from sassafrasdale.structures import Address


@dataclass(frozen=True, slots=True)
class DutyCall:
    """A call that was received, and whether it was accepted."""

    target: str
    holder: str
    fencing_number: int
    document: dict
    accepted: bool


class DutyCalls:
    """Accepts calls, except those with a lower fencing number than an earlier one.

    :param clock: source of elapsed time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._highest: dict[tuple[str, ...], int] = {}
        self.calls: list[DutyCall] = []

    def serve(self, address: Address) -> Address:
        """Start to serve calls, and return the bound address."""
        listener = listen(address)
        spawn(HttpServer(listener, self._handle, self._clock).serve)
        host, port = listener.getsockname()
        return Address(host, port)

    def accepted(self, target: str) -> list[DutyCall]:
        """Return the accepted calls with a target."""
        return [call for call in self.calls if call.target == target and call.accepted]

    def _handle(self, connection: ServerConnection, request: Request) -> None:
        document = json.loads(request.body)
        number = int(request.header("fence-token"))
        subject = (
            request.target,
            str(document.get("service", "")),
            str(document.get("zone", "")),
        )
        taken = number >= self._highest.get(subject, 0)
        if taken:
            self._highest[subject] = number
        holder = request.header("duty-holder")
        self.calls.append(DutyCall(request.target, holder, number, document, taken))
        connection.answer(200 if taken else 409)
