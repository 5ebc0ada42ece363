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
    AnswerModel,
    BurnModel,
    FaultModel,
    HistoryModel,
    ProblemModel,
    StatusModel,
)
from sassafrasdale.structures import Address
from sassafrasdale.text.exceptions import Fault

CONNECT_TIMEOUT = timedelta(seconds=2)
READ_TIMEOUT = timedelta(seconds=10)
TEXT_PATH = "/admin/v1/text"

Model = TypeVar("Model", bound=AnswerModel)


@dataclass(frozen=True, slots=True)
class RemoteText:
    """A text as an entry gave it.

    :param revision: its revision; 0 if there was never a text.
    :param text: the YAML, empty if there was never a text.
    :param edit_id: id of the edit that brought it.
    :param author: who made that edit.
    """

    revision: int
    text: str
    edit_id: str = ""
    author: str = ""


@dataclass(frozen=True, slots=True)
class NotSent:
    """Not one byte reached the entry."""

    reason: str


@dataclass(frozen=True, slots=True)
class Lost:
    """The request went out and no whole answer came back."""

    reason: str


@dataclass(frozen=True, slots=True)
class Reply:
    """An entry's answer.

    :param status: HTTP status.
    :param headers: headers by lower-case name.
    :param body: whole body.
    """

    status: int
    headers: Mapping[str, str]
    body: bytes

    @property
    def outcome(self) -> str:
        """What the entry says became of the request."""
        return self.headers.get("x-outcome", "")

    def document(self) -> Any:
        """Return the body as JSON, or an empty document if it is none."""
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


Attempt = Reply | Lost | NotSent


class AdminClient:
    """Asks entries in turn until one answers.

    :param entries: addresses of entries, the preferred first.
    :param read_timeout: limit of a wait for an answer.
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
    ) -> Attempt:
        """Send one request to one entry, once."""
        try:
            # Without keep-alive no request can go out on a connection that went
            # silent since the last one.
            response: BaseHTTPResponse = self._pool.request(
                method,
                f"http://{entry}{path}",
                body=body,
                headers={"Connection": "close", **(headers or {})},
            )
        except (NewConnectionError, ConnectTimeoutError) as error:
            return NotSent(f"{entry}: {_reason(error)}")
        except HTTPError as error:
            return Lost(f"{entry}: {_reason(error)}")
        lowered = {name.lower(): value for name, value in response.headers.items()}
        return Reply(response.status, lowered, response.data)

    def read(self, path: str) -> Reply:
        """Return the first entry's answer that is not an error of its side.

        :raises NotReachedError: no entry gave one.
        :raises RefusedError: an entry refused.
        """
        return self._first(lambda entry: self.attempt(entry, "GET", path))

    def text(self, revision: int | None = None) -> RemoteText:
        """Return the text in force, or the one of ``revision``."""
        path = TEXT_PATH if revision is None else f"{TEXT_PATH}/history/{revision}"
        reply = self.read(path)
        if reply.status == 404 and revision is None:
            return RemoteText(0, "")
        _check(reply)
        number = reply.headers.get("etag", "").strip('W/"')
        if not number.isdecimal():
            raise NotReachedError("the entry's answer names no revision")
        return RemoteText(
            int(number),
            reply.body.decode(),
            reply.headers.get("x-edit-id", ""),
            reply.headers.get("x-author", ""),
        )

    def check(self, text: str) -> tuple[Fault, ...]:
        """Return the faults that an entry finds in a text."""
        body = text.encode()
        path = f"{TEXT_PATH}/check"
        reply = self._first(lambda entry: self.attempt(entry, "POST", path, body=body))
        if reply.status != 422:
            _check(reply)
        faults: list[FaultModel] = reply.problem().faults
        return tuple(fault.build() for fault in faults)

    def history(self) -> HistoryModel:
        """Return the accepted edits."""
        return self._document(f"{TEXT_PATH}/history", HistoryModel)

    def status(self) -> StatusModel:
        """Return what the first entry that answers knows."""
        return self._document("/admin/v1/status", StatusModel)

    def burn(self) -> BurnModel:
        """Return the counts of the first entry that answers."""
        return self._document("/admin/v1/burn", BurnModel)

    def _document(self, path: str, model: type[Model]) -> Model:
        reply = self.read(path)
        _check(reply)
        try:
            return model.model_validate(reply.document())
        except ValidationError as error:
            first = error.errors()[0]
            field = ".".join(map(str, first["loc"]))
            raise NotReachedError(
                f"the entry's answer at {path} is not understood: {field}: "
                f"{first['msg']}"
            ) from error

    def _first(self, ask: Callable[[Address], Attempt]) -> Reply:
        failures = []
        for entry in self._entries:
            match ask(entry):
                case Reply(status) as reply if status < 500:
                    return reply
                case Reply() as reply:
                    problem = reply.problem()
                    failures.append(f"{entry}: {problem.title}: {problem.detail}")
                case Lost(reason) | NotSent(reason):
                    failures.append(reason)
        raise NotReachedError("\n".join(["no entry answered", *failures]))


def _check(reply: Reply) -> None:
    if reply.status >= 400:
        problem = reply.problem()
        raise RefusedError(f"{problem.title}: {problem.detail}")


def _reason(error: Exception) -> str:
    # urllib3 puts its own object first, which tells an operator nothing.
    return str(error).rpartition("): ")[2] or type(error).__name__
