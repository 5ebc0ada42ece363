"""Stand-in for a plain service: records and certificates, or bookings and holds.

Usage::

    python -m standins.service --address 127.0.0.1:0 --name records-1

It prints ``{"address": "host:port"}``. ``GET /lookups/{id}`` looks up, ``POST
/certificates`` and ``POST /holds`` answer with a new random number for each
execution, so that a second execution is visible. Any other request is executed and
echoed. Controls: ``POST /standin/faults`` (see :class:`standins.faults.Faults`),
``GET /standin/log``, ``GET /standin/counts``.
"""

import uuid
from collections import Counter
from collections.abc import Callable
from datetime import timedelta
from typing import Any

from sassafrasdale.clock import Clock, SystemClock
from sassafrasdale.green import listen, sleep
from sassafrasdale.structures import Address
from standins.command import announce, argument_parser
from standins.faults import Faults
from standins.web import (
    Application,
    Request,
    Response,
    Route,
    bound_address,
    serve,
)


class PlainService:
    """Executes requests and keeps a log of them.

    :param name: returned in responses, to identify the endpoint.
    :param delay: duration of an execution.
    """

    def __init__(self, clock: Clock, name: str, delay: timedelta) -> None:
        self._clock = clock
        self._name = name
        self._delay = delay
        self._log: list[dict[str, Any]] = []
        self._faults = Faults(clock, _is_work)

    def routes(self) -> tuple[Route, ...]:
        """Return the routes of the health check and of the controls."""
        return (
            Route("GET", "/health", self._health),
            Route("GET", "/standin/log", self._list_log),
            Route("GET", "/standin/counts", self._count),
            *self._faults.routes(),
        )

    def middleware(
        self, request: Request, control: Callable[[Request], Response]
    ) -> Response:
        """Handle one request with the present faults."""
        handler = self._execute if _is_work(request) else control
        return self._faults.apply(request, handler)

    def _execute(self, request: Request) -> Response:
        sleep(self._delay * self._faults.slow_factor)
        self._faults.wait_while_frozen()
        number = uuid.uuid4().hex
        self._log.append(
            {
                "request_id": request.header("X-Request-Id"),
                "idempotency_key": request.header("Idempotency-Key"),
                "method": request.method,
                "path": request.path,
                "number": number,
                "at": self._clock.now().isoformat(),
            }
        )
        status = 201 if request.method == "POST" else 200
        return Response(self._result(request, number), status=status)

    def _result(self, request: Request, number: str) -> dict[str, Any]:
        result = {"endpoint": self._name, "method": request.method}
        result["path"] = request.path
        match request.path.split("/"):
            case ["", "lookups", name]:
                result["id"] = name
            case ["", "certificates"] | ["", "holds"]:
                result["number"] = number
            case _:
                result["query"] = dict(request.query)
                result["body"] = request.body.decode("utf-8", "replace")
        return result

    def _health(self, _request: Request) -> Response:
        return Response({"status": "ok"})

    def _list_log(self, _request: Request) -> Response:
        return Response({"executions": self._log})

    def _count(self, _request: Request) -> Response:
        keys = Counter(item["idempotency_key"] for item in self._log)
        requests = Counter(item["request_id"] for item in self._log)
        return Response(
            {
                "executions": len(self._log),
                "by_idempotency_key": keys,
                "by_request_id": requests,
            }
        )


def _is_work(request: Request) -> bool:
    return request.path != "/health" and not request.path.startswith("/standin/")


def main() -> None:
    """Serve until the process is terminated."""
    parser = argument_parser(__doc__)
    parser.add_argument("--address", type=Address.parse, default="127.0.0.1:0")
    parser.add_argument("--name", default="service")
    parser.add_argument("--delay-ms", type=float, default=1.0)
    arguments = parser.parse_args()
    delay = timedelta(milliseconds=arguments.delay_ms)
    service = PlainService(SystemClock(), arguments.name, delay)
    listener = listen(arguments.address)
    announce(arguments, address=bound_address(listener))
    serve(listener, Application(service.routes(), service.middleware))


if __name__ == "__main__":
    main()
