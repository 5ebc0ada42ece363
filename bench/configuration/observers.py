"""Observes through the API which revision each entry has applied.

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
ERROR_DELAY = timedelta(milliseconds=20)
CALL_TIMEOUT = timedelta(seconds=2)


@dataclass(frozen=True, slots=True)
class Regression:
    """An entry that served an older revision than it had served before."""

    entry: str
    before: int
    after: int


class RevisionObserver:
    """Polls every entry for the revision that it has applied.

    Each entry has its own thread with long polls, so a new revision is seen within
    milliseconds and every response in between is checked.

    :param entries: entries to poll.
    """

    def __init__(self, entries: Iterable[EntryProcess] = ()) -> None:
        self._entries = list(entries)
        self._seen: dict[str, dict[int, float]] = {}
        self._newest: dict[str, int] = {}
        self._regressions: list[Regression] = []
        self._changed = threading.Condition()
        self._stopped = threading.Event()
        self._threads: list[threading.Thread] = []

    def __enter__(self) -> Self:
        """Start polling."""
        for entry in self._entries:
            self.add(entry)
        return self

    def __exit__(self, *_exception: object) -> None:
        """Stop polling."""
        self._stopped.set()
        for thread in self._threads:
            thread.join()

    @property
    def regressions(self) -> list[Regression]:
        """All regressions seen so far."""
        return list(self._regressions)

    def add(self, entry: EntryProcess) -> None:
        """Poll ``entry`` too."""
        self._seen.setdefault(entry.name, {})
        thread = threading.Thread(target=self._poll, args=[entry], daemon=True)
        self._threads.append(thread)
        thread.start()

    def forget(self, name: str) -> None:
        """Stop waiting for the entry ``name``; its thread ends with the others."""
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
        """Wait until ``revision`` or a newer one is applied on all entries.

        :param names: entries to wait for; all by default.
        :returns: the time at which each entry first served it.
        :raises TimeoutError: if some entries have not applied it within ``limit``.
        """
        wanted = list(names if names is not None else self._seen)
        with self._changed:
            is_applied = self._changed.wait_for(
                lambda: all(self.newest(name) >= revision for name in wanted),
                limit.total_seconds(),
            )
        if not is_applied:
            behind = {
                name: self.newest(name)
                for name in wanted
                if self.newest(name) < revision
            }
            raise TimeoutError(f"revision {revision} is not applied on {behind}")
        return {name: self.seen_at(name, revision) for name in wanted}

    def _poll(self, entry: EntryProcess) -> None:
        client = Client(entry.address, CALL_TIMEOUT)
        while not self._stopped.is_set():
            try:
                revision = _fetch_revision(client, self.newest(entry.name))
            except (urllib3.exceptions.HTTPError, OSError):
                time.sleep(ERROR_DELAY.total_seconds())
                continue
            if revision is None:
                time.sleep(ERROR_DELAY.total_seconds())
                continue
            self._record(entry.name, revision)

    def _record(self, name: str, revision: int) -> None:
        with self._changed:
            known = self.newest(name)
            if revision < known:
                self._regressions.append(Regression(name, known, revision))
            if revision > known:
                if name in self._seen:
                    self._seen[name][revision] = time.monotonic()
                self._newest[name] = revision
                self._changed.notify_all()


def _fetch_revision(client: Client, known: int) -> int | None:
    """Return the applied revision, None if there is none yet."""
    wait = LONG_POLL // timedelta(milliseconds=1)
    response = client.call(
        "GET", f"/admin/v1/text?wait_ms={wait}", headers={"If-None-Match": f'"{known}"'}
    )
    tag = response.headers.get("ETag")
    return int(tag.strip('"')) if tag else None
