"""A receiver of effects in one SQLite file, behind the fence.

The fence's mark, the effect and its first answer are written in one transaction. Tables of effects are guarded by
triggers: a write to them outside ``Book.admit`` is refused by the file itself.
"""

from __future__ import annotations

import json
import sqlite3
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass
from typing import Any

from lapishaven import sqlite
from lapishaven.ownership.fence import Act, Mark, Verdict, judge, judge_unfenced, moved

VERSION = 1
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
BUSY = 5.0  # s for which a call waits for another writer


class FencedStoreError(Exception):
    """The receiver could not do it (disk full, I/O, busy, an act that makes no sense): nothing took effect."""


@dataclass(frozen=True, slots=True)
class Admission:
    """What became of an act. ``token`` is the one in force, ``held`` how many effects the shard has now."""

    verdict: Verdict
    token: int
    held: int
    answer: Any = None


Effect = Callable[[sqlite3.Connection, Any], Any]  # within the transaction; gives what is answered


@dataclass(frozen=True, slots=True)
class Plan:
    """What a duty keeps in a book: its tables, those that only the fence may write, and its effects by name."""

    schema: str
    guarded: tuple[str, ...]
    effects: Mapping[str, Effect]


def _guards(table: str) -> Iterator[str]:
    for verb in ("insert", "update", "delete"):
        yield (
            f"create trigger if not exists fence_{table}_{verb} before {verb} on {table} begin"
            " select raise(abort, 'not through the fence') where not exists (select 1 from fence_open); end"
        )


class FencedStore:
    """One file. Not to be shared by threads; processes may share the file. ``fenced=False`` is for measurements only:
    the baseline of leases without fences."""

    def __init__(self, path: str, plans: Mapping[str, Plan], busy: float = BUSY, fenced: bool = True) -> None:
        self._judge = judge if fenced else judge_unfenced
        self._effects = {name: effect for plan in plans.values() for name, effect in plan.effects.items()}
        try:
            self._base = sqlite.connect(path, busy)
            with sqlite.writing(self._base):
                there = self._base.execute("pragma user_version").fetchone()[0]
                if there > VERSION:
                    raise FencedStoreError(f"{path} is of schema {there}, newer than {VERSION}")
                sqlite.script(self._base, SCHEMA)
                for plan in plans.values():
                    sqlite.script(self._base, plan.schema)
                    for table in plan.guarded:
                        for guard in _guards(table):
                            self._base.execute(guard)
                self._base.execute(f"pragma user_version = {VERSION}")
        except sqlite3.Error as error:
            raise FencedStoreError(f"{path}: {error}") from None

    def admit(self, act: Act, effect: str, detail: Any) -> Admission:
        """Judge an act and, if it is admitted, let it take effect; all or nothing. ``BookError`` if it could not."""
        run = self._effects.get(effect)
        if run is None:
            raise FencedStoreError(f"no effect {effect!r}")
        duty, shard = act.shard
        try:
            with sqlite.writing(self._base):
                row = self._base.execute(
                    "select token, number, held from fence_mark where duty = ? and shard = ?", act.shard
                ).fetchone()
                mark = Mark(*row) if row else Mark()
                verdict = self._judge(mark, act)
                if verdict is Verdict.REPEAT:
                    first = self._base.execute(
                        "select answer from fence_log where duty = ? and shard = ? and token = ? and number = ?",
                        (duty, shard, act.token, act.number),
                    ).fetchone()
                    return Admission(verdict, mark.token, mark.held, json.loads(first[0]) if first else None)
                if verdict is not Verdict.ADMIT:
                    return Admission(verdict, mark.token, mark.held)
                self._base.execute("insert into fence_open values (1)")
                answer = run(self._base, detail)
                self._base.execute("delete from fence_open")
                new = moved(mark, act)
                self._base.execute(
                    "insert or replace into fence_mark values (?, ?, ?, ?, ?)",
                    (duty, shard, new.token, new.number, new.held),
                )
                self._base.execute(
                    "insert into fence_log (duty, shard, token, number, effect, detail, answer)"
                    " values (?, ?, ?, ?, ?, ?, ?)",
                    (duty, shard, act.token, act.number, effect, json.dumps(detail), json.dumps(answer)),
                )
                return Admission(verdict, new.token, new.held, answer)
        except (sqlite3.Error, LookupError, TypeError, ValueError) as error:
            raise FencedStoreError(f"{effect}: {error}") from None

    def note(self, work: Callable[[sqlite3.Connection], Any]) -> Any:
        """Write to tables that are not guarded (what members say of themselves), in one transaction."""
        try:
            with sqlite.writing(self._base):
                return work(self._base)
        except sqlite3.Error as error:
            raise FencedStoreError(str(error)) from None

    def read(self, query: str, values: tuple[Any, ...] = ()) -> list[tuple[Any, ...]]:
        try:
            return self._base.execute(query, values).fetchall()
        except sqlite3.Error as error:
            raise FencedStoreError(str(error)) from None

    def close(self) -> None:
        self._base.close()
