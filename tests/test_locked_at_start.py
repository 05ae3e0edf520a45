"""A shared SQLite file that another process holds locked as a process starts: it waits for it, and does not end.

``EXCLUSIVE`` on a new file keeps out readers too; ``IMMEDIATE`` on one in WAL mode keeps out writers.
"""

from __future__ import annotations

import asyncio
import sqlite3
from collections.abc import Iterator
from contextlib import ExitStack, closing, contextmanager
from pathlib import Path

import pytest

from lapishaven.lab.field import ProcessHarness
from lapishaven.lab.field.member_process import MemberGroup
from lapishaven.lab.field.tier import Call, Tier
from lapishaven.ledger.database import LedgerDatabase
from lapishaven.ownership.coordinators.sqlite import SqliteCoordinator
from lapishaven.ownership.fenced_store import FencedStore
from lapishaven.ownership.model import CoordinatorError, MemberRecord
from lapishaven.ownership.participant import DUTY_SCHEMAS

SHARED_FILES = ("lease.db", "book.db", "record.db")


@contextmanager
def locked(path: Path, mode: str = "exclusive") -> Iterator[None]:
    """Hold a file locked, as a process does that was stopped within a transaction."""
    connection = sqlite3.connect(path, isolation_level=None)
    connection.execute(f"begin {mode}")
    try:
        yield
    finally:
        connection.execute("rollback")
        connection.close()


def test_a_coordinator_opens_beside_a_writer_and_waits_for_an_exclusive_lock(tmp_path: Path) -> None:
    """Guards the open: it took the write lock though nothing was to be written, and raised when that took over 1 s."""
    path = tmp_path / "lease.db"
    with locked(path):
        early = SqliteCoordinator(str(path), busy_timeout_s=0.05)
        assert not early.is_open
        with pytest.raises(CoordinatorError, match="lease.db failed: database is locked"):
            early.read_revision()
    session = early.join(MemberRecord("a", "a:1"), 3.0).session
    with locked(path, "immediate"):
        late = SqliteCoordinator(str(path), busy_timeout_s=0.05)
        assert late.is_open and [member.record.name for member in late.read_state().members] == ["a"]
        FencedStore(str(tmp_path / "book.db"), DUTY_SCHEMAS).close()
    assert late.renew(session) > 0


def test_a_store_and_a_ledger_open_beside_a_writer(tmp_path: Path) -> None:
    """Guards the other files that processes share: their open took the write lock as well."""
    store_path, ledger_path = tmp_path / "book.db", tmp_path / "record.db"
    FencedStore(str(store_path), DUTY_SCHEMAS).close()
    LedgerDatabase(str(ledger_path)).close()
    with locked(store_path, "immediate"), locked(ledger_path, "immediate"):
        assert FencedStore(str(store_path), DUTY_SCHEMAS).is_open
        assert LedgerDatabase(str(ledger_path)).is_open
    with locked(tmp_path / "new.db"):
        ledger = LedgerDatabase(str(tmp_path / "new.db"))
        assert not ledger.is_open
    assert ledger.write([]) == [] and ledger.is_open


def test_a_file_that_is_no_database_is_still_an_error(tmp_path: Path) -> None:
    """Guards against waiting for a file that can never be opened."""
    path = tmp_path / "lease.db"
    path.write_bytes(b"not a database" * 100)
    with pytest.raises(CoordinatorError, match="file is not a database"):
        SqliteCoordinator(str(path))


def test_members_that_start_while_the_coordinators_file_is_locked_join_afterwards() -> None:
    """Guards the start of a member: a lock of over 1 s ended the process."""
    with ProcessHarness() as harness:
        group = MemberGroup(harness, "sqlite")
        with locked(harness.folder / "lease.db"):
            members = [group.start(f"m{n}", shards=4) for n in range(4)]
            for who in members:
                harness.wait_for_event("doubt", who=who)  # its first call has waited in vain
        for who in members:
            harness.wait_for_event("acked", who=who)
        group.assert_no_violation()


def test_servers_start_and_serve_while_their_shared_files_are_locked(tmp_path: Path) -> None:
    """Guards the start of a server: with a locked ledger, lease file or store it ended with exit code 2."""
    ownership, record = tmp_path / "ownership.toml", tmp_path / "record.toml"
    ownership.write_text(
        f'[coordinator]\nfile = "{tmp_path}/lease.db"\n[receiver]\nfile = "{tmp_path}/book.db"\n'
        "[lease]\nttl_s = 1.0\nmargin_s = 0.1\nsettle_s = 0.1\n[periods]\nshards = 4\nlength_s = 1.0\ngrace_s = 0.3\n"
    )
    record.write_text(f'file = "{tmp_path}/record.db"\n')
    arguments = ["--ownership", str(ownership), "--record", str(record)]
    with ProcessHarness() as field, ExitStack() as locks:
        for name in SHARED_FILES:
            locks.enter_context(locked(tmp_path / name))
        with Tier(field, 0, [1.0], slots=8, scale=0.05, serve_arguments=arguments) as tier:
            asyncio.run(call_while_locked(tier))
            log = (field.folder / "b0.log").read_text().splitlines()
            for name in SHARED_FILES:
                assert sum(name in line and "locked by another process" in line for line in log) == 1, log
            locks.close()
            asyncio.run(call_until_recorded(tier, tmp_path / "book.db"))
        assert field.processes["b0"].alive


async def call_while_locked(tier: Tier) -> None:
    """Idempotent requests are served; commits are turned away, as their intent cannot be recorded."""
    now = asyncio.get_running_loop().time()
    safe = [tier.call("b0", "fuzzy-match", b"safe %d" % n, now) for n in range(10)]
    commits = [commit(tier, f"locked{n}") for n in range(3)]
    calls = await asyncio.gather(*safe, *commits)
    assert {call.status for call in calls[:10]} == {200}
    assert 200 not in {call.status for call in calls[10:]}


async def commit(tier: Tier, key: str) -> Call:
    """Call for a commit under a key."""
    now = asyncio.get_running_loop().time()
    return await tier.call("b0", "approve-commit", b"once", now, extra_variables={"HTTP_X_REQUEST_ID": key})


async def call_until_recorded(tier: Tier, store: Path) -> None:
    """Commits are served again, and the duties of the fleet have an owner."""
    deadline = asyncio.get_running_loop().time() + 20.0
    number = 0
    while (await commit(tier, f"free{number}")).status != 200 or not has_effects(store):
        assert asyncio.get_running_loop().time() < deadline
        number += 1
        await asyncio.sleep(0.1)


def has_effects(store: Path) -> bool:
    """Whether the store has an effect of an owned duty."""
    with closing(sqlite3.connect(store)) as connection:
        try:
            return connection.execute("select 1 from fence_log").fetchone() is not None
        except sqlite3.OperationalError:
            return False
