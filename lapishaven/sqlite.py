"""SQLite as this program uses it: durable at each commit, readers beside a writer, transactions whole or not at all."""

from __future__ import annotations

import sqlite3
import time
from collections.abc import Iterator
from contextlib import contextmanager, suppress

AGAIN = 0.01  # s between tries to turn a file to WAL


def connect(path: str, busy: float) -> sqlite3.Connection:
    """A connection with WAL and synchronous=FULL; ``busy`` in s is how long a call waits for other writers. Raises
    ``sqlite3.Error``. Transactions are begun by hand."""
    base = sqlite3.connect(path, timeout=busy, isolation_level=None, check_same_thread=False)
    try:
        _turn_to_wal(base, busy)
        base.execute("pragma synchronous = full")
    except BaseException:
        base.close()
        raise
    return base


def _turn_to_wal(base: sqlite3.Connection, busy: float) -> None:
    """The switch of a new file fails at once where another connection makes it, too: SQLite does not wait for that."""
    until = time.monotonic() + busy
    while True:
        try:
            base.execute("pragma journal_mode = wal")
            return
        except sqlite3.OperationalError as error:
            if error.sqlite_errorcode & 0xFF != sqlite3.SQLITE_BUSY or time.monotonic() >= until:
                raise
        time.sleep(AGAIN)


def script(base: sqlite3.Connection, statements: str) -> None:
    """Statements one after the other, within the transaction that is open (``executescript`` would commit it)."""
    for statement in statements.split(";\n"):
        base.execute(statement)


@contextmanager
def writing(base: sqlite3.Connection) -> Iterator[None]:
    """``BEGIN IMMEDIATE`` to commit; anything raised within rolls back. Raises ``sqlite3.Error``."""
    base.execute("begin immediate")
    try:
        yield
        base.execute("commit")
    except BaseException:
        with suppress(sqlite3.Error):
            base.execute("rollback")
        raise
