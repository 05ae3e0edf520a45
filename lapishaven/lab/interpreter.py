"""A stand-in interpreter: its full protocol, and a model of the cores that its runs share.

Each run needs an amount of work, in seconds of a standard core. Active runs share the cores equally. Above ``crowd``
runs per core the total throughput drops; a cold machine starts at a fraction of its speed; a script may slow it down.
The machine crashes when the moving average over ``fall_span_s`` exceeds ``fall_multiple`` runs per core, or when the
runs fill its memory.
"""

from __future__ import annotations

import asyncio
from collections import Counter, OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from lapishaven.proto import ProtocolError
from lapishaven.proto.lines import LineBuffer

NOTICES_KEPT = 4000  # sent again to a backend that reconnects
MAX_LINE_BYTES = 16 * 1024
MAX_BODY_BYTES = 64 * 1024
STEP_INTERVAL_S = 0.01
ENDED_HANDLES_KEPT = 20_000  # an APPLY of one of these is answered MOOT


@dataclass(frozen=True, slots=True)
class Work:
    """The work of a class of requests, in seconds of a standard core, drawn uniformly from ``min_s`` to ``max_s``."""

    min_s: float
    max_s: float


@dataclass(frozen=True, slots=True)
class Box:
    """The parameters of one machine.

    ``speed``: of a core, in standard cores. ``crowd``: runs per core above which throughput drops. ``thrash``: the
    share of the throughput lost for each run per core above ``crowd``. ``cold_from``: the share of its speed at which
    a cold machine starts; ``cold_span_s``: the seconds until it is warm. ``fall_multiple``: the average runs per core
    at which the machine crashes; ``fall_span_s``: the time constant of that average. ``memory_runs``: the runs per core
    that fill the memory.
    """

    cores: int = 6
    speed: float = 1.0
    crowd: float = 3.0
    thrash: float = 0.25
    cold_from: float = 0.24
    cold_span_s: float = 17.0
    fall_multiple: float = 6.0
    fall_span_s: float = 1.5
    memory_runs: float = 12.0


@dataclass(slots=True)
class Run:
    """One run in progress. ``work_left_s``: in seconds of a standard core."""

    handle: str
    class_name: str
    body: bytes
    work_left_s: float
    started_at: float
    paused: bool = False


@dataclass(slots=True)
class Cores:
    """The model of a machine's cores, with time passed in. ``Interpreter`` and the emulator both step it.

    ``factor``: applied to the speed by a fault. ``runs_per_core``: the moving average that decides about a crash;
    ``max_runs_per_core``: its maximum so far. ``core_use``: the moving average of the share of the cores in use.
    """

    box: Box
    work_by_class: dict[str, Work]
    random: Random
    started_at: float
    cold: bool
    factor: float = 1.0
    runs: dict[str, Run] = field(default_factory=dict)
    now: float = 0.0
    runs_per_core: float = 0.0
    max_runs_per_core: float = 0.0
    crashed: bool = False
    core_use: float = 0.0

    def __post_init__(self) -> None:
        self.now = self.started_at

    def speed(self, now: float) -> float:
        """The speed of one core, in standard cores."""
        warm = 1.0
        if self.cold:
            age = (now - self.started_at) / self.box.cold_span_s
            warm = min(1.0, self.box.cold_from + (1 - self.box.cold_from) * age)
        return self.box.speed * self.factor * warm

    def start(self, now: float, handle: str, class_name: str, body: bytes) -> None:
        """Start a run with work drawn for its class."""
        work = self.work_by_class[class_name]
        self.runs[handle] = Run(handle, class_name, body, self.random.uniform(work.min_s, work.max_s), now)

    @property
    def on_cores(self) -> int:
        """The number of runs that are not paused."""
        return sum(not run.paused for run in self.runs.values())

    def rate(self, now: float, running: int) -> float:
        """Work done per second for each run, in seconds of a standard core, while ``running`` of them are active."""
        if not running:
            return 0.0
        per_core = running / self.box.cores
        lost = min(0.9, max(0.0, per_core - self.box.crowd) * self.box.thrash)
        return self.speed(now) * min(1.0, 1.0 / per_core) * (1.0 - lost)

    def step(self, now: float) -> list[Run]:
        """Advance the runs to ``now`` and return those that ended."""
        span, self.now = now - self.now, now
        if span <= 0:
            return []
        active = [run for run in self.runs.values() if not run.paused]
        done = self.rate(now, len(active)) * span
        ended = []
        for run in active:
            run.work_left_s -= done
            if run.work_left_s <= 0:
                ended.append(run)
                del self.runs[run.handle]
        per_core = len(active) / self.box.cores
        smoothing = min(1.0, span / self.box.fall_span_s)
        self.runs_per_core += smoothing * (per_core - self.runs_per_core)
        self.max_runs_per_core = max(self.max_runs_per_core, self.runs_per_core)
        self.core_use += min(1.0, span / 0.3) * (min(1.0, per_core) - self.core_use)
        if self.runs_per_core > self.box.fall_multiple or len(self.runs) > self.box.memory_runs * self.box.cores:
            self.crashed = True
        return ended


class Interpreter:
    """A stand-in for the external interpreter of one match server, listening on a loopback address."""

    def __init__(
        self,
        box: Box,
        work_by_class: dict[str, Work],
        random: Random,
        gauges: tuple[str, ...],
        on_crash: Callable[[], None] = lambda: None,
        on_run_started: Callable[[bytes], None] = lambda body: None,
    ) -> None:
        """``on_crash`` is called when the machine crashes, ``on_run_started`` with the body of each run that starts."""
        self.box, self.work_by_class, self.random, self.gauges, self.on_crash = (
            box,
            work_by_class,
            random,
            gauges,
            on_crash,
        )
        self.on_run_started = on_run_started
        self.starts: Counter[bytes] = Counter()  # runs started, by request body
        self.completed: Counter[bytes] = Counter()  # runs completed, by request body
        self.rejected = 0
        self.address: tuple[str, int] = ("", 0)
        self._server: asyncio.Server | None = None
        self._connection: asyncio.StreamWriter | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self.factor = 1.0
        self.up = False
        self.reset(cold=False)

    def reset(self, cold: bool) -> None:
        """Act as a newly started process: nothing runs, and notices are numbered from 1."""
        self.cores = Cores(
            self.box, self.work_by_class, self.random, asyncio.get_running_loop().time(), cold, self.factor
        )
        self._number = 0
        self._notices: deque[tuple[int, bytes]] = deque(maxlen=NOTICES_KEPT)
        self._ended: OrderedDict[str, None] = OrderedDict()
        self.up = True

    def down(self) -> None:
        """Act as a crashed process: drop every run and abort the connection of the backend."""
        self.up = False
        self.cores.runs.clear()
        if self._connection is not None:
            self._connection.transport.abort()
            self._connection = None

    def slow(self, factor: float) -> None:
        """Multiply the speed by ``factor`` from now on."""
        self.factor = self.cores.factor = factor

    async def open(self, host: str, port: int = 0) -> None:
        """Listen on ``port`` of ``host``, or on a free one, and start to advance the runs."""
        await self.listen(host, port)
        self._spawn(self._step_cores())

    async def listen(self, host: str, port: int = 0) -> None:
        """Listen on ``port`` of ``host``, or on a free one, in place of the present address. The runs stay."""
        self.hide()
        self._server = await asyncio.start_server(self._serve, host, port)
        self.address = self._server.sockets[0].getsockname()[:2]

    def hide(self) -> None:
        """Stop listening. Runs and the open connection stay."""
        if self._server is not None:
            self._server.close()
            self._server = None

    @property
    def hidden(self) -> bool:
        """Whether it does not listen."""
        return self._server is None

    def cut(self) -> None:
        """Abort the backend's connection. Runs go on."""
        if self._connection is not None:
            self._connection.transport.abort()
            self._connection = None

    async def close(self) -> None:
        """Stop listening, drop every run and end all tasks."""
        if self._server is not None:
            self._server.close()
        self.down()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _spawn(self, work: object) -> None:
        task: asyncio.Task[None] = asyncio.get_running_loop().create_task(work)  # type: ignore[arg-type]
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _step_cores(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(STEP_INTERVAL_S)
            if not self.up:
                continue
            now = loop.time()
            for run in self.cores.step(now):
                self.completed[run.body] += 1
                self._remember_ended(run.handle)
                self._notice(f"{run.handle} OK {(now - run.started_at) * 1000:.3f}", result(run.body))
            if self.cores.crashed:
                self.on_crash()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if not self.up:
            writer.transport.abort()
            return
        lines, body = LineBuffer(MAX_LINE_BYTES), None
        try:
            while data := await reader.read(65536):
                lines.feed(data)
                while True:
                    if body is not None:
                        block = lines.block(body[2] + 2)
                        if block is None:
                            break
                        self._apply(writer, body[0], body[1], block[:-2])
                        body = None
                        continue
                    line = lines.line()
                    if line is None:
                        break
                    words = line.decode().split(" ")
                    if words[0] == "APPLY" and len(words) == 4 and 0 <= int(words[3]) <= MAX_BODY_BYTES:
                        body = words[1], words[2], int(words[3])
                    else:
                        self._command(writer, words)
        except (ProtocolError, ValueError, IndexError, ConnectionError):
            pass  # a malformed command closes the connection
        finally:
            if self._connection is writer:
                self._connection = None
            writer.close()

    def _command(self, writer: asyncio.StreamWriter, words: list[str]) -> None:
        now = asyncio.get_running_loop().time()
        command, argument = words[0], words[1]
        if command == "CONNECT":
            if self._connection is not None and self._connection is not writer:
                self._connection.close()  # each new connection replaces the previous one
            self._connection = writer
            state, age = "COLD" if self.cores.cold else "WARM", (now - self.cores.started_at) * 1000
            self._write(f"BANNER {state} {age:.0f}\r\n".encode())
            for number, notice in self._notices:
                if number > int(argument):
                    self._write(notice)
        elif command == "TOP":
            values = {
                "core_use": self.cores.core_use,
                "on_cores": float(self.cores.on_cores),
                "heap_share": len(self.cores.runs) / (self.box.memory_runs * self.box.cores),
                "links": 1.0,
            }
            gauges = " ".join(f"{values[name]:.4f}" for name in self.gauges)
            self._write(f"TOPS {argument} {gauges}\r\n".encode())
        elif command == "SMOKE":
            self._write(f"SMOKED {argument} OK\r\n".encode())
        elif command == "BREAK":
            run = self.cores.runs.get(argument)
            if run is not None and not run.paused:
                run.paused = True
                self._notice(f"{argument} STOPPED {(now - run.started_at) * 1000:.3f}", b"")
        elif command == "CONTINUE":
            run = self.cores.runs.get(argument)
            if run is not None:
                run.paused = False
            elif argument in self._ended:
                self._notice(f"{argument} MOOT 0.000", b"")
            else:
                self._reject("CONTINUE", argument)
        else:
            raise ValueError(f"unknown interpreter command {command[:40]!r}; closing the connection")

    def _apply(self, writer: asyncio.StreamWriter, handle: str, class_name: str, body: bytes) -> None:
        if class_name not in self.work_by_class:
            return self._reject("APPLY", handle)
        if handle in self.cores.runs:
            return  # a repeated APPLY of a run in progress
        if handle in self._ended:
            return self._notice(f"{handle} MOOT 0.000", b"")
        self.starts[body] += 1
        self.on_run_started(body)
        self.cores.start(asyncio.get_running_loop().time(), handle, class_name, body)

    def _reject(self, command: str, handle: str) -> None:
        self.rejected += 1
        self._write(f"ERROR {command} {handle}\r\n".encode())

    def _remember_ended(self, handle: str) -> None:
        self._ended[handle] = None
        while len(self._ended) > ENDED_HANDLES_KEPT:
            self._ended.popitem(last=False)

    def _notice(self, text: str, body: bytes) -> None:
        self._number += 1
        line = f"VALUE {self._number} {text} {len(body)}\r\n".encode() + body + b"\r\n"
        self._notices.append((self._number, line))
        self._write(line)

    def _write(self, data: bytes) -> None:
        if self._connection is not None and not self._connection.is_closing():
            self._connection.write(data)


def result(body: bytes) -> bytes:
    """The result of a run, derived from the request body so that a checker can verify it."""
    return b"match:" + body
