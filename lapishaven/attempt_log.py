"""The attempt log: what was started and answered, kept beyond the process.

The event loop only queues entries; a thread of the log's own writes them in batches (write-behind). A crash may lose
the last batch.
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
QUEUE_LIMIT = 10_000  # entries that wait for the writer at most; further ones are dropped, as the loop must not wait


@dataclass(frozen=True, slots=True)
class LogEntry:
    """One row of the log: a run that was started, or proven not to have run, or an answer."""

    event: str  # "started", "unrun" (started, but proven not to have run) or "answered"
    handle: str  # the attempt id
    cls: str  # name of its class
    key: str | None  # its idempotency key, where it has one
    team: str | None  # the team that it came from, where its protocol names one
    service: str | None  # the team's service, likewise
    detail: str  # the outcome or the kind of answer; empty for a start


class AttemptLog(Protocol):
    """Takes the entries."""

    def record(self, entry: LogEntry) -> None:
        """Queue an entry. Never blocks."""

    def started(self, span: float) -> list[tuple[str, str, float]]:
        """Class, key and age in seconds of runs with keys that started in the last ``span`` seconds, oldest first."""

    def close(self) -> None:
        """Write what is queued. Blocks until that is done."""


class SqliteAttemptLog:
    """An attempt log in one SQLite file."""

    def __init__(self, path: str, dropped: Callable[[], None], wall: Callable[[], float] = time.time) -> None:
        """Open or create the file at ``path``. Raises ``sqlite3.Error``.

        ``dropped`` is called for each entry that is lost, from the loop or from the writer's thread; ``wall`` gives
        the time in Unix seconds.
        """
        self._path = path
        self._dropped = dropped
        self._wall = wall
        with closing(sqlite3.connect(path)) as database:
            database.executescript(SCHEMA)
        # Entries with their times in Unix seconds; None ends the writer.
        self._queue: queue.Queue[tuple[float, LogEntry] | None] = queue.Queue(QUEUE_LIMIT)
        self._writer = threading.Thread(target=self._write, name="store", daemon=True)
        self._writer.start()

    def record(self, entry: LogEntry) -> None:
        """Queue an entry; it is dropped if the queue is full. Never blocks."""
        try:
            self._queue.put_nowait((self._wall(), entry))
        except queue.Full:
            self._dropped()

    def started(self, span: float) -> list[tuple[str, str, float]]:
        """Class, key and age in seconds of the runs with keys that started in the last ``span`` seconds, oldest first.

        Runs that were proven not to have run are left out. Blocks while it reads the file.
        """
        now = self._wall()
        with closing(sqlite3.connect(self._path)) as database:
            rows = database.execute(
                "select class, key, max(at) from record"
                " where event in ('started', 'unrun') and key is not null and at > ?"
                " group by class, key having sum(iif(event = 'started', 1, -1)) > 0 order by max(at)",
                (now - span,),
            ).fetchall()
        return [(cls, key, max(0.0, now - at)) for cls, key, at in rows]

    def close(self) -> None:
        """Write what is queued. Blocks until that is done."""
        self._queue.put(None)
        self._writer.join()

    def _write(self) -> None:
        """Write batches until the queue is closed."""
        with closing(sqlite3.connect(self._path)) as database:
            closed = False
            while not closed:
                batch = self._next_batch()
                closed = None in batch
                self._write_batch(database, [entry for entry in batch if entry is not None])

    def _next_batch(self) -> list[tuple[float, LogEntry] | None]:
        """Wait for an entry; it and all that are queued by then."""
        batch = [self._queue.get()]
        while not self._queue.empty():
            batch.append(self._queue.get())
        return batch

    def _write_batch(self, database: sqlite3.Connection, entries: list[tuple[float, LogEntry]]) -> None:
        """Write entries in one transaction; all are dropped if that fails."""
        rows = [
            (at, entry.event, entry.handle, entry.cls, entry.key, entry.team, entry.service, entry.detail)
            for at, entry in entries
        ]
        try:
            with database:
                database.executemany("insert into record values (?, ?, ?, ?, ?, ?, ?, ?)", rows)
        except sqlite3.Error:
            for _ in rows:
                self._dropped()
