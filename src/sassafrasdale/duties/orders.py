"""Reconciles model engines with their desired state, by fenced orders.

Engines that check fencing numbers reject a former leader's orders once they have
seen the new leader's number. Engines that don't may apply such an order if it was
sent before a pause and arrives after it; the leader reads the state of every engine
in each step and corrects differences.
"""

import json
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from datetime import timedelta
from typing import Any

from logbook import Logger

from sassafrasdale.coordination.leases import Permit
from sassafrasdale.duties.exceptions import OrderFenced
from sassafrasdale.endpoints.adapters import EndpointRequest
from sassafrasdale.endpoints.directory import Endpoint
from sassafrasdale.endpoints.exceptions import EndpointError, ResponseLost

ORDERS_PATH = "/v1/orders"
ORDER_TIMEOUT = timedelta(seconds=1)
JSON_HEADERS = (("Content-Type", "application/json"),)

log = Logger("orders")


@dataclass(frozen=True, slots=True)
class DesiredState:
    """Desired state of an engine.

    :param kind: kind of the order that sets the state.
    :param value: the state.
    """

    kind: str
    value: str


class EngineOrders:
    """Reconciles engines with their desired state.

    :param permit: returns permission for one order, given whether its endpoint
        checks fencing numbers; raises ``LeaseNotHeld``.
    """

    def __init__(self, permit: Callable[[bool], Permit]) -> None:
        self._permit = permit
        self._sent_numbers: dict[str, int] = {}

    def reconcile(self, engines: Iterable[tuple[Endpoint, DesiredState]]) -> int:
        """Send orders to the engines that need one, and return their number.

        An engine that doesn't respond is left for the next step.

        :raises LeaseNotHeld: if the lease was lost.
        :raises OrderFenced: if an engine has seen a higher number.
        """
        count = 0
        for engine, desired in engines:
            try:
                count += self._reconcile_engine(engine, desired)
            except EndpointError as error:
                log.debug("engine {}: {}", engine.name, error)
        return count

    def _reconcile_engine(self, engine: Endpoint, desired: DesiredState) -> bool:
        checks = engine.instance.checks_fencing
        number = self._permit(checks).fencing_number
        found = _read_state(engine).get(desired.kind)
        if found == desired.value and not self._is_unfenced(engine, number):
            return False
        # While the state was read, the process may have been paused until its
        # lease expired. So a new permit is needed right before the order is sent.
        self._send(engine, desired, self._permit(checks).fencing_number)
        return True

    def _is_unfenced(self, engine: Endpoint, number: int) -> bool:
        """Return whether an engine that checks numbers has not received this one.

        Until it has, it would still apply the former leader's orders.
        """
        if not engine.instance.checks_fencing:
            return False
        return self._sent_numbers.get(engine.name, 0) < number

    def _send(self, engine: Endpoint, desired: DesiredState, number: int) -> None:
        document = {
            "fencing_number": number,
            "kind": desired.kind,
            "value": desired.value,
        }
        body = json.dumps(document).encode()
        request = EndpointRequest("POST", ORDERS_PATH, JSON_HEADERS, body)
        response = engine.adapter.send(request, ORDER_TIMEOUT)
        if response.status == 409:
            raise OrderFenced(f"engine {engine.name} has seen a higher number")
        if response.status >= 300:
            raise ResponseLost(f"engine responded to the order with {response.status}")
        self._sent_numbers[engine.name] = number
        log.info("engine {}: {} is {}", engine.name, desired.kind, desired.value)


def _read_state(engine: Endpoint) -> dict[str, Any]:
    """Return the engine's state by kind of order."""
    response = engine.adapter.ask("GET", ORDERS_PATH, limit=ORDER_TIMEOUT)
    match response:
        case {"state": dict(state)}:
            return state
    raise ResponseLost("engine's response has no state")
