"""Where a generation runs: how it finds its engines, and how far it has come."""

from dataclasses import dataclass

from sassafrasdale.endpoints.directory import Endpoint
from sassafrasdale.endpoints.engines import FromCache
from sassafrasdale.requests.execution import Choose, Observe
from sassafrasdale.requests.sends import SendWatch


@dataclass(frozen=True, slots=True)
class Progress:
    """How far a generation has come: what another holder needs to go on.

    :param events: events received; the first has position 1.
    :param endpoint: where the engine's stream runs; None if it runs nowhere.
    :param cache: the KV cache to go on with, if it was exported.
    :param sent: whether an endpoint may have begun to run the request.
    """

    events: list[bytes]
    endpoint: Endpoint | None
    cache: FromCache | None
    sent: bool


@dataclass(frozen=True, slots=True)
class Placement:
    """How a generation finds its engines, and whom it tells how they do.

    :param choose: gives an endpoint, or None if there is none; its argument names
        endpoints not to take.
    :param observe: told whether an endpoint answered.
    :param watch: told of sends and tokens.
    """

    choose: Choose
    observe: Observe
    watch: SendWatch
