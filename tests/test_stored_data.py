"""Compatibility tests: files stored by an earlier version of the program are read with the same content.
``data/stored/README.md`` describes how the files were made."""

from __future__ import annotations

import shutil
import sqlite3
from contextlib import closing
from pathlib import Path
from typing import Any

from lapishaven.attempt_log import SqliteAttemptLog, StartedRun
from lapishaven.core.ports import EffectState
from lapishaven.idempotency import DurableResults
from lapishaven.ledger import transitions
from lapishaven.ledger.audit import Charge, Effect, differences
from lapishaven.ledger.command import audit
from lapishaven.ledger.database import LedgerDatabase
from lapishaven.ownership.coordinators.sqlite import SqliteCoordinator
from lapishaven.ownership.duties.budgets import DUTY_SCHEMA
from lapishaven.ownership.fence import EffectRequest
from lapishaven.ownership.fenced_store import FencedStore
from lapishaven.storage.files import DirectoryFiles
from lapishaven.storage.store import Store

STORED = Path(__file__).parent / "data" / "stored"
WRITTEN_AT = 1_800_000_000.0  # Unix seconds; the time stored in the files
Rows = list[tuple[Any, ...]]


def copy_of(name: str, tmp_path: Path) -> str:
    """Copy a stored file, as the code under test may change it; SQLite creates files beside it even for reads."""
    source, copy = STORED / name, tmp_path / name
    if source.is_dir():
        shutil.copytree(source, copy)
    else:
        shutil.copy(source, copy)
    return str(copy)


def tables_of(path: str) -> dict[str, Rows]:
    """Every row of every table, by table name."""
    with closing(sqlite3.connect(path)) as connection:
        names = connection.execute("select name from sqlite_master where type = 'table' and name not like 'sqlite_%'")
        return {name: connection.execute(f"select * from {name}").fetchall() for (name,) in names.fetchall()}


def schema_version_of(path: str) -> int:
    with closing(sqlite3.connect(path)) as connection:
        return int(connection.execute("pragma user_version").fetchone()[0])


def test_the_embedded_store_returns_every_key_and_value(tmp_path: Path) -> None:
    """Guards the segment, frame, record and hint formats, with deletes, expiry and overwritten keys."""
    expected = {
        b"beta": (bytes(range(256)), 0.0),
        b"gamma": (b"expires", WRITTEN_AT + 1000.0),
        b"delta": (b"new", 0.0),
        b"zeta\0key": (b"", 0.0),
        b"eta": ("ëta".encode(), 0.0),
    }
    path = copy_of("embedded_store", tmp_path)
    for hint_files in (True, False):
        if not hint_files:
            for hint in Path(path).glob("*.hint"):
                hint.unlink()
        with Store(DirectoryFiles(path), clock=lambda: WRITTEN_AT) as store:
            assert {key: (value, expiry) for key, value, expiry in store.scan()} == expected
            assert {key: store.get(key) for key in expected} == {key: value for key, (value, _) in expected.items()}
            assert store.get(b"alpha") is None and store.get(b"epsilon") is None
            assert not store.damage
    with Store(DirectoryFiles(path), clock=lambda: WRITTEN_AT + 1001.0) as store:
        assert store.get(b"gamma") is None and store.get(b"delta") == b"new"


def test_a_repeat_gets_the_result_that_an_earlier_process_stored(tmp_path: Path) -> None:
    """Guards the format of stored intents and results, and of the keys that they are stored under."""
    store = Store(DirectoryFiles(copy_of("keyed_results", tmp_path)), clock=lambda: WRITTEN_AT)
    assert {key: (value, expiry) for key, value, expiry in store.scan()} == {
        b"commit\0done": (b"R" + (1_800_000_000_000).to_bytes(8, "little") + b"\x00result\xff", WRITTEN_AT + 3600.0),
        b"commit\0intended": (b"I" + (1_800_000_000_250).to_bytes(8, "little"), WRITTEN_AT + 3600.25),
        b"commit\0failed": (b"I" + (1_800_000_000_500).to_bytes(8, "little"), WRITTEN_AT + 3600.5),
    }
    results = DurableResults(store, 3600.0, wall=lambda: WRITTEN_AT + 1.0)
    entries = {key: results.find("commit", key) for key in ("done", "intended", "failed", "void")}
    assert [entry.effect_state for entry in entries.values()] == [
        EffectState.DONE,
        EffectState.UNCERTAIN,
        EffectState.UNCERTAIN,
        EffectState.UNKNOWN,
    ]
    assert entries["done"].effect_state is EffectState.DONE and entries["done"].result == b"\x00result\xff"
    assert {entry.body_digest for entry in entries.values()} == {None}
    assert sorted(results.uncertain_effects()) == [("commit", "failed", 0.5), ("commit", "intended", 0.75)]
    results.close()


def test_the_ledger_has_the_same_effects_and_charges(tmp_path: Path) -> None:
    """Guards the ledger's tables and stored values."""
    path = copy_of("record.db", tmp_path)
    database = LedgerDatabase(path)
    effects = database.read("select class, key, standing, start, since, ended, result, customer, words from effect")
    charges = database.read("select class, key, account, words, at from ledger")
    database.close()
    done_at, failed_at = WRITTEN_AT + 10.5, WRITTEN_AT + 11.0
    expected_effects: Rows = [
        ("commit", "done", "done", "start-1", WRITTEN_AT, done_at, b"\x00two words\xff", "team/service", 2),
        ("commit", "open", "intended", "start-1", WRITTEN_AT + 1, None, b"", "team/service", 0),
        ("commit", "spent", "spent", "start-1", WRITTEN_AT + 2, failed_at, b"", "team/service", 0),
        ("review", "done", "done", "start-2", WRITTEN_AT + 20, WRITTEN_AT + 21, b"", "caller/one", 1),
    ]
    expected_charges: Rows = [
        ("commit", "done", "customer/team/service", 2, done_at),
        ("commit", "done", "earned", -2, done_at),
        ("review", "done", "customer/caller/one", 1, WRITTEN_AT + 21),
        ("review", "done", "earned", -1, WRITTEN_AT + 21),
    ]
    assert effects == expected_effects and charges == expected_charges
    without_digests = [(*effect, None) for effect in expected_effects]  # the one column that was added since
    assert tables_of(path) == {"effect": without_digests, "ledger": expected_charges}
    assert schema_version_of(path) == 1
    settings = tmp_path / "record.toml"
    settings.write_text(f'file = "{path}"\n')
    assert audit(str(settings)) == 0


def test_the_coordinator_has_the_same_sessions_owners_and_tokens(tmp_path: Path) -> None:
    """Guards the tables of the SQLite coordinator."""
    path = copy_of("coordinator.db", tmp_path)
    coordinator = SqliteCoordinator(path)
    view = coordinator.read_state()
    coordinator.close()
    assert view.revision == 10
    assert [(member.session, member.record.name, member.record.incarnation) for member in view.members] == [
        (2, "one", "start-1"),
        (3, "two", "start-2"),
    ]
    assert [(member.record.state.value, member.record.weight) for member in view.members] == [
        ("serving", 1.0),
        ("leaving", 0.25),
    ]
    owners = {shard: (owner.session, owner.token) for shard, owner in view.owners.items()}
    assert owners == {("budgets", 0): (2, 5), ("budgets", 1): (3, 8)}
    assert view.effect_counts == {("budgets", 0): 5}
    assert tables_of(path) == {
        "meta": [(1, 10)],
        "session": [
            (2, "one", "start-1", "serving", 1.0, 30.0, 1),
            (3, "two", "start-2", "leaving", 0.25, 30.0, 0),
        ],
        "past": [("gone", 1), ("one", 1), ("two", 1)],
        "owner": [("budgets", 0, 5, 2), ("budgets", 1, 8, 3)],
        "mark": [("budgets", 0, 5)],
    }


def test_the_receiver_has_the_same_tokens_effects_and_first_answers(tmp_path: Path) -> None:
    """Guards the tables of the fence and of the budgets' effects; a repeat gets its stored answer."""
    path = copy_of("receiver.db", tmp_path)
    expected = {
        "fence_mark": [("budgets", 3, 57, 1, 2)],
        "fence_log": [
            (
                *(1, "budgets", 3, 41, 1, "grant"),
                '{"contract": "gold", "round": 1, "grants": {"member-1": [2.5, 30.0], "member-2": [1.5, 18.0]}}',
                '{"grants": 2}',
            ),
            (
                *(2, "budgets", 3, 57, 1, "grant"),
                '{"contract": "gold", "round": 2, "grants": {"member-1": [4.0, 48.0]}}',
                '{"grants": 1}',
            ),
        ],
        "fence_open": [],
        "budget_need": [("gold", "member-1", 3.25, 7, 2)],
        "budget_spill": [("gold", "member-1", 0.5)],
        "budget_grant": [("gold", "member-1", 4.0, 48.0, 2)],
        "budget_round": [("gold", 2)],
    }
    store = FencedStore(path, {"budgets": DUTY_SCHEMA})
    detail = {"contract": "gold", "round": 2, "grants": {"member-1": (4.0, 48.0)}}
    repeat = store.admit(EffectRequest(("budgets", 3), 57, 1, 1), "grant", detail)
    stale = store.admit(EffectRequest(("budgets", 3), 41, 2, 1), "grant", detail)
    read = {name: store.read(f"select * from {name}") for name in expected}
    store.close()
    assert (repeat.verdict.value, repeat.token, repeat.effect_count, repeat.answer) == ("repeat", 57, 2, {"grants": 1})
    assert (stale.verdict.value, stale.token, stale.effect_count, stale.answer) == ("stale", 57, 2, None)
    assert read == expected and tables_of(path) == expected
    assert schema_version_of(path) == 1


def test_the_attempt_log_has_the_same_attempts_and_the_ledger_imports_it(tmp_path: Path) -> None:
    """Guards the attempt log, which preceded the ledger: its rows, the runs it lists, and its import into a ledger."""
    path = copy_of("attempt_log.db", tmp_path)
    log = SqliteAttemptLog(path, lambda: None, lambda: WRITTEN_AT + 10.0)
    assert log.started(60.0, 1.0) == [StartedRun("commit", "key-1", 9.0), StartedRun("review", "key-4", 4.0)]
    assert log.started(5.0, 1.0) == [StartedRun("review", "key-4", 4.0)]
    log.close()
    record: Rows = [
        (WRITTEN_AT + 1, "started", "r1", "commit", "key-1", "team", "service", "first"),
        (WRITTEN_AT + 2, "answered", "r1", "commit", "key-1", "team", "service", "200"),
        (WRITTEN_AT + 3, "started", "r2", "commit", "key-2", None, None, ""),
        (WRITTEN_AT + 4, "unrun", "r2", "commit", "key-2", None, None, ""),
        (WRITTEN_AT + 5, "started", "r3", "review", None, "team", None, "no key"),
        (WRITTEN_AT + 6, "started", "r4", "review", "key-4", "team", None, ""),
    ]
    assert tables_of(path) == {"record": record}
    LedgerDatabase(path).close()
    imported: Rows = [
        ("commit", "key-1", "spent", "before", WRITTEN_AT + 1, None, b"", "team", 0, None),
        ("review", "key-4", "spent", "before", WRITTEN_AT + 6, None, b"", "team", 0, None),
    ]
    assert tables_of(path) == {"record": record, "effect": imported, "ledger": []}


def test_the_audit_of_the_stored_ledger_reports_a_changed_charge(tmp_path: Path) -> None:
    """Guards against an audit of the stored ledger that passes whatever it contains."""
    path = copy_of("record.db", tmp_path)
    rows = tables_of(path)
    effects = [Effect((row[0], row[1]), transitions.EffectState(row[2]), row[7], row[8]) for row in rows["effect"]]
    charges = [Charge((row[0], row[1]), row[2], row[3]) for row in rows["ledger"]]
    assert not list(differences(effects, charges))
    changed = [Charge(charge.effect_id, charge.account, charge.words + 1) for charge in charges[:1]]
    assert list(differences(effects, [*changed, *charges[1:]])) == [
        "commit done: customer team/service was charged 3 words instead of 2",
    ]
