"""Tests of the ledger: transitions and backpressure, the file under injected faults, and servers that share it."""

from __future__ import annotations

import asyncio
import json
import sqlite3
import subprocess
import sys
import threading
import time
from collections import Counter
from collections.abc import Callable
from contextlib import closing
from dataclasses import fields
from pathlib import Path
from random import Random

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from lapishaven.core.ports import IntentOutcome
from lapishaven.core.requests import Submission
from lapishaven.lab import modelcheck
from lapishaven.lab.field import ProcessHarness
from lapishaven.lab.field.tier import Call, Tier
from lapishaven.lab.ledger_model import LEDGER
from lapishaven.ledger import file_copies
from lapishaven.ledger.audit import Charge, Effect, differences
from lapishaven.ledger.backpressure import Backpressure, BackpressureRules
from lapishaven.ledger.database import REVENUE_ACCOUNT, LedgerDatabase, LedgerError, Operation
from lapishaven.ledger.metering import METERS
from lapishaven.ledger.recorder import Recorder
from lapishaven.ledger.settings import FLOW_KEYS, LedgerSettingsError, load_settings
from lapishaven.ledger.transitions import Decision, EffectEvent, EffectRow, EffectState, decide

ROOT = Path(__file__).parent.parent


def effects_and_charges(database: LedgerDatabase) -> tuple[list[Effect], list[Charge]]:
    from lapishaven.ledger.command import read_rows

    return read_rows(database)


@hypothesis_settings(max_examples=200, deadline=None)
@given(st.lists(st.tuples(st.sampled_from(EffectEvent), st.sampled_from("abc")), max_size=12))
def test_an_effect_is_completed_by_one_incarnation_in_any_order_of_events(
    events: list[tuple[EffectEvent, str]],
) -> None:
    """Guards against an effect that two incarnations may run, one that leaves the state completed, and an incarnation
    that ends what another one intended."""
    row, owner = EffectRow(), None
    for event, incarnation in events:
        decision, next_state = decide(row, event, incarnation)
        if decision is Decision.APPLY and event is EffectEvent.INTEND:
            assert owner is None
            owner = incarnation
        elif decision is Decision.APPLY:
            assert incarnation == owner
            if event is EffectEvent.CANCEL:
                owner = None
        if row.state is EffectState.COMPLETED:
            assert next_state is EffectState.COMPLETED and decision in (Decision.ALREADY_COMPLETED, Decision.IGNORE)
        row = EffectRow(next_state, owner or "")


def test_model_check_of_the_protocol_passes_and_fails_without_any_one_guard() -> None:
    """Guards the four rules of the protocol: no sequence of 11 crashes, lost answers, repeats and failures breaks one.
    Removing any guard must be found, else the check would prove nothing."""
    assert modelcheck.check(LEDGER, steps=11) is None
    violations = {guard: modelcheck.check(LEDGER, frozenset({guard})) for guard in LEDGER.guards}
    assert all(violations.values()), violations


def test_backpressure_rejects_while_the_ledger_is_full_stalled_or_failing_and_recovers() -> None:
    """Guards against commits that wait for a blocked ledger, and against rejecting commits after it has recovered."""
    backpressure = Backpressure(
        BackpressureRules(max_waiting=3, stall_s=0.5, failures_to_break=2, retry_pause_s=0.2, max_retry_pause_s=1.0)
    )
    for _ in range(3):
        assert backpressure.retry_after(0.0) is None
        backpressure.entry_added(0.0)
    assert backpressure.retry_after(0.1) is not None and backpressure.retry_after(0.6) == 0.5  # full; stalled
    backpressure.entries_settled(0.6, 3, True)
    assert backpressure.retry_after(0.6) is None
    for n in range(2):
        backpressure.entry_added(1.0)
        backpressure.entries_settled(1.0 + n * 0.1, 1, False)
    assert backpressure.circuit_open and backpressure.retry_after(1.1) == pytest.approx(0.2)
    assert backpressure.retry_after(1.35) is None  # one trial commit is admitted
    backpressure.entry_added(1.35)
    assert backpressure.retry_after(1.36) is not None
    backpressure.entries_settled(1.4, 1, False)
    assert backpressure.retry_after(1.4) == pytest.approx(0.4)  # the pause has doubled
    backpressure.entry_added(2.0)
    backpressure.entries_settled(2.0, 1, True)
    assert not backpressure.circuit_open and backpressure.retry_after(2.0) is None


def test_an_effect_and_its_charge_are_one_transaction_and_a_repeated_write_charges_once(tmp_path: Path) -> None:
    """Guards against an effect without its charge, a second charge, and changes to another incarnation's row."""
    a, b = LedgerDatabase(str(tmp_path / "r.db")), LedgerDatabase(str(tmp_path / "r.db"))

    def op(event: EffectEvent, incarnation: str, **fields: object) -> Operation:
        return Operation(event, "c", "k", incarnation, 1.0, **fields)  # type: ignore[arg-type]

    assert a.write([op(EffectEvent.INTEND, "a", customer="t/s")])[0].decision is Decision.APPLY
    assert b.write([op(EffectEvent.INTEND, "b")])[0].decision is Decision.UNCERTAIN
    assert b.write([op(EffectEvent.CANCEL, "b"), op(EffectEvent.COMPLETE, "b", words=9)])[1].decision is Decision.IGNORE
    done = op(EffectEvent.COMPLETE, "a", result=b"r", words=7)
    assert [a.write([done])[0].decision, a.write([done])[0].decision] == [Decision.APPLY, Decision.ALREADY_COMPLETED]
    repeat = b.write([op(EffectEvent.INTEND, "b")])[0]
    assert (repeat.decision, repeat.row.result) == (Decision.ALREADY_COMPLETED, b"r")
    assert a.read("select account, words from ledger order by account") == [("customer/t/s", 7), (REVENUE_ACCOUNT, -7)]
    # A group is written completely or not at all: the second operation fails the transaction of both.
    with closing(sqlite3.connect(tmp_path / "r.db")) as connection, connection:
        connection.execute(
            "create trigger full before insert on effect when new.key = 'bad' begin"
            " select raise(abort, 'database or disk is full'); end"
        )
    with pytest.raises(LedgerError, match="cannot write 2 operations to ledger .*r.db: database or disk is full"):
        a.write(
            [Operation(EffectEvent.INTEND, "c", "good", "a", 1.0), Operation(EffectEvent.INTEND, "c", "bad", "a", 1.0)]
        )
    assert a.read("select count(*) from effect") == [(1,)]
    assert not list(differences(*effects_and_charges(a)))


@pytest.mark.parametrize(
    ("statement", "expected"),
    [
        ("delete from ledger where account != 'earned'", "customer t/s was not charged for 7 words"),
        ("delete from ledger where account = 'earned'", "7 words are missing from the revenue account"),
        ("update ledger set words = 8 where account != 'earned'", "customer t/s was charged 8 words instead of 7"),
        ("update ledger set words = -8 where account = 'earned'", "revenue account 'earned' has 8 words instead of 7"),
        ("insert into ledger values ('c', 'k', 'customer/x', 7, 1.0)", "also charged to account customer/x: 7 words"),
        ("delete from effect", "charged, but no such effect is stored"),
        ("update effect set standing = 'spent'", "its state is 'spent'"),
        ("update effect set standing = 'intended'", "its state is 'intended'"),
        ("update effect set words = 9", "customer t/s was charged 7 words instead of 9"),
        ("update effect set customer = 'u'", "customer u was not charged for 7 words"),
    ],
)
def test_the_audit_reports_each_injected_fault(tmp_path: Path, statement: str, expected: str) -> None:
    """Guards against an audit that misses an inconsistency."""
    base = LedgerDatabase(str(tmp_path / "r.db"))
    base.write(
        [
            Operation(EffectEvent.INTEND, "c", "k", "a", 1.0, "t/s"),
            Operation(EffectEvent.COMPLETE, "c", "k", "a", 1.0, "", b"r", 7),
        ]
    )
    assert not list(differences(*effects_and_charges(base)))
    with closing(sqlite3.connect(tmp_path / "r.db")) as raw, raw:
        raw.execute(statement)
    assert any(expected in line for line in differences(*effects_and_charges(base)))


def test_the_attempt_log_is_migrated_and_a_newer_schema_is_rejected(tmp_path: Path) -> None:
    """Guards against an upgrade that runs the attempt log's runs again, and against writing to a newer file."""
    from lapishaven.attempt_log import LogEntry, SqliteAttemptLog

    path = str(tmp_path / "r.db")
    log = SqliteAttemptLog(path, lambda: None)
    for event, key in (("started", "k1"), ("answered", "k1"), ("started", "k2"), ("unrun", "k2")):
        log.record(LogEntry(event, "h", "c", key, "t", "s", ""))
    log.close()
    base = LedgerDatabase(path)
    assert base.read("select key, standing from effect") == [("k1", "spent")]
    assert base.write([Operation(EffectEvent.INTEND, "c", "k1", "a", 1.0)])[0].decision is Decision.UNCERTAIN
    assert base.read("select count(*) from record") == [(4,)]  # the attempt log is kept
    with closing(sqlite3.connect(path)) as raw:
        raw.execute("pragma user_version = 9")
    with pytest.raises(LedgerError, match="schema version 9 is newer than the supported 1"):
        LedgerDatabase(path)


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ('file = "x"', "file must be an absolute path, got 'x'"),
        ('file = "/x"\n[meter]\nc = "pages"', "meter.c must be one of body, result, each, got 'pages'"),
        ('file = "/x"\n[flow]\nmost = 0.5', "flow.most must be a whole number from 1 to .*, got 0.5"),
        ('file = "/x"\n[flow]\nstall = 1', "unknown setting flow.stall"),
        ('file = "/x"\nodd = 1', "unknown setting odd"),
        ("file = ", "cannot read ledger settings"),
    ],
)
def test_a_wrong_setting_is_reported_in_one_line(tmp_path: Path, text: str, message: str) -> None:
    """Guards against a traceback for a wrong setting, and against a wrong setting that is ignored."""
    path = tmp_path / "record.toml"
    path.write_text(text)
    with pytest.raises(LedgerSettingsError, match=message):
        load_settings(str(path))


def test_the_settings_map_every_key_to_a_field(tmp_path: Path) -> None:
    """Guards against a renamed field that the table of keys does not follow, and against changed keys."""
    assert sorted(key.field for key in FLOW_KEYS.values()) == sorted(field.name for field in fields(BackpressureRules))
    path = tmp_path / "record.toml"
    path.write_text(
        'file = "/x"\n[meter]\nusual = "body"\nc = "result"\n'
        "[flow]\nmost = 7\nstall_s = 1\nfaults = 2\npause_s = 0.5\npause_most_s = 3.5\n"
    )
    settings = load_settings(str(path))
    assert settings.backpressure == BackpressureRules(7, 1, 2, 0.5, 3.5) and settings.file == "/x"
    assert settings.default_meter(b"a b c", b"d") == 3 and settings.meters["c"](b"a b c", b"d") == 1


def test_a_backup_taken_under_writes_is_consistent_and_is_restored_completely_or_not_at_all(tmp_path: Path) -> None:
    """Guards against a backup that is no snapshot (it would have charges without effects), a restore from a damaged
    file, and overwriting an existing ledger or backup."""
    file, settings_file = tmp_path / "r.db", tmp_path / "record.toml"
    settings_file.write_text(f'file = "{file}"\n')
    base, stopped = LedgerDatabase(str(file)), threading.Event()

    def write() -> None:
        n = 0
        while not stopped.is_set():
            n += 1
            effect = "c", f"k{n}", "a", 1.0
            base.write(
                [Operation(EffectEvent.INTEND, *effect, "t/s"), Operation(EffectEvent.COMPLETE, *effect, "", b"r", 3)]
            )

    writer = threading.Thread(target=write)
    writer.start()
    try:
        for n in range(5):
            file_copies.backup(str(file), str(tmp_path / f"b{n}.db"))
            rows = effects_and_charges(LedgerDatabase(str(tmp_path / f"b{n}.db")))
            assert not list(differences(*rows)) and len(rows[1]) == 2 * len(rows[0])
    finally:
        stopped.set()
        writer.join()
    with pytest.raises(LedgerError, match="cannot back up ledger .*b0.db already exists"):
        file_copies.backup(str(file), str(tmp_path / "b0.db"))
    with pytest.raises(LedgerError, match="cannot restore ledger .*r.db: it already exists; move it away first"):
        file_copies.restore(str(file), str(tmp_path / "b4.db"))
    count = len(effects_and_charges(LedgerDatabase(str(tmp_path / "b4.db")))[0])
    base.close()
    for name in ("r.db", "r.db-wal", "r.db-shm"):
        (tmp_path / name).unlink(missing_ok=True)
    backup = (tmp_path / "b4.db").read_bytes()
    truncated = tmp_path / "half.db"
    truncated.write_bytes(backup[: len(backup) // 2])
    with pytest.raises(LedgerError):
        file_copies.restore(str(file), str(truncated))
    assert not file.exists() and not list(tmp_path.glob("*.part"))
    file_copies.restore(str(file), str(tmp_path / "b4.db"))
    assert len(effects_and_charges(LedgerDatabase(str(file)))[0]) == count > 0
    command = [
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
    assert subprocess.run(command, cwd=ROOT, check=False).returncode == 0
    rows = (tmp_path / "l.csv").read_text().splitlines()
    assert rows[0] == "class,key,account,words,at" and len(rows) == 1 + 2 * count
    assert subprocess.run(command, cwd=ROOT, capture_output=True, check=False).returncode == 2  # the CSV file exists


def test_results_in_memory_are_bounded_by_their_bytes(tmp_path: Path) -> None:
    """Guards against memory that grows with every commit up to a count of results, whatever their size: 20,000 of 4 KiB
    take 80 MB. The latest are answered from memory, the others from the file."""
    limit, result = 64 * 1024, bytes(4000)
    recorder = Recorder(LedgerDatabase(str(tmp_path / "r.db")), "start", {}, METERS["each"], cache_bytes=limit)

    def run(key: str) -> None:
        settled: list[object] = []
        submission = Submission(key, 0, b"body", 1.0, idempotency_key=key)
        recorder.record_intent("c", key, submission, settled.append)
        wait_until_settled(recorder, settled, 1)
        recorder.record_result("c", key, result, settled.append)
        wait_until_settled(recorder, settled, 2)
        assert settled == [IntentOutcome.RECORDED, True]

    for number in range(40):
        run(f"k{number}")
    known = [number for number in range(40) if recorder.find("c", f"k{number}").result == result]
    assert known == list(range(40 - len(known), 40))
    assert limit // 2 < len(known) * len(result) <= limit
    recorder.close()


def wait_until_settled(recorder: Recorder, settled: list[object], count: int) -> None:
    deadline = time.monotonic() + 10.0
    while len(settled) < count:
        assert time.monotonic() < deadline, "the ledger settled nothing"
        time.sleep(0.001)
        recorder.process_completions()


class LedgerServers:
    """Servers that share one ledger, and clients that send commits to them."""

    def __init__(self, field: ProcessHarness, folder: Path, servers: int) -> None:
        self.settings = folder / "record.toml"
        self.settings.write_text(f'file = "{folder}/record.db"\n[meter]\nusual = "result"\n')
        self.field = field
        self.tier = Tier(
            field, 0, [1.0] * servers, slots=8, scale=0.05, serve_arguments=["--record", str(self.settings)]
        )

    async def commit(self, server: str, key: str, body: bytes | None = None) -> Call:
        """Send a commit, with the body that its key stands for unless one is given; status 0 if no answer came."""
        headers = {"HTTP_X_REQUEST_ID": key, "HTTP_X_CALLER": "7"}
        now = asyncio.get_running_loop().time()
        body = b"once " + key.encode() if body is None else body
        return await self.tier.call(server, "approve-commit", body, now, extra_variables=headers)

    def command(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        command = [sys.executable, "-m", "lapishaven", "record", *arguments, "--file", str(self.settings)]
        return subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=False)


async def until(condition: str, holds: Callable[[], bool], timeout_s: float = 30.0) -> None:
    loop = asyncio.get_running_loop()
    deadline = loop.time() + timeout_s
    while not holds():
        assert loop.time() < deadline, f"{condition} not reached within {timeout_s:g} s"
        await asyncio.sleep(0.02)


def test_a_key_sent_to_three_servers_at_once_runs_once_and_is_charged_once_despite_kills(tmp_path: Path) -> None:
    """Guards against servers that keep their results to themselves: a key that reaches three servers at once would run
    three times, and the commits of a killed server would be lost or run again."""
    with ProcessHarness() as field:
        servers_on_ledger = LedgerServers(field, tmp_path, 3)
        with servers_on_ledger.tier as tier:
            answers: dict[str, list[int]] = {}
            random = Random(5)

            async def commit_on(key: str, servers: list[str]) -> None:
                calls = await asyncio.gather(*(servers_on_ledger.commit(server, key) for server in servers))
                answers.setdefault(key, []).extend(call.status for call in calls)

            async def work() -> None:
                await asyncio.gather(*(commit_on(f"calm{n}", tier.backends) for n in range(30)))
                tasks = []
                for n in range(120):
                    tasks.append(asyncio.create_task(commit_on(f"k{n}", random.sample(tier.backends, 2))))
                    if n in (40, 80):
                        field.kill(tier.backends[n // 40])
                        field.start_server(tier.backends[n // 40])
                    await asyncio.sleep(0.02)
                await asyncio.gather(*tasks)
                await asyncio.to_thread(tier.ready, tier.backends)
                # Every key again, on a random server: an acknowledged commit must get its first answer.
                repeats = {
                    key: await servers_on_ledger.commit(random.choice(tier.backends), key) for key in sorted(answers)
                }
                for key, statuses in answers.items():
                    if 200 in statuses:
                        assert repeats[key].status == 200, (key, statuses)
                    answers[key].append(repeats[key].status)

            asyncio.run(work())
            assert tier.report()["twice"] == 0
        done = {key for key, statuses in answers.items() if 200 in statuses}
        assert {f"calm{n}" for n in range(30)} <= done and len(done) >= 140  # also served after the kills
        with closing(sqlite3.connect(tmp_path / "record.db")) as base:
            # The key that the frontend builds also names the caller.
            states = {json.loads(key)[2]: state for key, state in base.execute("select key, standing from effect")}
            charges = base.execute("select key from ledger where account != 'earned'")
            charged = Counter(json.loads(key)[2] for (key,) in charges)
            (total,) = base.execute("select sum(words) from ledger").fetchone()
        assert done <= {key for key, state in states.items() if state == "done"}
        assert set(charged.values()) == {1} and total == 0
        assert set(charged) == {key for key, state in states.items() if state == "done"}
    assert servers_on_ledger.command("audit").returncode == 0
    bill = json.loads(servers_on_ledger.command("bill", "--json").stdout)
    assert bill["customer"] == "caller/7" and bill["effects"] == len(charged)


def test_a_key_with_another_body_gets_no_result_from_any_server_or_start(tmp_path: Path) -> None:
    """Guards against a server that answers a request with the recorded result of another one under the same key: the
    other server of the file, and the server itself after a kill, know the key from the file alone (review/6)."""
    with ProcessHarness() as field:
        servers_on_ledger = LedgerServers(field, tmp_path, 2)
        with servers_on_ledger.tier as tier:
            statuses: list[int] = []

            async def commit(server: str, body: bytes | None = None) -> None:
                statuses.append((await servers_on_ledger.commit(server, "k", body)).status)

            async def work() -> None:
                await commit("b0")
                await commit("b1", b"once another")  # b1 reads the file
                await commit("b1")
                await commit("b1", b"once another")  # b1 knows the result
                field.kill("b0")
                field.start_server("b0")
                await asyncio.to_thread(tier.ready, ["b0"])
                await commit("b0", b"once another")
                await commit("b0")
                with closing(sqlite3.connect(tmp_path / "record.db")) as connection, connection:
                    connection.execute("update effect set digest = null")  # as an earlier version left it
                field.kill("b1")
                field.start_server("b1")
                await asyncio.to_thread(tier.ready, ["b1"])
                await commit("b1", b"once another")
                await commit("b1")  # not to be told from another body, so its result is not sent

            asyncio.run(work())
            assert statuses == [200, 502, 200, 502, 502, 200, 502, 502]
            assert tier.report()["twice"] == 0


def test_while_the_file_is_locked_idempotent_requests_are_still_served(tmp_path: Path) -> None:
    """Guards against an event loop that blocks on a locked file: commits are rejected or fail within their deadline,
    idempotent requests are served meanwhile, and commits are served again afterwards."""
    with ProcessHarness() as field:
        servers_on_ledger = LedgerServers(field, tmp_path, 2)
        with servers_on_ledger.tier as tier:

            async def work() -> None:
                assert (await servers_on_ledger.commit("b0", "first")).status == 200
                lock_holder = sqlite3.connect(tmp_path / "record.db", isolation_level=None)
                lock_holder.execute("begin immediate")
                loop = asyncio.get_running_loop()
                started_at = loop.time()
                commits = [asyncio.create_task(servers_on_ledger.commit("b0", f"k{n}")) for n in range(20)]
                idempotent = await asyncio.gather(
                    *(tier.call("b0", "fuzzy-match", b"safe", loop.time()) for _ in range(20))
                )
                assert {call.status for call in idempotent} == {200} and max(
                    call.duration_s for call in idempotent
                ) < 1.0
                late = [await servers_on_ledger.commit("b0", f"late{n}") for n in range(5)]
                early = await asyncio.gather(*commits)
                assert 200 not in {call.status for call in [*early, *late]}
                assert max(call.duration_s for call in [*early, *late]) < 4.5  # within its deadline
                assert loop.time() - started_at > 1.0
                lock_holder.execute("rollback")
                lock_holder.close()

                async def is_served() -> bool:
                    return (await servers_on_ledger.commit("b0", "after")).status == 200

                for _ in range(50):
                    if await is_served():
                        break
                    await asyncio.sleep(0.1)
                else:
                    raise AssertionError("the ledger did not recover within 5 s of the lock's release")

            asyncio.run(work())
            assert tier.report()["twice"] == 0
    assert servers_on_ledger.command("audit").returncode == 0
