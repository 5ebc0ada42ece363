"""Orders to model engines: wanted end states, fenced, read back and repaired.

Engines that check fencing numbers refuse a former holder's orders by themselves,
once they have seen the new holder's number. Those that don't may take such an
order, sent before a pause and arriving after it; the holder reads every engine
back in each round and repairs what differs.
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
from sassafrasdale.endpoints.exceptions import AnswerLost, EndpointError

ORDERS = "/v1/orders"
ORDER_LIMIT = timedelta(seconds=1)
JSON_HEADERS = (("Content-Type", "application/json"),)

log = Logger("orders")


@dataclass(frozen=True, slots=True)
class WantedState:
    """What an engine is to be.

    :param kind: kind of the order that brings it about.
    :param value: the state.
    """

    kind: str
    value: str


class EngineOrders:
    """Brings engines to their wanted state.

    :param permit: gives leave for one order, by whether its endpoint checks
        fencing numbers; raises ``LeaseNotHeld``.
    """

    def __init__(self, permit: Callable[[bool], Permit]) -> None:
        self._permit = permit
        self._announced: dict[str, int] = {}

    def bring(self, engines: Iterable[tuple[Endpoint, WantedState]]) -> int:
        """Order each engine that differs, and return how many were ordered.

        An engine that does not answer is left for the next round.

        :raises LeaseNotHeld: if the duty was lost.
        :raises OrderFenced: if an engine has seen a higher number.
        """
        ordered = 0
        for engine, wanted in engines:
            try:
                ordered += self._bring_one(engine, wanted)
            except EndpointError as error:
                log.debug("engine {}: {}", engine.name, error)
        return ordered

    def _bring_one(self, engine: Endpoint, wanted: WantedState) -> bool:
        checks = engine.instance.checks_fencing
        number = self._permit(checks).fencing_number
        found = _read_back(engine).get(wanted.kind)
        if found == wanted.value and not self._is_new(engine, number):
            return False
        # Reading took time, in which the process may have been paused past its
        # lease: only a permit looked at now, right before the send, says that
        # the order may go out.
        self._send(engine, wanted, self._permit(checks).fencing_number)
        return True

    def _is_new(self, engine: Endpoint, number: int) -> bool:
        """Return whether a checking engine has not had an order of this number.

        Until it has, it would still take the former holder's orders.
        """
        if not engine.instance.checks_fencing:
            return False
        return self._announced.get(engine.name, 0) < number

    def _send(self, engine: Endpoint, wanted: WantedState, number: int) -> None:
        document = {
            "fencing_number": number,
            "kind": wanted.kind,
            "value": wanted.value,
        }
        body = json.dumps(document).encode()
        request = EndpointRequest("POST", ORDERS, JSON_HEADERS, body)
        answer = engine.adapter.send(request, ORDER_LIMIT)
        if answer.status == 409:
            raise OrderFenced(f"engine {engine.name} has seen a higher number")
        if answer.status >= 300:
            raise AnswerLost(f"the order was answered {answer.status}")
        self._announced[engine.name] = number
        log.info("engine {}: {} is {}", engine.name, wanted.kind, wanted.value)


def _read_back(engine: Endpoint) -> dict[str, Any]:
    """Return the engine's state by kind of order."""
    answer = engine.adapter.ask("GET", ORDERS, limit=ORDER_LIMIT)
    match answer:
        case {"state": dict(state)}:
            return state
    raise AnswerLost("the engine gave no state")
