"""Carrying an edit through until it is known whether it took effect."""

from collections.abc import Iterator
from dataclasses import dataclass
from datetime import timedelta
from itertools import cycle
from typing import Protocol
from urllib.parse import quote, unquote

from sassafrasdale.cli.client import (
    TEXT_PATH,
    AdminClient,
    Attempt,
    Lost,
    NotSent,
    Reply,
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
# Answers that no other entry would give differently.
REFUSALS = frozenset({400, 403, 413, 422, 428})


class Pacer(Protocol):
    """Time as a command needs it."""

    def elapsed(self) -> timedelta:
        """Return time since an arbitrary start."""

    def sleep(self, pause: timedelta) -> None:
        """Wait for ``pause``."""


@dataclass(frozen=True, slots=True)
class Edit:
    """One edit of the operators' text.

    :param name: name of the file, for messages.
    :param text: the new text.
    :param expected: revision that it was made from.
    :param edit_id: names this edit, the same in every attempt.
    :param author: who made it.
    """

    name: str
    text: str
    expected: int
    edit_id: str
    author: str


class EditSender:
    """Sends one edit through any entry until its fate is known.

    An answer can be lost after the store took the edit. The next attempt, through
    whatever entry, carries the same edit id, so that the edit is recognised
    instead of conflicting with itself.

    :param client: client of the entries.
    :param pacer: source of time.
    :param limit: how long to try.
    """

    def __init__(self, client: AdminClient, pacer: Pacer, limit: timedelta) -> None:
        self._client = client
        self._pacer = pacer
        self._limit = limit
        self._uncertain = False
        self._failures: dict[Address, str] = {}

    def send(self, edit: Edit) -> int:
        """Return the revision that the edit became.

        :raises FaultsError: the text has faults.
        :raises ConflictError: another edit was accepted first.
        :raises NotReachedError: the edit certainly did not take effect.
        :raises OutcomeUnknownError: whether it took effect is not known.
        """
        try:
            for entry in self._entries_in_turn():
                attempt = self._put(entry, edit)
                revision = self._settle(entry, attempt, edit)
                if revision is not None:
                    return revision
        except KeyboardInterrupt:
            # Interrupted while an attempt is on its way; without the edit id the
            # operator could not find out what became of it.
            self._uncertain = True
        reasons = "\n".join(self._failures.values())
        if self._uncertain:
            raise OutcomeUnknownError(
                f"the edit may have taken effect as revision {edit.expected + 1}; "
                f"look for edit {edit.edit_id} in `sassafrasdale config history`, or "
                f"repeat with --edit-id {edit.edit_id}\n{reasons}"
            )
        raise NotReachedError(f"nothing was changed; no entry took it\n{reasons}")

    def _entries_in_turn(self) -> Iterator[Address]:
        entries = self._client.entries
        until = self._pacer.elapsed() + self._limit
        for number, entry in enumerate(cycle(entries), start=1):
            yield entry
            if number % len(entries) == 0:
                if self._pacer.elapsed() + RETRY_PAUSE >= until:
                    return
                self._pacer.sleep(RETRY_PAUSE)

    def _put(self, entry: Address, edit: Edit) -> Attempt:
        headers = {
            "Content-Type": "application/yaml",
            "If-Match": f'"{edit.expected}"',
            "X-Edit-Id": edit.edit_id,
            "X-Author": quote(edit.author, safe=" @._-"),
        }
        return self._client.attempt(
            entry, "PUT", TEXT_PATH, body=edit.text.encode(), headers=headers
        )

    def _settle(self, entry: Address, attempt: Attempt, edit: Edit) -> int | None:
        """Return the revision if the edit is known to be in, None to go on."""
        match attempt:
            case NotSent(reason):
                self._failures[entry] = reason
            case Lost(reason):
                self._uncertain = True
                self._failures[entry] = reason
            case Reply(200):
                return edit.expected + 1
            case Reply(412) as reply:
                # The entry recognises an edit by its id, also when later edits stand
                # on top of it; so a conflict is never one of the edit with itself,
                # even after a lost answer. A late write of it can't succeed any
                # more, as the store compares.
                raise _conflict(reply, edit)
            case Reply() as reply:
                self._settle_refusal(entry, reply, edit)
        return None

    def _settle_refusal(self, entry: Address, reply: Reply, edit: Edit) -> None:
        # A refusal says that this attempt changed nothing; it says nothing about an
        # earlier one whose answer was lost, so then the search goes on.
        if reply.status in REFUSALS and not self._uncertain:
            raise _refusal(reply, edit)
        is_certain = reply.status < 500 or reply.outcome == NOT_RUN
        self._uncertain = self._uncertain or not is_certain
        self._failures[entry] = f"{entry}: {_summary(reply)}"


def _conflict(reply: Reply, edit: Edit) -> ConflictError:
    problem = reply.problem()
    if not problem.revision:
        return ConflictError(
            f"there is no text yet, so none of revision {edit.expected}; put the first "
            "with --if-match 0; nothing was changed"
        )
    difference = problem.difference or "the text in force is the same as yours"
    return ConflictError(
        f"another edit was accepted first: revision {problem.revision} by "
        f"{unquote(problem.author) or 'an unnamed author'}; yours was made from "
        f"revision {edit.expected}; nothing was changed\n{difference}"
    )


def _refusal(reply: Reply, edit: Edit) -> RefusedError:
    faults = reply.problem().faults
    if faults:
        return FaultsError(edit.name, [fault.build() for fault in faults])
    return RefusedError(f"nothing was changed; {_summary(reply)}")


def _summary(reply: Reply) -> str:
    problem = reply.problem()
    return ": ".join(part for part in (problem.title, problem.detail) if part)
