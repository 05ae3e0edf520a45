"""The attempt log: a durable record of the runs that were started and the answers that were sent.

The event loop only queues entries; a writer thread stores them in batches (write-behind). A crash may lose the last
batch.
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

from lapishaven import sqlite

SCHEMA = """
create table if not exists record (
    at real not null, event text not null, handle text not null, class text not null,
    key text, team text, service text, detail text not null
);
create index if not exists record_key on record (event, class, key);
"""
START_TIMEOUT_S = 0.2  # how long a starting process waits for a locked file before it goes on without it
WRITE_WAIT_S = 1.0  # how long one try of the writer waits for a locked file
QUEUE_LIMIT = 10_000  # entries waiting for the writer; further ones are dropped, as the event loop must not block


@dataclass(frozen=True, slots=True)
class LogEntry:
    """One row of the log: the start of a run, the proof that a started run never ran, or an answer."""

    event: str  # "started", "unrun" (reported as started, but proven never to have run) or "answered"
    handle: str  # the attempt id
    cls: str  # name of the request's class
    key: str | None  # idempotency key, if the request has one
    team: str | None  # team that sent the request, if the protocol names one
    service: str | None  # service of that team, if the protocol names one
    detail: str  # outcome or type of answer; empty for a start


@dataclass(frozen=True, slots=True)
class StartedRun:
    """A keyed run that was started and not proven to have had no effect."""

    class_name: str
    key: str
    age_s: float  # seconds since its start


class AttemptLogError(Exception):
    """The log could not be read, as it is locked or damaged. The text names the file."""


class AttemptLog(Protocol):
    """Records attempts and lists the recent ones."""

    def record(self, entry: LogEntry) -> None:
        """Queue an entry. Never blocks."""

    def started(self, window_s: float, timeout_s: float) -> list[StartedRun]:
        """The keyed runs that started in the last ``window_s`` seconds, oldest first.

        Blocks for at most ``timeout_s`` seconds if the log is locked. Raises ``AttemptLogError``.
        """

    def close(self) -> None:
        """Write all queued entries and stop the writer. Blocks until that is done."""


class SqliteAttemptLog:
    """An attempt log in a SQLite file."""

    def __init__(self, path: str, on_dropped: Callable[[], None], wall_clock: Callable[[], float] = time.time) -> None:
        """Open or create the file at ``path``; one that is locked is used once it is free. Raises ``sqlite3.Error``.

        ``on_dropped`` is called for each entry that is lost, on the event loop or on the writer thread;
        ``wall_clock`` gives the time in Unix seconds.
        """
        self._path = path
        self._on_dropped = on_dropped
        self._wall_clock = wall_clock
        try:
            with closing(sqlite3.connect(path, timeout=START_TIMEOUT_S)) as database:
                database.executescript(SCHEMA)
        except sqlite3.OperationalError as error:
            if not sqlite.is_locked(error):
                raise
        # Entries with the Unix time at which they were queued; None stops the writer.
        self._queue: queue.Queue[tuple[float, LogEntry] | None] = queue.Queue(QUEUE_LIMIT)
        self._closing = threading.Event()  # set once locked writes are no longer repeated
        self._writer = threading.Thread(target=self._write, name="store", daemon=True)
        self._writer.start()

    def record(self, entry: LogEntry) -> None:
        """Queue an entry, or drop it if the queue is full. Never blocks."""
        try:
            self._queue.put_nowait((self._wall_clock(), entry))
        except queue.Full:
            self._on_dropped()

    def started(self, window_s: float, timeout_s: float) -> list[StartedRun]:
        """The keyed runs that started in the last ``window_s`` seconds, oldest first.

        Runs that were proven never to have run are left out. Blocks for at most ``timeout_s`` seconds if the file is
        locked, and while it reads. Raises ``AttemptLogError``.
        """
        now = self._wall_clock()
        try:
            with closing(sqlite3.connect(self._path, timeout=timeout_s)) as database:
                database.executescript(SCHEMA)
                rows = database.execute(
                    "select class, key, max(at) from record"
                    " where event in ('started', 'unrun') and key is not null and at > ?"
                    " group by class, key having sum(iif(event = 'started', 1, -1)) > 0 order by max(at)",
                    (now - window_s,),
                ).fetchall()
        except sqlite3.Error as error:
            raise AttemptLogError(f"{self._path}: {error}") from None
        return [StartedRun(class_name, key, max(0.0, now - at)) for class_name, key, at in rows]

    def close(self) -> None:
        """Write all queued entries and stop the writer. Blocks until that is done."""
        self._closing.set()
        self._queue.put(None)
        self._writer.join()

    def _write(self) -> None:
        """Write batches until ``close`` is called. Runs on the writer thread."""
        with closing(sqlite3.connect(self._path, timeout=WRITE_WAIT_S)) as database:
            closed = False
            while not closed:
                batch = self._next_batch()
                closed = None in batch
                self._write_batch(database, [entry for entry in batch if entry is not None])

    def _next_batch(self) -> list[tuple[float, LogEntry] | None]:
        """Wait for an entry, then take all that are queued."""
        batch = [self._queue.get()]
        while not self._queue.empty():
            batch.append(self._queue.get())
        return batch

    def _write_batch(self, database: sqlite3.Connection, entries: list[tuple[float, LogEntry]]) -> None:
        """Write entries in one transaction; if it fails, all of them are dropped.

        While another process holds the file locked, the write is repeated until ``close`` is called.
        """
        rows = [
            (at, entry.event, entry.handle, entry.cls, entry.key, entry.team, entry.service, entry.detail)
            for at, entry in entries
        ]
        while True:
            try:
                database.executescript(SCHEMA)  # the file may have been locked as the process started
                with database:
                    database.executemany("insert into record values (?, ?, ?, ?, ?, ?, ?, ?)", rows)
                return
            except sqlite3.Error as error:
                if sqlite.is_locked(error) and not self._closing.is_set():
                    continue
                for _ in rows:
                    self._on_dropped()
                return
