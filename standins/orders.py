"""Orders to an engine, with their fencing numbers."""

from typing import Any

from standins.web import Request, Response, Route


class Orders:
    """The state that was set by orders.

    :param checks_fencing: whether orders with an old fencing number are refused.
    """

    def __init__(self, checks_fencing: bool) -> None:
        self._checks_fencing = checks_fencing
        self._fencing_number = 0
        self._state: dict[str, Any] = {}

    def routes(self) -> tuple[Route, ...]:
        """Return the routes to send orders and to show the state."""
        return (
            Route("POST", "/v1/orders", self._order),
            Route("GET", "/v1/orders", self._show),
        )

    def _order(self, request: Request) -> Response:
        body = request.json()
        number = int(body["fencing_number"])
        if self._checks_fencing and number < self._fencing_number:
            message = f"fencing number {number} is below {self._fencing_number}"
            return Response({"error": message}, status=409)
        self._fencing_number = max(number, self._fencing_number)
        self._state[body["kind"]] = body["value"]
        return self._show(request)

    def _show(self, _request: Request) -> Response:
        return Response({"fencing_number": self._fencing_number, "state": self._state})
