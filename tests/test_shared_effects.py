"""Effects over upgrades, on real processes: whichever process a repeat reaches, what was run is not run again.

Each test holds the callers' socket and starts server processes on it, each with a stand-in interpreter, as the platform
does. A connection that is opened while the other processes are stopped is accepted by the one that is not.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import tempfile
import time
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from pathlib import Path
from random import Random

import pytest

from lapishaven.lab import site
from lapishaven.lab.catalog import Catalog
from lapishaven.lab.handover.platform import Platform, Process
from lapishaven.lab.interpreter import Box, Interpreter, Work
from lapishaven.proto import jsonrpc

HOST = "127.0.0.1"
COMMIT, FREE = "approve-commit", "fuzzy-match"
RUN_S, DEADLINE_S, WINDOW_S = 0.6, 2.0, 5.0
GREETING_RUN_S = 0.05  # the others are stopped as long as this runs, and their requests' time goes on
SLACK_S = 0.15  # the settings' slack for an answer, and the protocol's for sockets
KILL_S = DEADLINE_S + 0.7


class Connection:
    """One caller's connection; ``send`` returns a task whose result is the reply."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writer = writer
        self.replies: dict[int, asyncio.Future[jsonrpc.Reply]] = {}
        self.sent_at: dict[int, float] = {}
        self.calls: dict[int, str] = {}
        self.task = asyncio.create_task(self._read(reader))

    async def _read(self, reader: asyncio.StreamReader) -> None:
        parser = jsonrpc.ClientParser()
        while data := await reader.read(65536):
            for reply in parser.feed(data):
                if not isinstance(reply, jsonrpc.Draining) and reply.id is not None:
                    self.replies[reply.id].set_result(reply)

    def send(self, body: str, key: str | None = None, class_name: str = COMMIT, call: str | None = None):
        number = len(self.replies) + 1
        self.calls[number] = call or f"{Random().getrandbits(64):016x}"
        future = self.replies[number] = asyncio.get_running_loop().create_future()
        data = jsonrpc.encode_request(
            number,
            class_name,
            self.calls[number],
            body.encode(),
            24.5,
            received_at=time.time(),
            caller_id=1,
            is_retry=False,
            rank=0.9,
            idempotency_key=key,
        )
        self.writer.write(data)
        return future

    def forget(self, number: int) -> None:
        self.writer.write(jsonrpc.encode_cancel(self.calls[number]))


class Upgrades:
    """The platform, its processes, and what their interpreters ran."""

    def __init__(self, effect: str, run_s: float) -> None:
        self.effect, self.run_s = effect, run_s
        self.runs: list[tuple[str, str]] = []  # process and body
        self.interpreters: dict[str, Interpreter] = {}
        self.connections: list[Connection] = []
        self.stack = AsyncExitStack()

    async def __aenter__(self) -> Upgrades:
        self.folder = Path(self.stack.enter_context(tempfile.TemporaryDirectory(prefix="lapishaven-effects-")))
        self.catalog = Catalog(lag=0.5)
        await self.catalog.open(HOST)
        self.stack.push_async_callback(self.catalog.close)
        self.platform = await self.stack.enter_async_context(Platform(HOST, self.folder))
        return self

    async def __aexit__(self, *_: object) -> None:
        for process in self.platform.processes:
            self.send_signal(process, signal.SIGCONT)
        for connection in self.connections:
            connection.task.cancel()
            connection.writer.close()
        for interpreter in self.interpreters.values():
            await interpreter.close()
        await self.stack.aclose()

    async def start(self, name: str, up: bool = True) -> Process:
        """Start a process and wait for its yes; without ``up`` its interpreter is away, and there will be none."""
        works = {kind.name: Work(self.run_s, self.run_s) for kind in site.CLASSES}
        works[FREE] = Work(GREETING_RUN_S, GREETING_RUN_S)
        interpreter = self.interpreters[name] = Interpreter(
            Box(cores=12), works, Random(1), site.GAUGES, on_run_started=lambda body: self._ran(name, body)
        )
        await interpreter.open(HOST)
        bound = ("127.0.0.1", 1)
        text = site.configuration(
            "n1", bound, interpreter.address, self.catalog.address, len(self.interpreters), Box(cores=12), 1, 1, False
        )
        config = json.loads(text)
        for profile in config["settings"]["profiles"]:
            profile["deadline"] = DEADLINE_S
            profile["window"] = WINDOW_S
            if profile["name"] == COMMIT:
                profile["effect"] = self.effect
        process = await self.platform.start(name, json.dumps(config))
        if up:
            await self.platform.ready(process)
        else:
            interpreter.hide()
        return process

    def _ran(self, name: str, body: bytes) -> None:
        self.runs.append((name, body.decode()))

    async def connect(self, to: Process) -> Connection:
        """Open a connection that ``to`` accepts, as all others that live are stopped meanwhile."""
        others = [process for process in self.platform.processes if process is not to]
        for other in others:
            self.send_signal(other, signal.SIGSTOP)
        try:
            connection = Connection(*await asyncio.open_connection(*self.platform.address))
            self.connections.append(connection)
            reply = await asyncio.wait_for(connection.send("hello", class_name=FREE), 5.0)
            assert isinstance(reply, jsonrpc.ResultResponse)
        finally:
            for other in others:
                self.send_signal(other, signal.SIGCONT)
        return connection

    def send_signal(self, process: Process, number: signal.Signals) -> None:
        """Signal a process, unless it has ended."""
        with contextlib.suppress(ProcessLookupError):
            process.child.send_signal(number)

    def terminate(self, process: Process) -> asyncio.Task[float]:
        """SIGTERM, and SIGKILL when the platform's time is up."""
        return asyncio.create_task(self.platform.terminate(process, KILL_S))

    def commits(self) -> list[str]:
        """The bodies of the commits that were run, in order."""
        return [body for _, body in self.runs if body != "hello"]


def play(script: Callable[[Upgrades], Awaitable[None]], effect: str = "guarded", run_s: float = RUN_S) -> None:
    async def main() -> None:
        async with Upgrades(effect, run_s) as upgrades:
            await script(upgrades)
            assert upgrades.platform.crashes == []

    asyncio.run(asyncio.wait_for(main(), 60.0))


def served(reply: object) -> bool:
    return isinstance(reply, jsonrpc.ResultResponse)


def failed(reply: object) -> bool:
    return isinstance(reply, jsonrpc.ErrorResponse) and reply.code != jsonrpc.REJECTED_CODE


# Guards against an effect that runs twice over an upgrade: a repeat reaches the new process while the old one, which
# was terminated, runs it (review/1).
@pytest.mark.parametrize("effect", ["guarded", "single_shot"])
def test_a_repeat_of_what_the_old_process_runs_gets_its_result(effect: str) -> None:
    async def script(upgrades: Upgrades) -> None:
        old = await upgrades.start("old")
        first = await upgrades.connect(old)
        new = await upgrades.start("new")
        tries = [first.send(f"body {n}", f"key {n}") for n in range(6)]
        await asyncio.sleep(0.2)
        upgrades.terminate(old)
        second = await upgrades.connect(new)
        tries += [second.send(f"body {n}", f"key {n}") for n in range(6)]
        other = await second.send("another body", "key 0")
        assert failed(other)
        replies = await asyncio.gather(*tries)
        assert all(map(served, replies))
        assert [reply.body for reply in replies[:6]] == [reply.body for reply in replies[6:]]
        assert sorted(upgrades.commits()) == [f"body {n}" for n in range(6)]

    play(script, effect)


# Guards against a kept result that is lost, and its effect run again, with the process that has left.
def test_a_result_that_the_old_process_kept_outlives_it() -> None:
    async def script(upgrades: Upgrades) -> None:
        old = await upgrades.start("old")
        first = await (await upgrades.connect(old)).send("body", "key")
        new = await upgrades.start("new")
        connection = await upgrades.connect(new)
        before = await connection.send("body", "key")
        old.end_expected = True
        await upgrades.platform.kill(old)
        after = await connection.send("body", "key")
        assert served(first) and served(before) and served(after)
        assert first.body == before.body == after.body
        assert upgrades.commits() == ["body"]

    play(script)


# Guards the time between the new process's yes and the old one's SIGTERM: both serve, and either may get a repeat.
def test_while_both_serve_either_answers_for_the_other() -> None:
    async def script(upgrades: Upgrades) -> None:
        old = await upgrades.start("old")
        to_old = await upgrades.connect(old)
        to_new = await upgrades.connect(await upgrades.start("new"))
        tries = [to_new.send("body 1", "key 1"), to_old.send("body 2", "key 2")]
        await asyncio.sleep(0.2)
        tries += [to_old.send("body 1", "key 1"), to_new.send("body 2", "key 2")]
        assert all(map(served, await asyncio.gather(*tries)))
        assert sorted(run for run in upgrades.runs if run[1] != "hello") == [("new", "body 1"), ("old", "body 2")]

    play(script)


# Guards against two runs when both processes get the same effect at the same moment.
def test_of_two_tries_at_once_one_runs() -> None:
    async def script(upgrades: Upgrades) -> None:
        old = await upgrades.start("old")
        connections = [await upgrades.connect(old), await upgrades.connect(await upgrades.start("new"))]
        tries = [connection.send(f"body {n}", f"key {n}") for n in range(40) for connection in connections]
        replies = await asyncio.gather(*tries)
        assert sorted(upgrades.commits()) == sorted(f"body {n}" for n in range(40))
        assert all(map(served, replies))

    play(script, run_s=0.05)


# Guards against the result of another body when both processes get a key at the same moment, with two bodies.
def test_of_two_bodies_under_one_key_one_runs() -> None:
    async def script(upgrades: Upgrades) -> None:
        old = await upgrades.start("old")
        connections = [await upgrades.connect(old), await upgrades.connect(await upgrades.start("new"))]
        for n in range(20):
            tries = [connection.send(f"body {n} {i}", f"key {n}") for i, connection in enumerate(connections)]
            replies = await asyncio.gather(*tries)
            assert sorted(map(served, replies)) == sorted(map(failed, replies)) == [False, True]
        assert sorted(body.rsplit(" ", 1)[0] for body in upgrades.commits()) == sorted(f"body {n}" for n in range(20))

    play(script, run_s=0.05)


# Guards against "refused" for what the old process has run, from a new one whose interpreter is not up yet.
def test_a_process_that_is_not_up_does_not_refuse_what_ran() -> None:
    async def script(upgrades: Upgrades) -> None:
        old = await upgrades.start("old")
        assert served(await (await upgrades.connect(old)).send("body", "key"))
        old.child.send_signal(signal.SIGSTOP)
        await upgrades.start("new", up=False)
        connection = Connection(*await asyncio.open_connection(*upgrades.platform.address))
        upgrades.connections.append(connection)
        replies = await asyncio.gather(connection.send("body", "key"), connection.send("other", "other key"))
        assert failed(replies[0])
        assert isinstance(replies[1], jsonrpc.ErrorResponse) and replies[1].code == jsonrpc.REJECTED_CODE
        assert upgrades.commits() == ["body"]

    play(script, run_s=0.1)


# Guards against a second run, or a wait until the due time, when the process that ran the first try is killed.
def test_a_repeat_of_what_a_killed_process_ran_fails_at_once() -> None:
    async def script(upgrades: Upgrades) -> None:
        old = await upgrades.start("old")
        first = await upgrades.connect(old)
        second = await upgrades.connect(await upgrades.start("new"))
        first.send("body", "key")
        await asyncio.sleep(0.2)
        waiting = second.send("body", "key")
        await asyncio.sleep(0.1)
        old.end_expected = True
        killed_at = time.monotonic()
        await upgrades.platform.kill(old)
        assert failed(await waiting) and failed(await second.send("body", "key"))
        assert time.monotonic() - killed_at < 0.5
        assert upgrades.commits() == ["body"]

    play(script, run_s=1.5)


# Guards against a stopped process that holds up the start of the next one, or answers past their due time.
def test_a_stopped_process_delays_nothing_past_its_due_time() -> None:
    async def script(upgrades: Upgrades) -> None:
        old = await upgrades.start("old")
        first = await upgrades.connect(old)
        first.send("body", "key")
        await asyncio.sleep(0.2)
        old.child.send_signal(signal.SIGSTOP)
        new = await upgrades.start("new")
        assert new.ready_at is not None and new.ready_at - new.started_at < 3.0
        second = Connection(*await asyncio.open_connection(*upgrades.platform.address))
        upgrades.connections.append(second)
        sent_at = time.monotonic()
        repeats = [second.send("body", "key") for _ in range(20)]
        fresh = [second.send(f"fresh {n}", f"fresh {n}") for n in range(5)]
        assert all(map(served, await asyncio.gather(*fresh)))
        assert time.monotonic() - sent_at < 1.0
        assert all(map(failed, await asyncio.gather(*repeats)))
        assert time.monotonic() - sent_at < DEADLINE_S + SLACK_S
        assert upgrades.commits().count("body") == 1

    play(script, run_s=0.3)


def test_two_upgrades_close_together() -> None:
    async def script(upgrades: Upgrades) -> None:
        processes = [await upgrades.start("p1")]
        first = await upgrades.connect(processes[0])
        tries = [first.send("body", "key")]
        for name in ("p2", "p3"):
            processes.append(await upgrades.start(name))
            upgrades.terminate(processes[-2])
        last = await upgrades.connect(processes[-1])
        tries += [last.send("body", "key"), last.send("body", "key")]
        assert all(map(served, await asyncio.gather(*tries)))
        assert upgrades.commits() == ["body"]

    play(script, run_s=1.2)


# Guards against a run that is stopped as its own caller leaves, while a repeat waits for it in another process.
def test_a_run_goes_on_for_a_repeat_in_another_process() -> None:
    async def script(upgrades: Upgrades) -> None:
        old = await upgrades.start("old")
        first = await upgrades.connect(old)
        second = await upgrades.connect(await upgrades.start("new"))
        first.send("body", "key")
        await asyncio.sleep(0.2)
        repeat = second.send("body", "key")
        await asyncio.sleep(0.1)
        first.forget(2)
        assert served(await repeat)
        assert upgrades.commits() == ["body"]

    play(script)


# Guards against an id that runs twice as it comes again after its client has left: the run is stopped, or still queued,
# in the one process, and the same ids come to the other (picture c of the operators' letter).
@pytest.mark.parametrize("effect", ["guarded", "single_shot"])
@pytest.mark.parametrize("left_after_s", [0.0, 0.02, 0.2])
def test_ids_of_a_client_that_left_do_not_run_again_in_the_other_process(effect: str, left_after_s: float) -> None:
    async def script(upgrades: Upgrades) -> None:
        old = await upgrades.start("old")
        first = await upgrades.connect(old)
        second = await upgrades.connect(await upgrades.start("new"))
        bodies = [f"body {n}" for n in range(20)]  # more than run at once
        for body in bodies:
            first.send(body, body)
        await asyncio.sleep(left_after_s)
        first.writer.transport.abort()
        repeats = [second.send(body, body) for body in bodies]
        await asyncio.sleep(0.05)
        upgrades.terminate(old)
        replies = await asyncio.wait_for(asyncio.gather(*repeats), DEADLINE_S + SLACK_S)
        commits = upgrades.commits()
        assert len(commits) == len(set(commits)), "a commit ran twice"
        answered = [body for body, reply in zip(bodies, replies, strict=True) if served(reply) or failed(reply)]
        assert set(commits) <= set(answered), "what ran was called refused"

    play(script, effect)


# Guards attempts without a key: the same attempt, sent again on another connection, must not run in another process.
def test_an_attempt_is_known_in_the_other_process() -> None:
    async def script(upgrades: Upgrades) -> None:
        old = await upgrades.start("old")
        first = await upgrades.connect(old)
        second = await upgrades.connect(await upgrades.start("new"))
        attempt = first.send("body", call="00000000deadbeef")
        await asyncio.sleep(0.2)
        assert failed(await second.send("body", call="00000000deadbeef"))
        assert served(await attempt)
        assert upgrades.commits() == ["body"]

    play(script, "single_shot")


# Guards against state that a crash has left, or another program: a process starts and serves beside it.
def test_a_process_starts_beside_damaged_files() -> None:
    async def script(upgrades: Upgrades) -> None:
        old = await upgrades.start("old")
        assert served(await (await upgrades.connect(old)).send("body 1", "key 1"))
        old.end_expected = True
        await upgrades.platform.kill(old)
        assert upgrades.platform.listener is not None
        inode = os.fstat(upgrades.platform.listener.fileno()).st_ino
        (folder,) = upgrades.folder.glob(f"lapishaven-socket-{inode}-*")
        for path in folder.glob("*.log"):
            with path.open("ab") as file:
                file.write(b'\n1234abcd 1-a 1 claim 9e9 ["cut')
        (folder / "claims-7.log").write_bytes(os.urandom(3000))
        (folder / "process-nobody").write_bytes(b"")
        new = await upgrades.start("new")
        connection = await upgrades.connect(new)
        replies = [await connection.send("body 1", "key 1"), await connection.send("body 2", "key 2")]
        assert all(map(served, replies))
        assert upgrades.commits() == ["body 1", "body 2"]

    play(script, run_s=0.1)
