"""Orders to an engine, and the fencing numbers that they carry."""

from typing import Any

from standins.web import Answer, Request, Route


class Orders:
    """The state that orders have brought about.

    :param checks_fencing: whether an old fencing number is refused.
    """

    def __init__(self, checks_fencing: bool) -> None:
        self._checks_fencing = checks_fencing
        self._fencing_number = 0
        self._state: dict[str, Any] = {}

    def routes(self) -> tuple[Route, ...]:
        """Return the routes of orders."""
        return (
            Route("POST", "/v1/orders", self._order),
            Route("GET", "/v1/orders", self._show),
        )

    def _order(self, request: Request) -> Answer:
        body = request.json()
        number = int(body["fencing_number"])
        if self._checks_fencing and number < self._fencing_number:
            message = f"fencing number {number} is below {self._fencing_number}"
            return Answer({"error": message}, status=409)
        self._fencing_number = max(number, self._fencing_number)
        self._state[body["kind"]] = body["value"]
        return self._show(request)

    def _show(self, _request: Request) -> Answer:
        return Answer({"fencing_number": self._fencing_number, "state": self._state})
