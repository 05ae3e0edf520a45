"""A fleet of real match servers on loopback: processes round stand-in interpreters and a catalog.

The supervisor starts, kills, restarts, drains and slows them by script. Everything is bounded: it stops at a
time, and ends every process that it started.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
import tempfile
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from random import Random
from typing import Any

from lapishaven.lab import site
from lapishaven.lab.catalog import Catalog
from lapishaven.lab.interpreter import Box, Interpreter
from lapishaven.lab.ports import Ports
from lapishaven.lab.script import Step, parse

ROOT = Path(__file__).parent.parent.parent


class FleetError(RuntimeError):
    """The fleet cannot go on; the text says why."""


def own_host() -> str:
    """A loopback address that no other process's fleet takes, so that ports do not meet."""
    pid = os.getpid()
    return f"127.{64 + pid // 65536 % 64}.{pid // 256 % 256}.{pid % 256}"


@dataclass(slots=True)
class Node:
    """One server of the fleet: its process and its interpreter."""

    name: str
    box: Box
    interpreter: Interpreter
    address: tuple[str, int]
    config: Path
    process: asyncio.subprocess.Process | None = None
    starts: int = 0
    expected: bool = False  # the process is meant to end
    watcher: asyncio.Task[None] | None = None
    codes: list[int] = field(default_factory=list)


class Fleet:
    """``async with Fleet(4, seed=1) as fleet: ...``; clients find the servers at ``fleet.catalog.address``."""

    def __init__(
        self,
        servers: int,
        seed: int,
        *,
        callers: int = 4,
        boxes: Sequence[Box] = (),
        lag: float = 1.5,
        host: str = "",
        catalog_host: str = "",
        catalog_port: int = 0,
        log: Path | None = None,
        extra: Sequence[str] = (),
        keep: bool = False,
        tree: Path = ROOT,
    ) -> None:
        """``tree`` is the root of the program's tree that the servers run from."""
        self._tree = tree
        self._closing = False
        self._keep = keep  # a server that leaves by itself, with code 0, is started again
        self.random = Random(seed)
        self.catalog_host, self.host = catalog_host, host or own_host()
        self._catalog_port, self._callers, self._extra = catalog_port, callers, extra
        self.boxes = list(boxes) or [site.box(self.random) for _ in range(servers)]
        self.catalog = Catalog(lag)
        self.nodes: dict[str, Node] = {}
        self.events: list[tuple[float, str, str]] = []
        self.crashes: list[str] = []
        self._log = log
        self._folder = tempfile.TemporaryDirectory(prefix="lapishaven-fleet-")
        self._tasks: set[asyncio.Task[None]] = set()
        self._ports = Ports()

    @property
    def names(self) -> list[str]:
        return [f"n{n + 1}" for n in range(len(self.boxes))]

    def capacity(self) -> float:
        """Requests a second that the warm cores can do, with the brief's mix."""
        return sum(box.cores * box.speed for box in self.boxes) / site.MEAN_WORK

    async def __aenter__(self) -> Fleet:
        self.loop = asyncio.get_running_loop()
        await self.catalog.open(self.catalog_host or self.host, self._catalog_port)
        for name, box in zip(self.names, self.boxes, strict=True):
            interpreter = Interpreter(
                box, site.WORKS, Random(self.random.getrandbits(64)), site.GAUGES, partial(self._fell, name)
            )
            await interpreter.open(self.host)
            address = self._ports.take(self.host)
            self.catalog.addresses[name] = address
            self.nodes[name] = Node(name, box, interpreter, address, Path(self._folder.name, f"{name}.json"))
        for node in self.nodes.values():
            await self._start(node, cold=False)
        return self

    async def __aexit__(self, *_: object) -> None:
        self._closing = True
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for node in self.nodes.values():
            await self._end(node, signal.SIGKILL)
            await node.interpreter.close()
        await self.catalog.close()
        self._ports.close()
        self._folder.cleanup()

    async def ready(self, timeout: float = 30.0) -> None:
        """Wait until the catalog's clients see every server passing."""
        until = self.loop.time() + timeout
        while self.loop.time() < until:
            seen = self.catalog.book.seen(self.loop.time())
            if len(seen.servers) == len(self.nodes) and all(row.passing for row in seen.servers):
                return
            if self.crashes:
                raise FleetError(f"the fleet did not come up: {self.crashes[0]}")
            await asyncio.sleep(0.05)
        raise FleetError(f"the fleet did not come up within {timeout:g} s")

    # ---- What the script does
    def kill(self, name: str, back: float) -> None:
        """The server dies with its interpreter, and starts again cold after ``back`` seconds."""
        self._task(self._kill(self.nodes[name], back))

    def drain(self, name: str) -> None:
        """The notice to leave; SIGKILL follows after its time, then a cold successor."""
        self._task(self._drain(self.nodes[name]))

    def slow(self, name: str, factor: float) -> None:
        self.nodes[name].interpreter.slow(factor)
        self._note("slow" if factor < 1 else "fast again", name)

    async def play(self, steps: Sequence[Step], start: float) -> None:
        """Carry out a script, times counted from ``start`` on the loop's clock."""
        for step in steps:
            await asyncio.sleep(max(0.0, start + step.at - self.loop.time()))
            for name in step.servers:
                if step.what == "kill":
                    self.kill(name, step.span)
                elif step.what == "drain":
                    self.drain(name)
                elif step.what == "slow":
                    self.slow(name, step.factor)
                    self.loop.call_later(step.span, self.slow, name, 1.0)
            if step.what == "catalog-away":
                self._task(self._catalog_away(step.span))
            elif step.what == "catalog-lies":
                self.catalog.lie = step.word  # type: ignore[assignment]
                self._note(f"catalog lies {step.word}", "")
                self.loop.call_later(step.span, self._truth)

    def starts(self) -> Counter[bytes]:
        """Runs begun over all servers, by body."""
        return sum((node.interpreter.starts for node in self.nodes.values()), Counter())

    def completed(self) -> Counter[bytes]:
        return sum((node.interpreter.completed for node in self.nodes.values()), Counter())

    # ---- Processes
    def _note(self, what: str, name: str) -> None:
        self.events.append((self.loop.time(), what, name))

    def _task(self, work: object) -> None:
        task: asyncio.Task[None] = self.loop.create_task(work)  # type: ignore[arg-type]
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _truth(self) -> None:
        self.catalog.lie = ""

    async def _catalog_away(self, span: float) -> None:
        address = self.catalog.address
        self._note("catalog away", "")
        await self.catalog.close()
        await asyncio.sleep(span)
        await self.catalog.open(*address)
        self._note("catalog back", "")

    async def _start(self, node: Node, cold: bool) -> None:
        node.interpreter.reset(cold)
        node.starts += 1
        node.expected = False
        node.config.write_text(
            site.configuration(
                node.name,
                node.address,
                node.interpreter.address,
                self.catalog.address,
                self.random.getrandbits(64),
                node.box,
                len(self.boxes),
                self._callers,
                cold,
            )
        )
        out = open(self._log, "ab") if self._log is not None else None  # noqa: SIM115
        try:
            node.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "lapishaven",
                "serve",
                "--config",
                str(node.config),
                *self._extra,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=out or asyncio.subprocess.DEVNULL,
                stderr=out or asyncio.subprocess.DEVNULL,
                cwd=self._tree,
                env={**os.environ, "PYTHONPATH": str(self._tree)},
            )
        finally:
            if out is not None:
                out.close()
        node.watcher = self.loop.create_task(self._watch(node, node.process))
        self._note("start", node.name)

    async def _watch(self, node: Node, process: asyncio.subprocess.Process) -> None:
        code = await process.wait()
        node.codes.append(code)
        if self._keep and not node.expected and not self._closing and code == 0:
            self._note("left", node.name)
            node.interpreter.down()
            await self._start(node, cold=True)
        elif not node.expected:
            self.crashes.append(f"{node.name} ended by itself with {code}")
            self._note("crash", node.name)

    async def _end(self, node: Node, number: signal.Signals) -> None:
        process = node.process
        if process is not None and process.returncode is None:
            node.expected = True
            process.send_signal(number)
            await process.wait()

    async def _kill(self, node: Node, back: float) -> None:
        self._note("kill", node.name)
        node.expected = True
        node.interpreter.down()
        await self._end(node, signal.SIGKILL)
        await asyncio.sleep(back)
        await self._start(node, cold=True)

    async def _drain(self, node: Node) -> None:
        process = node.process
        if process is None or process.returncode is not None:
            return
        self._note("drain", node.name)
        node.expected = True
        process.send_signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(process.wait(), site.STOP_MS / 1000)
        except TimeoutError:
            self._note("killed in its drain", node.name)
            await self._end(node, signal.SIGKILL)
        node.interpreter.down()
        await self._start(node, cold=True)

    def _fell(self, name: str) -> None:
        """The interpreter fell over, and the server with it."""
        self.crashes.append(f"{name} fell over")
        self.nodes[name].interpreter.cores.fallen = False
        self.kill(name, 5.0)


class RemoteFleet:
    """A fleet in a process of its own, so that starting servers does not make the load late.

    The two processes share the system's monotonic clock, by which the script starts.
    """

    def __init__(self, servers: int, seed: int, *, callers: int = 4, script: str = "", pools: bool = False) -> None:
        self._spec = {"servers": servers, "seed": seed, "callers": callers, "script": script, "pools": pools}
        self._process: asyncio.subprocess.Process | None = None

    async def __aenter__(self) -> RemoteFleet:
        self._process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "lapishaven.lab.fleet",
            json.dumps(self._spec),
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            limit=64 * 1024 * 1024,
        )
        ready = await self._read()
        self.capacity: float = ready["capacity"]
        self.names: list[str] = ready["names"]
        self.catalog: tuple[str, int] = (ready["catalog"][0], ready["catalog"][1])
        return self

    async def _read(self) -> dict[str, Any]:
        assert self._process is not None and self._process.stdout is not None
        line = await self._process.stdout.readline()
        if not line:
            raise FleetError("the fleet's process ended")
        found: dict[str, Any] = json.loads(line)
        return found

    async def _say(self, **words: Any) -> None:
        assert self._process is not None and self._process.stdin is not None
        self._process.stdin.write(json.dumps(words).encode() + b"\n")
        await self._process.stdin.drain()

    async def play(self, start: float) -> None:
        """Begin the script at this time of the monotonic clock."""
        await self._say(start=start)

    async def report(self) -> dict[str, Any]:
        """Runs begun by body, crashes, how many events."""
        await self._say(report=True)
        return await self._read()

    async def __aexit__(self, *_: object) -> None:
        assert self._process is not None and self._process.stdin is not None
        self._process.stdin.close()  # its sign to end
        try:
            await asyncio.wait_for(self._process.wait(), 10.0)
        except TimeoutError:
            self._process.kill()
            await self._process.wait()


async def _serve(spec: dict[str, Any]) -> None:
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    extra = ["--pools", str(ROOT / "deploy/pools.toml")] if spec["pools"] else []
    async with Fleet(spec["servers"], spec["seed"], callers=spec["callers"], extra=extra) as fleet:
        await fleet.ready()
        steps = parse(spec["script"], fleet.names, spec["seed"])
        print(
            json.dumps(
                {
                    "capacity": fleet.capacity(),
                    "names": fleet.names,
                    "catalog": fleet.catalog.address,
                }
            ),
            flush=True,
        )
        script: asyncio.Task[None] | None = None
        while line := await reader.readline():
            words = json.loads(line)
            if "start" in words:
                script = loop.create_task(fleet.play(steps, words["start"]))
            else:
                starts = {body.decode(): count for body, count in fleet.starts().items()}
                print(
                    json.dumps(
                        {
                            "starts": starts,
                            "crashes": fleet.crashes,
                            "events": len(fleet.events),
                            "rejected": sum(node.interpreter.rejected for node in fleet.nodes.values()),
                        }
                    ),
                    flush=True,
                )
        if script is not None:
            script.cancel()


if __name__ == "__main__":
    asyncio.run(_serve(json.loads(sys.argv[1])))
