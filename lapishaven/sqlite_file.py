"""A SQLite file that several processes share: opened when that needs no wait, else when it is first used.

A process must not end because another one holds the file locked as it starts. ``try_open`` therefore reports a locked
file instead of raising, and each later use opens the file if it is not open yet. A file whose schema is complete is
opened without the write lock, so that processes that start do not wait for those that write.
"""

from __future__ import annotations

import sqlite3
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from lapishaven import sqlite
from lapishaven.lock_waits import ObserveLock, ignore_lock_use

START_TIMEOUT_S = 0.2  # how long a starting process waits for a locked file before it goes on without it

PrepareSchema = Callable[[sqlite3.Connection], None]
"""Creates what is missing of the schema, in the open transaction. Executes nothing that writes if it is complete."""


class SqliteFile:
    """One connection to the file at ``path``. Used by one thread at a time.

    Parameters:
        path: the file, which is created if it does not exist.
        prepare_schema: creates what is missing of the schema.
        busy_timeout_s: how long a call waits for other writers.
        observe_lock: told of each transaction's wait for the write lock.
    """

    def __init__(
        self,
        path: str,
        prepare_schema: PrepareSchema,
        busy_timeout_s: float,
        observe_lock: ObserveLock = ignore_lock_use,
    ) -> None:
        self.path = path
        self._prepare_schema = prepare_schema
        self._busy_timeout_s = busy_timeout_s
        self._observe_lock = observe_lock
        self._connection: sqlite3.Connection | None = None

    @property
    def is_open(self) -> bool:
        """Whether the file has been opened."""
        return self._connection is not None

    def try_open(self, timeout_s: float = START_TIMEOUT_S) -> bool:
        """Open the file within ``timeout_s``; returns whether, as another process may hold it locked.

        Raises ``sqlite3.Error`` if the file cannot be used at all.
        """
        try:
            self._open(timeout_s)
        except sqlite3.OperationalError as error:
            if not sqlite.is_locked(error):
                raise
        return self.is_open

    @property
    def connection(self) -> sqlite3.Connection:
        """The connection, which is opened if it is not open yet. Raises ``sqlite3.Error``."""
        if self._connection is None:
            self._open(self._busy_timeout_s)
        assert self._connection is not None
        return self._connection

    @contextmanager
    def writing(self, kind: str) -> Iterator[sqlite3.Connection]:
        """Run the block in a transaction; any exception rolls it back. ``kind`` names it for the measurement of waits.

        Raises ``sqlite3.Error``.
        """
        connection = self.connection
        with sqlite.writing(connection, self.path, kind, self._observe_lock, self._busy_timeout_s):
            yield connection

    def close(self) -> None:
        """Close the connection, if it is open."""
        if self._connection is not None:
            self._connection.close()

    def _open(self, timeout_s: float) -> None:
        connection = sqlite.connect(self.path, timeout_s)
        try:
            if not self._has_schema(connection):
                with sqlite.writing(connection, self.path, "open", self._observe_lock, timeout_s):
                    self._prepare_schema(connection)
            sqlite.set_busy_timeout(connection, self._busy_timeout_s)
        except BaseException:
            connection.close()
            raise
        self._connection = connection

    def _has_schema(self, connection: sqlite3.Connection) -> bool:
        """Whether the schema is complete: creating it would write nothing."""
        connection.execute("pragma query_only = 1")
        try:
            self._prepare_schema(connection)
        except sqlite3.OperationalError as error:
            if error.sqlite_errorcode & sqlite.PRIMARY_CODE_MASK != sqlite3.SQLITE_READONLY:
                raise
            return False
        finally:
            connection.execute("pragma query_only = 0")
        return True
