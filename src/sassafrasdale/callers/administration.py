"""HTTP handlers for operators: the configuration, and the status of the entry."""

import random
from collections.abc import Callable
from datetime import timedelta
from uuid import UUID

from sassafrasdale.callers.exceptions import CallerError
from sassafrasdale.callers.messages import (
    HttpRequest,
    HttpResponse,
    json_response,
    problem,
)
from sassafrasdale.callers.routes import Route, route
from sassafrasdale.coordination.exceptions import StoreError
from sassafrasdale.coordination.texts import (
    TextConflict,
    TextOutcomeUnknown,
    TextRecord,
    TextRegister,
)
from sassafrasdale.exceptions import SassafrasdaleError
from sassafrasdale.requests.structures import OutcomeName
from sassafrasdale.text.current import CurrentText
from sassafrasdale.text.differences import format_difference
from sassafrasdale.text.exceptions import TextError
from sassafrasdale.text.parser import parse_text

YAML = "application/yaml"
MAX_WAIT = timedelta(seconds=60)
STORE_RETRY = timedelta(seconds=2)


class Administration:
    """HTTP handlers of one entry for its operators.

    :param current: the current configuration.
    :param register: stores the configuration in the platform's store.
    :param accept: applies an accepted edit in this entry and offers it to the peers.
    :param status: returns the status report as a JSON document.
    :param burn: returns the counts for the burn report as a JSON document.
    :param rng: random source of edit ids.
    """

    def __init__(
        self,
        *,
        current: CurrentText,
        register: TextRegister,
        accept: Callable[[TextRecord], None],
        status: Callable[[], dict],
        burn: Callable[[], dict],
        rng: random.Random,
    ) -> None:
        self._current = current
        self._register = register
        self._accept = accept
        self._status = status
        self._burn = burn
        self._rng = rng

    def routes(self) -> list[Route]:
        """Return the routes for operators."""
        revision = r"/admin/v1/text/history/(?P<revision>\d{1,12})"
        return [
            route("GET", "/admin/v1/text", self.show),
            route("PUT", "/admin/v1/text", self.put),
            route("POST", "/admin/v1/text/check", self.check),
            route("GET", "/admin/v1/text/history", self.history),
            route("GET", revision, self.revision),
            route("GET", "/admin/v1/status", self.status),
            route("GET", "/admin/v1/burn", self.burn),
        ]

    def show(self, request: HttpRequest) -> HttpResponse:
        """Return the current configuration, or wait ``wait_ms`` for a newer one."""
        known_tag = request.header("If-None-Match")
        if known_tag is not None:
            wait = min(_milliseconds(request, "wait_ms"), MAX_WAIT)
            self._current.wait_newer(_revision(known_tag, "If-None-Match"), wait)
        record = self._current.record
        if record is None:
            return problem(404, "No text", "no text was ever accepted", field="text")
        if known_tag is not None and record.revision <= _revision(
            known_tag, "If-None-Match"
        ):
            return HttpResponse(304, (_etag(record),), b"")
        return _text_response(record)

    def check(self, request: HttpRequest) -> HttpResponse:
        """Check a configuration without storing it."""
        try:
            parse_text(_decode(request))
        except TextError as error:
            return _faults_response(error)
        return json_response({"faults": []})

    def put(self, request: HttpRequest) -> HttpResponse:
        """Store a new configuration if the current revision is that in If-Match."""
        expected = request.header("If-Match")
        if expected is None:
            raise CallerError(
                'If-Match must name a revision, "0" for the first text',
                field="If-Match",
                status=428,
            )
        revision = _revision(expected, "If-Match")
        text = _decode(request)
        try:
            parse_text(text)
            record = self._register.put(
                text,
                revision,
                request.header("X-Edit-Id") or self._edit_id(),
                request.header("X-Author") or "",
            )
        except TextError as error:
            return _faults_response(error)
        except TextConflict as error:
            return _conflict_response(error, text)
        except TextOutcomeUnknown as error:
            return _store_error_response(error, OutcomeName.UNKNOWN)
        except StoreError as error:
            return _store_error_response(error, OutcomeName.NOT_RUN)
        self._accept(record)
        return json_response({"revision": record.revision}, headers=(_etag(record),))

    def history(self, request: HttpRequest) -> HttpResponse:
        """List the accepted edits."""
        try:
            records = self._register.history()
        except StoreError as error:
            return _store_error_response(error, OutcomeName.NOT_RUN)
        return json_response({"edits": [_summary(record) for record in records]})

    def revision(self, request: HttpRequest, revision: str) -> HttpResponse:
        """Return the configuration of one accepted edit."""
        try:
            record = self._register.revision(int(revision))
        except StoreError as error:
            return _store_error_response(error, OutcomeName.NOT_RUN)
        if record is None:
            return problem(404, "No such revision", revision, field="revision")
        return _text_response(record)

    def status(self, request: HttpRequest) -> HttpResponse:
        """Return the status report of this entry."""
        return json_response(self._status())

    def burn(self, request: HttpRequest) -> HttpResponse:
        """Return the counts for the burn report."""
        return json_response(self._burn())

    def _edit_id(self) -> str:
        return str(UUID(int=self._rng.getrandbits(128), version=4))


def _decode(request: HttpRequest) -> str:
    try:
        return request.body.decode()
    except UnicodeDecodeError as error:
        raise CallerError("the text is not UTF-8", field="text") from error


def _revision(tag: str, field: str) -> int:
    number = tag.removeprefix("W/").strip('"')
    if not number.isdecimal() or len(number) > 12:
        raise CallerError(f"{field} must be a revision", field=field)
    return int(number)


def _milliseconds(request: HttpRequest, name: str) -> timedelta:
    value = request.query.get(name, "0")
    if not value.isdecimal() or len(value) > 9:
        raise CallerError(f"{name} must be a number of milliseconds", field=name)
    return timedelta(milliseconds=int(value))


def _etag(record: TextRecord) -> tuple[str, str]:
    return ("ETag", f'"{record.revision}"')


def _text_response(record: TextRecord) -> HttpResponse:
    headers = (
        ("Content-Type", YAML),
        _etag(record),
        ("X-Author", record.author),
        ("X-Edit-Id", record.edit_id),
    )
    return HttpResponse(200, headers, record.text.encode())


def _summary(record: TextRecord) -> dict:
    return {
        "revision": record.revision,
        "edit_id": record.edit_id,
        "author": record.author,
        "accepted_at": record.accepted_at.isoformat(),
    }


def _faults_response(error: TextError) -> HttpResponse:
    faults = [
        {"field": f.field, "line": f.line, "message": f.message} for f in error.faults
    ]
    detail = f"the text has {len(faults)} faults; nothing was changed"
    return problem(422, "Faulty text", detail, faults=faults)


def _conflict_response(error: TextConflict, text: str) -> HttpResponse:
    current = error.current
    before = current.text if current else ""
    current_name = f"revision {current.revision if current else 0}"
    return problem(
        412,
        "Conflict",
        "another edit was accepted first; nothing was changed",
        field="If-Match",
        revision=current.revision if current else 0,
        author=current.author if current else "",
        difference=format_difference(before, text, current_name, "your text"),
    )


def _store_error_response(
    error: SassafrasdaleError, outcome: OutcomeName
) -> HttpResponse:
    return problem(
        503,
        "Store out of reach",
        error.message,
        retry_after=error.retry_after or STORE_RETRY,
        outcome=outcome,
    )
