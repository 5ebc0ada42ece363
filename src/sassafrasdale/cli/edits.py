"""Sends an edit until it is known whether it took effect."""

from collections.abc import Iterator
from dataclasses import dataclass
from datetime import timedelta
from itertools import cycle
from typing import Protocol
from urllib.parse import quote, unquote

from sassafrasdale.cli.client import (
    TEXT_PATH,
    AdminClient,
    AttemptResult,
    NotSent,
    Response,
    ResponseLost,
)
from sassafrasdale.cli.exceptions import (
    ConflictError,
    FaultsError,
    NotReachedError,
    OutcomeUnknownError,
    RefusedError,
)
from sassafrasdale.structures import Address

RETRY_PAUSE = timedelta(milliseconds=500)
NOT_RUN = "not-run"
# Statuses of refusals that would be the same from every entry.
REFUSALS = frozenset({400, 403, 413, 422, 428})


class Pacer(Protocol):
    """Source of time for a command."""

    def elapsed(self) -> timedelta:
        """Return the time since an arbitrary start."""

    def sleep(self, pause: timedelta) -> None:
        """Wait for ``pause``."""


@dataclass(frozen=True, slots=True)
class Edit:
    """One edit of the configuration.

    :param name: name of the file, for messages.
    :param text: the new configuration.
    :param base_revision: revision on which the edit is based.
    :param edit_id: id of the edit, the same in every attempt.
    :param author: author of the edit.
    """

    name: str
    text: str
    base_revision: int
    edit_id: str
    author: str


class EditSender:
    """Sends one edit through any entry until its outcome is known.

    A response can be lost after the store has accepted the edit. The next attempt,
    through any entry, has the same edit id, so that the edit is recognized instead
    of conflicting with itself.

    :param client: client of the entries.
    :param pacer: source of time.
    :param timeout: how long to retry.
    """

    def __init__(self, client: AdminClient, pacer: Pacer, timeout: timedelta) -> None:
        self._client = client
        self._pacer = pacer
        self._timeout = timeout
        self._uncertain = False
        self._failures: dict[Address, str] = {}

    def send(self, edit: Edit) -> int:
        """Return the revision that the edit created.

        :raises FaultsError: the text has faults.
        :raises ConflictError: another edit was accepted first.
        :raises NotReachedError: the edit certainly did not take effect.
        :raises OutcomeUnknownError: whether it took effect is not known.
        """
        try:
            for entry in self._entries_in_turn():
                result = self._put(entry, edit)
                revision = self._handle_result(entry, result, edit)
                if revision is not None:
                    return revision
        except KeyboardInterrupt:
            # An attempt may be in flight; without the edit id the operator could not
            # find out its outcome.
            self._uncertain = True
        reasons = "\n".join(self._failures.values())
        if self._uncertain:
            raise OutcomeUnknownError(
                f"the edit may have taken effect as revision {edit.base_revision + 1}; "
                f"look for edit {edit.edit_id} in `sassafrasdale config history`, or "
                f"repeat with --edit-id {edit.edit_id}\n{reasons}"
            )
        raise NotReachedError(f"nothing was changed; no entry took it\n{reasons}")

    def _entries_in_turn(self) -> Iterator[Address]:
        entries = self._client.entries
        deadline = self._pacer.elapsed() + self._timeout
        for number, entry in enumerate(cycle(entries), start=1):
            yield entry
            if number % len(entries) == 0:
                if self._pacer.elapsed() + RETRY_PAUSE >= deadline:
                    return
                self._pacer.sleep(RETRY_PAUSE)

    def _put(self, entry: Address, edit: Edit) -> AttemptResult:
        headers = {
            "Content-Type": "application/yaml",
            "If-Match": f'"{edit.base_revision}"',
            "X-Edit-Id": edit.edit_id,
            "X-Author": quote(edit.author, safe=" @._-"),
        }
        return self._client.attempt(
            entry, "PUT", TEXT_PATH, body=edit.text.encode(), headers=headers
        )

    def _handle_result(
        self, entry: Address, result: AttemptResult, edit: Edit
    ) -> int | None:
        """Return the revision if the edit is known to be accepted, else None."""
        match result:
            case NotSent(reason):
                self._failures[entry] = reason
            case ResponseLost(reason):
                self._uncertain = True
                self._failures[entry] = reason
            case Response(200):
                return edit.base_revision + 1
            case Response(412) as response:
                # The entry recognizes an edit by its id, also if later edits have
                # been accepted since. So an edit never conflicts with itself, even
                # after a lost response. A delayed write of it can no longer succeed,
                # as the store compares the revision.
                raise _conflict(response, edit)
            case Response() as response:
                self._handle_refusal(entry, response, edit)
        return None

    def _handle_refusal(self, entry: Address, response: Response, edit: Edit) -> None:
        # A refusal means that this attempt changed nothing. An earlier attempt whose
        # response was lost may have taken effect; in that case, keep trying.
        if response.status in REFUSALS and not self._uncertain:
            raise _refusal(response, edit)
        is_certain = response.status < 500 or response.outcome == NOT_RUN
        self._uncertain = self._uncertain or not is_certain
        self._failures[entry] = f"{entry}: {_summary(response)}"


def _conflict(response: Response, edit: Edit) -> ConflictError:
    problem = response.problem()
    if not problem.revision:
        return ConflictError(
            f"there is no text yet, so none of revision {edit.base_revision}; put the "
            "first with --if-match 0; nothing was changed"
        )
    difference = problem.difference or "the text in force is the same as yours"
    return ConflictError(
        f"another edit was accepted first: revision {problem.revision} by "
        f"{unquote(problem.author) or 'an unnamed author'}; yours was made from "
        f"revision {edit.base_revision}; nothing was changed\n{difference}"
    )


def _refusal(response: Response, edit: Edit) -> RefusedError:
    faults = response.problem().faults
    if faults:
        return FaultsError(edit.name, [fault.build() for fault in faults])
    return RefusedError(f"nothing was changed; {_summary(response)}")


def _summary(response: Response) -> str:
    problem = response.problem()
    return ": ".join(part for part in (problem.title, problem.detail) if part)
