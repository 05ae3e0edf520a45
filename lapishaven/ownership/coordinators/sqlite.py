"""The coordinator in a SQLite file, for the processes of one machine.

Clocks of different processes are never compared. Each session has a renewal count. A session has expired when some
process has observed the count unchanged for the session's time to live, on its own clock. That process ends the
session in a transaction that first checks the count again: a renewal before it keeps the session, one after it finds
the session gone.
"""

from __future__ import annotations

import sqlite3
from collections.abc import Iterator
from contextlib import contextmanager
from typing import NamedTuple

from lapishaven import sqlite
from lapishaven.lock_waits import ObserveLock, ignore_lock_use
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
from lapishaven.sqlite_file import SqliteFile

SCHEMA = """
create table if not exists meta (one integer primary key check (one = 1), revision integer not null);
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
BUSY_TIMEOUT_S = 1.0  # how long a call waits for other writers


class _RenewalCount(NamedTuple):
    renewals: int
    since: float


def _prepare_schema(connection: sqlite3.Connection) -> None:
    sqlite.script(connection, SCHEMA)
    if connection.execute("select 1 from meta").fetchone() is None:
        connection.execute("insert into meta values (1, 1)")


class SqliteCoordinator:
    """A coordinator in one file.

    A call that waits for other writers for more than ``busy_timeout_s`` raises ``CoordinatorError``. A file that is
    locked as the process starts is opened by a later call. ``observe_lock`` is told of each transaction's wait for the
    write lock.
    """

    def __init__(
        self,
        path: str,
        clock: Clock | None = None,
        busy_timeout_s: float = BUSY_TIMEOUT_S,
        observe_lock: ObserveLock = ignore_lock_use,
    ) -> None:
        self._file = SqliteFile(path, _prepare_schema, busy_timeout_s, observe_lock)
        self._clock = clock or SystemClock()
        self._renewal_counts: dict[int, _RenewalCount] = {}  # by session, as observed by this process
        try:
            self._file.try_open()
        except sqlite3.Error as error:
            raise CoordinatorError(f"{path}: {error}") from None

    @property
    def is_open(self) -> bool:
        """Whether the file has been opened; it is not while another process held it locked in all calls so far."""
        return self._file.is_open

    def join(self, record: MemberRecord, ttl: float) -> SessionGrant:
        """Open a session."""
        with self._reading():
            self._end_expired_sessions()
        with self._writing("join") as connection:
            if connection.execute("select 1 from session where name = ?", (record.name,)).fetchone() is not None:
                raise AlreadyOwnedError
            session = self._next_revision()
            connection.execute(
                "insert into session values (?, ?, ?, ?, ?, ?, 0)",
                (session, record.name, record.incarnation, record.state.value, record.weight, ttl),
            )
            (join_count,) = connection.execute(
                "insert into past values (?, 1) on conflict do update set joins = joins + 1 returning joins",
                (record.name,),
            ).fetchone()
        return SessionGrant(session, int(join_count))

    def renew(self, session: int) -> int:
        """Increment the session's renewal count; returns the revision."""
        with self._writing("renew") as connection:
            connection.execute("update session set count = count + 1 where id = ?", (session,))
            self._require_session(session)
        return self.read_revision()

    def read_revision(self) -> int:
        """Read the file's revision, after ending expired sessions."""
        with self._reading() as connection:
            self._end_expired_sessions()
            return _read_revision(connection)

    def announce(self, session: int, record: MemberRecord, stable: bool = False) -> None:
        """Replace the member's record."""
        with self._writing("announce") as connection:
            self._require_session(session)
            if stable:
                connection.execute("delete from past where name = ?", (record.name,))
            connection.execute(
                "update session set standing = ?, weight = ? where id = ?",
                (record.state.value, record.weight, session),
            )
            self._next_revision()

    def read_state(self) -> View:
        """Read the whole state, after ending expired sessions."""
        with self._reading() as connection:
            self._end_expired_sessions()
            connection.execute("begin")  # all reads see one snapshot of the file
            try:
                return View(
                    _read_revision(connection),
                    _read_members(connection),
                    _read_owners(connection),
                    _read_effect_counts(connection),
                )
            finally:
                connection.execute("commit")

    def claim(self, session: int, shard: Shard) -> int:
        """Take a shard that has no owner; returns its token."""
        with self._writing("claim") as connection:
            self._require_session(session)
            if _read_token(connection, shard) is not None:
                raise AlreadyOwnedError
            token = self._next_revision()
            connection.execute("insert into owner values (?, ?, ?, ?)", (*shard, token, session))
        return token

    def transfer(self, session: int, shard: Shard, token: int, successor: int | None) -> bool:
        """Transfer a shard to another session, or release it if there is no successor or its session has ended."""
        with self._writing("transfer") as connection:
            if _read_token(connection, shard) != token:
                return False
            new_token = self._next_revision()
            if successor is not None and self._is_alive(successor):
                connection.execute(
                    "update owner set token = ?, session = ? where duty = ? and shard = ?",
                    (new_token, successor, *shard),
                )
            else:
                connection.execute("delete from owner where duty = ? and shard = ?", shard)
        return True

    def record_effect_count(self, session: int, shard: Shard, token: int, effect_count: int) -> bool:
        """Store how many effects the shard's receiver holds; the count never decreases."""
        with self._writing("record effect count") as connection:
            if _read_token(connection, shard) != token:
                return False
            connection.execute(
                "insert into mark values (?, ?, ?) on conflict do update set held = max(held, excluded.held)",
                (*shard, effect_count),
            )
        return True

    def deregister(self, session: int) -> None:
        """End the session."""
        with self._writing("deregister"):
            self._require_session(session)
            self._end_session(session)

    def close(self) -> None:
        """Close the file."""
        self._file.close()

    # ---- Connection
    @contextmanager
    def _reading(self) -> Iterator[sqlite3.Connection]:
        try:
            yield self._file.connection
        except sqlite3.Error as error:
            raise CoordinatorError(f"call to the coordinator {self._file.path} failed: {error}") from None

    @contextmanager
    def _writing(self, kind: str) -> Iterator[sqlite3.Connection]:
        with self._reading(), self._file.writing(kind) as connection:
            yield connection

    # ---- Sessions
    def _next_revision(self) -> int:
        """Increment the file's revision. Tokens are revisions, so they only increase."""
        row = self._file.connection.execute("update meta set revision = revision + 1 returning revision").fetchone()
        return int(row[0])

    def _is_alive(self, session: int) -> bool:
        return self._file.connection.execute("select 1 from session where id = ?", (session,)).fetchone() is not None

    def _require_session(self, session: int) -> None:
        if not self._is_alive(session):
            raise SessionExpiredError

    def _end_session(self, session: int) -> None:
        self._file.connection.execute("delete from session where id = ?", (session,))
        self._file.connection.execute("delete from owner where session = ?", (session,))
        self._next_revision()

    def _end_expired_sessions(self) -> None:
        """End the sessions whose renewal count has not changed for their time to live."""
        expired = self._find_expired_sessions()
        if not expired:
            return
        with self._file.writing("end expired sessions"):
            for session, count in expired:
                row = self._file.connection.execute("select count from session where id = ?", (session,)).fetchone()
                if row is not None and row[0] == count:
                    self._end_session(session)

    def _find_expired_sessions(self) -> list[tuple[int, int]]:
        """Sessions that have expired by this process's clock, with the renewal count that it observed."""
        now = self._clock.now()
        expired: list[tuple[int, int]] = []
        observed: dict[int, _RenewalCount] = {}
        for session, count, ttl in self._file.connection.execute("select id, count, ttl from session").fetchall():
            renewal_count = self._renewal_counts.get(session)
            if renewal_count is None or renewal_count.renewals != count:
                renewal_count = _RenewalCount(count, now)
            elif now - renewal_count.since >= ttl:
                expired.append((session, count))
            observed[session] = renewal_count
        self._renewal_counts = observed
        return expired


def _read_revision(connection: sqlite3.Connection) -> int:
    return int(connection.execute("select revision from meta").fetchone()[0])


def _read_members(connection: sqlite3.Connection) -> tuple[ListedMember, ...]:
    rows = connection.execute("select id, name, start, standing, weight from session order by name")
    return tuple(
        ListedMember(session, MemberRecord(name, incarnation, MemberState(state), weight))
        for session, name, incarnation, state, weight in rows
    )


def _read_owners(connection: sqlite3.Connection) -> dict[Shard, ShardOwner]:
    rows = connection.execute("select duty, shard, session, token from owner")
    return {(duty, number): ShardOwner(session, token) for duty, number, session, token in rows}


def _read_effect_counts(connection: sqlite3.Connection) -> dict[Shard, int]:
    rows = connection.execute("select duty, shard, held from mark")
    return {(duty, number): int(effect_count) for duty, number, effect_count in rows}


def _read_token(connection: sqlite3.Connection, shard: Shard) -> int | None:
    """The token under which a shard is owned, None without an owner."""
    row = connection.execute("select token from owner where duty = ? and shard = ?", shard).fetchone()
    return int(row[0]) if row is not None else None
