"""Faults of connections that every stand-in can be given."""

from collections.abc import Callable, Mapping
from datetime import timedelta
from typing import Any, NoReturn

from sassafrasdale.clock import Clock
from sassafrasdale.green import sleep
from standins.web import (
    Answer,
    AnswerDroppedError,
    Connection,
    Request,
    Route,
    truncated,
)

FREEZE_POLL = timedelta(milliseconds=10)
REFUSED = (("X-Refused", "not-started"), ("Retry-After", "1"))


class Faults:
    """Faults, set by ``POST /standin/faults`` and applied around each request.

    Fields of the call, all optional; what is not named stays as it is:

    - ``freeze_ms``: no request moves for so long (0 thaws).
    - ``delay_ms``: pause before each request runs.
    - ``slow_factor``: the work itself takes so many times as long.
    - ``drop_answers``: the next N requests run, then their connection is closed
      with no answer. ``drop_prefix`` limits it to paths with that prefix;
      ``drop_silently`` keeps the connection open instead.
    - ``truncate_answers``: the next N answers end half-way. A whole answer breaks off
      before its announced length; a stream ends as HTTP has it, but early.
    - ``silence_connections``: true makes every connection that is open now
      silent for good, while new ones work.
    - ``cut_connections``: true closes every connection that is open now.
    - ``refuse``: true answers new work 503 with ``X-Refused: not-started``.
    - ``outage``: ``"refuse"`` answers 503 without that header, ``"close"`` closes
      the connection, ``"silent"`` keeps it open and never answers, null ends it.

    :param clock: measures freezes.
    :param is_work: whether a request is work that ``refuse`` refuses.
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
        """Kind of the outage, or None."""
        return self._outage

    @property
    def frozen(self) -> bool:
        """Whether nothing is to move at present."""
        return self._clock.elapsed() < self._frozen_until

    def routes(self) -> tuple[Route, ...]:
        """Return the control's routes."""
        return (Route("POST", "/standin/faults", self._set),)

    def around(self, request: Request, answer: Callable[[Request], Answer]) -> Answer:
        """Answer one request with the present faults.

        Controls and the log go on working whatever the faults.
        """
        if request.path.startswith("/standin/"):
            return answer(request)
        self.wait_while_frozen()
        self.hold_if_silent(request)
        if self._outage is not None:
            return self._fail(request)
        if self._refuse and self._is_work(request):
            return Answer({"error": "refused"}, status=503, headers=REFUSED)
        if self._delay:
            sleep(self._delay)
        result = answer(request)
        self.wait_while_frozen()
        self.hold_if_silent(request)
        if self._takes_drop(request):
            self.drop(request)
        if result.chunks is None and self.takes_truncation():
            return truncated(result, request.connection)
        return result

    def takes_truncation(self) -> bool:
        """Return whether the present answer is to end half-way."""
        if not self._truncate_answers:
            return False
        self._truncate_answers -= 1
        return True

    def drop(self, request: Request) -> NoReturn:
        """Lose the answer to a request that has taken effect.

        :raises AnswerDroppedError: always.
        """
        if self._drop_silently:
            request.connection.hold()
        raise AnswerDroppedError

    def is_silent(self, request: Request) -> bool:
        """Return whether nothing may leave on the request's connection."""
        if self._outage == "silent":
            return True
        return request.connection.opened_at <= self._silent_before

    def wait_while_frozen(self) -> None:
        """Wait for the end of a freeze."""
        while self.frozen:
            sleep(FREEZE_POLL)

    def hold_if_silent(self, request: Request) -> None:
        """Hold a silent connection until the other end closes it.

        :raises AnswerDroppedError: when it has.
        """
        if self.is_silent(request):
            request.connection.hold()

    def _fail(self, request: Request) -> Answer:
        match self._outage:
            case "close":
                raise AnswerDroppedError
            case _:
                return Answer({"error": "unavailable", "code": 14}, status=503)

    def _takes_drop(self, request: Request) -> bool:
        if not self._drop_answers or not request.path.startswith(self._drop_prefix):
            return False
        self._drop_answers -= 1
        return True

    def _set(self, request: Request) -> Answer:
        wanted = request.json()
        if wanted.pop("cut_connections", False):
            Connection.cut_all(kept=request.connection)
        self.set(wanted)
        return Answer({})

    def set(self, wanted: Mapping[str, Any]) -> None:
        """Take over the faults named in ``wanted``.

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
                raise ValueError(f"fault {other!r}")
