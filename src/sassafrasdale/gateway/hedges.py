"""A second attempt beside a stalled one, which takes over once its response has come.

The first attempt keeps running meanwhile: if it goes on, the hedge is cancelled, and if
the hedge fails, nothing is lost.
"""

from dataclasses import dataclass, field

from sassafrasdale.decisions.silence import SilenceCause
from sassafrasdale.gateway.attempts import Attempt
from sassafrasdale.gateway.failures import AttemptFailed
from sassafrasdale.gateway.forwarding.paths import Path
from sassafrasdale.gateway.responses import EndpointResponse
from sassafrasdale.green import Event


@dataclass(slots=True)
class Hedge:
    """A second attempt.

    :param attempt: the attempt.
    :param path: an open way to its endpoint.
    :param cause: what the first attempt's silence is due to.
    :ivar is_adopted: whether the request goes on with it; its task no longer owns it.
    :ivar is_cancelled: whether it is no longer needed.
    """

    attempt: Attempt
    path: Path
    cause: SilenceCause
    is_adopted: bool = False
    is_cancelled: bool = False
    _response: EndpointResponse | None = None
    _failure: AttemptFailed | None = None
    _ended: Event = field(default_factory=Event)

    @property
    def has_responded(self) -> bool:
        """Whether its response has come."""
        return self._response is not None

    def succeed(self, response: EndpointResponse) -> None:
        """Record that its response has come."""
        self._response = response
        self._ended.send(None)

    def fail(self, failure: AttemptFailed) -> None:
        """Record that it has failed."""
        self._failure = failure
        self._ended.send(None)

    def cancel(self) -> None:
        """End it, as the first attempt goes on."""
        self.is_cancelled = True
        self.path.close()

    def wait(self) -> EndpointResponse:
        """Return its response, once that has come.

        :raises AttemptFailed: if it fails.
        """
        self._ended.wait()
        if self._failure is not None:
            raise self._failure
        return self._response
