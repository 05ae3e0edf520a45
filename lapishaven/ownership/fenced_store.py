"""A receiver of effects in a SQLite file, protected by the fence.

The high-water mark, the effect and its first answer are written in one transaction. Triggers guard the tables that
effects write: SQLite itself rejects a write to them outside ``FencedStore.admit``.
"""

from __future__ import annotations

import json
import sqlite3
from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import dataclass
from typing import Any

from lapishaven import sqlite
from lapishaven.lock_waits import ObserveLock, ignore_lock_use
from lapishaven.ownership.fence import EffectRequest, HighWaterMark, Verdict, advance, judge, judge_unfenced
from lapishaven.ownership.model import Shard
from lapishaven.sqlite_file import SqliteFile

SCHEMA_VERSION = 1
# ``fence_open`` has a row only within a transaction that applies an effect; the triggers allow writes only then.
SCHEMA = """
create table if not exists fence_mark (
    duty text not null, shard integer not null, token integer not null, number integer not null,
    held integer not null, primary key (duty, shard)
) without rowid;
create table if not exists fence_log (
    position integer primary key autoincrement, duty text not null, shard integer not null, token integer not null,
    number integer not null, effect text not null, detail text not null, answer text not null,
    unique (duty, shard, token, number)
);
create table if not exists fence_open (one integer primary key check (one = 1));
"""
BUSY_TIMEOUT_S = 5.0  # how long a call waits for another writer


class FencedStoreError(Exception):
    """A call to the receiver failed (disk full, I/O error, busy, unknown effect) and nothing was written.

    From a ``RemoteReceiver`` it may also mean that no answer came; the effect may then have been applied.
    """


@dataclass(frozen=True, slots=True)
class Admission:
    """Result of a request."""

    verdict: Verdict
    token: int
    """The fencing token in force."""
    effect_count: int
    """Number of effects applied to the shard so far."""
    answer: Any = None
    """The effect's answer, the first one for a repeat; JSON."""


Effect = Callable[[sqlite3.Connection, Any], Any]
"""Applies one effect within the transaction, given its detail; returns its answer. Both are JSON values."""


@dataclass(frozen=True, slots=True)
class DutySchema:
    """Tables and effects of a duty in a store."""

    schema: str
    """SQL that creates its tables."""
    guarded_tables: tuple[str, ...]
    """Tables that only effects may write."""
    effects: Mapping[str, Effect]
    """Its effects by name."""


def _guard_triggers(table: str) -> Iterator[str]:
    for verb in ("insert", "update", "delete"):
        yield (
            f"create trigger if not exists fence_{table}_{verb} before {verb} on {table} begin"
            " select raise(abort, 'not through the fence') where not exists (select 1 from fence_open); end"
        )


def _prepare_schema(connection: sqlite3.Connection, path: str, duty_schemas: Iterable[DutySchema]) -> None:
    version = connection.execute("pragma user_version").fetchone()[0]
    if version > SCHEMA_VERSION:
        raise FencedStoreError(
            f"cannot open the store {path}: its schema version {version} is newer than {SCHEMA_VERSION},"
            " the newest that this program supports"
        )
    sqlite.script(connection, SCHEMA)
    for duty in duty_schemas:
        sqlite.script(connection, duty.schema)
        for table in duty.guarded_tables:
            for trigger in _guard_triggers(table):
                connection.execute(trigger)
    if version != SCHEMA_VERSION:
        connection.execute(f"pragma user_version = {SCHEMA_VERSION}")


class FencedStore:
    """A store in one file, which processes may share. Not thread-safe: one thread at a time may use an instance.

    A file that is locked as the process starts is opened by a later call.

    ``fenced=False`` is for measurements only: the baseline of leases without fencing. ``observe_lock`` is told of each
    transaction's wait for the write lock.
    """

    def __init__(
        self,
        path: str,
        duty_schemas: Mapping[str, DutySchema],
        busy_timeout_s: float = BUSY_TIMEOUT_S,
        fenced: bool = True,
        observe_lock: ObserveLock = ignore_lock_use,
    ) -> None:
        schemas = tuple(duty_schemas.values())
        self._file = SqliteFile(
            path, lambda connection: _prepare_schema(connection, path, schemas), busy_timeout_s, observe_lock
        )
        self._judge = judge if fenced else judge_unfenced
        self._effects = {name: effect for duty in schemas for name, effect in duty.effects.items()}
        try:
            self._file.try_open()
        except sqlite3.Error as error:
            raise FencedStoreError(f"cannot open the store {path}: {error}") from None

    @property
    def is_open(self) -> bool:
        """Whether the file has been opened; it is not while another process held it locked in all calls so far."""
        return self._file.is_open

    def admit(self, request: EffectRequest, effect: str, detail: Any) -> Admission:
        """Judge a request and, if it is admitted, apply its effect, in one transaction. Raises ``FencedStoreError`` if
        that failed."""
        apply = self._effects.get(effect)
        if apply is None:
            raise FencedStoreError(f"no effect {effect!r}")
        try:
            with self._file.writing("admit"):
                mark = self._read_mark(request.shard)
                verdict = self._judge(mark, request)
                if verdict is Verdict.REPEAT:
                    return Admission(verdict, mark.token, mark.effect_count, self._first_answer(request))
                if verdict is not Verdict.ADMIT:
                    return Admission(verdict, mark.token, mark.effect_count)
                self._file.connection.execute("insert into fence_open values (1)")
                answer = apply(self._file.connection, detail)
                self._file.connection.execute("delete from fence_open")
                new_mark = advance(mark, request)
                self._write_mark(request.shard, new_mark)
                self._log_effect(request, effect, detail, answer)
                return Admission(verdict, new_mark.token, new_mark.effect_count, answer)
        except (sqlite3.Error, LookupError, TypeError, ValueError) as error:
            raise FencedStoreError(f"{effect}: {error}") from None

    def _read_mark(self, shard: Shard) -> HighWaterMark:
        row = self._file.connection.execute(
            "select token, number, held from fence_mark where duty = ? and shard = ?", shard
        ).fetchone()
        return HighWaterMark(*row) if row else HighWaterMark()

    def _write_mark(self, shard: Shard, mark: HighWaterMark) -> None:
        self._file.connection.execute(
            "insert or replace into fence_mark values (?, ?, ?, ?, ?)",
            (*shard, mark.token, mark.number, mark.effect_count),
        )

    def _first_answer(self, request: EffectRequest) -> Any:
        row = self._file.connection.execute(
            "select answer from fence_log where duty = ? and shard = ? and token = ? and number = ?",
            (*request.shard, request.token, request.number),
        ).fetchone()
        return json.loads(row[0]) if row else None

    def _log_effect(self, request: EffectRequest, effect: str, detail: Any, answer: Any) -> None:
        self._file.connection.execute(
            "insert into fence_log (duty, shard, token, number, effect, detail, answer) values (?, ?, ?, ?, ?, ?, ?)",
            (*request.shard, request.token, request.number, effect, json.dumps(detail), json.dumps(answer)),
        )

    def write(self, work: Callable[[sqlite3.Connection], Any]) -> Any:
        """Run ``work`` in one transaction, for writes to tables that are not guarded (reports of members)."""
        try:
            with self._file.writing("report"):
                return work(self._file.connection)
        except sqlite3.Error as error:
            raise FencedStoreError(
                f"cannot write to the store {self._file.path}, nothing was written: {error}"
            ) from None

    def read(self, query: str, values: tuple[Any, ...] = ()) -> list[tuple[Any, ...]]:
        """Run a query and return all rows."""
        try:
            return self._file.connection.execute(query, values).fetchall()
        except sqlite3.Error as error:
            raise FencedStoreError(f"cannot read from the store {self._file.path}: {error}") from None

    def close(self) -> None:
        """Close the file."""
        self._file.close()
