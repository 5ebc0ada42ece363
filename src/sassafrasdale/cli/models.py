"""Validated models of what an entry's administration API answers."""

from datetime import datetime, timedelta

from pydantic import BaseModel, ConfigDict

from sassafrasdale.burn import ServiceBurn, WindowCount
from sassafrasdale.text.exceptions import Fault


class AnswerModel(BaseModel):
    """Base of the models; newer entries may say more than is known here."""

    model_config = ConfigDict(extra="ignore", frozen=True)


class FaultModel(AnswerModel):
    """One fault of a text."""

    field: str = ""
    line: int = 0
    message: str

    def build(self) -> Fault:
        """Return the data class."""
        return Fault(self.line, self.field, self.message)


class ProblemModel(AnswerModel):
    """A problem document (RFC 9457) with what administration adds to it."""

    title: str = ""
    detail: str = ""
    field: str = ""
    faults: list[FaultModel] = []
    revision: int = 0
    author: str = ""
    difference: str = ""


class EditModel(AnswerModel):
    """One accepted edit."""

    revision: int
    edit_id: str
    author: str
    accepted_at: datetime


class HistoryModel(AnswerModel):
    """The accepted edits."""

    edits: list[EditModel]


class PeerModel(AnswerModel):
    """Another entry as an entry sees it."""

    name: str
    availability_zone: str = ""
    address: str = ""
    state: str = ""
    revision: int = 0


class EndpointModel(AnswerModel):
    """An endpoint as an entry sees it."""

    name: str
    service: str
    availability_zone: str
    state: str
    in_flight: int


class StatusModel(AnswerModel):
    """What an entry knows."""

    entry: str
    availability_zone: str
    state: str
    revision: int
    peers: list[PeerModel] = []
    endpoints: list[EndpointModel] = []
    requests_in_flight: dict[str, int] = {}


class WindowModel(AnswerModel):
    """Requests that ended within a window."""

    seconds: int
    total: int
    in_time: int


class ServiceBurnModel(AnswerModel):
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


class BurnModel(AnswerModel):
    """Counts of one entry."""

    entry: str
    services: list[ServiceBurnModel]
