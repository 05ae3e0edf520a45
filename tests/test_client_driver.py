"""The asyncio client on real loopback sockets, with scripted faulty servers and with the lab's fleet."""

from __future__ import annotations

import asyncio
import base64
import json
import os
import threading
import time
from collections.abc import Awaitable, Callable
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest
from client_world import CLASSES, settings
from typer.testing import CliRunner

from lapishaven.cli import app
from lapishaven.client import (
    BlockingClient,
    Client,
    ExpiredError,
    Failed,
    RefusedError,
    Served,
    Settings,
    SettingsError,
    Uncertain,
    UncertainError,
    load,
)
from lapishaven.client.hooks import both, logging_hook, metrics_hook
from lapishaven.client.settings import ClassRule, Connections, Retry, Routing, from_table
from lapishaven.lab import site
from lapishaven.lab.catalog import Catalog
from lapishaven.lab.fleet import Fleet
from lapishaven.lab.interpreter import Box
from lapishaven.lab.script import ScriptError, parse
from lapishaven.lab.wiretap import Tap, most_in_a_second
from lapishaven.proto import jsonrpc

ROOT = Path(__file__).parent.parent
AMPLE_RETRIES = Retry(share=0.9, floor_per_s=10.0, burst=20.0)
Handler = Callable[["ScriptedConnection", dict[str, Any]], Awaitable[None]]


class ScriptedConnection:
    """One connection of a server whose handler answers each request."""

    def __init__(self, writer: asyncio.StreamWriter, log: list[dict[str, Any]]) -> None:
        self.writer, self.log = writer, log

    def send(self, line: bytes) -> None:
        self.writer.write(line)


async def serve(handler: Handler, log: list[dict[str, Any]]) -> asyncio.Server:
    async def connection(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        scripted = ScriptedConnection(writer, log)
        try:
            while line := await reader.readline():
                message = json.loads(line)
                log.append(message)
                await handler(scripted, message)
        except ConnectionError:
            pass
        finally:
            writer.close()

    return await asyncio.start_server(connection, "127.0.0.1", 0)


def address_of(server: asyncio.Server) -> str:
    return "{}:{}".format(*server.sockets[0].getsockname()[:2])


def run_against(
    handler: Handler, test: Callable[[Client, list[dict[str, Any]]], Awaitable[Any]], **changes: Any
) -> Any:
    """Run a test against one scripted server."""

    async def main() -> Any:
        log: list[dict[str, Any]] = []
        server = await serve(handler, log)
        given = replace(
            settings(0, catalog="x:1"), catalog="", servers=(address_of(server),), retry=AMPLE_RETRIES, **changes
        )
        async with server, Client(given) as client:
            return await test(client, log)

    return asyncio.run(main())


async def echo(connection: ScriptedConnection, message: dict[str, Any]) -> None:
    if "id" in message:
        connection.send(jsonrpc.encode_result(message["id"], b"done"))


# Guards against a malformed response that counts as a result, or leaves a call waiting until its deadline.
@pytest.mark.parametrize("fault", ["truncated", "garbage", "oversized", "unknown id", "not base64", "reset"])
def test_malformed_responses_end_their_call_at_once(fault: str) -> None:
    lines = {
        "truncated": b'{"jsonrpc":"2.0","id":1,"result":{"ar',
        "garbage": b"\x00\xff{]\n",
        "oversized": b'{"id":1,"result":{"arg":"' + b"A" * 20_000,
        "unknown id": jsonrpc.encode_result(77, b"x"),
        "not base64": b'{"jsonrpc":"2.0","id":1,"result":{"arg":"***"}}\n',
        "reset": b"",
    }

    async def faulty_once(connection: ScriptedConnection, message: dict[str, Any]) -> None:
        if len(connection.log) > 1:
            return await echo(connection, message)
        connection.send(lines[fault])
        await connection.writer.drain()
        if fault in ("truncated", "reset"):
            connection.writer.transport.abort() if fault == "reset" else connection.writer.close()

    async def test(client: Client, log: list[dict[str, Any]]) -> Any:
        with pytest.raises(UncertainError):
            await client.call("approve-commit", b"a")
        return await client.call("fuzzy-match", b"b")

    assert run_against(faulty_once, test) == b"done"


# Guards against a second response that ends another call or the connection.
def test_a_second_response_to_one_request_is_ignored() -> None:
    async def twice(connection: ScriptedConnection, message: dict[str, Any]) -> None:
        connection.send(
            jsonrpc.encode_result(message["id"], b"done") + jsonrpc.encode_error(message["id"], -32000, "again")
        )

    async def test(client: Client, log: list[dict[str, Any]]) -> Any:
        return [await client.call("approve-commit", b"a") for _ in range(3)], client.policy.counts["dial"]

    assert run_against(twice, test) == ([b"done"] * 3, 1)


# Guards against deadlines on the wall clock, and against calls that fail forever because of rejected timestamps.
def test_a_wall_clock_that_jumps_does_not_move_deadlines() -> None:
    async def strict(connection: ScriptedConnection, message: dict[str, Any]) -> None:
        stamp = message["params"].get("recv")
        if stamp is not None and abs(stamp / 1000 - time.time()) > 60:
            connection.send(jsonrpc.encode_error(message["id"], jsonrpc.INVALID_PARAMS, "recv is out of its range"))
        else:
            await echo(connection, message)

    async def main() -> Any:
        log: list[dict[str, Any]] = []
        server, offset = await serve(strict, log), [0.0]
        given = replace(settings(0, catalog="x:1"), catalog="", servers=(address_of(server),), retry=AMPLE_RETRIES)
        async with server, Client(given, wall=lambda: time.time() + offset[0]) as client:
            await client.call("approve-commit", b"a")
            offset[0] = -86_400.0
            first = await client.outcome("approve-commit", b"b")
            safe = await client.outcome("fuzzy-match", b"c")
            return first, safe, await client.outcome("approve-commit", b"d"), log

    first, safe, last, log = asyncio.run(main())
    assert (
        isinstance(first, Failed) and safe.served and last.served
    )  # failed, not uncertain: a rejected timestamp proves that nothing ran
    assert ["recv" in message["params"] for message in log] == [True, True, False, False]


# Guards against cancelled calls that continue at the server, or leak tasks, threads or descriptors.
def test_cancelled_calls_are_cancelled_at_the_server_and_leak_nothing() -> None:
    async def silent(connection: ScriptedConnection, message: dict[str, Any]) -> None:
        received.set()
        if message["method"] == "forget":
            forgotten.set()

    received, forgotten = asyncio.Event(), asyncio.Event()

    async def test(client: Client, log: list[dict[str, Any]]) -> Any:
        task = asyncio.create_task(client.call("fuzzy-match", b"a"))
        await received.wait()
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task
        await forgotten.wait()
        waiting = asyncio.create_task(client.outcome("approve-commit", b"b"))
        while client.policy.counts["try"] != 2:
            await asyncio.sleep(0)
        await client.aclose()
        return log[1]["params"]["call"] == log[0]["params"]["call"], (await waiting).uncertain

    descriptors, threads = len(os.listdir("/proc/self/fd")), threading.active_count()
    assert run_against(silent, test) == (True, True)
    assert (len(os.listdir("/proc/self/fd")), threading.active_count()) == (descriptors, threads)


# Guards against calls that wait for a server which accepts connections and answers nothing, not even health checks.
def test_an_unresponsive_server_does_not_hold_idempotent_calls() -> None:
    async def main() -> Any:
        log: list[dict[str, Any]] = []

        async def nothing(connection: ScriptedConnection, message: dict[str, Any]) -> None:
            pass

        unresponsive, healthy = await serve(nothing, log), await serve(echo, log)
        connections = Connections(silence_s=0.1)
        # Rendezvous hashing connects both from the start; deterministic subsetting would connect the second one later.
        given = replace(
            settings(0, catalog="x:1"),
            catalog="",
            servers=(address_of(unresponsive), address_of(healthy)),
            retry=AMPLE_RETRIES,
            connections=connections,
            health=replace(settings().health, probe_timeout_s=0.1),
            routing=Routing(subsetting="rendezvous"),
        )
        async with unresponsive, healthy, Client(given) as client:
            outcomes = [(await client.outcome("fuzzy-match", b"a")) for _ in range(20)]
            return outcomes, client.policy.counts["left out"]

    outcomes, ejections = asyncio.run(main())
    assert all(isinstance(outcome, Served) for outcome in outcomes) and ejections == 1
    assert max(outcome.span for outcome in outcomes) < 2.0


def test_outcomes_raise_typed_errors_and_invalid_arguments_value_errors() -> None:
    async def reject(connection: ScriptedConnection, message: dict[str, Any]) -> None:
        if message["method"] == "fuzzy-match":
            connection.send(jsonrpc.encode_error(message["id"], jsonrpc.REJECTED_CODE, "load", 1.5, True))

    async def test(client: Client, log: list[dict[str, Any]]) -> None:
        with pytest.raises(RefusedError) as refused:
            await client.call("fuzzy-match", b"a")
        assert refused.value.come_back == pytest.approx(1.5, abs=0.1)
        for arguments in ({"cls": "nope", "body": b""}, {"cls": "fuzzy-match", "body": b"x" * 3000}):
            with pytest.raises(ValueError):
                await client.call(**arguments)  # type: ignore[arg-type]
        with pytest.raises(ValueError):
            await client.call("fuzzy-match", b"", deadline=0.0)

    run_against(reject, test)

    async def silent(connection: ScriptedConnection, message: dict[str, Any]) -> None:
        pass

    async def expire(client: Client, log: list[dict[str, Any]]) -> None:
        with pytest.raises(ExpiredError):
            await client.call("fuzzy-match", b"a", deadline=0.4)

    run_against(silent, expire)


# Guards against threads that receive each other's responses, and against a client thread that outlives the client.
def test_the_blocking_client_is_shared_by_threads() -> None:
    async def echo_body(connection: ScriptedConnection, message: dict[str, Any]) -> None:
        connection.send(jsonrpc.encode_result(message["id"], base64.b64decode(message["params"]["arg"])))

    loop, ready = asyncio.new_event_loop(), threading.Event()
    server_state: dict[str, str] = {}

    def run_server() -> None:
        async def main() -> None:
            server = await serve(echo_body, [])
            server_state["address"], server_state["stop"] = address_of(server), asyncio.Event()  # type: ignore[assignment]
            ready.set()
            async with server:
                await server_state["stop"].wait()  # type: ignore[attr-defined]

        loop.run_until_complete(main())

    thread = threading.Thread(target=run_server)
    thread.start()
    ready.wait()
    given = replace(settings(0, catalog="x:1"), catalog="", servers=(server_state["address"],))
    mismatched: list[bytes] = []
    with BlockingClient(given) as client:

        def calls(n: int) -> None:
            for i in range(25):
                body = b"%d:%d" % (n, i)
                if client.call("fuzzy-match", body) != body:
                    mismatched.append(body)

        workers = [threading.Thread(target=calls, args=(n,)) for n in range(8)]
        for worker in workers:
            worker.start()
        for worker in workers:
            worker.join()
    assert not mismatched
    with pytest.raises(RuntimeError):
        client.call("fuzzy-match", b"")
    loop.call_soon_threadsafe(server_state["stop"].set)  # type: ignore[attr-defined]
    thread.join()
    loop.close()


# Guards against malformed answers of the registry that end the polling or remove the endpoints.
def test_the_client_survives_malformed_registry_answers_and_an_outage() -> None:
    async def main() -> None:
        log: list[dict[str, Any]] = []
        server, catalog = await serve(echo, log), Catalog(lag=0.0)
        catalog.addresses["n1"] = server.sockets[0].getsockname()[:2]
        await catalog.open("127.0.0.1")
        catalog.server_list.report(asyncio.get_running_loop().time(), "n1", True)
        rules = replace(settings().catalog_rules, poll_s=0.01, timeout_s=0.2)
        given = Settings(CLASSES, catalog="{}:{}".format(*catalog.address), catalog_rules=rules)
        async with server, Client(given) as client:

            async def until(event: str) -> None:
                count = client.policy.counts[event]
                while client.policy.counts[event] == count:
                    await asyncio.sleep(0.005)
                assert await client.call("fuzzy-match", b"a") == b"done"

            assert await client.call("fuzzy-match", b"a") == b"done"
            catalog.wrong_answer = "empty"
            await until("list empty")
            catalog.wrong_answer = "garbage"
            await until("catalog failed")
            address = catalog.address
            await catalog.close()
            await until("catalog failed")
            catalog.wrong_answer = ""
            await catalog.open(*address)
            catalog.server_list.report(asyncio.get_running_loop().time(), "n1", True)
            await until("list taken")
        await catalog.close()

    asyncio.run(asyncio.wait_for(main(), 20.0))


# Guards against commits that run twice, with real server processes on both wire protocols, a kill and a drain.
def test_no_commit_runs_twice_on_a_real_fleet_with_both_wires(tmp_path: Path) -> None:
    uwsgi = tmp_path / "uwsgi.toml"
    uwsgi.write_text('[front]\nlisten = "127.0.0.1:0"\npath = "/match/"\nheld_kb = 30.0\n')

    async def main() -> None:
        tap = Tap(time.monotonic)
        log = tmp_path / "log"
        box = Box(speed=4.0)
        async with Fleet(2, 1, boxes=[box, box], lag=0.1, log=log, extra=["--uwsgi", str(uwsgi)]) as fleet:
            await fleet.ready()
            tap.ignored_addresses.add(fleet.catalog.address)
            given = Settings(
                site.rules(),
                catalog="{}:{}".format(*fleet.catalog.address),
                retry=AMPLE_RETRIES,
                catalog_rules=replace(settings().catalog_rules, poll_s=0.1),
            )
            async with Client(given, sockets=tap.socket) as client:
                calls = [client.outcome(class_name, b"%d" % n) for n, class_name in enumerate([*site.rules()] * 8)]
                outcomes = await asyncio.gather(*calls)
                assert all(outcome.served for outcome in outcomes)
                assert outcomes[0].body == b"match:0"  # type: ignore[attr-defined]
                fleet.kill("n1", 0.2)
                fleet.drain("n2")
                more = await asyncio.gather(*(client.outcome("approve-commit", b"c%d" % n) for n in range(10)))
                assert all(
                    isinstance(outcome, Served | Uncertain) or not fleet.starts()[b"c%d" % n]
                    for n, outcome in enumerate(more)
                )
                assert max(fleet.starts().values()) == 1
            front = [line.split(" and ")[1] for line in log.read_text().splitlines() if " and " in line][0]
            over_uwsgi = replace(given, catalog="", servers=(front.strip(),), wire="uwsgi")
            async with Client(over_uwsgi) as client:
                first = await client.outcome("approve-commit", b"u", key="k1")
                again = await client.outcome("approve-commit", b"u", key="k1")
            if first.served:  # its server may be the one that was killed
                assert not isinstance(again, Served) or again.body == first.body  # type: ignore[attr-defined]
                assert fleet.starts()[b"u"] == 1
        sent = [attempt.call for attempt in tap.attempts]
        assert len(sent) == len(set(sent)) and tap.max_in_flight <= 32 and tap.unreadable == 0

    asyncio.run(asyncio.wait_for(main(), 60.0))


# Guards against a client that starts with invalid settings, and against a traceback instead of a message.
@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("", "no class of requests is configured: at least one [classes.NAME] is required"),
        ("[classes.a]\ndeadline_s = 1.0\n", "neither servers nor catalog configured: exactly one is required"),
        ('catalog = "x"\n[classes.a]\ndeadline_s = 1.0\n', "catalog: 'x' is not HOST:PORT with a port from 1 to 65535"),
        ('catalog = "x:1"\n[classes.a]\ndeadline_s = "1"\n', "classes[...].deadline_s: Expected `float`, got `str`"),
        ('catalog = "x:1"\n[classes.a]\ndeadline_s = -1.0\n', "classes.a.deadline_s = -1.0 must be above 0"),
        ('catalog = "x:1"\nretrys = 1\n[classes.a]\ndeadline_s = 1.0\n', "unknown setting retrys; known: classes, "),
        (
            'catalog = "x:1"\n[classes.a]\ndeadline_s = 1.0\n[retry]\nshares = 1\n',
            "unknown setting retry.shares; known: share, ",
        ),
        ('catalog = "x:1"\n[classes.a]\ndeadline_s = 1.0\n[retry]\nshare = 1.0\n', "retry.share = 1.0 must be below 1"),
        (
            'catalog = "x:1"\n[classes.a]\ndeadline_s = 0.2\n',
            "classes.a.estimate_s = 0.3 must be below deadline_s = 0.2",
        ),
        ("[[[", "cannot read client settings "),
    ],
)
def test_invalid_settings_are_reported_in_one_line(text: str, message: str, tmp_path: Path) -> None:
    path = tmp_path / "client.toml"
    path.write_text(text)
    with pytest.raises(SettingsError) as error:
        load(str(path))
    assert message in str(error.value) and "\n" not in str(error.value)
    result = CliRunner().invoke(app, ["call", "a", "body", "--settings", str(path)])
    assert result.exit_code == 2 and message in result.output


def test_the_deployed_settings_are_valid_and_the_command_exits_by_outcome() -> None:
    deployed = load(str(ROOT / "deploy/client.toml"))
    assert deployed.classes["approve-commit"].effect == "once"
    assert from_table({"catalog": "x:1", "classes": {"a": {"deadline_s": 1.0}}}).classes["a"] == ClassRule(1.0)
    arguments = ["call", "fuzzy-match", "x", "--settings", str(ROOT / "deploy/client.toml"), "--server", "127.0.0.1:1"]
    result = CliRunner().invoke(app, [*arguments, "--json", "--deadline", "0.9"])
    assert result.exit_code == 3 and json.loads(result.output)["outcome"] == "refused"


def test_fault_scripts_are_validated_and_seeded() -> None:
    names = [f"n{n}" for n in range(1, 11)]
    steps = parse("2 kill 20% back 5\n1 surge x1.5 for 10  # more\n3 deploy 98% batch 16% every 5", names, 7)
    assert [step.at for step in steps] == [1.0, 2.0, 3.0, 8.0, 13.0, 18.0, 23.0]
    assert sorted(name for step in steps if step.what == "drain" for name in step.servers) == sorted(names)
    assert steps == parse("2 kill 20% back 5\n1 surge x1.5 for 10\n3 deploy 98% batch 16% every 5", names, 7)
    for invalid in (
        "x kill n1 back 1",
        "1 kill n99 back 1",
        "1 kill n1",
        "1 slow n1 for 3",
        "1 catalog lies for 3",
        "1",
    ):
        with pytest.raises(ScriptError):
            parse(invalid, names, 1)


def test_the_busiest_second_is_a_sliding_window() -> None:
    assert most_in_a_second([0.1, 0.9, 1.05, 1.2, 3.0], 0.0, 9.0) == 3
    assert most_in_a_second([], 0.0, 9.0) == 0


def test_hooks_receive_every_event_of_a_call() -> None:
    import prometheus_client

    registry, events = prometheus_client.CollectorRegistry(), []

    class Log:
        def debug(self, event: str, **fields: Any) -> None:
            events.append((event, fields))

        warning = debug

    async def test(client: Client, log: list[dict[str, Any]]) -> None:
        client.policy.hook = both(logging_hook(Log()), metrics_hook(registry))
        await client.call("fuzzy-match", b"secret body")

    run_against(echo, test)
    assert [event for event, _ in events] == ["call", "dial", "try", "try served", "end served"]
    assert "secret" not in repr(events)
    count = registry.get_sample_value("lapishaven_client_call_seconds_count", {"cls": "fuzzy-match", "end": "served"})
    assert count == 1.0


# Guards against `lapishaven serve` importing the client, the lab or their dependencies.
def test_serve_imports_nothing_of_the_client_or_the_lab() -> None:
    import subprocess
    import sys

    code = (
        "import sys, lapishaven.cli, lapishaven.server\n"
        "print([m for m in sys.modules if f'{m}.'.startswith(('lapishaven.client.', 'lapishaven.lab.')) or m in "
        "('asyncio', 'msgspec', 'xxhash', 'structlog', 'prometheus_client', 'numpy')])"
    )
    out = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, cwd=ROOT, check=True)
    assert out.stdout.strip() == "[]"


def test_affinity_sends_the_row_on_the_wire() -> None:
    async def test(client: Client, log: list[dict[str, Any]]) -> None:
        await client.call("fuzzy-match", b"a", row=7)
        assert log[0]["params"]["row"] == f"{7:016x}"

    run_against(echo, test, routing=Routing("affinity"))
