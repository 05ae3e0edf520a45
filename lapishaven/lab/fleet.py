"""A fleet of real match server processes on loopback, with stand-in interpreters and a stand-in catalog.

``Fleet`` starts, kills, restarts, drains and slows the servers as a fault script says, and on exit ends every process
that it started.
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
    """The fleet did not start, or its process ended. The text says why."""


def own_host() -> str:
    """A loopback address derived from the process id, so that fleets of different processes do not share ports."""
    pid = os.getpid()
    return f"127.{64 + pid // 65536 % 64}.{pid // 256 % 256}.{pid % 256}"


@dataclass(slots=True)
class Node:
    """One match server: its process and its stand-in interpreter.

    ``exit_expected``: the fleet is stopping the process, so its exit is no crash.
    """

    name: str
    box: Box
    interpreter: Interpreter
    address: tuple[str, int]
    config: Path
    process: asyncio.subprocess.Process | None = None
    starts: int = 0
    exit_expected: bool = False
    watcher: asyncio.Task[None] | None = None
    exit_codes: list[int] = field(default_factory=list)


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
        """``lag``: seconds by which the catalog's published list trails the reports. ``extra``: further arguments of
        ``lapishaven serve``. ``keep``: restart a server that exits by itself with code 0. ``tree``: the root of the
        source tree that the servers run from.
        """
        self._tree = tree
        self._closing = False
        self._keep = keep
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
        """The servers' names: n1, n2 and so on."""
        return [f"n{n + 1}" for n in range(len(self.boxes))]

    def capacity(self) -> float:
        """Requests per second that the warm cores can serve, with the default mix of classes."""
        return sum(box.cores * box.speed for box in self.boxes) / site.MEAN_WORK_S

    async def __aenter__(self) -> Fleet:
        self.loop = asyncio.get_running_loop()
        await self.catalog.open(self.catalog_host or self.host, self._catalog_port)
        for name, box in zip(self.names, self.boxes, strict=True):
            interpreter = Interpreter(
                box,
                site.WORKS,
                Random(self.random.getrandbits(64)),
                site.GAUGES,
                partial(self._interpreter_crashed, name),
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
            await self._stop_process(node, signal.SIGKILL)
            await node.interpreter.close()
        await self.catalog.close()
        self._ports.close()
        self._folder.cleanup()

    async def ready(self, timeout: float = 30.0) -> None:
        """Wait until the catalog's published list has every server as passing."""
        until = self.loop.time() + timeout
        while self.loop.time() < until:
            listing = self.catalog.server_list.published(self.loop.time())
            if len(listing.servers) == len(self.nodes) and all(row.passing for row in listing.servers):
                return
            if self.crashes:
                raise FleetError(f"starting the fleet: {self.crashes[0]}")
            await asyncio.sleep(0.05)
        raise FleetError(
            f"starting the fleet: the catalog does not list {len(self.nodes)} servers as passing after {timeout:g} s"
        )

    # ---- Faults
    def kill(self, name: str, restart_after_s: float) -> None:
        """Kill the server and its interpreter, and restart both cold after ``restart_after_s``."""
        self._spawn(self._kill(self.nodes[name], restart_after_s))

    def drain(self, name: str) -> None:
        """Shut the server down gracefully, with SIGKILL after ``site.STOP_MS``, then restart it cold."""
        self._spawn(self._drain(self.nodes[name]))

    def slow(self, name: str, factor: float) -> None:
        """Multiply the speed of the server's interpreter by ``factor``."""
        self.nodes[name].interpreter.slow(factor)
        self._record_event("slow" if factor < 1 else "fast again", name)

    async def play(self, steps: Sequence[Step], start: float) -> None:
        """Execute a fault script. Its times count from ``start`` on the loop's clock."""
        for step in steps:
            await asyncio.sleep(max(0.0, start + step.at - self.loop.time()))
            for name in step.servers:
                if step.what == "kill":
                    self.kill(name, step.duration_s)
                elif step.what == "drain":
                    self.drain(name)
                elif step.what == "slow":
                    self.slow(name, step.factor)
                    self.loop.call_later(step.duration_s, self.slow, name, 1.0)
            if step.what == "catalog-away":
                self._spawn(self._stop_catalog(step.duration_s))
            elif step.what == "catalog-lies":
                self.catalog.wrong_answer = step.variant  # type: ignore[assignment]
                self._record_event(f"catalog lies {step.variant}", "")
                self.loop.call_later(step.duration_s, self._restore_catalog_answers)

    def starts(self) -> Counter[bytes]:
        """Runs started on all servers, by request body."""
        return sum((node.interpreter.starts for node in self.nodes.values()), Counter())

    def completed(self) -> Counter[bytes]:
        """Runs completed on all servers, by request body."""
        return sum((node.interpreter.completed for node in self.nodes.values()), Counter())

    # ---- Processes
    def _record_event(self, event: str, name: str) -> None:
        self.events.append((self.loop.time(), event, name))

    def _spawn(self, work: object) -> None:
        task: asyncio.Task[None] = self.loop.create_task(work)  # type: ignore[arg-type]
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _restore_catalog_answers(self) -> None:
        self.catalog.wrong_answer = ""

    async def _stop_catalog(self, duration_s: float) -> None:
        address = self.catalog.address
        self._record_event("catalog away", "")
        await self.catalog.close()
        await asyncio.sleep(duration_s)
        await self.catalog.open(*address)
        self._record_event("catalog back", "")

    async def _start(self, node: Node, cold: bool) -> None:
        node.interpreter.reset(cold)
        node.starts += 1
        node.exit_expected = False
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
        log_file = open(self._log, "ab") if self._log is not None else None  # noqa: SIM115
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
                stdout=log_file or asyncio.subprocess.DEVNULL,
                stderr=log_file or asyncio.subprocess.DEVNULL,
                cwd=self._tree,
                env={**os.environ, "PYTHONPATH": str(self._tree)},
            )
        finally:
            if log_file is not None:
                log_file.close()
        node.watcher = self.loop.create_task(self._watch(node, node.process))
        self._record_event("start", node.name)

    async def _watch(self, node: Node, process: asyncio.subprocess.Process) -> None:
        code = await process.wait()
        node.exit_codes.append(code)
        if self._keep and not node.exit_expected and not self._closing and code == 0:
            self._record_event("left", node.name)
            node.interpreter.down()
            await self._start(node, cold=True)
        elif not node.exit_expected:
            self.crashes.append(f"{node.name}: the server process exited unexpectedly with code {code}")
            self._record_event("crash", node.name)

    async def _stop_process(self, node: Node, signal_number: signal.Signals) -> None:
        process = node.process
        if process is not None and process.returncode is None:
            node.exit_expected = True
            process.send_signal(signal_number)
            await process.wait()

    async def _kill(self, node: Node, restart_after_s: float) -> None:
        self._record_event("kill", node.name)
        node.exit_expected = True
        node.interpreter.down()
        await self._stop_process(node, signal.SIGKILL)
        await asyncio.sleep(restart_after_s)
        await self._start(node, cold=True)

    async def _drain(self, node: Node) -> None:
        process = node.process
        if process is None or process.returncode is not None:
            return
        self._record_event("drain", node.name)
        node.exit_expected = True
        process.send_signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(process.wait(), site.STOP_MS / 1000)
        except TimeoutError:
            self._record_event("killed after its drain time", node.name)
            await self._stop_process(node, signal.SIGKILL)
        node.interpreter.down()
        await self._start(node, cold=True)

    def _interpreter_crashed(self, name: str) -> None:
        """Kill the server of an overloaded interpreter and restart both."""
        self.crashes.append(f"{name}: the interpreter crashed under overload; restarting it in 5 s")
        self.nodes[name].interpreter.cores.crashed = False
        self.kill(name, 5.0)


class RemoteFleet:
    """A fleet in a separate process, so that starting servers does not delay the load generator.

    Both processes read the system's monotonic clock, which gives the start time of the script.
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
            raise FleetError("reading from the fleet's process: it ended before it answered")
        message: dict[str, Any] = json.loads(line)
        return message

    async def _send(self, **command: Any) -> None:
        assert self._process is not None and self._process.stdin is not None
        self._process.stdin.write(json.dumps(command).encode() + b"\n")
        await self._process.stdin.drain()

    async def play(self, start: float) -> None:
        """Start the fault script at ``start`` on the monotonic clock."""
        await self._send(start=start)

    async def report(self) -> dict[str, Any]:
        """Runs started by request body, crashes, and the numbers of events and of rejected commands."""
        await self._send(report=True)
        return await self._read()

    async def __aexit__(self, *_: object) -> None:
        assert self._process is not None and self._process.stdin is not None
        self._process.stdin.close()  # the process ends at the end of its standard input
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
        script_task: asyncio.Task[None] | None = None
        while line := await reader.readline():
            command = json.loads(line)
            if "start" in command:
                script_task = loop.create_task(fleet.play(steps, command["start"]))
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
        if script_task is not None:
            script_task.cancel()


if __name__ == "__main__":
    asyncio.run(_serve(json.loads(sys.argv[1])))
