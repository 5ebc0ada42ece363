"""In-memory engines and endpoint choices, for tests of one generation."""

import json
from collections.abc import Iterable
from datetime import timedelta

from sassafrasdale.clock import ManualClock
from sassafrasdale.endpoints.adapters import EndpointRequest
from sassafrasdale.endpoints.directory import Endpoint
from sassafrasdale.endpoints.engines import DATA, DONE
from sassafrasdale.endpoints.exceptions import EndpointError
from sassafrasdale.requests.generation import Generation
from sassafrasdale.requests.placement import Placement
from sassafrasdale.requests.sends import AttemptTracker, OwnAttempts
from sassafrasdale.requests.structures import Call, ModelCall
from sassafrasdale.structures import Address, Instance, Role

Step = list[bytes] | Exception


def token(text: str, finish_reason: str | None = None) -> bytes:
    """Return one event of an engine."""
    choice = {"index": 0, "delta": {"content": text}, "finish_reason": finish_reason}
    return DATA + json.dumps({"model": "m", "choices": [choice]}).encode()


LAST = token("", "stop")
WHOLE = [token("a"), token("b"), LAST, DONE]


class FakeAdapter:
    """Connections to a scripted engine.

    :param streams: scripts of the streams in the order of the calls: events or
        errors. At the end of its script a stream ends as if the connection closed.
    :param controls: responses to control calls, by the last segment of their path.
    """

    def __init__(
        self,
        streams: Iterable[Iterable[Step] | Exception],
        controls: dict[str, object] | None = None,
    ) -> None:
        self._streams = list(streams)
        self._controls = controls or {}
        self.requests: list[EndpointRequest] = []
        self.asked: list[str] = []

    def stream(self, request: EndpointRequest, limit: timedelta):
        self.requests.append(request)
        script = self._streams.pop(0)
        if isinstance(script, Exception):
            raise script
        return self._events(script)

    def ask(self, method: str, target: str, *, document=None, limit=None):
        self.asked.append(target)
        response = self._controls.get(target.rpartition("/")[2], EndpointError("no"))
        if isinstance(response, Exception):
            raise response
        return response

    def drop_connections(self) -> None:
        return

    @staticmethod
    def _events(script: Iterable[Step]):
        for step in script:
            if isinstance(step, Exception):
                raise step
            yield step


def endpoint(name: str, adapter: FakeAdapter) -> Endpoint:
    """Return an endpoint that uses ``adapter``."""
    address = Address("127.0.0.1", 1)
    return Endpoint(Instance(name, Role.ENDPOINT, "zone-a", address), adapter)


class Choices:
    """Returns the given endpoints in turn, then None."""

    def __init__(self, *endpoints: Endpoint | None) -> None:
        self._endpoints = list(endpoints)

    def __call__(self, avoid: frozenset[str]) -> Endpoint | None:
        return self._endpoints.pop(0) if self._endpoints else None


def model_call(
    *, key: str = "", customer: str = "labs", seconds: float = 60, **body: object
) -> ModelCall:
    """Return a streamed call."""
    deadline = timedelta(seconds=seconds)
    about = Call("id-1", customer, "reports", deadline, 4, key)
    return ModelCall(about, "prompt", ("prompt",), body, 100, streamed=True)


def generation(choose: Choices, call: ModelCall | None = None, **options) -> Generation:
    """Return a generation, by default on a clock that does not advance."""
    options.setdefault("clock", ManualClock())
    clock = options.pop("clock")
    placement = Placement(
        choose=choose,
        observe=lambda endpoint, *, ok: None,
        tracker=AttemptTracker("id-1", OwnAttempts(), clock),
    )
    return Generation(call or model_call(), placement, clock, **options)
