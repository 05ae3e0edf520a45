"""The ledger: its transitions and backpressure by hand, its file under faults, and real servers that share it."""

from __future__ import annotations

import asyncio
import json
import sqlite3
import subprocess
import sys
import threading
from collections import Counter
from collections.abc import Callable
from contextlib import closing
from dataclasses import fields
from pathlib import Path
from random import Random

import pytest
from hypothesis import given
from hypothesis import settings as rounds
from hypothesis import strategies as st

from lapishaven.lab import modelcheck
from lapishaven.lab.field import Field
from lapishaven.lab.field.tier import Call, Tier
from lapishaven.lab.ledger_model import RECORD
from lapishaven.ledger import file_copies
from lapishaven.ledger.audit import Charge, Effect, differences
from lapishaven.ledger.backpressure import Backpressure, BackpressureRules
from lapishaven.ledger.database import REVENUE_ACCOUNT, LedgerDatabase, LedgerError, Operation
from lapishaven.ledger.settings import FLOW_KEYS, LedgerSettingsError, load_settings
from lapishaven.ledger.transitions import Decision, EffectEvent, EffectRow, EffectState, decide

ROOT = Path(__file__).parent.parent


def effects(base: LedgerDatabase) -> tuple[list[Effect], list[Charge]]:
    from lapishaven.ledger.command import read_rows

    return read_rows(base)


@rounds(max_examples=200, deadline=None)
@given(st.lists(st.tuples(st.sampled_from(EffectEvent), st.sampled_from("abc")), max_size=12))
def test_in_any_order_of_events_an_effect_is_completed_by_one_incarnation(
    asked: list[tuple[EffectEvent, str]],
) -> None:
    """Guards the rules of the transitions: what one incarnation may run no other may, until it provably never ran; an
    effect stays completed; none ends what another intended."""
    row, holder = EffectRow(), None
    for event, start in asked:
        verdict, standing = decide(row, event, start)
        if verdict is Decision.APPLY and event is EffectEvent.INTEND:
            assert holder is None
            holder = start
        elif verdict is Decision.APPLY:
            assert start == holder
            if event is EffectEvent.CANCEL:
                holder = None
        if row.state is EffectState.COMPLETED:
            assert standing is EffectState.COMPLETED and verdict in (Decision.ALREADY_COMPLETED, Decision.IGNORE)
        row = EffectRow(standing, holder or "")


def test_the_protocol_holds_in_every_order_of_its_steps_and_every_guard_is_needed() -> None:
    """Guards the proof of the four rules: no order of crashes, lost answers, repeats and failures of 11 steps breaks
    one, and a checker that did not find each guard's absence would prove nothing."""
    assert modelcheck.check(RECORD, steps=11) is None
    found = {guard: modelcheck.check(RECORD, frozenset({guard})) for guard in RECORD.guards}
    assert all(found.values()), found


def test_backpressure_rejects_while_the_ledger_is_full_stalled_or_broken_and_tries_it_again() -> None:
    """Guards commits from waiting for a ledger that is blocked, and the ledger from being given up for good."""
    backpressure = Backpressure(
        BackpressureRules(max_waiting=3, stall_s=0.5, failures_to_break=2, retry_pause_s=0.2, max_retry_pause_s=1.0)
    )
    for _ in range(3):
        assert backpressure.retry_after(0.0) is None
        backpressure.entry_added(0.0)
    assert backpressure.retry_after(0.1) is not None and backpressure.retry_after(0.6) == 0.5  # full; stalled
    backpressure.entries_written(0.6, 3, True)
    assert backpressure.retry_after(0.6) is None
    for n in range(2):
        backpressure.entry_added(1.0)
        backpressure.entries_written(1.0 + n * 0.1, 1, False)
    assert backpressure.circuit_open and backpressure.retry_after(1.1) == pytest.approx(0.2)
    assert backpressure.retry_after(1.35) is None  # one is tried
    backpressure.entry_added(1.35)
    assert backpressure.retry_after(1.36) is not None
    backpressure.entries_written(1.4, 1, False)
    assert backpressure.retry_after(1.4) == pytest.approx(0.4)  # for longer
    backpressure.entry_added(2.0)
    backpressure.entries_written(2.0, 1, True)
    assert not backpressure.circuit_open and backpressure.retry_after(2.0) is None


def test_an_effect_and_its_charge_are_one_transaction_and_a_repeated_write_is_no_second_charge(tmp_path: Path) -> None:
    """Guards billing: no effect without its charge, none charged twice, and another incarnation's row is left alone."""
    a, b = LedgerDatabase(str(tmp_path / "r.db")), LedgerDatabase(str(tmp_path / "r.db"))

    def op(event: EffectEvent, start: str, **more: object) -> Operation:
        return Operation(event, "c", "k", start, 1.0, **more)  # type: ignore[arg-type]

    assert a.write([op(EffectEvent.INTEND, "a", customer="t/s")])[0].decision is Decision.APPLY
    assert b.write([op(EffectEvent.INTEND, "b")])[0].decision is Decision.UNCERTAIN
    assert b.write([op(EffectEvent.CANCEL, "b"), op(EffectEvent.COMPLETE, "b", words=9)])[1].decision is Decision.IGNORE
    done = op(EffectEvent.COMPLETE, "a", result=b"r", words=7)
    assert [a.write([done])[0].decision, a.write([done])[0].decision] == [Decision.APPLY, Decision.ALREADY_COMPLETED]
    kept = b.write([op(EffectEvent.INTEND, "b")])[0]
    assert (kept.decision, kept.row.result) == (Decision.ALREADY_COMPLETED, b"r")
    assert a.read("select account, words from ledger order by account") == [("customer/t/s", 7), (REVENUE_ACCOUNT, -7)]
    # A group is whole or not at all: the second operation breaks the first one's transaction.
    with closing(sqlite3.connect(tmp_path / "r.db")) as base, base:
        base.execute(
            "create trigger full before insert on effect when new.key = 'bad' begin"
            " select raise(abort, 'database or disk is full'); end"
        )
    with pytest.raises(LedgerError, match="full"):
        a.write(
            [Operation(EffectEvent.INTEND, "c", "good", "a", 1.0), Operation(EffectEvent.INTEND, "c", "bad", "a", 1.0)]
        )
    assert a.read("select count(*) from effect") == [(1,)]
    assert not list(differences(*effects(a)))


@pytest.mark.parametrize(
    ("change", "said"),
    [
        ("delete from ledger where account != 'earned'", "was not charged"),
        ("delete from ledger where account = 'earned'", "not earned"),
        ("update ledger set words = 8 where account != 'earned'", "charged 8 words for 7"),
        ("update ledger set words = -8 where account = 'earned'", "earned 8 words for 7"),
        ("insert into ledger values ('c', 'k', 'customer/x', 7, 1.0)", "customer/x too"),
        ("delete from effect", "no such effect"),
        ("update effect set standing = 'spent'", "it is spent"),
        ("update effect set standing = 'intended'", "it is intended"),
        ("update effect set words = 9", "charged 7 words for 9"),
        ("update effect set customer = 'u'", "u was not charged"),
    ],
)
def test_the_audit_reports_each_injected_fault(tmp_path: Path, change: str, said: str) -> None:
    """Guards the audit from passing on anything."""
    base = LedgerDatabase(str(tmp_path / "r.db"))
    base.write(
        [
            Operation(EffectEvent.INTEND, "c", "k", "a", 1.0, "t/s"),
            Operation(EffectEvent.COMPLETE, "c", "k", "a", 1.0, "", b"r", 7),
        ]
    )
    assert not list(differences(*effects(base)))
    with closing(sqlite3.connect(tmp_path / "r.db")) as raw, raw:
        raw.execute(change)
    assert any(said in line for line in differences(*effects(base)))


def test_the_attempt_log_is_migrated_and_a_newer_schema_is_rejected(tmp_path: Path) -> None:
    """Guards an upgrade: runs of the attempt log are not run again, and a file of a later version is not written to."""
    from lapishaven.attempt_log import LogEntry, SqliteAttemptLog

    path = str(tmp_path / "r.db")
    store = SqliteAttemptLog(path, lambda: None)
    for event, key in (("started", "k1"), ("answered", "k1"), ("started", "k2"), ("unrun", "k2")):
        store.record(LogEntry(event, "h", "c", key, "t", "s", ""))
    store.close()
    base = LedgerDatabase(path)
    assert base.read("select key, standing from effect") == [("k1", "spent")]
    assert base.write([Operation(EffectEvent.INTEND, "c", "k1", "a", 1.0)])[0].decision is Decision.UNCERTAIN
    assert base.read("select count(*) from record") == [(4,)]  # nothing is lost
    with closing(sqlite3.connect(path)) as raw:
        raw.execute("pragma user_version = 9")
    with pytest.raises(LedgerError, match="newer"):
        LedgerDatabase(path)


@pytest.mark.parametrize(
    ("text", "said"),
    [
        ('file = "x"', "no path from the root"),
        ('file = "/x"\n[meter]\nc = "pages"', "none of body, result, each"),
        ('file = "/x"\n[flow]\nmost = 0.5', "no whole number"),
        ('file = "/x"\n[flow]\nstall = 1', "unknown stall"),
        ('file = "/x"\nodd = 1', "unknown odd"),
        ("file = ", "cannot read"),
    ],
)
def test_a_wrong_setting_is_one_plain_line(tmp_path: Path, text: str, said: str) -> None:
    """Guards operators from a traceback, and from a setting that is ignored."""
    path = tmp_path / "record.toml"
    path.write_text(text)
    with pytest.raises(LedgerSettingsError, match=said):
        load_settings(str(path))


def test_the_settings_map_every_key_to_a_field(tmp_path: Path) -> None:
    """Guards the table of keys from a field that is renamed without it, and the keys themselves."""
    assert sorted(key.field for key in FLOW_KEYS.values()) == sorted(each.name for each in fields(BackpressureRules))
    path = tmp_path / "record.toml"
    path.write_text(
        'file = "/x"\n[meter]\nusual = "body"\nc = "result"\n'
        "[flow]\nmost = 7\nstall_s = 1\nfaults = 2\npause_s = 0.5\npause_most_s = 3.5\n"
    )
    settings = load_settings(str(path))
    assert settings.backpressure == BackpressureRules(7, 1, 2, 0.5, 3.5) and settings.file == "/x"
    assert settings.default_meter(b"a b c", b"d") == 3 and settings.meters["c"](b"a b c", b"d") == 1


def test_a_backup_taken_under_writes_is_consistent_and_is_restored_completely_or_not_at_all(tmp_path: Path) -> None:
    """Guards the backup: one that mixes instants would have charges without effects; a damaged or older one would lose
    commits; an existing ledger is not overwritten."""
    file, settings_file = tmp_path / "r.db", tmp_path / "record.toml"
    settings_file.write_text(f'file = "{file}"\n')
    base, over = LedgerDatabase(str(file)), threading.Event()

    def write() -> None:
        n = 0
        while not over.is_set():
            n += 1
            name = "c", f"k{n}", "a", 1.0
            base.write(
                [Operation(EffectEvent.INTEND, *name, "t/s"), Operation(EffectEvent.COMPLETE, *name, "", b"r", 3)]
            )

    writing = threading.Thread(target=write)
    writing.start()
    try:
        for n in range(5):
            file_copies.backup(str(file), str(tmp_path / f"b{n}.db"))
            found = effects(LedgerDatabase(str(tmp_path / f"b{n}.db")))
            assert not list(differences(*found)) and len(found[1]) == 2 * len(found[0])
    finally:
        over.set()
        writing.join()
    with pytest.raises(LedgerError, match="there already"):
        file_copies.backup(str(file), str(tmp_path / "b0.db"))
    with pytest.raises(LedgerError, match="move it away"):
        file_copies.restore(str(file), str(tmp_path / "b4.db"))
    count = len(effects(LedgerDatabase(str(tmp_path / "b4.db")))[0])
    base.close()
    for name in ("r.db", "r.db-wal", "r.db-shm"):
        (tmp_path / name).unlink(missing_ok=True)
    whole = (tmp_path / "b4.db").read_bytes()
    half = tmp_path / "half.db"
    half.write_bytes(whole[: len(whole) // 2])
    with pytest.raises(LedgerError):
        file_copies.restore(str(file), str(half))
    assert not file.exists() and not list(tmp_path.glob("*.part"))
    file_copies.restore(str(file), str(tmp_path / "b4.db"))
    assert len(effects(LedgerDatabase(str(file)))[0]) == count > 0
    line = [
        sys.executable,
        "-m",
        "lapishaven",
        "record",
        "export",
        "ledger",
        str(tmp_path / "l.csv"),
        "--file",
        str(settings_file),
    ]
    assert subprocess.run(line, cwd=ROOT, check=False).returncode == 0
    rows = (tmp_path / "l.csv").read_text().splitlines()
    assert rows[0] == "class,key,account,words,at" and len(rows) == 1 + 2 * count
    assert subprocess.run(line, cwd=ROOT, capture_output=True, check=False).returncode == 2  # it is there already


class LedgerServers:
    """Servers on one ledger, and clients that commit on them."""

    def __init__(self, field: Field, folder: Path, servers: int) -> None:
        self.settings = folder / "record.toml"
        self.settings.write_text(f'file = "{folder}/record.db"\n[meter]\nusual = "result"\n')
        self.field = field
        self.tier = Tier(field, 0, [1.0] * servers, slots=8, scale=0.05, words=["--record", str(self.settings)])

    async def commit(self, server: str, key: str) -> Call:
        """A commit; status 0 where no answer came."""
        more = {"HTTP_X_REQUEST_ID": key, "HTTP_X_CALLER": "7"}
        at = asyncio.get_running_loop().time()
        return await self.tier.call(server, "approve-commit", b"once " + key.encode(), at, more=more)

    def command(self, *words: str) -> subprocess.CompletedProcess[str]:
        line = [sys.executable, "-m", "lapishaven", "record", *words, "--file", str(self.settings)]
        return subprocess.run(line, cwd=ROOT, capture_output=True, text=True, check=False)


async def until(what: str, found: Callable[[], bool], timeout: float = 30.0) -> None:
    loop = asyncio.get_running_loop()
    end = loop.time() + timeout
    while not found():
        assert loop.time() < end, f"no {what} within {timeout:g} s"
        await asyncio.sleep(0.02)


def test_one_key_on_three_servers_at_once_runs_once_across_kills_and_is_charged_once(tmp_path: Path) -> None:
    """Guards billing: with results kept by each server alone, a key that comes to three servers at once would run three
    times, and the commits of a killed server would be lost or run again."""
    with Field() as field:
        servers_on_ledger = LedgerServers(field, tmp_path, 3)
        with servers_on_ledger.tier as tier:
            answers: dict[str, list[int]] = {}
            random = Random(5)

            async def one(key: str, servers: list[str]) -> None:
                found = await asyncio.gather(*(servers_on_ledger.commit(server, key) for server in servers))
                answers.setdefault(key, []).extend(call.status for call in found)

            async def work() -> None:
                await asyncio.gather(*(one(f"calm{n}", tier.backs) for n in range(30)))
                tasks = []
                for n in range(120):
                    tasks.append(asyncio.create_task(one(f"k{n}", random.sample(tier.backs, 2))))
                    if n in (40, 80):
                        field.kill(tier.backs[n // 40])
                        field.serve(tier.backs[n // 40])
                    await asyncio.sleep(0.02)
                await asyncio.gather(*tasks)
                await asyncio.to_thread(tier.ready, tier.backs)
                # All again, on other servers than before as it may be: acknowledged ones are answered as they were.
                again = {key: await servers_on_ledger.commit(random.choice(tier.backs), key) for key in sorted(answers)}
                for key, found in answers.items():
                    if 200 in found:
                        assert again[key].status == 200, (key, found)
                    answers[key].append(again[key].status)

            asyncio.run(work())
            assert tier.report()["twice"] == 0
        done = {key for key, found in answers.items() if 200 in found}
        assert {f"calm{n}" for n in range(30)} <= done and len(done) >= 140  # a life after a kill serves as well
        with closing(sqlite3.connect(tmp_path / "record.db")) as base:
            # The front's key names the party too.
            rows = {json.loads(key)[2]: standing for key, standing in base.execute("select key, standing from effect")}
            there = base.execute("select key from ledger where account != 'earned'")
            charged = Counter(json.loads(key)[2] for (key,) in there)
            (total,) = base.execute("select sum(words) from ledger").fetchone()
        assert done <= {key for key, standing in rows.items() if standing == "done"}
        assert set(charged.values()) == {1} and total == 0
        assert set(charged) == {key for key, standing in rows.items() if standing == "done"}
    assert servers_on_ledger.command("audit").returncode == 0
    bill = json.loads(servers_on_ledger.command("bill", "--json").stdout)
    assert bill["customer"] == "caller/7" and bill["effects"] == len(charged)


def test_while_the_file_is_locked_idempotent_requests_are_served_as_ever(tmp_path: Path) -> None:
    """Guards the event loop: while the file is locked commits are rejected or answered in time and idempotent requests
    are served, and commits are served again afterwards."""
    with Field() as field:
        servers_on_ledger = LedgerServers(field, tmp_path, 2)
        with servers_on_ledger.tier as tier:

            async def work() -> None:
                assert (await servers_on_ledger.commit("b0", "first")).status == 200
                holder = sqlite3.connect(tmp_path / "record.db", isolation_level=None)
                holder.execute("begin immediate")
                loop = asyncio.get_running_loop()
                began = loop.time()
                commits = [asyncio.create_task(servers_on_ledger.commit("b0", f"k{n}")) for n in range(20)]
                safe = await asyncio.gather(*(tier.call("b0", "fuzzy-match", b"safe", loop.time()) for _ in range(20)))
                assert {call.status for call in safe} == {200} and max(call.span for call in safe) < 1.0
                late = [await servers_on_ledger.commit("b0", f"late{n}") for n in range(5)]
                found = await asyncio.gather(*commits)
                assert 200 not in {call.status for call in [*found, *late]}
                assert max(call.span for call in [*found, *late]) < 4.5  # its deadline, and no longer
                assert loop.time() - began > 1.0
                holder.execute("rollback")
                holder.close()

                async def again() -> bool:
                    return (await servers_on_ledger.commit("b0", "after")).status == 200

                for _ in range(50):
                    if await again():
                        break
                    await asyncio.sleep(0.1)
                else:
                    raise AssertionError("the ledger did not recover")

            asyncio.run(work())
            assert tier.report()["twice"] == 0
    assert servers_on_ledger.command("audit").returncode == 0
