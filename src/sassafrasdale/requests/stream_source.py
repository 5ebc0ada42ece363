"""The engine that runs a generation's stream, and how the next one starts it."""

from collections.abc import Callable
from datetime import timedelta
from enum import Enum, auto

from logbook import Logger

from sassafrasdale.decisions.silence import (
    REATTACH_TIME,
    Silence,
    SilenceCause,
    cause_of,
)
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
from sassafrasdale.endpoints.exceptions import EndpointError, ResponseLost
from sassafrasdale.green import Event
from sassafrasdale.requests.placement import Progress
from sassafrasdale.requests.structures import ModelCall
from sassafrasdale.requests.transcript import Transcript

log = Logger("stream source")


class EngineState(Enum):
    """What a health check shows of an engine."""

    RESPONDS = auto()
    # It may have stalled, or be gone without a reset.
    SILENT = auto()
    GONE = auto()


class StreamSource:
    """The engines that run a generation's stream, one after the other.

    :param call: the caller's request.
    :param transcript: events so far.
    :param progress: progress of the previous holder.

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
        self._exported: FromCache | None = None
        self._export_done: Event | None = None
        self.sent = progress.sent

    @property
    def endpoint(self) -> Endpoint | None:
        """The engine that runs the stream now."""
        return self._endpoint

    @property
    def start(self) -> Start:
        """How the next engine starts the stream."""
        return self._start

    @property
    def progress(self) -> Progress:
        """Progress, from which another holder can continue."""
        cache = self._exported
        endpoint = self._endpoint if cache is None else None
        if isinstance(self._start, FromCache) and not self._opened:
            # The engine chosen to continue from the cache may not have imported it.
            cache, endpoint = self._start, None
        return Progress(self._transcript.events, endpoint, cache, self.sent)

    def choose_start(self) -> None:
        """Choose how the first engine of this holder starts the stream."""
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

    def record_endpoint(self, endpoint: Endpoint) -> None:
        """Record that the stream is requested from ``endpoint``."""
        self._endpoint = endpoint
        self._opened = False

    def record_response(self) -> None:
        """Record that the engine has started the response."""
        self.sent = self._opened = True

    def move(self, endpoint: Endpoint) -> bool:
        """Export the KV cache of ``endpoint`` before it leaves.

        :returns: whether the engine exported it.
        """
        if self._endpoint is not endpoint or self._export_done:
            return False
        if self._exported is not None:
            return True
        self._export_done = Event()
        try:
            handle = export_cache(endpoint.adapter, self._call.call.request_id)
            self._exported = FromCache(0, "", endpoint.instance.address, handle)
        except EndpointError:
            # The stream may still run there, or be lost with the engine.
            return False
        finally:
            export_done, self._export_done = self._export_done, None
            export_done.send(None)
        return True

    def wait_for_export(self) -> None:
        """Wait for the end of a running export."""
        if self._export_done is not None:
            self._export_done.wait()

    def may_recompute(self, endpoint: Endpoint) -> bool:
        """Return whether another engine may recompute the tokens."""
        if self._endpoint is not endpoint or self._export_done or self._exported:
            return False
        return self._call.call.idempotent

    def resume_after_break(
        self,
        endpoint: Endpoint,
        others_responding: Callable[[], timedelta | None] = lambda: None,
    ) -> bool:
        """Choose how to continue an interrupted or unresponsive stream.

        :param others_responding: returns for how long an engine that could take over
            has been responding; None if none does.
        :returns: False if the engine is considered dead.
        """
        self.wait_for_export()
        received = self._transcript.received()
        if self._exported is not None:
            exported, self._exported = self._exported, None
            self._endpoint = None
            self._start = FromCache(
                received.tokens, received.text, exported.address, exported.handle
            )
            return True
        # The engine may still run an interrupted stream, if only the connection became
        # unresponsive. So the stream is requested on a fresh connection before its
        # tokens are recomputed.
        reattach_failed = isinstance(self._start, Reattach) and not self._opened
        if reattach_failed and self._is_dead(endpoint, others_responding):
            return False
        endpoint.adapter.drop_connections()
        self._start = Reattach(received.tokens)
        return True

    def _is_dead(
        self, endpoint: Endpoint, others_responding: Callable[[], timedelta | None]
    ) -> bool:
        """Return whether an engine is considered dead.

        One that is silent may have stalled and go on. It is given up only if another
        one responds, may run the request, and this one has still not responded then.
        """
        state = check_engine(endpoint)
        if state is not EngineState.SILENT:
            return state is EngineState.GONE
        cause = SilenceCause.SERVICE
        if self._call.call.idempotent:
            silence = Silence(
                REATTACH_TIME,
                has_begun=bool(self._transcript.events),
                others_responding=others_responding(),
            )
            cause = cause_of(silence)
        is_dead = (
            cause is not SilenceCause.SERVICE
            and check_engine(endpoint) is not EngineState.RESPONDS
        )
        log.info(
            "engine silent",
            endpoint=endpoint.name,
            request_id=self._call.call.request_id,
            cause=str(cause),
            given_up=is_dead,
        )
        return is_dead

    def switch_endpoint(self, endpoint: Endpoint, avoid: set[str]) -> None:
        """Choose how to continue on another endpoint than ``endpoint``.

        :raises ResponseLost: if recomputing would be a second execution.
        """
        avoid.add(endpoint.name)
        self._endpoint = None
        if not self.sent or isinstance(self._start, FromCache) and not self._opened:
            # Nothing has started, or another engine can still import the cache.
            return
        if not self._call.call.idempotent:
            raise ResponseLost("the engine that ran the request is gone")
        received = self._transcript.received()
        self._start = Recompute(received.tokens, received.text)


def check_engine(endpoint: Endpoint) -> EngineState:
    """Return what a health check shows of an engine.

    A queued stream has no events for a long time. Considering its engine dead would
    send the request to one engine after the other while their queues are long, and
    run it several times.
    """
    try:
        check_health(endpoint.adapter)
    except ResponseLost:
        return EngineState.SILENT
    except EndpointError:
        return EngineState.GONE
    return EngineState.RESPONDS
