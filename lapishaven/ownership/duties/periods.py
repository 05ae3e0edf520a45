"""Closing a period: what every server served, in shared rows, becomes one statement a team, exactly once.

``Collector`` is pure: what a server served since its last flush, as numbered rows. ``due`` says which period a shard's
owner closes next. The effects run in the receiver's transaction, behind the fence. A row that comes after its period
was closed belongs to the next that is open.
"""

from __future__ import annotations

import sqlite3
import zlib
from collections import Counter
from collections.abc import Callable, Iterable
from typing import Any

from lapishaven.ownership.fenced_store import Plan

SCHEMA = """
create table if not exists consumption (
    server text not null, start text not null, number integer not null, team text not null, class text not null,
    period integer not null, shard integer not null, count integer not null, worth integer not null,
    primary key (server, start, number)
) without rowid;
create index if not exists consumption_shard on consumption (shard, period);
create table if not exists period_closed (
    shard integer not null, period integer not null, primary key (shard, period)
) without rowid;
create table if not exists statement (
    team text not null, period integer not null, shard integer not null, count integer not null, worth integer not null,
    primary key (team, period)
) without rowid;
create table if not exists statement_row (
    server text not null, start text not null, number integer not null, period integer not null,
    primary key (server, start, number)
) without rowid
"""
WORTH = 1000  # worth is kept in thousandths, as an integer


def shard_of(team: str, shards: int) -> int:
    """The shard that closes a team's periods; the same in every process."""
    return zlib.crc32(team.encode()) % shards


Row = tuple[str, str, int, str, str, int, int, int, int]


class Collector:
    """What one start of a server has served and not yet put into the book. Pure; ``period`` is in wall seconds."""

    def __init__(self, server: str, start: str, shards: int, period: float) -> None:
        self.server, self.start, self.shards, self.period = server, start, shards, period
        self._number = 0
        self._open: Counter[tuple[str, str, int]] = Counter()
        self._worth: Counter[tuple[str, str, int]] = Counter()
        self._rows: list[Row] = []  # numbered, until they are known to be in the book

    def served(self, wall: float, team: str, cls: str, worth: float) -> None:
        key = team, cls, int(wall // self.period)
        self._open[key] += 1
        self._worth[key] += round(worth * WORTH)

    def rows(self) -> list[Row]:
        """All rows that are to be put in the book; the same again until ``kept``."""
        for (team, cls, period), count in sorted(self._open.items()):
            self._number += 1
            self._rows.append(
                (
                    self.server,
                    self.start,
                    self._number,
                    team,
                    cls,
                    period,
                    shard_of(team, self.shards),
                    count,
                    self._worth[team, cls, period],
                )
            )
        self._open.clear()
        self._worth.clear()
        return list(self._rows)

    def kept(self, rows: Iterable[Row]) -> None:
        """These are in the book, durably."""
        gone = {row[2] for row in rows}
        self._rows = [row for row in self._rows if row[2] not in gone]


def add(base: sqlite3.Connection, rows: Iterable[Row]) -> None:
    """Put a server's rows in; those that are there already are left (a flush whose answer was lost)."""
    base.executemany("insert or ignore into consumption values (?, ?, ?, ?, ?, ?, ?, ?, ?)", list(rows))


def close(base: sqlite3.Connection, detail: Any) -> Any:
    """Close one period of a shard: every row up to it that no statement has, summed by team. Gives the teams."""
    shard, period = int(detail["shard"]), int(detail["period"])
    if base.execute("select 1 from period_closed where shard = ? and period = ?", (shard, period)).fetchone():
        return {"teams": 0, "again": True}
    base.execute("insert into period_closed values (?, ?)", (shard, period))
    base.execute(
        "insert into statement_row select server, start, number, ? from consumption c where shard = ? and period <= ?"
        " and not exists (select 1 from statement_row s"
        " where s.server = c.server and s.start = c.start and s.number = c.number)",
        (period, shard, period),
    )
    base.execute(
        "insert into statement select c.team, ?, ?, sum(c.count), sum(c.worth) from consumption c"
        " join statement_row s using (server, start, number) where s.period = ? and c.shard = ? group by c.team",
        (period, shard, period, shard),
    )
    found = base.execute("select count(*) from statement where shard = ? and period = ?", (shard, period)).fetchone()
    return {"teams": found[0]}


PLAN = Plan(SCHEMA, ("statement", "statement_row", "period_closed"), {"close": close})


def due(wall: float, period: float, grace: float, closed: int | None) -> int | None:
    """The period to close now: the one after ``closed`` (or the newest that is over), ``grace`` seconds after its end.

    The wall clock may step: forward it closes early and late rows go to the next, backward it waits. No period is
    closed twice or left out, as the next one is always counted from what is closed.
    """
    newest = int((wall - grace) // period) - 1
    if closed is None:
        return newest
    return closed + 1 if closed < newest else None


class Periods:
    """The duty: ``closed(shard)`` reads the last period that the book has closed."""

    name = "periods"

    def __init__(
        self,
        shards: int,
        period: float,
        grace: float,
        wall: Callable[[], float],
        closed: Callable[[int], int | None],
        oldest: Callable[[int], int | None],
    ) -> None:
        self.shards, self._period, self._grace, self._wall = shards, period, grace, wall
        self._closed, self._oldest = closed, oldest

    def step(self, number: int, act: Callable[[str, Any], Any], now: float) -> float:
        closed = self._closed(number)
        if closed is None and (oldest := self._oldest(number)) is not None:
            closed = oldest - 1  # from the first row on
        elif closed is None:
            return min(1.0, self._period / 4)  # nothing was ever served: nothing to close
        while (period := due(self._wall(), self._period, self._grace, closed)) is not None:
            act("close", {"shard": number, "period": period})
            closed = period
        return min(1.0, self._period / 4)
