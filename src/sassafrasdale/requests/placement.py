"""How a generation finds its engines, and its progress."""

from dataclasses import dataclass
from datetime import timedelta

from sassafrasdale.endpoints.directory import Endpoint
from sassafrasdale.endpoints.engines import FromCache
from sassafrasdale.requests.execution import Choose, Observe
from sassafrasdale.requests.sends import AttemptTracker


@dataclass(frozen=True, slots=True)
class Progress:
    """Progress of a generation, from which another holder can continue.

    :param events: events received; the first has position 1.
    :param endpoint: the engine that runs the stream, or None.
    :param cache: the exported KV cache to continue with, or None.
    :param sent: whether an endpoint may have started the request.
    :param delivered_ago: time since a caller was sent the end of the response; None
        before that.
    """

    events: list[bytes]
    endpoint: Endpoint | None
    cache: FromCache | None
    sent: bool
    delivered_ago: timedelta | None = None


@dataclass(frozen=True, slots=True)
class Placement:
    """How a generation finds its engines, and where it records their behaviour.

    :param choose: returns an endpoint, or None if there is none; its argument names
        the endpoints to avoid.
    :param observe: records whether an endpoint responded.
    :param tracker: records attempts and tokens.
    """

    choose: Choose
    observe: Observe
    tracker: AttemptTracker
