"""Load that the other gateways have reported."""

from collections.abc import Mapping
from datetime import timedelta

from sassafrasdale.decisions.load_reports import ReportedLoad, unreported_work
from sassafrasdale.gateway.peer_states import loads_by_endpoint
from sassafrasdale.gateway.peering import Peering


class PeerLoads:
    """The other gateways' load at each endpoint, as of the last refresh.

    :param peering: the other gateways.
    """

    def __init__(self, peering: Peering) -> None:
        self._peering = peering
        self._loads: dict[str, ReportedLoad] = {}
        self._report_age = timedelta()
        self._work: dict[str, float] = {}

    @property
    def by_endpoint(self) -> Mapping[str, ReportedLoad]:
        """The reported load by endpoint."""
        return self._loads

    @property
    def report_age(self) -> timedelta:
        """Mean age of the reports."""
        return self._report_age

    def refresh(self) -> None:
        """Update the loads from the latest reports."""
        groups = self._peering.unexpired_groups()
        self._loads = loads_by_endpoint(groups)
        self._work.clear()
        ages = [group.age for group in groups]
        self._report_age = sum(ages, timedelta()) / max(len(ages), 1)

    def in_flight(self, endpoint: str) -> int:
        """Return the reported requests in flight at an endpoint."""
        load = self._loads.get(endpoint)
        return 0 if load is None else load.in_flight

    def unreported_work(self, service: str, endpoints: int) -> timedelta:
        """Return the engine time most likely taken at an endpoint since the reports.

        :param endpoints: number of the service's endpoints that share the work.
        """
        if service not in self._work:
            # Many requests need it between two refreshes.
            self._work[service] = self._peering.engine_time(service)
        return unreported_work(self._work[service], self._report_age, endpoints)
