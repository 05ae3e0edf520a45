"""Results by idempotency key across restarts: the index, the order of intent, run, result and reply, and kills."""

from __future__ import annotations

import asyncio
import errno
import json
import signal
import socket
import subprocess
import sys
from pathlib import Path
from random import Random
from typing import Any

import pytest
from scenario import World
from typer.testing import CliRunner

from lapishaven import config
from lapishaven.cli import app
from lapishaven.core.ports import EffectState
from lapishaven.idempotency import DurableResults, ResultIndex
from lapishaven.idempotency.result_index import Entry, decode, encode
from lapishaven.lab import site
from lapishaven.lab.catalog import Catalog
from lapishaven.lab.disk import Disk
from lapishaven.lab.interpreter import Box, Interpreter
from lapishaven.proto import uwsgi
from lapishaven.storage import Limits, Store

ROOT = Path(__file__).parent.parent


def test_effects_expire_after_their_lifetime_and_not_earlier() -> None:
    index = ResultIndex(100.0)
    index.mark_running(10.0, b"a")
    index.mark_completed(12.0, b"a", b"r")
    index.mark_running(50.0, b"b")
    index.mark_uncertain(b"b")
    assert index.find(109.0, b"a") == Entry(EffectState.DONE, 10.0, b"r")
    assert index.find(110.0, b"a").effect_state is EffectState.UNKNOWN
    assert index.find(60.0, b"b").effect_state is EffectState.UNCERTAIN
    assert index.next_expiry_in(60.0) == 50.0
    assert index.remove_expired(120.0) == 1 and len(index) == 1
    index.remove(b"b")
    assert index.find(60.0, b"b").effect_state is EffectState.UNKNOWN


def test_stored_values_are_decoded_and_others_rejected() -> None:
    assert decode(encode(5.0, None)) == Entry(EffectState.UNCERTAIN, 5.0)
    assert decode(encode(5.0, b"xyz")) == Entry(EffectState.DONE, 5.0, b"xyz")
    for wrong in (b"", b"I", b"X" + bytes(8)):
        with pytest.raises(ValueError):
            decode(wrong)


class DurableResultsWorld(World):
    """The real server over a store on a disk in memory, which commits only when the scenario says so."""

    backend = config.UwsgiBackendConfig(("127.0.0.1", 3), "/run/")
    contracts = None

    def setUp(self) -> None:
        super().setUp()
        self.disk, self.uwsgi_server_up = Disk(), True
        self.born()

    def born(self) -> None:
        """A life of the server over what the disk has."""
        self.disk.locked = False
        self.base = Store(self.disk.mount(), Limits(segment_bytes=100_000), lambda: 1000.0, thread=False)
        self.keeper = DurableResults(self.base, 900.0, wall=lambda: 1000.0)
        self.server.core.result_store = self.keeper
        self.server.core.broker = None
        self.server.core.backend_up(False, 1.0)

    def durable(self) -> None:
        while self.base.commit():
            pass
        self.keeper.process_completions()
        self.play("wait 0.01")

    def runs(self, count: int) -> None:
        """So many attempts have gone to the backend."""
        self.assertEqual(len(self.up), count)

    # Guards against a run before its intent is durable, and a reply before its result is.
    def test_the_order_of_intent_run_result_and_reply(self) -> None:
        self.play("send u1 approve-commit id=k\n wait 0.05")
        self.runs(0)
        self.durable()
        self.play("expect up approve-commit u1\n send up 200 u1\n wait 0.05\n expect u1 nothing")
        self.durable()
        self.play("expect u1 200 u1\n send u2 approve-commit id=k retry=1\n expect u2 200 u1")
        self.runs(1)
        self.server.counter_report.log_counters()
        told = self.server.counters.groups["storage"]
        self.assertEqual((told["effects"], told["in doubt"], told["commits"]), (1, 0, 2))

    # Guards against a second charge after a kill, at each point at which one may happen.
    def test_a_kill_between_run_and_reply(self) -> None:
        self.play("send u1 approve-commit id=k\n wait 0.01")
        self.durable()
        self.play("expect up approve-commit u1")
        self.born()  # the process died with the run out, and nothing was said
        self.play("send u2 approve-commit id=k retry=1\n expect u2 502")
        self.runs(1)

    def test_a_kill_after_the_result_was_durable_and_before_the_reply(self) -> None:
        self.play("send u1 approve-commit id=k\n wait 0.01")
        self.durable()
        self.play("expect up approve-commit u1\n send up 200 u1\n wait 0.05")
        self.base.commit()  # durable, and the loop was not told any more
        self.born()
        self.play("send u2 approve-commit id=k retry=1\n expect u2 200 u1")
        self.runs(1)

    def test_a_kill_before_the_intent_was_durable_leaves_the_key_free(self) -> None:
        self.play("send u1 approve-commit id=k\n wait 0.01")
        self.disk = self.disk.copy()
        self.born()
        self.play("send u2 approve-commit id=k retry=1\n wait 0.01")
        self.durable()
        self.play("expect up approve-commit u2")

    # Guards against a rejection of what ran, and against a key that stays taken by what never did.
    def test_a_failed_write_rejects_before_the_run_and_fails_after_it(self) -> None:
        self.disk.fault = lambda call, name: OSError(errno.EIO, "bad") if call == "sync" else None
        self.play("send u1 approve-commit id=k\n wait 0.01")
        self.durable()
        self.play("expect u1 503")
        self.runs(0)
        self.disk.fault = lambda call, name: None
        self.play("send u2 approve-commit id=k\n wait 0.01")
        self.durable()
        self.play("expect up approve-commit u2\n send up 200 u2\n wait 0.01")
        self.disk.fault = lambda call, name: OSError(errno.EIO, "bad") if call == "sync" else None
        self.durable()
        self.play("expect u2 502\n send u3 approve-commit id=k retry=1\n expect u3 502")
        self.runs(1)

    # Guards against a run for a client that disconnected while the store was slow.
    def test_a_client_that_disconnects_before_its_intent_is_durable(self) -> None:
        self.play("send u1 approve-commit id=k\n wait 0.01\n close u1\n wait 0.01")
        self.durable()
        self.runs(0)
        self.play("send u2 approve-commit id=k\n wait 0.01")
        self.durable()
        self.play("expect up approve-commit u2")

    def test_at_its_limit_it_rejects_before_the_run_and_idempotent_requests_are_served(self) -> None:
        self.keeper.limit = 1
        self.play("send u1 approve-commit id=k\n wait 0.01")
        self.durable()
        self.play("""
            expect up approve-commit u1
            send u2 approve-commit id=n
            expect u2 503
            send u3 fuzzy-match id=m
            expect up fuzzy-match u3
        """)

    def test_a_run_that_provably_never_began_frees_its_key(self) -> None:
        self.play("send u1 approve-commit id=k\n wait 0.01")
        self.durable()
        self.play("expect up approve-commit u1\n send up 503\n expect u1 503")
        self.durable()
        self.born()
        self.play("send u2 approve-commit id=k retry=1\n wait 0.01")
        self.durable()
        self.play("expect up approve-commit u2")


def ask(address: tuple[str, int], key: str, body: bytes) -> int | None:
    """One commit over uwsgi; its status, or ``None`` where the connection ended first."""
    try:
        with socket.create_connection(address, 5.0) as sock:
            variables = {"REQUEST_METHOD": "POST", "PATH_INFO": "/match/approve-commit", "HTTP_X_REQUEST_ID": key}
            sock.sendall(uwsgi.encode_request(variables, body))
            machine = uwsgi.ResponseParser()
            while data := sock.recv(65536):
                found = machine.feed(data)
                if found is not None:
                    return found.status
    except (OSError, ValueError):
        pass
    return None


# Guards against the pieces that fit on paper only: kill -9 of the real process at random moments, repeats after each.
def test_the_real_process_killed_at_random_never_runs_a_commit_twice(tmp_path: Path) -> None:
    kept, front = tmp_path / "storage.toml", tmp_path / "uwsgi.toml"
    kept.write_text(f'directory = "{tmp_path}/results"\nlife_s = 900\ntotal_mb = 16\nlimit = 1000\n')
    front.write_text('[front]\nlisten = "127.0.0.1:0"\npath = "/match/"\nheld_kb = 30.0\n')

    async def main() -> None:
        rnd, loop = Random(5), asyncio.get_running_loop()
        catalog = Catalog()
        await catalog.open("127.0.0.1")
        box = Box(speed=20.0)
        vm = Interpreter(box, site.WORKS, Random(1), site.GAUGES)
        await vm.open("127.0.0.1")
        text = site.configuration("n1", ("127.0.0.1", 0), vm.address, catalog.address, 1, box, 1, 1, False)
        (tmp_path / "c.json").write_text(text)
        words = ["serve", "--config", f"{tmp_path}/c.json", "--uwsgi", str(front), "--storage", str(kept)]
        statuses: dict[str, list[int | None]] = {}
        for life in range(5):
            vm.reset(False)
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "lapishaven",
                *words,
                stderr=subprocess.PIPE,
                cwd=ROOT,
            )
            assert process.stderr is not None
            line = (await process.stderr.readline()).decode()
            host, _, port = line.split(" and ")[1].strip().rpartition(":")
            await asyncio.sleep(0.3)  # the link to the interpreter; before it is there, requests are refused
            keys = [f"{life}:{n}" for n in range(6)] + [f"{before}:{n}" for before in range(life) for n in range(6)]
            address: tuple[str, int] = (host, int(port))
            work: list[Any] = [loop.run_in_executor(None, ask, address, key, key.encode()) for key in keys]
            await asyncio.sleep(rnd.uniform(0.0, 0.06))
            process.send_signal(signal.SIGKILL)
            vm.down()
            for key, status in zip(keys, await asyncio.gather(*work), strict=True):
                statuses.setdefault(key, []).append(status)
            await process.wait()
        assert max(vm.starts.values(), default=0) <= 1, "a commit ran twice"
        served = [key for key, found in statuses.items() if 200 in found]
        assert all(vm.starts[key.encode()] == 1 for key in served)
        for found in statuses.values():
            if 200 in found:  # once served, a repeat gets the first answer in every later life
                assert set(found[found.index(200) :]) <= {200, None}
        await vm.close()
        await catalog.close()

    asyncio.run(asyncio.wait_for(main(), 60.0))


@pytest.mark.parametrize(
    ("text", "line"),
    [
        ("", "it needs exactly directory, life_s, limit, total_mb"),
        ('directory = "x"\nlife_s = 900\ntotal_mb = 1\nlimit = 1\n', "directory is no path from the root"),
        ('directory = "/x"\nlife_s = 9\ntotal_mb = 1\nlimit = 1\n', "life_s is under the 900 s"),
        ('directory = "/x"\nlife_s = 900\ntotal_mb = 0\nlimit = 1\n', "total_mb is not a number above 0"),
    ],
)
def test_a_mistake_in_the_settings_is_one_plain_line(text: str, line: str, tmp_path: Path) -> None:
    (tmp_path / "s.toml").write_text(text)
    with pytest.raises(config.ConfigError, match=line):
        config.load_storage_rules(str(tmp_path / "s.toml"))
    assert config.load_storage_rules(str(ROOT / "deploy/storage.toml")).result_ttl == 3600
    assert "--storage" not in (ROOT / "deploy/balancer.toml").read_text()  # off on the platform


def test_the_commands_of_the_store(tmp_path: Path) -> None:
    def run(*words: str) -> tuple[int, str]:
        result = CliRunner().invoke(app, ["storage", *words])
        return result.exit_code, result.output

    where = str(tmp_path / "s")
    with Store.open(where, Limits(segment_bytes=2000)) as store:
        for n in range(100):
            store.put(b"%d" % n, b"v%d" % n)
        store.sync()
        for n in range(50):
            store.delete(b"%d" % n)
    assert run("verify", where)[0] == 0
    assert json.loads(run("stat", where)[1])["keys"] == 50
    code, lines = run("dump", where)
    assert code == 0 and len(lines.splitlines()) == 50
    (tmp_path / "dump").write_text(lines)
    assert run("restore", str(tmp_path / "t"), str(tmp_path / "dump")) == (0, "50 keys\n")
    assert run("compact", where)[0] == 0 and run("snapshot", where, str(tmp_path / "u"))[0] == 0
    assert json.loads(run("stat", str(tmp_path / "u"))[1])["keys"] == 50
    segment = next(Path(where).glob("*.seg"))
    data = bytearray(segment.read_bytes())
    data[60] ^= 1
    segment.write_bytes(data)
    assert run("verify", where)[0] == 1
    assert run("stat", str(tmp_path / "nowhere")) == (2, f"lapishaven: there is no store in {tmp_path}/nowhere\n")
