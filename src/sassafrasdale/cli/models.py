"""Models that validate the responses of the administration API."""

from datetime import datetime, timedelta

from pydantic import BaseModel, ConfigDict

from sassafrasdale.burn import ServiceBurn, WindowCount
from sassafrasdale.text.exceptions import Fault


class ResponseModel(BaseModel):
    """Base of the models; fields that only newer entries send are ignored."""

    model_config = ConfigDict(extra="ignore", frozen=True)


class FaultModel(ResponseModel):
    """One fault of a configuration."""

    field: str = ""
    line: int = 0
    message: str

    def build(self) -> Fault:
        """Return the data class."""
        return Fault(self.line, self.field, self.message)


class ProblemModel(ResponseModel):
    """A problem document (RFC 9457) with the fields of the administration API."""

    title: str = ""
    detail: str = ""
    field: str = ""
    faults: list[FaultModel] = []
    revision: int = 0
    author: str = ""
    difference: str = ""


class EditModel(ResponseModel):
    """One accepted edit."""

    revision: int
    edit_id: str
    author: str
    accepted_at: datetime


class HistoryModel(ResponseModel):
    """The accepted edits."""

    edits: list[EditModel]


class PeerModel(ResponseModel):
    """Another entry, as reported by an entry."""

    name: str
    availability_zone: str = ""
    address: str = ""
    state: str = ""
    revision: int = 0


class EndpointModel(ResponseModel):
    """An endpoint, as reported by an entry."""

    name: str
    service: str
    availability_zone: str
    state: str
    in_flight: int


class StatusModel(ResponseModel):
    """Status of an entry."""

    entry: str
    availability_zone: str
    state: str
    revision: int
    peers: list[PeerModel] = []
    endpoints: list[EndpointModel] = []
    requests_in_flight: dict[str, int] = {}


class WindowModel(ResponseModel):
    """Requests that ended within a window."""

    seconds: int
    total: int
    in_time: int


class ServiceBurnModel(ResponseModel):
    """Counts of one service."""

    service: str
    objective: float
    windows: list[WindowModel]

    def build(self) -> ServiceBurn:
        """Return the data class."""
        counts = tuple(
            WindowCount(timedelta(seconds=w.seconds), w.total, w.in_time)
            for w in self.windows
        )
        return ServiceBurn(self.service, self.objective, counts)


class BurnModel(ResponseModel):
    """Counts of one entry."""

    entry: str
    services: list[ServiceBurnModel]
