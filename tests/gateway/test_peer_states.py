"""What gateways tell each other."""

from datetime import timedelta

from sassafrasdale.decisions.news import ToldLoad
from sassafrasdale.gateway.peer_states import EndpointLoad, loads_by_endpoint
from tests.gateway.test_peering import state


def test_loads_add_up():
    second = timedelta(seconds=1)
    loads = loads_by_endpoint(
        [
            (state("b", loads={"i": EndpointLoad(2, 100)}), second),
            (
                state("c", loads={"i": EndpointLoad(1, 300), "j": EndpointLoad(1, 0)}),
                second * 2,
            ),
        ]
    )
    assert loads == {
        "i": ToldLoad(3, 400, second * 1.75),
        "j": ToldLoad(1, 0, timedelta()),
    }
