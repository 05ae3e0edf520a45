"""The record's file: effects by key, and a ledger in two columns. Processes share it; each has its own ``Base``.

WAL and synchronous=FULL. Each group of operations is one transaction: all of it is durable, or none.
"""

from __future__ import annotations

import sqlite3
from collections.abc import Sequence
from dataclasses import dataclass

from lapishaven import sqlite
from lapishaven.ledger.transitions import Event, Row, Standing, Verdict, judge

VERSION = 1
BUSY = 1.0  # s for which a transaction waits for another server's
EFFECTS = """
create table if not exists effect (
    class text not null, key text not null, standing text not null, start text not null, since real not null,
    ended real, result blob not null default x'', customer text not null, words integer not null default 0,
    primary key (class, key)
) without rowid
"""
LEDGER = """
create table if not exists ledger (
    class text not null, key text not null, account text not null, words integer not null, at real not null,
    primary key (class, key, account)
) without rowid
"""
EARNED = "earned"  # the account beside every customer's


class LedgerError(Exception):
    """The file could not be read or written (busy, full, I/O, of a newer schema): nothing has changed."""


@dataclass(frozen=True, slots=True)
class Op:
    """One thing to be recorded. ``words`` is what a finished effect is charged to ``customer``."""

    event: Event
    cls: str
    key: str
    start: str
    at: float  # Unix seconds
    customer: str = ""
    result: bytes = b""
    words: int = 0


@dataclass(frozen=True, slots=True)
class Told:
    """What became of an operation; ``row`` is what was there before it."""

    verdict: Verdict
    row: Row


class LedgerDatabase:
    """``path`` is made where it is not there, and brought up to this schema; ``RecordError`` if that cannot be."""

    def __init__(self, path: str, busy: float = BUSY) -> None:
        self.path = path
        try:
            self._base = sqlite.connect(path, busy)
            self._migrate()
        except sqlite3.Error as error:
            raise LedgerError(f"{path}: {error}") from None

    def _migrate(self) -> None:
        """In one transaction, so that a kill leaves the old file or the new one."""
        with sqlite.writing(self._base):
            there = self._base.execute("pragma user_version").fetchone()[0]
            if there > VERSION:
                raise LedgerError(f"{self.path} is of schema {there}, newer than {VERSION}")
            if there == VERSION:
                return
            self._base.execute(EFFECTS)
            self._base.execute(LEDGER)
            old = self._base.execute("select 1 from sqlite_master where type = 'table' and name = 'record'")
            if old.fetchone() is not None:
                # The store before this one noted starts without their ends: each may have run.
                self._base.execute(
                    "insert or ignore into effect (class, key, standing, start, since, customer)"
                    " select class, key, 'spent', 'before', max(at), coalesce(max(team), '') from record"
                    " where event in ('started', 'unrun') and key is not null group by class, key"
                    " having sum(iif(event = 'started', 1, -1)) > 0"
                )
            self._base.execute(f"pragma user_version = {VERSION}")

    def _row(self, cls: str, key: str) -> Row:
        found = self._base.execute(
            "select standing, start, result from effect where class = ? and key = ?", (cls, key)
        ).fetchone()
        return Row(Standing(found[0]), found[1], found[2]) if found is not None else Row()

    def write(self, ops: Sequence[Op]) -> list[Told]:
        """Carry out operations in their order, in one durable transaction; ``RecordError`` if it could not be."""
        try:
            with sqlite.writing(self._base):
                return [self._one(op) for op in ops]
        except sqlite3.Error as error:
            raise LedgerError(str(error)) from None

    def _one(self, op: Op) -> Told:
        row = self._row(op.cls, op.key)
        verdict, standing = judge(row, op.event, op.start)
        if verdict is not Verdict.DO:
            return Told(verdict, row)
        name = op.cls, op.key
        if op.event is Event.INTEND:
            self._base.execute(
                "insert into effect (class, key, standing, start, since, customer) values (?, ?, ?, ?, ?, ?)",
                (*name, standing.value, op.start, op.at, op.customer),
            )
        elif op.event is Event.VOID:
            self._base.execute("delete from effect where class = ? and key = ?", name)
        else:
            self._base.execute(
                "update effect set standing = ?, ended = ?, result = ?, words = ? where class = ? and key = ?",
                (standing.value, op.at, op.result, op.words, *name),
            )
        if op.event is Event.FINISH:
            customer = self._base.execute("select customer from effect where class = ? and key = ?", name).fetchone()[0]
            for account, words in ((f"customer/{customer}", op.words), (EARNED, -op.words)):
                self._base.execute("insert into ledger values (?, ?, ?, ?, ?)", (*name, account, words, op.at))
        return Told(verdict, row)

    def read(self, query: str, values: tuple[object, ...] = ()) -> list[tuple[object, ...]]:
        try:
            return self._base.execute(query, values).fetchall()
        except sqlite3.Error as error:
            raise LedgerError(str(error)) from None

    def close(self) -> None:
        self._base.close()
