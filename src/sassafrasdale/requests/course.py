"""Where a generation's stream runs, and how the next engine begins with it."""

from sassafrasdale.endpoints.directory import Endpoint
from sassafrasdale.endpoints.engines import (
    FromCache,
    FromPrompt,
    Reattach,
    Recompute,
    Start,
    check_health,
    export_cache,
)
from sassafrasdale.endpoints.exceptions import AnswerLost, EndpointError
from sassafrasdale.green import Event
from sassafrasdale.requests.placement import Progress
from sassafrasdale.requests.structures import ModelCall
from sassafrasdale.requests.transcript import Transcript


class Course:
    """The engines that a generation runs on, one after the other.

    :param call: what the caller asked for.
    :param transcript: events so far.
    :param progress: how far an earlier holder came.

    :ivar sent: whether the request may have reached an engine.
    """

    def __init__(
        self, call: ModelCall, transcript: Transcript, progress: Progress
    ) -> None:
        self._call = call
        self._transcript = transcript
        self._endpoint = progress.endpoint
        self._start: Start = progress.cache or FromPrompt()
        self._opened = False
        self._pending: FromCache | None = None
        self._moving: Event | None = None
        self.sent = progress.sent

    @property
    def endpoint(self) -> Endpoint | None:
        """Where the stream runs now."""
        return self._endpoint

    @property
    def start(self) -> Start:
        """How the next engine begins."""
        return self._start

    @property
    def progress(self) -> Progress:
        """How far it has come, for another holder."""
        cache = self._pending
        endpoint = self._endpoint if cache is None else None
        if isinstance(self._start, FromCache) and not self._opened:
            # The engine that was to go on with the cache may not know of it yet.
            cache, endpoint = self._start, None
        return Progress(self._transcript.events, endpoint, cache, self.sent)

    def begin(self) -> None:
        """Choose how the first engine of this holder begins."""
        received = self._transcript.received()
        match self._start:
            case FromCache(address=address, handle=handle):
                self._start = FromCache(received.tokens, received.text, address, handle)
            case _ if self._endpoint is not None:
                self._start = Reattach(received.tokens)
            case _ if self.sent:
                self._start = Recompute(received.tokens, received.text)
            case _:
                self._start = FromPrompt()

    def runs_at(self, endpoint: Endpoint) -> None:
        """Note that the stream is asked for at ``endpoint``."""
        self._endpoint = endpoint
        self._opened = False

    def opened(self) -> None:
        """Note that the engine has begun to answer."""
        self.sent = self._opened = True

    def move(self, endpoint: Endpoint) -> bool:
        """Move the KV cache off ``endpoint`` before it leaves.

        :returns: whether the engine exported it.
        """
        if self._endpoint is not endpoint or self._moving:
            return False
        if self._pending is not None:
            return True
        self._moving = Event()
        try:
            handle = export_cache(endpoint.adapter, self._call.call.request_id)
            self._pending = FromCache(0, "", endpoint.instance.address, handle)
        except EndpointError:
            # The stream may still run there, or be lost with the engine.
            return False
        finally:
            moving, self._moving = self._moving, None
            moving.send(None)
        return True

    def wait_for_move(self) -> None:
        """Wait until a move that is under way has ended."""
        if self._moving is not None:
            self._moving.wait()

    def may_leave(self, endpoint: Endpoint) -> bool:
        """Return whether the tokens may be computed again elsewhere."""
        if self._endpoint is not endpoint or self._moving or self._pending:
            return False
        return self._call.call.idempotent

    def go_on_after_break(self, endpoint: Endpoint) -> bool:
        """Choose how to go on after the stream broke off or fell silent.

        :returns: False if the engine is taken to be gone.
        """
        self.wait_for_move()
        received = self._transcript.received()
        if self._pending is not None:
            pending, self._pending = self._pending, None
            self._endpoint = None
            self._start = FromCache(
                received.tokens, received.text, pending.address, pending.handle
            )
            return True
        # A stream that broke off may still run on the engine, behind a connection
        # that went silent: it is asked for on a fresh connection before its
        # tokens are computed again.
        in_vain = isinstance(self._start, Reattach) and not self._opened
        if in_vain and not _is_alive(endpoint):
            return False
        endpoint.adapter.drop_connections()
        self._start = Reattach(received.tokens)
        return True

    def go_on_elsewhere(self, endpoint: Endpoint, avoid: set[str]) -> None:
        """Choose how to go on with another endpoint than ``endpoint``.

        :raises AnswerLost: if computing again would be a second execution.
        """
        avoid.add(endpoint.name)
        self._endpoint = None
        if not self.sent or isinstance(self._start, FromCache) and not self._opened:
            # Nothing has begun, or the cache is still there for another engine.
            return
        if not self._call.call.idempotent:
            raise AnswerLost("the engine that ran the request is gone")
        received = self._transcript.received()
        self._start = Recompute(received.tokens, received.text)


def _is_alive(endpoint: Endpoint) -> bool:
    """Return whether the engine answers, if not with the stream's next event.

    A stream that waits for its turn brings no event for long; taking its engine for
    gone would send it round all engines while their queues are long, and run it
    several times.
    """
    try:
        check_health(endpoint.adapter)
    except EndpointError:
        return False
    return True
