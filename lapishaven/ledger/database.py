"""The ledger's SQLite file: effects by key, and charges in double-entry bookkeeping.

Servers share the file, each with its own connection, in WAL mode with synchronous=FULL. Each group of operations is one
transaction: all of it is durable, or none.
"""

from __future__ import annotations

import sqlite3
from collections.abc import Sequence
from dataclasses import dataclass

from lapishaven.ledger.transitions import Decision, EffectEvent, EffectRow, EffectState, decide
from lapishaven.lock_waits import ObserveLock, ignore_lock_use
from lapishaven.sqlite_file import SqliteFile

SCHEMA_VERSION = 1
BUSY_TIMEOUT_S = 1.0  # how long a transaction waits for another server's
REVENUE_ACCOUNT = "earned"  # the contra account of all customers' charges
EFFECT_SCHEMA = """
create table if not exists effect (
    class text not null, key text not null, standing text not null, start text not null, since real not null,
    ended real, result blob not null default x'', customer text not null, words integer not null default 0,
    digest blob, primary key (class, key)
) without rowid
"""
# Earlier versions did not keep the digest of the body. They read and write a table with this column as before, so that
# servers of both versions may share the file, and the schema version stays.
ADD_DIGEST = "alter table effect add column digest blob"
LEDGER_SCHEMA = """
create table if not exists ledger (
    class text not null, key text not null, account text not null, words integer not null, at real not null,
    primary key (class, key, account)
) without rowid
"""
# The attempt log has no results, so every start in it that was not cancelled counts as run without a result.
IMPORT_ATTEMPT_LOG = (
    "insert or ignore into effect (class, key, standing, start, since, customer)"
    " select class, key, 'spent', 'before', max(at), coalesce(max(team), '') from record"
    " where event in ('started', 'unrun') and key is not null group by class, key"
    " having sum(iif(event = 'started', 1, -1)) > 0"
)


class LedgerError(Exception):
    """The file could not be read or written (busy, full, I/O error, newer schema). Nothing has changed."""


@dataclass(frozen=True, slots=True)
class Operation:
    """One event to be recorded.

    Attributes:
        event: what happened.
        class_name: class of the request.
        key: its idempotency key.
        incarnation: identifies the start of the server that reports the event.
        at: Unix seconds.
        customer: customer to be charged; used for ``INTEND`` only.
        body_digest: digest of the body that the key stands for; used for ``INTEND`` only.
        result: result of the run; used for ``COMPLETE`` only.
        words: words that the customer is charged; used for ``COMPLETE`` only.
    """

    event: EffectEvent
    class_name: str
    key: str
    incarnation: str
    at: float
    customer: str = ""
    result: bytes = b""
    words: int = 0
    body_digest: bytes | None = None


@dataclass(frozen=True, slots=True)
class OperationOutcome:
    """The decision on an operation; ``row`` is the effect as stored before it."""

    decision: Decision
    row: EffectRow


def _prepare_schema(connection: sqlite3.Connection, path: str) -> None:
    """Create or upgrade the schema in one transaction, so that a kill leaves the old version or the new one."""
    version = connection.execute("pragma user_version").fetchone()[0]
    if version > SCHEMA_VERSION:
        raise LedgerError(
            f"cannot open ledger {path}: schema version {version} is newer than the supported {SCHEMA_VERSION}"
        )
    if version == SCHEMA_VERSION:
        if not _has_digests(connection):
            connection.execute(ADD_DIGEST)
        return
    connection.execute(EFFECT_SCHEMA)
    connection.execute(LEDGER_SCHEMA)
    if _has_attempt_log(connection):
        connection.execute(IMPORT_ATTEMPT_LOG)
    connection.execute(f"pragma user_version = {SCHEMA_VERSION}")


def _has_digests(connection: sqlite3.Connection) -> bool:
    columns = connection.execute("select 1 from pragma_table_info('effect') where name = 'digest'")
    return columns.fetchone() is not None


def _has_attempt_log(connection: sqlite3.Connection) -> bool:
    tables = connection.execute("select 1 from sqlite_master where type = 'table' and name = 'record'")
    return tables.fetchone() is not None


class LedgerDatabase:
    """One connection to the file at ``path``, which is created or migrated as needed.

    ``busy_timeout_s`` is how long a call waits for other writers. A file that another server holds locked is opened by
    a later call. Raises ``LedgerError`` if the file cannot be used at all. ``observe_lock`` is told of each
    transaction's wait for the write lock.
    """

    def __init__(
        self, path: str, busy_timeout_s: float = BUSY_TIMEOUT_S, observe_lock: ObserveLock = ignore_lock_use
    ) -> None:
        self._file = SqliteFile(
            path, lambda connection: _prepare_schema(connection, path), busy_timeout_s, observe_lock
        )
        try:
            self._file.try_open()
        except sqlite3.Error as error:
            raise LedgerError(f"cannot open ledger {path}: {error}") from None

    @property
    def path(self) -> str:
        """The path of the file."""
        return self._file.path

    @property
    def is_open(self) -> bool:
        """Whether the file has been opened; it is not while another server held it locked in all calls so far."""
        return self._file.is_open

    def write(self, operations: Sequence[Operation]) -> list[OperationOutcome]:
        """Apply operations in order, in one durable transaction. Raises ``LedgerError``."""
        try:
            with self._file.writing("write"):
                return [self._apply(operation) for operation in operations]
        except sqlite3.Error as error:
            raise LedgerError(f"cannot write {len(operations)} operations to ledger {self.path}: {error}") from None

    def _apply(self, operation: Operation) -> OperationOutcome:
        row = self._read_row(operation.class_name, operation.key)
        decision, next_state = decide(row, operation.event, operation.incarnation)
        if decision is not Decision.APPLY:
            return OperationOutcome(decision, row)
        if operation.event is EffectEvent.INTEND:
            self._insert_effect(operation, next_state)
        elif operation.event is EffectEvent.CANCEL:
            self._delete_effect(operation)
        else:
            self._end_effect(operation, next_state)
        if operation.event is EffectEvent.COMPLETE:
            self._charge(operation)
        return OperationOutcome(decision, row)

    def _read_row(self, class_name: str, key: str) -> EffectRow:
        found = self._file.connection.execute(
            "select standing, start, result, digest from effect where class = ? and key = ?", (class_name, key)
        ).fetchone()
        if found is None:
            return EffectRow()
        state, incarnation, result, body_digest = found
        return EffectRow(EffectState(state), incarnation, result, body_digest)

    def _insert_effect(self, operation: Operation, state: EffectState) -> None:
        self._file.connection.execute(
            "insert into effect (class, key, standing, start, since, customer, digest) values (?, ?, ?, ?, ?, ?, ?)",
            (
                operation.class_name,
                operation.key,
                state.value,
                operation.incarnation,
                operation.at,
                operation.customer,
                operation.body_digest,
            ),
        )

    def _delete_effect(self, operation: Operation) -> None:
        self._file.connection.execute(
            "delete from effect where class = ? and key = ?", (operation.class_name, operation.key)
        )

    def _end_effect(self, operation: Operation, state: EffectState) -> None:
        self._file.connection.execute(
            "update effect set standing = ?, ended = ?, result = ?, words = ? where class = ? and key = ?",
            (state.value, operation.at, operation.result, operation.words, operation.class_name, operation.key),
        )

    def _charge(self, operation: Operation) -> None:
        """Insert two entries that sum to 0. The primary key prevents a second charge of the same effect."""
        effect_id = operation.class_name, operation.key
        (customer,) = self._file.connection.execute(
            "select customer from effect where class = ? and key = ?", effect_id
        ).fetchone()
        entries = ((f"customer/{customer}", operation.words), (REVENUE_ACCOUNT, -operation.words))
        for account, words in entries:
            self._file.connection.execute(
                "insert into ledger values (?, ?, ?, ?, ?)", (*effect_id, account, words, operation.at)
            )

    def read(self, query: str, values: tuple[object, ...] = ()) -> list[tuple[object, ...]]:
        """Execute a query and return its rows. Raises ``LedgerError``."""
        try:
            return self._file.connection.execute(query, values).fetchall()
        except sqlite3.Error as error:
            raise LedgerError(f"cannot read ledger {self.path}: {error}") from None

    def close(self) -> None:
        """Close the connection."""
        self._file.close()
