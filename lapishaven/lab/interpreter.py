"""A stand-in interpreter: the whole of its protocol, and a model of cores shared by all that runs.

Each run has so much work, in seconds on a standard core. What runs shares the cores; past ``crowd`` runs a core
everything gets less done in total; a cold start works at part of its speed; a box may be slowed by a script.
With more than ``fall_multiple`` runs a core in the mean of ``fall_span`` seconds it falls over.
"""

from __future__ import annotations

import asyncio
from collections import Counter, OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from lapishaven.proto import ProtocolError
from lapishaven.proto.lines import LineBuffer

KEPT = 4000  # notices retained
LINE_LIMIT = 16 * 1024
BODY_LIMIT = 64 * 1024
TICK = 0.01  # s between two steps of the cores
ENDED_KEPT = 20_000  # names of ended runs, for which a further APPLY is moot


@dataclass(frozen=True, slots=True)
class Work:
    """What a class takes: seconds on a standard core, drawn evenly between the two."""

    least: float
    most: float


@dataclass(frozen=True, slots=True)
class Box:
    """One machine."""

    cores: int = 6
    speed: float = 1.0
    crowd: float = 3.0  # runs a core past which all of them get less done
    thrash: float = 0.25  # part of the throughput lost for each further run a core
    cold_from: float = 0.24
    cold_span: float = 17.0
    fall_multiple: float = 6.0
    fall_span: float = 1.5
    memory_runs: float = 12.0  # runs a core that fill the memory


@dataclass(slots=True)
class Running:
    handle: str
    cls: str
    body: bytes
    left: float
    began: float
    paused: bool = False


@dataclass(slots=True)
class Cores:
    """The model alone, with time passed in; the server below and simulated time both step it."""

    box: Box
    works: dict[str, Work]
    random: Random
    began: float
    cold: bool
    factor: float = 1.0  # of speed, by a trouble
    runs: dict[str, Running] = field(default_factory=dict)
    now: float = 0.0
    crowded: float = 0.0  # smoothed runs a core
    worst: float = 0.0  # the most that it came to
    fallen: bool = False
    used: float = 0.0  # smoothed part of the cores in use

    def __post_init__(self) -> None:
        self.now = self.began

    def speed(self, now: float) -> float:
        """Of one core, in standard cores."""
        warm = 1.0
        if self.cold:
            age = (now - self.began) / self.box.cold_span
            warm = min(1.0, self.box.cold_from + (1 - self.box.cold_from) * age)
        return self.box.speed * self.factor * warm

    def start(self, now: float, handle: str, cls: str, body: bytes) -> None:
        work = self.works[cls]
        self.runs[handle] = Running(handle, cls, body, self.random.uniform(work.least, work.most), now)

    @property
    def on_cores(self) -> int:
        return sum(not run.paused for run in self.runs.values())

    def rate(self, now: float, running: int) -> float:
        """Seconds of work that each of so many runs gets done in a second."""
        if not running:
            return 0.0
        each = running / self.box.cores
        lost = min(0.9, max(0.0, each - self.box.crowd) * self.box.thrash)
        return self.speed(now) * min(1.0, 1.0 / each) * (1.0 - lost)

    def step(self, now: float) -> list[Running]:
        """Work up to now; gives what ended."""
        span, self.now = now - self.now, now
        if span <= 0:
            return []
        active = [run for run in self.runs.values() if not run.paused]
        done = self.rate(now, len(active)) * span
        ended = []
        for run in active:
            run.left -= done
            if run.left <= 0:
                ended.append(run)
                del self.runs[run.handle]
        each = len(active) / self.box.cores
        part = min(1.0, span / self.box.fall_span)
        self.crowded += part * (each - self.crowded)
        self.worst = max(self.worst, self.crowded)
        self.used += min(1.0, span / 0.3) * (min(1.0, each) - self.used)
        if self.crowded > self.box.fall_multiple or len(self.runs) > self.box.memory_runs * self.box.cores:
            self.fallen = True
        return ended


class Interpreter:
    """The process beside one match server, on a loopback address."""

    def __init__(
        self,
        box: Box,
        works: dict[str, Work],
        random: Random,
        gauges: tuple[str, ...],
        fell: Callable[[], None] = lambda: None,
        began: Callable[[bytes], None] = lambda body: None,
    ) -> None:
        """``fell`` is told when the box falls over, ``began`` the body of each run that begins."""
        self.box, self.works, self.random, self.gauges, self.fell = box, works, random, gauges, fell
        self.began = began
        self.starts: Counter[bytes] = Counter()  # runs begun, by body: the ledger of effects
        self.completed: Counter[bytes] = Counter()
        self.rejected = 0
        self.address: tuple[str, int] = ("", 0)
        self._server: asyncio.Server | None = None
        self._link: asyncio.StreamWriter | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self.factor = 1.0
        self.up = False
        self.reset(cold=False)

    def reset(self, cold: bool) -> None:
        """The process starts: nothing runs, notices are numbered from 1."""
        self.cores = Cores(self.box, self.works, self.random, asyncio.get_running_loop().time(), cold, self.factor)
        self._number = 0
        self._notices: deque[tuple[int, bytes]] = deque(maxlen=KEPT)
        self._ended: OrderedDict[str, None] = OrderedDict()
        self.up = True

    def down(self) -> None:
        """It dies, and with it all that runs."""
        self.up = False
        self.cores.runs.clear()
        if self._link is not None:
            self._link.transport.abort()
            self._link = None

    def slow(self, factor: float) -> None:
        """From now on it works at this part of its speed."""
        self.factor = self.cores.factor = factor

    async def open(self, host: str) -> None:
        self._server = await asyncio.start_server(self._serve, host, 0)
        self.address = self._server.sockets[0].getsockname()[:2]
        self._task(self._work())

    async def close(self) -> None:
        if self._server is not None:
            self._server.close()
        self.down()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _task(self, work: object) -> None:
        task: asyncio.Task[None] = asyncio.get_running_loop().create_task(work)  # type: ignore[arg-type]
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _work(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(TICK)
            if not self.up:
                continue
            now = loop.time()
            for run in self.cores.step(now):
                self.completed[run.body] += 1
                self._over(run.handle)
                self._notice(f"{run.handle} OK {(now - run.began) * 1000:.3f}", result(run.body))
            if self.cores.fallen:
                self.fell()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if not self.up:
            writer.transport.abort()
            return
        lines, body = LineBuffer(LINE_LIMIT), None
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
                    if words[0] == "APPLY" and len(words) == 4 and 0 <= int(words[3]) <= BODY_LIMIT:
                        body = words[1], words[2], int(words[3])
                    else:
                        self._command(writer, words)
        except (ProtocolError, ValueError, IndexError, ConnectionError):
            pass  # what is not a command closes the link
        finally:
            if self._link is writer:
                self._link = None
            writer.close()

    def _command(self, writer: asyncio.StreamWriter, words: list[str]) -> None:
        now = asyncio.get_running_loop().time()
        kind, word = words[0], words[1]
        if kind == "CONNECT":
            if self._link is not None and self._link is not writer:
                self._link.close()  # each new link replaces the previous one
            self._link = writer
            state, age = "COLD" if self.cores.cold else "WARM", (now - self.cores.began) * 1000
            self._write(f"BANNER {state} {age:.0f}\r\n".encode())
            for number, notice in self._notices:
                if number > int(word):
                    self._write(notice)
        elif kind == "TOP":
            values = {
                "core_use": self.cores.used,
                "on_cores": float(self.cores.on_cores),
                "heap_share": len(self.cores.runs) / (self.box.memory_runs * self.box.cores),
                "links": 1.0,
            }
            told = " ".join(f"{values[name]:.4f}" for name in self.gauges)
            self._write(f"TOPS {word} {told}\r\n".encode())
        elif kind == "SMOKE":
            self._write(f"SMOKED {word} OK\r\n".encode())
        elif kind == "BREAK":
            run = self.cores.runs.get(word)
            if run is not None and not run.paused:
                run.paused = True
                self._notice(f"{word} STOPPED {(now - run.began) * 1000:.3f}", b"")
        elif kind == "CONTINUE":
            run = self.cores.runs.get(word)
            if run is not None:
                run.paused = False
            elif word in self._ended:
                self._notice(f"{word} MOOT 0.000", b"")
            else:
                self._reject("CONTINUE", word)
        else:
            raise ValueError(f"not a command: {kind}")

    def _apply(self, writer: asyncio.StreamWriter, handle: str, cls: str, body: bytes) -> None:
        if cls not in self.works:
            return self._reject("APPLY", handle)
        if handle in self.cores.runs:
            return  # it runs already
        if handle in self._ended:
            return self._notice(f"{handle} MOOT 0.000", b"")
        self.starts[body] += 1
        self.began(body)
        self.cores.start(asyncio.get_running_loop().time(), handle, cls, body)

    def _reject(self, command: str, handle: str) -> None:
        self.rejected += 1
        self._write(f"ERROR {command} {handle}\r\n".encode())

    def _over(self, handle: str) -> None:
        self._ended[handle] = None
        while len(self._ended) > ENDED_KEPT:
            self._ended.popitem(last=False)

    def _notice(self, text: str, body: bytes) -> None:
        self._number += 1
        line = f"VALUE {self._number} {text} {len(body)}\r\n".encode() + body + b"\r\n"
        self._notices.append((self._number, line))
        self._write(line)

    def _write(self, data: bytes) -> None:
        if self._link is not None and not self._link.is_closing():
            self._link.write(data)


def result(body: bytes) -> bytes:
    """What a run makes of a body; a checker can tell it from anything else."""
    return b"match:" + body
