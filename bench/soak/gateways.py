"""One gateway of a soak."""

from bench.soak.callers import Listener
from standins.gateway_fleet import GatewayProcess
from standins.links import Link


class Gateway:
    """A gateway's process, its link to the store and the number of its starts."""

    def __init__(self, number: int, process: GatewayProcess, link: Link) -> None:
        self.number = number
        self.process = process
        self.link = link
        self.incarnation = 0
        self.is_down = False

    @property
    def listener(self) -> Listener:
        """The address at which it accepts callers."""
        return Listener(self.number, self.incarnation, self.process.address)

    def launch(self) -> None:
        """Start the process."""
        self.incarnation += 1
        self.process.launch()
        self.is_down = False
