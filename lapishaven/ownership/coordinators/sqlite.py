"""The coordinator in a SQLite file, for the processes of one machine.

No clock is compared between processes. A session has a count that grows with each renewal. It has expired when some
member has seen the count stand still for the session's time to live, on its own clock. That member ends it in a
transaction that holds only if the count still is what it saw: a renewal that comes first wins, one that comes later
finds its session gone.
"""

from __future__ import annotations

import sqlite3
from collections.abc import Iterator
from contextlib import contextmanager
from typing import NamedTuple

from lapishaven import sqlite
from lapishaven.ownership.model import (
    AlreadyOwnedError,
    Clock,
    CoordinatorError,
    ListedMember,
    MemberRecord,
    MemberState,
    SessionExpiredError,
    SessionGrant,
    Shard,
    ShardOwner,
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
BUSY_TIMEOUT_S = 1.0  # a call waits this long for other processes


class _RenewalCount(NamedTuple):
    renewals: int
    since: float


class SqliteCoordinator:
    """``busy_timeout`` in seconds; a call that waits for longer gives up as unanswered."""

    def __init__(self, path: str, clock: Clock | None = None, busy_timeout: float = BUSY_TIMEOUT_S) -> None:
        self._clock = clock or SystemClock()
        self._renewal_counts: dict[int, _RenewalCount] = {}  # by session, as this process has seen them
        try:
            self._base = sqlite.connect(path, busy_timeout)
            with sqlite.writing(self._base):
                sqlite.script(self._base, SCHEMA)
        except sqlite3.Error as error:
            raise CoordinatorError(f"{path}: {error}") from None

    def join(self, record: MemberRecord, ttl: float) -> SessionGrant:
        """Open a session."""
        with self._reading():
            self._end_expired_sessions()
        with self._writing() as base:
            if base.execute("select 1 from session where name = ?", (record.name,)).fetchone() is not None:
                raise AlreadyOwnedError
            session = self._next_revision()
            base.execute(
                "insert into session values (?, ?, ?, ?, ?, ?, 0)",
                (session, record.name, record.incarnation, record.state.value, record.weight, ttl),
            )
            (join_count,) = base.execute(
                "insert into past values (?, 1) on conflict do update set joins = joins + 1 returning joins",
                (record.name,),
            ).fetchone()
        return SessionGrant(session, int(join_count))

    def renew(self, session: int) -> int:
        """Count one more renewal; gives the revision."""
        with self._writing() as base:
            base.execute("update session set count = count + 1 where id = ?", (session,))
            self._require_session(session)
        return self.read_revision()

    def read_revision(self) -> int:
        """The file's revision; ends expired sessions first."""
        with self._reading() as base:
            self._end_expired_sessions()
            return _read_revision(base)

    def announce(self, session: int, record: MemberRecord, stable: bool = False) -> None:
        """Replace the member's record."""
        with self._writing() as base:
            self._require_session(session)
            if stable:
                base.execute("delete from past where name = ?", (record.name,))
            base.execute(
                "update session set standing = ?, weight = ? where id = ?",
                (record.state.value, record.weight, session),
            )
            self._next_revision()

    def read_state(self) -> View:
        """All that the file holds; ends expired sessions first."""
        with self._reading() as base:
            self._end_expired_sessions()
            base.execute("begin")  # all reads see one state of the file
            try:
                return View(_read_revision(base), _read_members(base), _read_owners(base), _read_effect_counts(base))
            finally:
                base.execute("commit")

    def claim(self, session: int, shard: Shard) -> int:
        """Take a shard that has no owner; gives its token."""
        with self._writing() as base:
            self._require_session(session)
            if _read_token(base, shard) is not None:
                raise AlreadyOwnedError
            token = self._next_revision()
            base.execute("insert into owner values (?, ?, ?, ?)", (*shard, token, session))
        return token

    def transfer(self, session: int, shard: Shard, token: int, successor: int | None) -> bool:
        """Give a shard to another session, or to nobody, also where the successor's session has ended."""
        with self._writing() as base:
            if _read_token(base, shard) != token:
                return False
            new_token = self._next_revision()
            if successor is not None and self._is_alive(successor):
                base.execute(
                    "update owner set token = ?, session = ? where duty = ? and shard = ?",
                    (new_token, successor, *shard),
                )
            else:
                base.execute("delete from owner where duty = ? and shard = ?", shard)
        return True

    def record_effect_count(self, session: int, shard: Shard, token: int, effect_count: int) -> bool:
        """Keep how many effects the shard's receiver holds; the count never falls."""
        with self._writing() as base:
            if _read_token(base, shard) != token:
                return False
            base.execute(
                "insert into mark values (?, ?, ?) on conflict do update set held = max(held, excluded.held)",
                (*shard, effect_count),
            )
        return True

    def deregister(self, session: int) -> None:
        """End the session."""
        with self._writing():
            self._require_session(session)
            self._end_session(session)

    def close(self) -> None:
        """Close the file."""
        self._base.close()

    # ---- Calls
    @contextmanager
    def _reading(self) -> Iterator[sqlite3.Connection]:
        try:
            yield self._base
        except sqlite3.Error as error:
            raise CoordinatorError(str(error)) from None

    @contextmanager
    def _writing(self) -> Iterator[sqlite3.Connection]:
        with self._reading() as base, sqlite.writing(base):
            yield base

    # ---- Sessions
    def _next_revision(self) -> int:
        """Count the file's revision up. Tokens are revisions, so they only grow."""
        row = self._base.execute("update meta set revision = revision + 1 returning revision").fetchone()
        return int(row[0])

    def _is_alive(self, session: int) -> bool:
        return self._base.execute("select 1 from session where id = ?", (session,)).fetchone() is not None

    def _require_session(self, session: int) -> None:
        if not self._is_alive(session):
            raise SessionExpiredError

    def _end_session(self, session: int) -> None:
        self._base.execute("delete from session where id = ?", (session,))
        self._base.execute("delete from owner where session = ?", (session,))
        self._next_revision()

    def _end_expired_sessions(self) -> None:
        """End the sessions whose renewal count has stood still for their time to live."""
        expired = self._find_expired_sessions()
        if not expired:
            return
        with sqlite.writing(self._base):
            for session, count in expired:
                row = self._base.execute("select count from session where id = ?", (session,)).fetchone()
                if row is not None and row[0] == count:
                    self._end_session(session)

    def _find_expired_sessions(self) -> list[tuple[int, int]]:
        """Sessions that have expired by this process's clock, with the renewal count that it saw."""
        now = self._clock.now()
        expired: list[tuple[int, int]] = []
        seen: dict[int, _RenewalCount] = {}
        for session, count, ttl in self._base.execute("select id, count, ttl from session").fetchall():
            renewal_count = self._renewal_counts.get(session)
            if renewal_count is None or renewal_count.renewals != count:
                renewal_count = _RenewalCount(count, now)
            elif now - renewal_count.since >= ttl:
                expired.append((session, count))
            seen[session] = renewal_count
        self._renewal_counts = seen
        return expired


def _read_revision(base: sqlite3.Connection) -> int:
    return int(base.execute("select revision from meta").fetchone()[0])


def _read_members(base: sqlite3.Connection) -> tuple[ListedMember, ...]:
    rows = base.execute("select id, name, start, standing, weight from session order by name")
    return tuple(
        ListedMember(session, MemberRecord(name, incarnation, MemberState(state), weight))
        for session, name, incarnation, state, weight in rows
    )


def _read_owners(base: sqlite3.Connection) -> dict[Shard, ShardOwner]:
    rows = base.execute("select duty, shard, session, token from owner")
    return {(duty, number): ShardOwner(session, token) for duty, number, session, token in rows}


def _read_effect_counts(base: sqlite3.Connection) -> dict[Shard, int]:
    rows = base.execute("select duty, shard, held from mark")
    return {(duty, number): int(effect_count) for duty, number, effect_count in rows}


def _read_token(base: sqlite3.Connection, shard: Shard) -> int | None:
    """The token under which a shard is owned; None without an owner."""
    row = base.execute("select token from owner where duty = ? and shard = ?", shard).fetchone()
    return int(row[0]) if row is not None else None
