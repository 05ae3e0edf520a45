"""SQLite connections in WAL mode: durable at each commit, reads concurrent with a writer, explicit transactions."""

from __future__ import annotations

import random
import sqlite3
import time
from collections.abc import Iterator
from contextlib import contextmanager, suppress

from lapishaven.lock_waits import LockUse, ObserveLock, ignore_lock_use

WAL_RETRY_INTERVAL_S = 0.01
LOCK_POLL_S = (0.02, 0.06)
DEFAULT_BUSY_TIMEOUT_S = 5.0  # as of ``sqlite3.connect``
MS_PER_S = 1000
PRIMARY_CODE_MASK = 0xFF  # an extended result code has the primary code in its low byte


def connect(path: str, busy_timeout_s: float) -> sqlite3.Connection:
    """Open a connection with WAL and synchronous=FULL, on which transactions are begun explicitly.

    ``busy_timeout_s`` is how long a call waits for other writers. Raises ``sqlite3.Error``.
    """
    connection = sqlite3.connect(path, timeout=busy_timeout_s, isolation_level=None, check_same_thread=False)
    try:
        _switch_to_wal(connection, busy_timeout_s)
        connection.execute("pragma synchronous = full")
    except BaseException:
        connection.close()
        raise
    return connection


def _switch_to_wal(connection: sqlite3.Connection, busy_timeout_s: float) -> None:
    """Switch to WAL, retrying while another connection switches the same new file.

    SQLite reports such a conflict at once, without waiting for the busy timeout.
    """
    deadline = time.monotonic() + busy_timeout_s
    while True:
        try:
            connection.execute("pragma journal_mode = wal")
            return
        except sqlite3.OperationalError as error:
            if not is_locked(error) or time.monotonic() >= deadline:
                raise
        time.sleep(WAL_RETRY_INTERVAL_S)


def is_locked(error: sqlite3.Error) -> bool:
    """Whether a call failed because another process held the file locked for longer than the busy timeout."""
    code = getattr(error, "sqlite_errorcode", 0) & PRIMARY_CODE_MASK
    return code in (sqlite3.SQLITE_BUSY, sqlite3.SQLITE_LOCKED, sqlite3.SQLITE_PROTOCOL)


def set_busy_timeout(connection: sqlite3.Connection, busy_timeout_s: float) -> None:
    """Set how long a call waits for other processes."""
    connection.execute(f"pragma busy_timeout = {round(busy_timeout_s * MS_PER_S)}")


def script(connection: sqlite3.Connection, statements: str) -> None:
    """Execute several statements within the open transaction; ``executescript`` would commit it first.

    Every statement except the last must end with a semicolon at the end of a line.
    """
    for statement in statements.split(";\n"):
        connection.execute(statement)


def _begin(connection: sqlite3.Connection, busy_timeout_s: float) -> None:
    """Take the write lock, which is asked for at random intervals for up to ``busy_timeout_s``.

    SQLite's own busy handler asks less often the longer it has waited, every 100 ms in the end, so that under steady
    contention those that wait longest are passed by all others. Here all that wait ask equally often, and rarely enough
    not to take the processor from the process that holds the lock.
    """
    deadline = time.monotonic() + busy_timeout_s
    set_busy_timeout(connection, 0.0)
    try:
        while True:
            try:
                connection.execute("begin immediate")
                return
            except sqlite3.OperationalError as error:
                if not is_locked(error) or time.monotonic() >= deadline:
                    raise
            time.sleep(random.uniform(*LOCK_POLL_S))
    finally:
        set_busy_timeout(connection, busy_timeout_s)


@contextmanager
def writing(
    connection: sqlite3.Connection,
    path: str = "",
    kind: str = "",
    observe: ObserveLock = ignore_lock_use,
    busy_timeout_s: float = DEFAULT_BUSY_TIMEOUT_S,
) -> Iterator[None]:
    """Run the block in a transaction (``BEGIN IMMEDIATE``); any exception rolls it back. Raises ``sqlite3.Error``.

    Waits up to ``busy_timeout_s`` for the write lock. ``observe`` is told how long the transaction waited for it and
    held it; ``path`` and ``kind`` name it.
    """
    began_at = time.monotonic()
    try:
        _begin(connection, busy_timeout_s)
    except sqlite3.Error:
        observe(LockUse(path, kind, time.monotonic() - began_at, None))
        raise
    locked_at = time.monotonic()
    try:
        yield
        connection.execute("commit")
    except BaseException:
        with suppress(sqlite3.Error):
            connection.execute("rollback")
        raise
    finally:
        observe(LockUse(path, kind, locked_at - began_at, time.monotonic() - locked_at))
