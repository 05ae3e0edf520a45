"""Duties on real match servers: closing of periods across a kill, rolling restarts, shedding; operators' commands."""

from __future__ import annotations

import asyncio
import json
import sqlite3
import subprocess
import sys
import time
from collections import Counter
from collections.abc import Callable, Coroutine
from contextlib import AsyncExitStack, closing
from pathlib import Path
from random import Random
from typing import Any

from lapishaven.client import Client
from lapishaven.client.outcomes import Served
from lapishaven.client.settings import load as client_settings
from lapishaven.lab import site
from lapishaven.lab.catalog import Catalog
from lapishaven.lab.fleet import Fleet
from lapishaven.lab.handover.book import RequestLog as HandoverLog
from lapishaven.lab.handover.caller import Caller, Load, arrivals
from lapishaven.lab.handover.platform import Platform, Process
from lapishaven.lab.interpreter import Box, Interpreter
from lapishaven.ownership.command import find_store_violation
from lapishaven.ownership.fenced_store import FencedStore
from lapishaven.ownership.participant import DUTY_SCHEMAS
from lapishaven.proto import jsonrpc

ROOT = Path(__file__).parent.parent


def write_settings(folder: Path, obey: bool) -> Path:
    path = folder / "ownership.toml"
    path.write_text(
        f'[coordinator]\nfile = "{folder}/lease.db"\n[receiver]\nfile = "{folder}/book.db"\n'
        "[lease]\nttl_s = 1.0\nmargin_s = 0.1\nsettle_s = 0.1\n[periods]\nshards = 4\nlength_s = 1.0\ngrace_s = 0.3\n"
        f"[restart]\nobey = {str(obey).lower()}\n"
    )
    return path


def query_store(folder: Path, query: str) -> list[tuple[Any, ...]]:
    with closing(sqlite3.connect(folder / "book.db", timeout=5.0)) as connection:
        return connection.execute(query).fetchall()


async def wait_for(description: str, condition: Callable[[], Any], timeout_s: float = 30.0) -> Any:
    """Poll a condition on files that other processes write; returns its first true result."""
    loop = asyncio.get_running_loop()
    deadline = loop.time() + timeout_s
    while not (result := condition()):
        assert loop.time() < deadline, f"no {description} within {timeout_s:g} s"
        await asyncio.sleep(0.02)
    return result


def run_scenario(scenario: Coroutine[Any, Any, None]) -> None:
    asyncio.run(asyncio.wait_for(scenario, 90.0))


def run_ownership(path: Path, *arguments: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "lapishaven", "ownership", *arguments, "--file", str(path)],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=False,
    )


def test_periods_are_closed_once_when_their_owner_is_killed(tmp_path: Path) -> None:
    """No consumption may be in two statements, and a kill may lose only what the killed server had not flushed."""

    async def scenario() -> None:
        path = write_settings(tmp_path, False)
        async with Fleet(3, 11, extra=["--ownership", str(path)]) as fleet:
            await fleet.ready()
            catalog_address = "{}:{}".format(*fleet.catalog.address)
            async with Client(
                client_settings(str(ROOT / "deploy/client.toml"), catalog=catalog_address, servers=())
            ) as client:
                served: Counter[bool] = Counter()

                async def send_calls(count: int) -> None:
                    outcomes = (client.outcome("fuzzy-match", b"%d" % n) for n in range(count))
                    for outcome in await asyncio.gather(*outcomes):
                        served[isinstance(outcome, Served)] += 1

                await send_calls(40)
                await wait_for("statement", lambda: query_store(tmp_path, "select 1 from statement"))
                owner = query_store(tmp_path, "select duty, shard, token from fence_log order by position desc limit 1")
                with closing(sqlite3.connect(tmp_path / "lease.db")) as connection:
                    (name,) = connection.execute(
                        "select name from session s join owner o on o.session = s.id" " where duty = 'periods' limit 1"
                    ).fetchone()
                assert owner
                await send_calls(20)
                fleet.kill(name, 0.5)
                await send_calls(40)
                await wait_for(
                    "all rows in statements",
                    lambda: query_store(
                        tmp_path,
                        "select 1 where (select sum(count) from consumption) = (select sum(count) from statement)"
                        " and (select count(distinct server) from consumption) > 1",
                    ),
                )
                await wait_for(
                    "what was served",
                    lambda: query_store(
                        tmp_path, f"select 1 where (select sum(count) from statement) >= {served[True] - 20}"
                    ),
                )
        (billed,) = query_store(tmp_path, "select sum(count) from statement")[0]
        assert served[True] - 20 <= billed <= served[True] + served[False]
        assert run_ownership(path, "verify").returncode == 0
        assert not fleet.crashes
        history = run_ownership(path, "history", "periods", "--last", "5")
        assert history.returncode == 0 and history.stdout.count("close") == 5

    run_scenario(scenario())


def test_a_rolling_restart_restarts_each_member_once_and_one_at_a_time(tmp_path: Path) -> None:
    """On real servers that drain and come back, two members must not be down at once, and none be restarted twice."""

    async def scenario() -> None:
        path = write_settings(tmp_path, True)
        async with Fleet(3, 12, extra=["--ownership", str(path)], keep=True) as fleet:
            await fleet.ready()
            await wait_for(
                "reports", lambda: len(query_store(tmp_path, "select 1 from restart_report where ready")) == 3
            )
            await wait_for("members", lambda: run_ownership(path, "members").stdout.count("serving") == 3)
            assert run_ownership(path, "restart", "r1", "--at-once", "1").returncode == 0
            await wait_for(
                "the rollout",
                lambda: query_store(tmp_path, "select count(*) from restart_member where state = 'done'") == [(3,)],
                60.0,
            )
            left = [name for _, event, name in fleet.events if event == "left"]
            assert sorted(left) == sorted(fleet.nodes)
            starts: Counter[str] = Counter(name for _, event, name in fleet.events if event == "start")
            assert set(starts.values()) == {2}
        store = FencedStore(str(tmp_path / "book.db"), DUTY_SCHEMAS)
        assert find_store_violation(store) is None
        effects = store.read("select effect, answer from fence_log where duty = 'restart' order by position")
        store.close()
        down = most_down = 0
        for effect, answer_text in effects:
            answer = json.loads(answer_text)
            down += answer.get("permitted", 0) - answer.get("done", 0)
            assert effect != "permit" or answer["permitted"] == 1
            most_down = max(most_down, down)
        assert most_down == 1 and down == 0

    run_scenario(scenario())


def test_a_rolling_restart_by_upgrades_refuses_no_request(tmp_path: Path) -> None:
    """During a rollout each process is replaced by another on the same socket, one at a time and once, and no request
    is refused, reset, cut off or left unanswered. The owner of the restart duty is itself upgraded."""

    async def scenario() -> None:
        path = write_settings(tmp_path, True)
        path.write_text(path.read_text().replace("obey = true", 'obey = "supervisor"'))
        loop, random = asyncio.get_running_loop(), Random(14)
        catalog = Catalog(lag=0.5)
        await catalog.open("127.0.0.1")
        names = ["n1", "n2", "n3"]
        async with AsyncExitStack() as stack:
            stack.push_async_callback(catalog.close)
            books = {name: HandoverLog() for name in names}
            platforms: dict[str, Platform] = {}
            processes: dict[str, Process] = {}
            loads = []

            async def build_config(name: str, incarnation: str) -> str:
                began = lambda body: books[name].record_run(loop.time(), body, incarnation)  # noqa: E731
                interpreter = Interpreter(
                    Box(speed=4.0), site.WORKS, Random(random.getrandbits(64)), site.GAUGES, on_run_started=began
                )
                await interpreter.open("127.0.0.1")
                stack.push_async_callback(interpreter.close)
                bound = platforms[name].ports.take("127.0.0.1")
                catalog.addresses[name] = bound
                seed = random.getrandbits(64)
                return site.configuration(name, bound, interpreter.address, catalog.address, seed, Box(), 3, 3, False)

            for name in names:
                folder = tmp_path / name
                folder.mkdir()
                platforms[name] = await stack.enter_async_context(
                    Platform(
                        "127.0.0.1",
                        folder,
                        on_terminate=books[name].record_termination,
                        serve_arguments=["--ownership", str(path)],
                    )
                )
                processes[name] = await platforms[name].start(f"{name}a", await build_config(name, f"{name}a"))
            for name in names:
                await platforms[name].ready(processes[name])
            await wait_for("members", lambda: run_ownership(path, "members").stdout.count("serving") == 3)
            await wait_for(
                "reports", lambda: len(query_store(tmp_path, "select 1 from restart_report where ready")) == 3
            )
            for name in names:
                load = Load(8.0, 14.0, 4)
                caller = Caller(platforms[name].address, books[name], load, Random(random.getrandbits(64)))
                loads.append(loop.create_task(caller.run(arrivals(load, loop.time() + 0.05, random))))
            assert run_ownership(path, "restart", "r1", "--at-once", "1").returncode == 0
            permitted: list[tuple[str, str]] = []
            while len(permitted) < 3:
                listed = await asyncio.to_thread(run_ownership, path, "permitted", "--json")
                permits = [json.loads(line) for line in listed.stdout.splitlines()]
                assert len(permits) <= 1 and listed.returncode == int(not permits)
                for permit in permits:
                    name = permit["name"]
                    if (name, permit["start"]) not in permitted:
                        permitted.append((name, permit["start"]))
                        upgrade = await platforms[name].upgrade(
                            processes[name],
                            f"{name}b",
                            await build_config(name, f"{name}b"),
                            [kind.deadline_s for kind in site.CLASSES],
                        )
                        assert upgrade.old_code == 0 and not upgrade.killed
            await wait_for(
                "the rollout",
                lambda: query_store(tmp_path, "select count(*) from restart_member where state = 'done'") == [(3,)],
            )
            assert sorted(name for name, _ in permitted) == names
            await asyncio.gather(*loads)
            for name in names:
                verdict = books[name].verdict(loop.time())
                assert verdict.clean and verdict.served > 60, (name, verdict)
                assert not platforms[name].crashes
        assert run_ownership(path, "verify").returncode == 0

    run_scenario(scenario())


def test_an_overloaded_owner_sheds_shards_to_a_server_that_is_not_overloaded(tmp_path: Path) -> None:
    """Without shedding an overloaded owner keeps all its shards. No shard may come back within the recovery time, or
    shards would move to and fro."""

    async def scenario() -> None:
        path = write_settings(tmp_path, False)
        overload = "[overload]\nafter_s = 0.5\nrest_s = 60.0\n"
        path.write_text(path.read_text().replace("shards = 4", "shards = 8") + overload)

        def owned_shards(name: str) -> int:
            with closing(sqlite3.connect(tmp_path / "lease.db", timeout=5.0)) as connection:
                query = "select count(*) from owner o join session s on s.id = o.session where name = ?"
                return int(connection.execute(query, (name,)).fetchone()[0])

        async with Fleet(2, 13, extra=["--ownership", str(path)]) as fleet:
            await fleet.ready()
            first, second = fleet.names  # 9 shards: 8 of periods and one of restarts
            await wait_for(
                "all owned", lambda: owned_shards(first) + owned_shards(second) == 9 and owned_shards(first) >= 4
            )
            fleet.slow(first, 0.02)
            # A raw connection that ignores rejections: the client library would back off.
            reader, writer = await asyncio.open_connection(*fleet.nodes[first].address)

            async def load() -> None:
                for n in range(1, 6000):
                    writer.write(
                        jsonrpc.encode_request(n, "fuzzy-match", f"{n:016x}", b"x", 30.0, received_at=time.time())
                    )
                    await asyncio.sleep(0.01)

            answers = asyncio.create_task(reader.read(1 << 30))
            loading = asyncio.create_task(load())
            # At half its weight its fair share is a third of the nine.
            await wait_for(
                "transfer to the other server", lambda: owned_shards(first) == 3 and owned_shards(second) == 6
            )
            loading.cancel()
            writer.close()
            answers.cancel()
            assert owned_shards(first) == 3 and not fleet.crashes
        assert run_ownership(path, "verify").returncode == 0

    run_scenario(scenario())


def test_a_server_without_ownership_imports_none_of_its_libraries() -> None:
    """With ownership off, neither the package nor the libraries that only it needs may be loaded."""
    code = (
        "import sys, lapishaven.cli, lapishaven.server\n"
        "unexpected = [m for m in sys.modules if m.split('.')[0] in ('etcd3gw', 'requests', 'xxhash', 'z3')"
        " or m.startswith('lapishaven.ownership')]\nprint(unexpected)\nsys.exit(bool(unexpected))"
    )
    assert subprocess.run([sys.executable, "-c", code], cwd=ROOT, check=False).returncode == 0


def test_an_invalid_settings_file_gives_a_one_line_error_and_exit_code_2(tmp_path: Path) -> None:
    """An operator must get one line, not a traceback."""
    path = tmp_path / "o.toml"
    path.write_text("[coordinator]\n")
    result = run_ownership(path, "status")
    assert (
        result.returncode == 2
        and result.stderr.count("\n") == 1
        and "required table [receiver] is missing" in result.stderr
    )
