"""Faults of requests and connections that can be injected into every stand-in."""

from collections.abc import Callable, Mapping
from datetime import timedelta
from typing import Any, NoReturn

from sassafrasdale.clock import Clock
from sassafrasdale.green import sleep
from standins.web import (
    Connection,
    Request,
    Response,
    ResponseDroppedError,
    Route,
    truncated,
)

FREEZE_POLL = timedelta(milliseconds=10)
REFUSED = (("X-Refused", "not-started"), ("Retry-After", "1"))


class Faults:
    """Faults, set by ``POST /standin/faults`` and applied to each request.

    Fields of the call, all optional; faults that are not named stay as they are:

    - ``freeze_ms``: all requests pause for this long (0 ends the pause).
    - ``delay_ms``: delay before each request runs.
    - ``slow_factor``: factor of the time that a request's execution takes.
    - ``drop_answers``: the next N requests run, then their connection is closed
      without a response. ``drop_prefix`` limits it to paths with that prefix;
      ``drop_silently`` keeps the connection open instead.
    - ``truncate_answers``: the next N responses end half-way. A whole response ends
      before its ``Content-Length``; a stream ends early, but as valid HTTP.
    - ``silence_connections``: true makes all connections that are open now stop
      responding for good, while new ones work.
    - ``cut_connections``: true closes all connections that are open now.
    - ``refuse``: new work gets 503 with ``X-Refused: not-started`` while true.
    - ``outage``: ``"refuse"`` responds 503 without that header, ``"close"`` closes
      the connection, ``"silent"`` keeps it open and never responds, null ends the
      outage.

    :param clock: measures pauses.
    :param is_work: whether ``refuse`` applies to a request.
    """

    def __init__(
        self, clock: Clock, is_work: Callable[[Request], bool] = lambda request: True
    ) -> None:
        self._clock = clock
        self._is_work = is_work
        self._frozen_until = timedelta()
        self._silent_before = timedelta(seconds=-1)
        self._delay = timedelta()
        self._drop_answers = 0
        self._drop_prefix = ""
        self._drop_silently = False
        self._truncate_answers = 0
        self._refuse = False
        self._outage: str | None = None
        self.slow_factor = 1.0

    @property
    def outage(self) -> str | None:
        """Kind of the present outage, or None."""
        return self._outage

    @property
    def frozen(self) -> bool:
        """Whether all requests are paused at present."""
        return self._clock.elapsed() < self._frozen_until

    def routes(self) -> tuple[Route, ...]:
        """Return the route that sets faults."""
        return (Route("POST", "/standin/faults", self._set),)

    def apply(
        self, request: Request, handler: Callable[[Request], Response]
    ) -> Response:
        """Handle one request with the present faults.

        Control calls under ``/standin/`` are not affected.
        """
        if request.path.startswith("/standin/"):
            return handler(request)
        self.wait_while_frozen()
        self.hold_if_silent(request)
        if self._outage is not None:
            return self._fail(request)
        if self._refuse and self._is_work(request):
            return Response({"error": "refused"}, status=503, headers=REFUSED)
        if self._delay:
            sleep(self._delay)
        response = handler(request)
        self.wait_while_frozen()
        self.hold_if_silent(request)
        if self._consume_drop(request):
            self.drop(request)
        if response.chunks is None and self.consume_truncation():
            return truncated(response, request.connection)
        return response

    def consume_truncation(self) -> bool:
        """Return whether to truncate the present response, and count it."""
        if not self._truncate_answers:
            return False
        self._truncate_answers -= 1
        return True

    def drop(self, request: Request) -> NoReturn:
        """Drop the response to a request that has taken effect.

        :raises ResponseDroppedError: always.
        """
        if self._drop_silently:
            request.connection.hold()
        raise ResponseDroppedError

    def is_silent(self, request: Request) -> bool:
        """Return whether nothing may be sent on the request's connection."""
        if self._outage == "silent":
            return True
        return request.connection.opened_at <= self._silent_before

    def wait_while_frozen(self) -> None:
        """Wait until requests are no longer paused."""
        while self.frozen:
            sleep(FREEZE_POLL)

    def hold_if_silent(self, request: Request) -> None:
        """Hold a connection that must not respond until the peer closes it.

        :raises ResponseDroppedError: when the peer has closed it.
        """
        if self.is_silent(request):
            request.connection.hold()

    def _fail(self, request: Request) -> Response:
        match self._outage:
            case "close":
                raise ResponseDroppedError
            case _:
                return Response({"error": "unavailable", "code": 14}, status=503)

    def _consume_drop(self, request: Request) -> bool:
        if not self._drop_answers or not request.path.startswith(self._drop_prefix):
            return False
        self._drop_answers -= 1
        return True

    def _set(self, request: Request) -> Response:
        wanted = request.json()
        if wanted.pop("cut_connections", False):
            Connection.cut_all(kept=request.connection)
        self.set(wanted)
        return Response({})

    def set(self, wanted: Mapping[str, Any]) -> None:
        """Set the faults named in ``wanted``.

        :raises ValueError: for an unknown name.
        """
        for name, value in wanted.items():
            self._set_one(name, value)

    def _set_one(self, name: str, value: Any) -> None:
        match name:
            case "freeze_ms":
                pause = timedelta(milliseconds=value)
                self._frozen_until = self._clock.elapsed() + pause
            case "delay_ms":
                self._delay = timedelta(milliseconds=value)
            case "slow_factor":
                self.slow_factor = float(value)
            case "drop_answers":
                self._drop_answers = int(value)
            case "drop_prefix":
                self._drop_prefix = value
            case "drop_silently":
                self._drop_silently = bool(value)
            case "truncate_answers":
                self._truncate_answers = int(value)
            case "silence_connections":
                if value:
                    self._silent_before = self._clock.elapsed()
            case "refuse":
                self._refuse = bool(value)
            case "outage":
                self._outage = value
            case other:
                raise ValueError(f"unknown fault {other!r}")
