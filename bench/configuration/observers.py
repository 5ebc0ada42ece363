"""Watches from outside which revision is in force on each entry.

Usage::

    with RevisionObserver(fleet.entries) as observer:
        ...
        observer.wait_for(revision, timedelta(seconds=5))
    assert not observer.regressions
"""

import threading
import time
from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta
from typing import Self

import urllib3

from standins.clients import Client
from standins.processes import EntryProcess

LONG_POLL = timedelta(milliseconds=250)
ERROR_PAUSE = timedelta(milliseconds=20)
CALL_LIMIT = timedelta(seconds=2)


@dataclass(frozen=True, slots=True)
class Regression:
    """An entry that served an older revision than it had served before."""

    entry: str
    before: int
    after: int


class RevisionObserver:
    """Asks every entry all the time which revision is in force on it.

    Each entry has a thread with a long poll of its own, so a new revision is
    seen within milliseconds and every answer in between is checked.

    :param entries: entries to ask.
    """

    def __init__(self, entries: Iterable[EntryProcess] = ()) -> None:
        self._entries = list(entries)
        self._seen: dict[str, dict[int, float]] = {}
        self._newest: dict[str, int] = {}
        self._regressions: list[Regression] = []
        self._changed = threading.Condition()
        self._ended = threading.Event()
        self._threads: list[threading.Thread] = []

    def __enter__(self) -> Self:
        """Begin to ask."""
        for entry in self._entries:
            self.add(entry)
        return self

    def __exit__(self, *_exception: object) -> None:
        """Stop asking."""
        self._ended.set()
        for thread in self._threads:
            thread.join()

    @property
    def regressions(self) -> list[Regression]:
        """Every step back that was seen."""
        return list(self._regressions)

    def add(self, entry: EntryProcess) -> None:
        """Ask ``entry`` too."""
        self._seen.setdefault(entry.name, {})
        thread = threading.Thread(target=self._ask_on, args=[entry], daemon=True)
        self._threads.append(thread)
        thread.start()

    def forget(self, name: str) -> None:
        """Wait no more for the entry ``name``; its thread ends with the others."""
        with self._changed:
            self._seen.pop(name, None)

    def newest(self, entry: str) -> int:
        """Return the newest revision seen on ``entry``, 0 if none."""
        return self._newest.get(entry, 0)

    def seen_at(self, entry: str, revision: int) -> float | None:
        """Return the time at which ``entry`` first served ``revision`` or newer."""
        times = [at for each, at in self._seen[entry].items() if each >= revision]
        return min(times, default=None)

    def wait_for(
        self, revision: int, limit: timedelta, names: Iterable[str] | None = None
    ) -> dict[str, float]:
        """Wait until ``revision`` or a newer one is in force on all entries.

        :param names: entries to wait for; all by default.
        :returns: the time at which each entry first served it.
        :raises TimeoutError: if some lack it after ``limit``.
        """
        wanted = list(names if names is not None else self._seen)
        with self._changed:
            done = self._changed.wait_for(
                lambda: all(self.newest(name) >= revision for name in wanted),
                limit.total_seconds(),
            )
        if not done:
            behind = {
                name: self.newest(name)
                for name in wanted
                if self.newest(name) < revision
            }
            raise TimeoutError(f"revision {revision} is not in force on {behind}")
        return {name: self.seen_at(name, revision) for name in wanted}

    def _ask_on(self, entry: EntryProcess) -> None:
        client = Client(entry.address, CALL_LIMIT)
        while not self._ended.is_set():
            try:
                revision = _ask(client, self.newest(entry.name))
            except (urllib3.exceptions.HTTPError, OSError):
                time.sleep(ERROR_PAUSE.total_seconds())
                continue
            if revision is None:
                time.sleep(ERROR_PAUSE.total_seconds())
                continue
            self._note(entry.name, revision)

    def _note(self, name: str, revision: int) -> None:
        with self._changed:
            known = self.newest(name)
            if revision < known:
                self._regressions.append(Regression(name, known, revision))
            if revision > known:
                if name in self._seen:
                    self._seen[name][revision] = time.monotonic()
                self._newest[name] = revision
                self._changed.notify_all()


def _ask(client: Client, known: int) -> int | None:
    """Return the revision in force, None if there is none yet."""
    wait = LONG_POLL // timedelta(milliseconds=1)
    response = client.call(
        "GET", f"/admin/v1/text?wait_ms={wait}", headers={"If-None-Match": f'"{known}"'}
    )
    tag = response.headers.get("ETag")
    return int(tag.strip('"')) if tag else None
