"""The coordinator in a SQLite file, for the processes of one box.

No clock is compared between processes: a session has a count that grows with each renewal, and it is over when some
member has seen the count stand still for the session's time, on its own clock. It says so in a transaction that holds
only if the count still is what it saw: a renewal that comes first wins, one that comes later finds its session gone.
"""

from __future__ import annotations

import sqlite3
from collections.abc import Iterator
from contextlib import contextmanager

from lapishaven import sqlite
from lapishaven.ownership.model import (
    AlreadyOwned,
    Clock,
    CoordinatorError,
    Joined,
    MemberRecord,
    Owned,
    Seen,
    SessionGone,
    Shard,
    Standing,
    SystemClock,
    View,
)

SCHEMA = """
create table if not exists meta (one integer primary key check (one = 1), revision integer not null);
insert or ignore into meta values (1, 1);
create table if not exists session (
    id integer primary key, name text not null unique, start text not null, standing text not null,
    weight real not null, ttl real not null, count integer not null
);
create table if not exists past (name text primary key, joins integer not null) without rowid;
create table if not exists owner (
    duty text not null, shard integer not null, token integer not null, session integer not null,
    primary key (duty, shard)
) without rowid;
create index if not exists owner_session on owner (session);
create table if not exists mark (
    duty text not null, shard integer not null, held integer not null, primary key (duty, shard)
) without rowid
"""


class SqliteCoordinator:
    """``busy`` is how long, in s, a call waits for other processes before it gives up as unanswered."""

    def __init__(self, path: str, clock: Clock | None = None, busy: float = 1.0) -> None:
        self._clock = clock or SystemClock()
        self._watched: dict[int, tuple[int, float]] = {}  # session: its count, and since when it stands there
        self.calls = 0
        try:
            self._base = sqlite.connect(path, busy)
            with sqlite.writing(self._base):
                sqlite.script(self._base, SCHEMA)
        except sqlite3.Error as error:
            raise CoordinatorError(f"{path}: {error}") from None

    @contextmanager
    def _call(self, writes: bool = True) -> Iterator[sqlite3.Connection]:
        self.calls += 1
        try:
            if writes:
                with sqlite.writing(self._base):
                    yield self._base
            else:
                yield self._base
        except sqlite3.Error as error:
            raise CoordinatorError(str(error)) from None

    def _grow(self) -> int:
        """The next revision; tokens are revisions, so they only grow."""
        row = self._base.execute("update meta set revision = revision + 1 returning revision").fetchone()
        return int(row[0])

    def _alive(self, session: int) -> None:
        if self._base.execute("select 1 from session where id = ?", (session,)).fetchone() is None:
            raise SessionGone

    def _end(self, session: int) -> None:
        self._base.execute("delete from session where id = ?", (session,))
        self._base.execute("delete from owner where session = ?", (session,))
        self._grow()

    def _bury(self) -> None:
        """End the sessions whose count stood still for their time."""
        now, ripe = self._clock.now(), []
        rows = self._base.execute("select id, count, ttl from session").fetchall()
        for session, count, ttl in rows:
            seen = self._watched.get(session)
            if seen is None or seen[0] != count:
                self._watched[session] = count, now
            elif now - seen[1] >= ttl:
                ripe.append((session, count))
        there = {row[0] for row in rows}
        self._watched = {session: seen for session, seen in self._watched.items() if session in there}
        if not ripe:
            return
        with sqlite.writing(self._base):
            for session, count in ripe:
                found = self._base.execute("select count from session where id = ?", (session,)).fetchone()
                if found is not None and found[0] == count:
                    self._end(session)

    def join(self, card: MemberRecord, ttl: float) -> Joined:
        with self._call(False):
            self._bury()
        with self._call() as base:
            if base.execute("select 1 from session where name = ?", (card.name,)).fetchone() is not None:
                raise AlreadyOwned
            session = self._grow()
            base.execute(
                "insert into session values (?, ?, ?, ?, ?, ?, 0)",
                (session, card.name, card.start, card.standing.value, card.weight, ttl),
            )
            joins = base.execute(
                "insert into past values (?, 1) on conflict do update set joins = joins + 1 returning joins",
                (card.name,),
            ).fetchone()
        return Joined(session, int(joins[0]))

    def renew(self, session: int) -> int:
        with self._call() as base:
            base.execute("update session set count = count + 1 where id = ?", (session,))
            self._alive(session)
        return self.peek()

    def peek(self) -> int:
        with self._call(False) as base:
            self._bury()
            return int(base.execute("select revision from meta").fetchone()[0])

    def announce(self, session: int, card: MemberRecord, calm: bool = False) -> None:
        with self._call() as base:
            self._alive(session)
            if calm:
                base.execute("delete from past where name = ?", (card.name,))
            base.execute(
                "update session set standing = ?, weight = ? where id = ?", (card.standing.value, card.weight, session)
            )
            self._grow()

    def look(self) -> View:
        with self._call(False) as base:
            self._bury()
            base.execute("begin")  # one state of the file for all four
            try:
                revision = int(base.execute("select revision from meta").fetchone()[0])
                members = tuple(
                    Seen(row[0], MemberRecord(row[1], row[2], Standing(row[3]), row[4]))
                    for row in base.execute("select id, name, start, standing, weight from session order by name")
                )
                owners = {
                    (row[0], row[1]): Owned(row[2], row[3])
                    for row in base.execute("select duty, shard, session, token from owner")
                }
                marks = {(row[0], row[1]): int(row[2]) for row in base.execute("select duty, shard, held from mark")}
            finally:
                base.execute("commit")
        return View(revision, members, owners, marks)

    def claim(self, session: int, shard: Shard) -> int:
        with self._call() as base:
            self._alive(session)
            if base.execute("select 1 from owner where duty = ? and shard = ?", shard).fetchone() is not None:
                raise AlreadyOwned
            token = self._grow()
            base.execute("insert into owner values (?, ?, ?, ?)", (*shard, token, session))
        return token

    def hand(self, session: int, shard: Shard, token: int, to: int | None) -> bool:
        with self._call() as base:
            found = base.execute("select token from owner where duty = ? and shard = ?", shard).fetchone()
            if found is None or found[0] != token:
                return False
            new = self._grow()
            heir = base.execute("select 1 from session where id = ?", (to,)).fetchone() if to is not None else None
            if heir is None:
                base.execute("delete from owner where duty = ? and shard = ?", shard)
            else:
                base.execute("update owner set token = ?, session = ? where duty = ? and shard = ?", (new, to, *shard))
        return True

    def mark(self, session: int, shard: Shard, token: int, held: int) -> bool:
        with self._call() as base:
            found = base.execute("select token from owner where duty = ? and shard = ?", shard).fetchone()
            if found is None or found[0] != token:
                return False
            base.execute(
                "insert into mark values (?, ?, ?) on conflict do update set held = max(held, excluded.held)",
                (*shard, held),
            )
        return True

    def leave(self, session: int) -> None:
        with self._call():
            self._alive(session)
            self._end(session)

    def close(self) -> None:
        self._base.close()
