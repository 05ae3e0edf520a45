"""Closing a settlement period: what every server served becomes one statement a team, exactly once.

``ConsumptionCollector`` is pure: what a server served since its last flush, as numbered rows. ``period_to_close`` says
which period a shard's owner closes next. The effect runs in the receiver's transaction, behind the fence. A row that
comes after its period was closed belongs to the next one that is open.
"""

from __future__ import annotations

import sqlite3
import zlib
from collections import Counter
from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

from lapishaven.ownership.fenced_store import DutySchema

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
WEIGHT_SCALE = 1000  # priority weights are stored in thousandths, as integers
MAX_STEP_INTERVAL_S = 1.0
STEPS_PER_PERIOD = 4


def shard_of(team: str, shards: int) -> int:
    """The shard that closes a team's periods; the same in every process."""
    return zlib.crc32(team.encode()) % shards


class ConsumptionRow(NamedTuple):
    """What one incarnation of a server served of one class to one team in one period; a row of ``consumption``."""

    server: str
    incarnation: str
    number: int
    """Grows within an incarnation."""
    team: str
    class_name: str
    period: int
    shard: int
    request_count: int
    weight: int
    """Sum of the priority weights, by ``WEIGHT_SCALE``."""


_Key = tuple[str, str, int]  # team, class, period: a plain tuple, as one is made for each request


class ConsumptionCollector:
    """What one incarnation of a server has served and not yet stored. Pure; ``period_length`` in seconds of wall
    time."""

    def __init__(self, server: str, incarnation: str, shards: int, period_length: float) -> None:
        self.server = server
        self.incarnation = incarnation
        self.shards = shards
        self.period_length = period_length
        self._last_number = 0
        self._counts: Counter[_Key] = Counter()
        self._weights: Counter[_Key] = Counter()
        self._rows: list[ConsumptionRow] = []  # numbered, until they are known to be stored

    def record(self, wall_time: float, team: str, class_name: str, weight: float) -> None:
        """One request was served."""
        key = team, class_name, int(wall_time // self.period_length)
        self._counts[key] += 1
        self._weights[key] += round(weight * WEIGHT_SCALE)

    def pending_rows(self) -> list[ConsumptionRow]:
        """All rows that are not known to be stored, with what was served since the last call."""
        for (team, class_name, period), count in sorted(self._counts.items()):
            self._last_number += 1
            row = ConsumptionRow(
                server=self.server,
                incarnation=self.incarnation,
                number=self._last_number,
                team=team,
                class_name=class_name,
                period=period,
                shard=shard_of(team, self.shards),
                request_count=count,
                weight=self._weights[team, class_name, period],
            )
            self._rows.append(row)
        self._counts.clear()
        self._weights.clear()
        return list(self._rows)

    def confirm(self, rows: Iterable[ConsumptionRow]) -> None:
        """These rows are stored durably."""
        stored = {row.number for row in rows}
        self._rows = [row for row in self._rows if row.number not in stored]


def insert_rows(base: sqlite3.Connection, rows: Iterable[ConsumptionRow]) -> None:
    """Store a server's rows; those that are there already are left as they are (the answer to a flush was lost)."""
    base.executemany("insert or ignore into consumption values (?, ?, ?, ?, ?, ?, ?, ?, ?)", list(rows))


def close_period(base: sqlite3.Connection, detail: Any) -> Any:
    """The effect ``close``: every row of a shard up to ``period`` that no statement has, summed by team. Answers the
    number of teams; a period that was closed before is left as it is."""
    shard = int(detail["shard"])
    period = int(detail["period"])
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
    row = base.execute("select count(*) from statement where shard = ? and period = ?", (shard, period)).fetchone()
    return {"teams": row[0]}


DUTY_SCHEMA = DutySchema(SCHEMA, ("statement", "statement_row", "period_closed"), {"close": close_period})


def period_to_close(wall_time: float, period_length: float, grace: float, last_closed: int | None) -> int | None:
    """The period to close now: the one after ``last_closed`` (without one, the newest that is over), ``grace`` seconds
    after its end. None if it is not over.

    The wall clock may step: forward it closes early and late rows go to the next period, backward it waits. No period
    is closed twice or left out, as the next one is always counted from what is closed.
    """
    newest = int((wall_time - grace) // period_length) - 1
    if last_closed is None:
        return newest
    return last_closed + 1 if last_closed < newest else None


class PeriodClosing:
    """The duty. ``last_closed`` and ``first_consumed`` read from the store the last period of a shard that was closed,
    and the first that something was served in."""

    name = "periods"

    def __init__(
        self,
        shards: int,
        period_length: float,
        grace: float,
        wall_clock: Callable[[], float],
        last_closed: Callable[[int], int | None],
        first_consumed: Callable[[int], int | None],
    ) -> None:
        self.shards = shards
        self._period_length = period_length
        self._grace = grace
        self._wall_clock = wall_clock
        self._last_closed = last_closed
        self._first_consumed = first_consumed

    def step(self, shard_number: int, apply_effect: Callable[[str, Any], Any], now: float) -> float:
        """Close the periods of a shard that are due."""
        interval = min(MAX_STEP_INTERVAL_S, self._period_length / STEPS_PER_PERIOD)
        last_closed = self._last_closed(shard_number)
        if last_closed is None:
            first_consumed = self._first_consumed(shard_number)
            if first_consumed is None:
                return interval  # nothing was ever served
            last_closed = first_consumed - 1
        while (period := self._period_to_close(last_closed)) is not None:
            apply_effect("close", {"shard": shard_number, "period": period})
            last_closed = period
        return interval

    def _period_to_close(self, last_closed: int) -> int | None:
        return period_to_close(self._wall_clock(), self._period_length, self._grace, last_closed)
