"""SQLite connections in WAL mode: durable at each commit, reads concurrent with a writer, explicit transactions."""

from __future__ import annotations

import sqlite3
import time
from collections.abc import Iterator
from contextlib import contextmanager, suppress

from lapishaven.lock_waits import LockUse, ObserveLock, ignore_lock_use

WAL_RETRY_INTERVAL_S = 0.01
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
            is_busy = error.sqlite_errorcode & PRIMARY_CODE_MASK == sqlite3.SQLITE_BUSY
            if not is_busy or time.monotonic() >= deadline:
                raise
        time.sleep(WAL_RETRY_INTERVAL_S)


def script(connection: sqlite3.Connection, statements: str) -> None:
    """Execute several statements within the open transaction; ``executescript`` would commit it first.

    Every statement except the last must end with a semicolon at the end of a line.
    """
    for statement in statements.split(";\n"):
        connection.execute(statement)


@contextmanager
def writing(
    connection: sqlite3.Connection, path: str = "", kind: str = "", observe: ObserveLock = ignore_lock_use
) -> Iterator[None]:
    """Run the block in a transaction (``BEGIN IMMEDIATE``); any exception rolls it back. Raises ``sqlite3.Error``.

    ``observe`` is told how long the transaction waited for the write lock and held it; ``path`` and ``kind`` name it.
    """
    began_at = time.monotonic()
    try:
        connection.execute("begin immediate")
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
