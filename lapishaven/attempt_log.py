"""The store of record: what was started and answered, kept beyond the process.

The event path only queues; a writer of the store's own puts batches away. A crash may lose the last batch.
PostgreSQL is not there: only SQLite is, behind the ``Store`` interface.
"""

from __future__ import annotations

import queue
import sqlite3
import threading
import time
from collections.abc import Callable
from contextlib import closing
from dataclasses import dataclass
from typing import Protocol

SCHEMA = """
create table if not exists record (
    at real not null, event text not null, handle text not null, class text not null,
    key text, team text, service text, detail text not null
);
create index if not exists record_key on record (event, class, key);
"""
QUEUE = 10_000  # entries that wait for the writer at most; more are counted as dropped, the path never waits


@dataclass(frozen=True, slots=True)
class LogEntry:
    """One line of record: a run that was started, or an answer."""

    event: str
    handle: str
    cls: str
    key: str | None
    team: str | None
    service: str | None
    detail: str


class AttemptLog(Protocol):
    """Where entries go."""

    def record(self, entry: LogEntry) -> None:
        """Queue an entry; never waits."""

    def started(self, span: float) -> list[tuple[str, str, float]]:
        """Class, key and age of keyed runs that were started in the last ``span`` seconds, oldest first."""

    def close(self) -> None:
        """Put away what is queued."""


class SqliteAttemptLog:
    """A store in one SQLite file."""

    def __init__(self, path: str, dropped: Callable[[], None], wall: Callable[[], float] = time.time) -> None:
        self._path, self._dropped, self._wall = path, dropped, wall
        with closing(sqlite3.connect(path)) as base:
            base.executescript(SCHEMA)
        self._queue: queue.Queue[tuple[float, LogEntry] | None] = queue.Queue(QUEUE)
        self._writer = threading.Thread(target=self._write, name="store", daemon=True)
        self._writer.start()

    def record(self, entry: LogEntry) -> None:
        try:
            self._queue.put_nowait((self._wall(), entry))
        except queue.Full:
            self._dropped()

    def started(self, span: float) -> list[tuple[str, str, float]]:
        now = self._wall()
        with closing(sqlite3.connect(self._path)) as base:
            rows = base.execute(
                "select class, key, max(at) from record"
                " where event in ('started', 'unrun') and key is not null and at > ?"
                " group by class, key having sum(iif(event = 'started', 1, -1)) > 0 order by max(at)",
                (now - span,),
            ).fetchall()
        return [(cls, key, max(0.0, now - at)) for cls, key, at in rows]

    def close(self) -> None:
        self._queue.put(None)
        self._writer.join()

    def _write(self) -> None:
        with closing(sqlite3.connect(self._path)) as base:
            while True:
                batch = [self._queue.get()]
                while not self._queue.empty():
                    batch.append(self._queue.get())
                rows = [
                    (at, e.event, e.handle, e.cls, e.key, e.team, e.service, e.detail) for at, e in filter(None, batch)
                ]
                try:
                    with base:
                        base.executemany("insert into record values (?, ?, ?, ?, ?, ?, ?, ?)", rows)
                except sqlite3.Error:
                    for _ in rows:
                        self._dropped()
                if None in batch:
                    return
