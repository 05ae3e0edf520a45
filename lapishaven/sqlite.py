"""SQLite as this program uses it: durable at each commit, readers beside a writer, explicit transactions."""

from __future__ import annotations

import sqlite3
import time
from collections.abc import Iterator
from contextlib import contextmanager, suppress

WAL_RETRY_INTERVAL_S = 0.01
PRIMARY_CODE_MASK = 0xFF  # of an extended result code


def connect(path: str, busy_timeout_s: float) -> sqlite3.Connection:
    """A connection with WAL and synchronous=FULL, on which transactions are begun explicitly.

    ``busy_timeout_s``: how long a call waits for other writers. Raises ``sqlite3.Error``.
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
    """Retry while another connection switches the same new file: SQLite fails at once then, whatever the timeout."""
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
    """Execute statements within the open transaction, which ``executescript`` would commit.

    Every statement but the last ends with a semicolon at the end of a line.
    """
    for statement in statements.split(";\n"):
        connection.execute(statement)


@contextmanager
def writing(connection: sqlite3.Connection) -> Iterator[None]:
    """A transaction from ``BEGIN IMMEDIATE`` to commit, rolled back by any exception. Raises ``sqlite3.Error``."""
    connection.execute("begin immediate")
    try:
        yield
        connection.execute("commit")
    except BaseException:
        with suppress(sqlite3.Error):
            connection.execute("rollback")
        raise
