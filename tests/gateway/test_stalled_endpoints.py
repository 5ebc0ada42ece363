"""What a stall of endpoints says against them."""

from datetime import timedelta

from sassafrasdale.clock import SystemClock
from sassafrasdale.green import sleep, spawn
from tests.gateway.world import ScriptedEndpoint, World, request, respond_with

CLOCK = SystemClock()
NAMES = ("i-1", "i-2", "i-3", "i-4")
BETWEEN = timedelta(milliseconds=25)


class Service:
    """Plain endpoints, some of which fall silent without closing a connection."""

    def __init__(self):
        self.world = World()
        self.silent = set()
        for name in NAMES:
            self.world.add(name, "records", ScriptedEndpoint(self._script(name)))
        self.ask(12)

    def _script(self, name):
        answer = respond_with()

        def script(sock, received):
            while name in self.silent:
                sleep(BETWEEN)
            answer(sock, received)

        return script

    def ask(self, count, between=BETWEEN):
        """Send requests one after the other, and return their statuses."""
        tasks = []
        for number in range(count):
            target = f"/certificates/{number}"
            tasks.append(spawn(self.world.ask, request(target, f"r-{number}")))
            sleep(between)
        return [int(task.wait().split()[1]) for task in tasks]

    @property
    def weights(self):
        return self.world.directory.health_of("records").weights(CLOCK.elapsed())


def test_endpoints_that_stall_together_are_not_ejected():
    """Guards against most endpoints left out for seconds after a stall of all."""
    service = Service()
    service.silent.update(NAMES)
    assert set(service.ask(40)) == {504}
    assert set(service.weights.values()) == {1.0}


def test_an_endpoint_that_alone_is_silent_gets_fewer_requests():
    """Guards against a silent endpoint that keeps getting requests.

    The others have answered at once, and nothing waits there as it times out.
    """
    service = Service()
    service.silent.add("i-2")
    assert 504 in service.ask(12, timedelta())
    assert {name for name, weight in service.weights.items() if weight < 1} == {"i-2"}
