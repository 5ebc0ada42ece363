"""Reports of an entry for operators, as JSON documents."""

from dataclasses import dataclass

from sassafrasdale.charts import Lifecycle
from sassafrasdale.duties.capacity import DUTY, CapacityDuty
from sassafrasdale.endpoints.directory import Directory, Endpoint
from sassafrasdale.peers.node import PeerNode
from sassafrasdale.peers.structures import Member
from sassafrasdale.requests.dispatcher import Dispatcher
from sassafrasdale.requests.request_counters import RequestCounters
from sassafrasdale.settings import EntrySettings
from sassafrasdale.text.current import CurrentText


@dataclass(frozen=True, slots=True)
class StatusReport:
    """Builds the reports from the components of an entry."""

    settings: EntrySettings
    lifecycle: Lifecycle
    current: CurrentText
    directory: Directory
    peers: PeerNode
    dispatcher: Dispatcher
    capacity: CapacityDuty
    counters: RequestCounters

    def burn(self) -> dict:
        """Return the counts for the burn report."""
        return {"entry": self.settings.name, **self.counters.burn()}

    def status(self) -> dict:
        """Return the status report: state, peers, endpoints, requests in flight."""
        return {
            "entry": self.settings.name,
            "availability_zone": self.settings.availability_zone,
            "state": self.lifecycle.state,
            "revision": self.current.revision,
            "duties": {DUTY: self.capacity.state},
            "peers": [_peer_status(member) for member in self.peers.members()],
            "endpoints": [
                _endpoint_status(endpoint) for endpoint in self.directory.endpoints
            ],
            "requests_in_flight": {
                "generations": len(self.dispatcher.registry.running),
                "calls": self.dispatcher.calls_running,
            },
        }


def _peer_status(member: Member) -> dict:
    return {
        "name": member.name,
        "availability_zone": member.availability_zone,
        "address": str(member.address),
        "state": member.state.name.lower(),
        "revision": member.revision,
    }


def _endpoint_status(endpoint: Endpoint) -> dict:
    return {
        "name": endpoint.name,
        "service": endpoint.instance.service,
        "availability_zone": endpoint.instance.availability_zone,
        "state": endpoint.state,
        "in_flight": endpoint.in_flight,
    }
