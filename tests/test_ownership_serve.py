"""Duties on real match servers: periods closed over a kill, a rolling restart; what operators see of it."""

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
from lapishaven.lab.handover.book import Book as HandoverBook
from lapishaven.lab.handover.caller import Caller, Load, arrivals
from lapishaven.lab.handover.platform import Platform, Process
from lapishaven.lab.interpreter import Box, Interpreter
from lapishaven.ownership.command import find_store_violation
from lapishaven.ownership.fenced_store import FencedStore
from lapishaven.ownership.participant import DUTY_SCHEMAS
from lapishaven.proto import jsonrpc

ROOT = Path(__file__).parent.parent


def settings(folder: Path, obey: bool) -> Path:
    path = folder / "ownership.toml"
    path.write_text(
        f'[coordinator]\nfile = "{folder}/lease.db"\n[receiver]\nfile = "{folder}/book.db"\n'
        "[lease]\nttl_s = 1.0\nmargin_s = 0.1\nsettle_s = 0.1\n[periods]\nshards = 4\nlength_s = 1.0\ngrace_s = 0.3\n"
        f"[restart]\nobey = {str(obey).lower()}\n"
    )
    return path


def rows(folder: Path, query: str) -> list[tuple[Any, ...]]:
    with closing(sqlite3.connect(folder / "book.db", timeout=5.0)) as base:
        return base.execute(query).fetchall()


async def until(what: str, found: Callable[[], Any], timeout: float = 30.0) -> Any:
    """Wait for something in files that other processes write."""
    loop = asyncio.get_running_loop()
    end = loop.time() + timeout
    while not (result := found()):
        assert loop.time() < end, f"no {what} within {timeout:g} s"
        await asyncio.sleep(0.02)
    return result


def run(work: Coroutine[Any, Any, None]) -> None:
    asyncio.run(asyncio.wait_for(work, 90.0))


def ownership(path: Path, *words: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "lapishaven", "ownership", *words, "--file", str(path)],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=False,
    )


def test_periods_are_closed_once_over_the_kill_of_their_owner(tmp_path: Path) -> None:
    """Guards billing on real servers: nothing is in two statements, and only a kill's last moment may be lost."""

    async def work() -> None:
        path = settings(tmp_path, False)
        async with Fleet(3, 11, extra=["--ownership", str(path)]) as fleet:
            await fleet.ready()
            where = "{}:{}".format(*fleet.catalog.address)
            async with Client(client_settings(str(ROOT / "deploy/client.toml"), catalog=where, servers=())) as client:
                served: Counter[bool] = Counter()

                async def calls(count: int) -> None:
                    all_calls = (client.outcome("fuzzy-match", b"%d" % n) for n in range(count))
                    for found in await asyncio.gather(*all_calls):
                        served[isinstance(found, Served)] += 1

                await calls(40)
                await until("statement", lambda: rows(tmp_path, "select 1 from statement"))
                owner = rows(tmp_path, "select duty, shard, token from fence_log order by position desc limit 1")
                with closing(sqlite3.connect(tmp_path / "lease.db")) as base:
                    (name,) = base.execute(
                        "select name from session s join owner o on o.session = s.id" " where duty = 'periods' limit 1"
                    ).fetchone()
                assert owner
                await calls(20)
                fleet.kill(name, 0.5)
                await calls(40)
                await until(
                    "all rows in statements",
                    lambda: rows(
                        tmp_path,
                        "select 1 where (select sum(count) from consumption) = (select sum(count) from statement)"
                        " and (select count(distinct server) from consumption) > 1",
                    ),
                )
                await until(
                    "what was served",
                    lambda: rows(tmp_path, f"select 1 where (select sum(count) from statement) >= {served[True] - 20}"),
                )
        (billed,) = rows(tmp_path, "select sum(count) from statement")[0]
        assert served[True] - 20 <= billed <= served[True] + served[False]
        assert ownership(path, "verify").returncode == 0
        assert not fleet.crashes
        rows_there = ownership(path, "history", "periods", "--last", "5")
        assert rows_there.returncode == 0 and rows_there.stdout.count("close") == 5

    run(work())


def test_a_rolling_restart_replaces_each_member_once_and_one_at_a_time(tmp_path: Path) -> None:
    """Guards capacity: two members away at once, or one restarted twice, on real servers that drain and come back."""

    async def work() -> None:
        path = settings(tmp_path, True)
        async with Fleet(3, 12, extra=["--ownership", str(path)], keep=True) as fleet:
            await fleet.ready()
            await until("reports", lambda: len(rows(tmp_path, "select 1 from restart_report where ready")) == 3)
            await until("members", lambda: ownership(path, "members").stdout.count("serving") == 3)
            assert ownership(path, "restart", "r1", "--at-once", "1").returncode == 0
            await until(
                "the rollout",
                lambda: rows(tmp_path, "select count(*) from restart_member where state = 'done'") == [(3,)],
                60.0,
            )
            left = [name for _, what, name in fleet.events if what == "left"]
            assert sorted(left) == sorted(fleet.nodes)
            starts: Counter[str] = Counter(name for _, what, name in fleet.events if what == "start")
            assert set(starts.values()) == {2}
        book = FencedStore(str(tmp_path / "book.db"), DUTY_SCHEMAS)
        assert find_store_violation(book) is None
        acts = book.read("select effect, answer from fence_log where duty = 'restart' order by position")
        book.close()
        away = most = 0
        for effect, answer in acts:
            found = json.loads(answer)
            away += found.get("permitted", 0) - found.get("done", 0)
            assert effect != "permit" or found["permitted"] == 1
            most = max(most, away)
        assert most == 1 and away == 0

    run(work())


def test_a_rolling_restart_by_upgrades_refuses_nobody(tmp_path: Path) -> None:
    """Guards callers in a rollout: each process is followed by another on the same socket, one at a time and once, and
    nothing is refused, reset, cut or left without an answer. The duty's owner is itself upgraded on the way."""

    async def work() -> None:
        path = settings(tmp_path, True)
        path.write_text(path.read_text().replace("obey = true", 'obey = "supervisor"'))
        loop, random = asyncio.get_running_loop(), Random(14)
        catalog = Catalog(lag=0.5)
        await catalog.open("127.0.0.1")
        names = ["n1", "n2", "n3"]
        async with AsyncExitStack() as stack:
            stack.push_async_callback(catalog.close)
            books = {name: HandoverBook() for name in names}
            platforms: dict[str, Platform] = {}
            procs: dict[str, Process] = {}
            loads = []

            async def config(name: str, life: str) -> str:
                began = lambda body: books[name].ran(loop.time(), body, life)  # noqa: E731
                vm = Interpreter(Box(speed=4.0), site.WORKS, Random(random.getrandbits(64)), site.GAUGES, began=began)
                await vm.open("127.0.0.1")
                stack.push_async_callback(vm.close)
                bound = platforms[name].ports.take("127.0.0.1")
                catalog.addresses[name] = bound
                seed = random.getrandbits(64)
                return site.configuration(name, bound, vm.address, catalog.address, seed, Box(), 3, 3, False)

            for name in names:
                folder = tmp_path / name
                folder.mkdir()
                platforms[name] = await stack.enter_async_context(
                    Platform("127.0.0.1", folder, told=books[name].told_to_leave, extra=["--ownership", str(path)])
                )
                procs[name] = await platforms[name].start(f"{name}a", await config(name, f"{name}a"))
            for name in names:
                await platforms[name].ready(procs[name])
            await until("members", lambda: ownership(path, "members").stdout.count("serving") == 3)
            await until("reports", lambda: len(rows(tmp_path, "select 1 from restart_report where ready")) == 3)
            for name in names:
                load = Load(8.0, 14.0, 4)
                caller = Caller(platforms[name].address, books[name], load, Random(random.getrandbits(64)))
                loads.append(loop.create_task(caller.run(arrivals(load, loop.time() + 0.05, random))))
            assert ownership(path, "restart", "r1", "--at-once", "1").returncode == 0
            seen: list[tuple[str, str]] = []
            while len(seen) < 3:
                found = await asyncio.to_thread(ownership, path, "permitted", "--json")
                permits = [json.loads(line) for line in found.stdout.splitlines()]
                assert len(permits) <= 1 and found.returncode == int(not permits)
                for each in permits:
                    name = each["name"]
                    if (name, each["start"]) not in seen:
                        seen.append((name, each["start"]))
                        took = await platforms[name].upgrade(
                            procs[name],
                            f"{name}b",
                            await config(name, f"{name}b"),
                            [kind.deadline for kind in site.KINDS],
                        )
                        assert took.old_code == 0 and not took.killed
            await until(
                "the rollout",
                lambda: rows(tmp_path, "select count(*) from restart_member where state = 'done'") == [(3,)],
            )
            assert sorted(name for name, _ in seen) == names
            await asyncio.gather(*loads)
            for name in names:
                verdict = books[name].verdict(loop.time())
                assert verdict.clean and verdict.served > 60, (name, verdict)
                assert not platforms[name].crashes
        assert ownership(path, "verify").returncode == 0

    run(work())


def test_an_overloaded_owner_gives_half_of_its_shards_to_one_that_is_not(tmp_path: Path) -> None:
    """Guards the fleet's work from a server that has no time for it: without it an owner keeps all it has, whatever its
    module says. And guards against shards that go to and fro: none comes back while it rests."""

    async def work() -> None:
        path = settings(tmp_path, False)
        more = "[overload]\nafter_s = 0.5\nrest_s = 60.0\n"
        path.write_text(path.read_text().replace("shards = 4", "shards = 8") + more)

        def held(name: str) -> int:
            with closing(sqlite3.connect(tmp_path / "lease.db", timeout=5.0)) as base:
                query = "select count(*) from owner o join session s on s.id = o.session where name = ?"
                return int(base.execute(query, (name,)).fetchone()[0])

        async with Fleet(2, 13, extra=["--ownership", str(path)]) as fleet:
            await fleet.ready()
            first, second = fleet.names  # of 8 shards of periods and one of restarts
            await until("all owned", lambda: held(first) + held(second) == 9 and held(first) >= 4)
            fleet.slow(first, 0.02)
            # A caller without manners: the client library would spare the server.
            reader, writer = await asyncio.open_connection(*fleet.nodes[first].address)

            async def load() -> None:
                for n in range(1, 6000):
                    writer.write(jsonrpc.encode_request(n, "fuzzy-match", f"{n:016x}", b"x", 30.0, recv=time.time()))
                    await asyncio.sleep(0.01)

            answers = asyncio.create_task(reader.read(1 << 30))
            loading = asyncio.create_task(load())
            # By half its weight its part is a third of nine.
            await until("the other to have them", lambda: held(first) == 3 and held(second) == 6)
            loading.cancel()
            writer.close()
            answers.cancel()
            assert held(first) == 3 and not fleet.crashes
        assert ownership(path, "verify").returncode == 0

    run(work())


def test_the_lean_server_imports_nothing_of_it() -> None:
    """Guards the platform's path: with ownership off neither it nor its libraries are loaded."""
    code = (
        "import sys, lapishaven.cli, lapishaven.server\n"
        "odd = [m for m in sys.modules if m.split('.')[0] in ('etcd3gw', 'requests', 'xxhash', 'z3')"
        " or m.startswith('lapishaven.ownership')]\nprint(odd)\nsys.exit(bool(odd))"
    )
    assert subprocess.run([sys.executable, "-c", code], cwd=ROOT, check=False).returncode == 0


def test_a_bad_file_is_one_plain_line_and_exit_2(tmp_path: Path) -> None:
    """Guards operators: no traceback, and nothing started."""
    path = tmp_path / "o.toml"
    path.write_text("[coordinator]\n")
    done = ownership(path, "status")
    assert (
        done.returncode == 2 and done.stderr.count("\n") == 1 and "required table [receiver] is missing" in done.stderr
    )
