"""Tests of results by idempotency key: the index, the order of intent, run, result and reply, restarts and kills."""

from __future__ import annotations

import asyncio
import errno
import json
import signal
import socket
import subprocess
import sys
from http import HTTPStatus
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


def test_stored_values_are_decoded_and_invalid_ones_rejected() -> None:
    assert decode(encode(5.0, None)) == Entry(EffectState.UNCERTAIN, 5.0)
    assert decode(encode(5.0, b"xyz")) == Entry(EffectState.DONE, 5.0, b"xyz")
    digest = bytes(range(16))
    assert decode(encode(5.0, None, digest)) == Entry(EffectState.UNCERTAIN, 5.0, b"", digest)
    assert decode(encode(5.0, b"xyz", digest)) == Entry(EffectState.DONE, 5.0, b"xyz", digest)
    assert decode(encode(5.0, b"", digest)) == Entry(EffectState.DONE, 5.0, b"", digest)
    for invalid in (b"", b"I", b"X" + bytes(8), b"D" + bytes(8 + 15)):
        with pytest.raises(ValueError):
            decode(invalid)


class StoreWorld(World):
    """The real server with a store on an in-memory disk; it commits only when a test calls ``make_durable``."""

    backend = config.UwsgiBackendConfig(("127.0.0.1", 3), "/run/")
    contracts = None

    limits = Limits(segment_bytes=100_000)

    def setUp(self) -> None:
        super().setUp()
        self.disk, self.uwsgi_server_up = Disk(), True
        self.restart()

    def restart(self) -> None:
        """Start the server's result store from the content of the disk, as a new process would."""
        self.disk.locked = False
        self.embedded_store = Store(self.disk.mount(), self.limits, lambda: 1000.0, thread=False)
        self.durable_results = DurableResults(self.embedded_store, 900.0, wall=lambda: 1000.0)
        self.server.core.result_store = self.durable_results
        self.server.core.broker = None
        self.server.core.backend_up(False, 1.0)

    def make_durable(self) -> None:
        """Commit all queued writes and deliver their callbacks."""
        while self.embedded_store.commit():
            pass
        self.durable_results.process_completions()
        self.play("wait 0.01")

    def assert_runs(self, count: int) -> None:
        """Check how many attempts were sent to the backend."""
        self.assertEqual(len(self.up), count)


class DurableResultsWorld(StoreWorld):
    # Guards against a run that starts before its intent is durable, and a reply sent before its result is durable.
    def test_the_order_of_intent_run_result_and_reply(self) -> None:
        self.play("send u1 approve-commit id=k\n wait 0.05")
        self.assert_runs(0)
        self.make_durable()
        self.play("expect up approve-commit u1\n send up 200 u1\n wait 0.05\n expect u1 nothing")
        self.make_durable()
        self.play("expect u1 200 u1\n send u2 approve-commit id=k retry=1 body=u1\n expect u2 200 u1")
        self.assert_runs(1)
        self.server.counter_report.log_counters()
        figures = self.server.counters.groups["storage"]
        self.assertEqual((figures["effects"], figures["in doubt"], figures["commits"]), (1, 0, 2))

    # Guards against a second run, and so a second charge, after a kill at each point between intent and reply.
    def test_a_kill_between_run_and_reply(self) -> None:
        self.play("send u1 approve-commit id=k\n wait 0.01")
        self.make_durable()
        self.play("expect up approve-commit u1")
        self.restart()  # the process was killed during the run, before any reply
        self.play("send u2 approve-commit id=k retry=1 body=u1\n expect u2 502")
        self.assert_runs(1)

    def test_a_kill_after_the_result_was_durable_and_before_the_reply(self) -> None:
        self.play("send u1 approve-commit id=k\n wait 0.01")
        self.make_durable()
        self.play("expect up approve-commit u1\n send up 200 u1\n wait 0.05")
        self.embedded_store.commit()  # durable, but the event loop was not notified before the kill
        self.restart()
        self.play("send u2 approve-commit id=k retry=1 body=u1\n expect u2 200 u1")
        self.assert_runs(1)

    # Guards against a stored result that answers another request under the same key, before or after a restart.
    def test_a_stored_result_does_not_answer_a_request_with_another_body(self) -> None:
        self.play("send u1 approve-commit id=k\n wait 0.01")
        self.make_durable()
        self.play("expect up approve-commit u1\n send up 200 u1\n wait 0.05")
        self.make_durable()
        self.play("expect u1 200 u1\n wait 950")  # the key is forgotten by all but the store
        self.play("send u2 approve-commit id=k\n expect u2 502")
        self.play("send u3 approve-commit id=k retry=1 body=u1\n expect u3 200 u1")
        self.restart()
        self.play("send u4 approve-commit id=k\n expect u4 502")
        self.play("send u5 approve-commit id=k retry=1 body=u1\n expect u5 200 u1")
        self.assert_runs(1)

    # Guards against a result of an earlier version, which kept no digest, that answers a request with any body.
    def test_a_result_stored_without_a_digest_answers_no_request(self) -> None:
        key = json.dumps(["", "", "k"])
        store_key = self.durable_results.store_key("approve-commit", key)
        self.embedded_store.put(store_key, encode(1000.0, b"result"), 1900.0)
        self.make_durable()
        self.restart()
        self.play("send u1 approve-commit id=k\n expect u1 502")
        self.assert_runs(0)

    def test_a_kill_before_the_intent_was_durable_leaves_the_key_free(self) -> None:
        self.play("send u1 approve-commit id=k\n wait 0.01")
        self.disk = self.disk.copy()
        self.restart()
        self.play("send u2 approve-commit id=k retry=1 body=u1\n wait 0.01")
        self.make_durable()
        self.play("expect up approve-commit u1")
        self.assert_runs(1)

    # Guards against rejecting a request that ran, and against a key that stays occupied by a request that never ran.
    def test_a_failed_write_rejects_before_the_run_and_fails_after_it(self) -> None:
        self.disk.fault = lambda call, name: OSError(errno.EIO, "bad") if call == "sync" else None
        self.play("send u1 approve-commit id=k\n wait 0.01")
        self.make_durable()
        self.play("expect u1 503")
        self.assert_runs(0)
        self.disk.fault = lambda call, name: None
        self.play("send u2 approve-commit id=k\n wait 0.01")
        self.make_durable()
        self.play("expect up approve-commit u2\n send up 200 u2\n wait 0.01")
        self.disk.fault = lambda call, name: OSError(errno.EIO, "bad") if call == "sync" else None
        self.make_durable()
        self.play("expect u2 502\n send u3 approve-commit id=k retry=1 body=u2\n expect u3 502")
        self.assert_runs(1)

    # Guards against a run for a client that disconnected before its intent was durable.
    def test_a_client_that_disconnects_before_its_intent_is_durable(self) -> None:
        self.play("send u1 approve-commit id=k\n wait 0.01\n close u1\n wait 0.01")
        self.make_durable()
        self.assert_runs(0)
        self.play("send u2 approve-commit id=k\n wait 0.01")
        self.make_durable()
        self.play("expect up approve-commit u2")

    def test_at_its_limit_it_rejects_before_the_run_and_idempotent_requests_are_served(self) -> None:
        self.durable_results.limit = 1
        self.play("send u1 approve-commit id=k\n wait 0.01")
        self.make_durable()
        self.play("""
            expect up approve-commit u1
            send u2 approve-commit id=n
            expect u2 503
            send u3 fuzzy-match id=m
            expect up fuzzy-match u3
        """)

    # Guards against a second run within ``life_s``, when all but the store have forgotten a run that gave no result.
    def test_an_effect_without_a_result_never_runs_again_while_it_is_stored(self) -> None:
        self.play("send u1 approve-commit id=k\n wait 0.01")
        self.make_durable()
        self.play("expect up approve-commit u1\n send up 500\n expect u1 502\n wait 950")
        self.play("send u2 approve-commit id=k retry=1 body=u1\n expect u2 502")
        self.play("send u3 approve-commit id=k\n expect u3 502")
        self.restart()
        self.play("wait 950\n send u4 approve-commit id=k retry=1 body=u1\n expect u4 502")
        self.assert_runs(1)

    def test_a_run_that_provably_never_began_frees_its_key(self) -> None:
        self.play("send u1 approve-commit id=k\n wait 0.01")
        self.make_durable()
        self.play("expect up approve-commit u1\n send up 503\n expect u1 503")
        self.make_durable()
        self.restart()
        self.play("send u2 approve-commit id=k retry=1 body=u1\n wait 0.01")
        self.make_durable()
        self.play("expect up approve-commit u1")
        self.assert_runs(2)


class FullStoreWorld(StoreWorld):
    """A store of 1 MB, which 400 results of 4,000 bytes fill."""

    backend = config.UwsgiBackendConfig(("127.0.0.1", 3), "/run/")
    limits = Limits(segment_bytes=100_000, total_bytes=1 << 20)

    def run_five(self, first: int) -> None:
        """Send as many commits at once as there are cores for, and end those that run, each with its own result."""
        self.up.clear()
        for number in range(first, first + 5):
            self.play(f"send u{number} approve-commit id=k{number}")
        self.play("wait 0.01")
        self.make_durable()
        for connection in self.up:
            connection.pump()
            label = bytes(connection.data).rsplit(b"u", 1)[1].decode()
            body = f"result of u{label} ".encode().ljust(4000, b".")
            connection.sock.sendall(uwsgi.encode_response(HTTPStatus.OK, body, "text/plain"))
            self.ran.add(int(label))
        self.play("wait 0.01")
        self.make_durable()

    # Guards against a run whose result is lost, as the room that its intent found was taken by others until it ended.
    def test_each_commit_that_runs_has_its_result_kept_however_full_the_store_is(self) -> None:
        self.ran: set[int] = set()
        for first in range(0, 400, 5):
            self.run_five(first)
        statuses = {number: bytes(self.peers[f"u{number}"].data)[9:12] for number in range(400)}
        self.assertGreater(len(self.ran), 100)
        self.assertEqual({statuses[number] for number in self.ran}, {b"200"})
        self.assertEqual({statuses[number] for number in set(range(400)) - self.ran}, {b"503"})
        for number in self.ran:
            self.play(f"send u{number + 1000} approve-commit id=k{number} retry=1 body=u{number}")
            self.pump()
            answers = [bytes(self.peers[name].data) for name in (f"u{number}", f"u{number + 1000}")]
            self.assertEqual(answers[0], answers[1])
        self.assertEqual(self.embedded_store._reserved, 0)


def send_commit(address: tuple[str, int], key: str, body: bytes) -> int | None:
    """Send a commit over uwsgi; returns its status, or ``None`` if the connection ended first."""
    try:
        with socket.create_connection(address, 5.0) as sock:
            variables = {"REQUEST_METHOD": "POST", "PATH_INFO": "/match/approve-commit", "HTTP_X_REQUEST_ID": key}
            sock.sendall(uwsgi.encode_request(variables, body))
            parser = uwsgi.ResponseParser()
            while data := sock.recv(65536):
                response = parser.feed(data)
                if response is not None:
                    return response.status
    except (OSError, ValueError):
        pass
    return None


# Guards against a second run after kill -9 of the real process at random times; every key is sent to each new process.
def test_the_real_process_killed_at_random_never_runs_a_commit_twice(tmp_path: Path) -> None:
    storage_settings, uwsgi_settings = tmp_path / "storage.toml", tmp_path / "uwsgi.toml"
    storage_settings.write_text(f'directory = "{tmp_path}/results"\nlife_s = 900\ntotal_mb = 16\nlimit = 1000\n')
    uwsgi_settings.write_text('[front]\nlisten = "127.0.0.1:0"\npath = "/match/"\nheld_kb = 30.0\n')

    async def main() -> None:
        random, loop = Random(5), asyncio.get_running_loop()
        catalog = Catalog()
        await catalog.open("127.0.0.1")
        box = Box(speed=20.0)
        vm = Interpreter(box, site.WORKS, Random(1), site.GAUGES)
        await vm.open("127.0.0.1")
        text = site.configuration("n1", ("127.0.0.1", 0), vm.address, catalog.address, 1, box, 1, 1, False)
        (tmp_path / "c.json").write_text(text)
        arguments = [
            "serve",
            "--config",
            f"{tmp_path}/c.json",
            "--uwsgi",
            str(uwsgi_settings),
            "--storage",
            str(storage_settings),
        ]
        statuses: dict[str, list[int | None]] = {}
        for life in range(5):
            vm.reset(False)
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "lapishaven",
                *arguments,
                stderr=subprocess.PIPE,
                cwd=ROOT,
            )
            assert process.stderr is not None
            line = (await process.stderr.readline()).decode()
            host, _, port = line.split(" and ")[1].strip().rpartition(":")
            await asyncio.sleep(0.3)  # wait for the link to the interpreter; requests are rejected before it is up
            keys = [f"{life}:{n}" for n in range(6)] + [f"{earlier}:{n}" for earlier in range(life) for n in range(6)]
            address: tuple[str, int] = (host, int(port))
            calls: list[Any] = [loop.run_in_executor(None, send_commit, address, key, key.encode()) for key in keys]
            await asyncio.sleep(random.uniform(0.0, 0.06))
            process.send_signal(signal.SIGKILL)
            vm.down()
            for key, status in zip(keys, await asyncio.gather(*calls), strict=True):
                statuses.setdefault(key, []).append(status)
            await process.wait()
        assert max(vm.starts.values(), default=0) <= 1, "a commit ran twice"
        served = [key for key, received in statuses.items() if 200 in received]
        assert all(vm.starts[key.encode()] == 1 for key in served)
        for received in statuses.values():
            if 200 in received:  # once served, a repeat gets the first answer from every later process
                assert set(received[received.index(200) :]) <= {200, None}
        await vm.close()
        await catalog.close()

    asyncio.run(asyncio.wait_for(main(), 60.0))


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("", "expected exactly the keys directory, life_s, limit, total_mb, found none"),
        ('directory = "x"\nlife_s = 900\ntotal_mb = 1\nlimit = 1\n', "directory must be an absolute path, found 'x'"),
        ('directory = "/x"\nlife_s = 9\ntotal_mb = 1\nlimit = 1\n', "life_s is 9, must be at least 900"),
        ('directory = "/x"\nlife_s = 900\ntotal_mb = 0\nlimit = 1\n', "total_mb must be a number above 0, found 0"),
    ],
)
def test_an_invalid_setting_is_reported_in_one_line(text: str, message: str, tmp_path: Path) -> None:
    (tmp_path / "s.toml").write_text(text)
    with pytest.raises(config.ConfigError, match=message):
        config.load_storage_rules(str(tmp_path / "s.toml"))
    assert config.load_storage_rules(str(ROOT / "deploy/storage.toml")).result_ttl_s == 3600
    assert "--storage" not in (ROOT / "deploy/balancer.toml").read_text()  # off in the platform's deployment


def test_the_storage_commands(tmp_path: Path) -> None:
    def run(*arguments: str) -> tuple[int, str]:
        result = CliRunner().invoke(app, ["storage", *arguments])
        return result.exit_code, result.output

    directory = str(tmp_path / "s")
    with Store.open(directory, Limits(segment_bytes=2000)) as store:
        for n in range(100):
            store.put(b"%d" % n, b"v%d" % n)
        store.sync()
        for n in range(50):
            store.delete(b"%d" % n)
    assert run("verify", directory)[0] == 0
    assert json.loads(run("stat", directory)[1])["keys"] == 50
    code, lines = run("dump", directory)
    assert code == 0 and len(lines.splitlines()) == 50
    (tmp_path / "dump").write_text(lines)
    assert run("restore", str(tmp_path / "t"), str(tmp_path / "dump")) == (0, "50 keys\n")
    assert run("compact", directory)[0] == 0 and run("snapshot", directory, str(tmp_path / "u"))[0] == 0
    assert json.loads(run("stat", str(tmp_path / "u"))[1])["keys"] == 50
    segment = next(Path(directory).glob("*.seg"))
    data = bytearray(segment.read_bytes())
    data[60] ^= 1
    segment.write_bytes(data)
    assert run("verify", directory)[0] == 1
    assert run("stat", str(tmp_path / "nowhere")) == (
        2,
        f"lapishaven: no store found in {tmp_path}/nowhere: it is no directory with .seg files\n",
    )
