"""Client of the entries' administration API.

Usage::

    client = AdminClient((Address("127.0.0.1", 8080),))
    print(client.text().text)
"""

import json
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from datetime import timedelta
from typing import Any, TypeVar

from pydantic import ValidationError
from urllib3 import BaseHTTPResponse, PoolManager, Timeout
from urllib3.exceptions import ConnectTimeoutError, HTTPError, NewConnectionError

from sassafrasdale.cli.exceptions import NotReachedError, RefusedError
from sassafrasdale.cli.models import (
    BurnModel,
    FaultModel,
    HistoryModel,
    ProblemModel,
    ResponseModel,
    StatusModel,
)
from sassafrasdale.structures import Address
from sassafrasdale.text.exceptions import Fault

CONNECT_TIMEOUT = timedelta(seconds=2)
READ_TIMEOUT = timedelta(seconds=10)
TEXT_PATH = "/admin/v1/text"

Model = TypeVar("Model", bound=ResponseModel)


@dataclass(frozen=True, slots=True)
class RemoteText:
    """A configuration fetched from an entry.

    :param revision: its revision; 0 if there is none yet.
    :param text: the YAML; empty if there is none yet.
    :param edit_id: id of the edit that created the revision.
    :param author: author of that edit.
    """

    revision: int
    text: str
    edit_id: str = ""
    author: str = ""


@dataclass(frozen=True, slots=True)
class NotSent:
    """The request did not reach the entry at all."""

    reason: str


@dataclass(frozen=True, slots=True)
class ResponseLost:
    """The request was sent, but no complete response arrived."""

    reason: str


@dataclass(frozen=True, slots=True)
class Response:
    """The response of an entry.

    :param status: HTTP status.
    :param headers: headers by lowercase name.
    :param body: whole body.
    """

    status: int
    headers: Mapping[str, str]
    body: bytes

    @property
    def outcome(self) -> str:
        """Outcome of the request, as reported by the entry."""
        return self.headers.get("x-outcome", "")

    def document(self) -> Any:
        """Return the parsed JSON body, or an empty document if it isn't JSON."""
        try:
            return json.loads(self.body)
        except ValueError:
            return {}

    def problem(self) -> ProblemModel:
        """Return the problem document in the body."""
        try:
            return ProblemModel.model_validate(self.document())
        except ValidationError:
            return ProblemModel(title=f"status {self.status}")


AttemptResult = Response | ResponseLost | NotSent


class AdminClient:
    """Sends requests to entries in turn until one responds.

    :param entries: addresses of the entries, in order of preference.
    :param read_timeout: timeout for reading from a connection.
    """

    def __init__(
        self, entries: tuple[Address, ...], read_timeout: timedelta = READ_TIMEOUT
    ) -> None:
        self._entries = entries
        timeout = Timeout(
            connect=CONNECT_TIMEOUT.total_seconds(),
            read=read_timeout.total_seconds(),
        )
        self._pool = PoolManager(retries=False, timeout=timeout)

    @property
    def entries(self) -> tuple[Address, ...]:
        """Addresses of the entries."""
        return self._entries

    def attempt(
        self,
        entry: Address,
        method: str,
        path: str,
        *,
        body: bytes | None = None,
        headers: Mapping[str, str] | None = None,
    ) -> AttemptResult:
        """Send a request to one entry, without retries."""
        try:
            # Without keep-alive no request is sent on a connection that has become
            # unresponsive since the last one.
            response: BaseHTTPResponse = self._pool.request(
                method,
                f"http://{entry}{path}",
                body=body,
                headers={"Connection": "close", **(headers or {})},
            )
        except (NewConnectionError, ConnectTimeoutError) as error:
            return NotSent(f"{entry}: {_reason(error)}")
        except HTTPError as error:
            return ResponseLost(f"{entry}: {_reason(error)}")
        headers_by_name = {
            name.lower(): value for name, value in response.headers.items()
        }
        return Response(response.status, headers_by_name, response.data)

    def read(self, path: str) -> Response:
        """Return the first response that is not a server error.

        :raises NotReachedError: no entry sent one.
        """
        return self._first_response(lambda entry: self.attempt(entry, "GET", path))

    def text(self, revision: int | None = None) -> RemoteText:
        """Return the current configuration, or that of ``revision``."""
        path = TEXT_PATH if revision is None else f"{TEXT_PATH}/history/{revision}"
        response = self.read(path)
        if response.status == 404 and revision is None:
            return RemoteText(0, "")
        _raise_for_status(response)
        number = response.headers.get("etag", "").strip('W/"')
        if not number.isdecimal():
            raise NotReachedError("the entry's answer names no revision")
        return RemoteText(
            int(number),
            response.body.decode(),
            response.headers.get("x-edit-id", ""),
            response.headers.get("x-author", ""),
        )

    def check(self, text: str) -> tuple[Fault, ...]:
        """Return the faults that an entry finds in a configuration."""
        body = text.encode()
        path = f"{TEXT_PATH}/check"
        response = self._first_response(
            lambda entry: self.attempt(entry, "POST", path, body=body)
        )
        if response.status != 422:
            _raise_for_status(response)
        faults: list[FaultModel] = response.problem().faults
        return tuple(fault.build() for fault in faults)

    def history(self) -> HistoryModel:
        """Return the accepted edits."""
        return self._document(f"{TEXT_PATH}/history", HistoryModel)

    def status(self) -> StatusModel:
        """Return the status of the first entry that responds."""
        return self._document("/admin/v1/status", StatusModel)

    def burn(self) -> BurnModel:
        """Return the counts of the first entry that responds."""
        return self._document("/admin/v1/burn", BurnModel)

    def _document(self, path: str, model: type[Model]) -> Model:
        response = self.read(path)
        _raise_for_status(response)
        try:
            return model.model_validate(response.document())
        except ValidationError as error:
            first = error.errors()[0]
            field = ".".join(map(str, first["loc"]))
            raise NotReachedError(
                f"the entry's answer at {path} is not understood: {field}: "
                f"{first['msg']}"
            ) from error

    def _first_response(self, send: Callable[[Address], AttemptResult]) -> Response:
        failures = []
        for entry in self._entries:
            match send(entry):
                case Response(status) as response if status < 500:
                    return response
                case Response() as response:
                    problem = response.problem()
                    failures.append(f"{entry}: {problem.title}: {problem.detail}")
                case ResponseLost(reason) | NotSent(reason):
                    failures.append(reason)
        raise NotReachedError("\n".join(["no entry answered", *failures]))


def _raise_for_status(response: Response) -> None:
    if response.status >= 400:
        problem = response.problem()
        raise RefusedError(f"{problem.title}: {problem.detail}")


def _reason(error: Exception) -> str:
    # urllib3 puts its own object first, which is of no use to an operator.
    return str(error).rpartition("): ")[2] or type(error).__name__
