"""Closes settlement periods: the consumption on all servers becomes one statement per team and period, exactly once.

``ConsumptionCollector`` (pure) turns what a server served since its last flush into numbered rows. ``period_to_close``
decides which period a shard's owner closes next. The effect runs in the receiver's transaction, behind the fence. A row
that arrives after its period was closed is included in the next open one.
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
    """The shard that closes a team's periods, the same in every process."""
    return zlib.crc32(team.encode()) % shards


class ConsumptionRow(NamedTuple):
    """Requests of one class that one incarnation of a server served to one team in one period; a row of
    ``consumption``."""

    server: str
    incarnation: str
    number: int
    """Increases within an incarnation."""
    team: str
    class_name: str
    period: int
    shard: int
    request_count: int
    weight: int
    """Sum of the priority weights, times ``WEIGHT_SCALE``."""


_Key = tuple[str, str, int]  # team, class, period; a plain tuple, as one is created per request


class ConsumptionCollector:
    """Consumption at one incarnation of a server that is not known to be stored. Pure."""

    def __init__(self, server: str, incarnation: str, shards: int, period_length_s: float) -> None:
        self.server = server
        self.incarnation = incarnation
        self.shards = shards
        self.period_length_s = period_length_s
        self._last_number = 0
        self._counts: Counter[_Key] = Counter()
        self._weights: Counter[_Key] = Counter()
        self._rows: list[ConsumptionRow] = []  # numbered and not known to be stored

    def record(self, wall_time: float, team: str, class_name: str, weight: float) -> None:
        """Count one request that was served."""
        key = team, class_name, int(wall_time // self.period_length_s)
        self._counts[key] += 1
        self._weights[key] += round(weight * WEIGHT_SCALE)

    def pending_rows(self) -> list[ConsumptionRow]:
        """All rows that are not known to be stored, including new ones for what was served since the last call."""
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
        """Drop rows that are stored durably."""
        stored = {row.number for row in rows}
        self._rows = [row for row in self._rows if row.number not in stored]


def insert_rows(connection: sqlite3.Connection, rows: Iterable[ConsumptionRow]) -> None:
    """Store a server's rows; rows that exist already, because the answer to a flush was lost, stay unchanged."""
    connection.executemany("insert or ignore into consumption values (?, ?, ?, ?, ?, ?, ?, ?, ?)", list(rows))


def close_period(connection: sqlite3.Connection, detail: Any) -> Any:
    """The effect ``close``: create statements, by team, from all rows of a shard up to ``period`` that are in no
    statement. Returns the number of teams; a period that was closed before stays unchanged."""
    shard = int(detail["shard"])
    period = int(detail["period"])
    if connection.execute("select 1 from period_closed where shard = ? and period = ?", (shard, period)).fetchone():
        return {"teams": 0, "again": True}
    connection.execute("insert into period_closed values (?, ?)", (shard, period))
    connection.execute(
        "insert into statement_row select server, start, number, ? from consumption c where shard = ? and period <= ?"
        " and not exists (select 1 from statement_row s"
        " where s.server = c.server and s.start = c.start and s.number = c.number)",
        (period, shard, period),
    )
    connection.execute(
        "insert into statement select c.team, ?, ?, sum(c.count), sum(c.worth) from consumption c"
        " join statement_row s using (server, start, number) where s.period = ? and c.shard = ? group by c.team",
        (period, shard, period, shard),
    )
    row = connection.execute(
        "select count(*) from statement where shard = ? and period = ?", (shard, period)
    ).fetchone()
    return {"teams": row[0]}


DUTY_SCHEMA = DutySchema(SCHEMA, ("statement", "statement_row", "period_closed"), {"close": close_period})


def period_to_close(wall_time: float, period_length_s: float, grace_s: float, last_closed: int | None) -> int | None:
    """The period to close now: the one after ``last_closed``, without one the newest that has ended. None if it has not
    been over for ``grace_s``.

    The wall clock may step. After a step forward periods close early, and their late rows go to the next period; after
    a step backward closing waits. No period is closed twice or skipped, as the next one follows from ``last_closed``.
    """
    newest = int((wall_time - grace_s) // period_length_s) - 1
    if last_closed is None:
        return newest
    return last_closed + 1 if last_closed < newest else None


class PeriodClosing:
    """The duty. ``last_closed`` and ``first_consumed`` read from the store a shard's last closed period, and its first
    period with consumption."""

    name = "periods"

    def __init__(
        self,
        shards: int,
        period_length_s: float,
        grace_s: float,
        wall_clock: Callable[[], float],
        last_closed: Callable[[int], int | None],
        first_consumed: Callable[[int], int | None],
    ) -> None:
        self.shards = shards
        self._period_length_s = period_length_s
        self._grace_s = grace_s
        self._wall_clock = wall_clock
        self._last_closed = last_closed
        self._first_consumed = first_consumed

    def step(self, shard_number: int, apply_effect: Callable[[str, Any], Any], now: float) -> float:
        """Close the periods of a shard that are due."""
        interval = min(MAX_STEP_INTERVAL_S, self._period_length_s / STEPS_PER_PERIOD)
        last_closed = self._last_closed(shard_number)
        if last_closed is None:
            first_consumed = self._first_consumed(shard_number)
            if first_consumed is None:
                return interval  # no consumption yet
            last_closed = first_consumed - 1
        while (period := self._period_to_close(last_closed)) is not None:
            apply_effect("close", {"shard": shard_number, "period": period})
            last_closed = period
        return interval

    def _period_to_close(self, last_closed: int) -> int | None:
        return period_to_close(self._wall_clock(), self._period_length_s, self._grace_s, last_closed)
