"""A stand-in for the interpreter, after the table "The interpreter" of the protocol page.

Each class of requests runs for a fixed time. Notices are numbered from 1, and those after N follow a ``CONNECT N``.
"""

from __future__ import annotations

import asyncio
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from lib.record import Record
from lib.settings import CORES, Address

NOTICES_KEPT = 4000


@dataclass(slots=True)
class Run:
    """One run; ``timer`` is ``None`` while it is paused."""

    class_name: str
    body: bytes
    began_at: float
    left_s: float  # of work, at the usual speed of a core
    resumed_at: float
    timer: asyncio.TimerHandle | None = None


class Interpreter:
    """Runs what one match server process asks for.

    ``seconds``: how long a run takes, by class. ``ended``: how the run of each attempt ended. ``started``: class and
    body of each run that was begun, in order.
    """

    def __init__(self, name: str, record: Record, seconds: dict[str, float]) -> None:
        self.name = name
        self.seconds = seconds
        self.started: list[tuple[float, str, bytes]] = []
        self.on_started: Callable[[str, bytes], None] = lambda class_name, body: None
        self.ended: dict[str, str] = {}
        self.slowness = 1.0
        self.address: Address = ("", 0)
        self._record = record
        self._runs: dict[str, Run] = {}
        self._known: dict[str, tuple[str, bytes]] = {}
        self._number = 0
        self._notices: deque[tuple[int, bytes]] = deque(maxlen=NOTICES_KEPT)
        self._link: asyncio.StreamWriter | None = None
        self._server: asyncio.Server | None = None

    async def open(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = self._server.sockets[0].getsockname()[:2]

    def close(self) -> None:
        """Stop listening, and end the link and every run."""
        if self._server is not None:
            self._server.close()
        for run in self._runs.values():
            if run.timer is not None:
                run.timer.cancel()
        if self._link is not None:
            self._link.transport.abort()

    def slow(self, slowness: float) -> None:
        """Run everything ``slowness`` times slower than usual from now on."""
        active = [(attempt, run) for attempt, run in self._runs.items() if run.timer is not None]
        for _, run in active:
            self._halt(run)
        self.slowness = slowness
        self._record.add(f"slow  interpreter={self.name} {slowness:g} times")
        for attempt, run in active:
            self._schedule(attempt, run)

    # ---- Commands
    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while line := await reader.readline():
                words = line.decode().split()
                if not words:
                    continue
                if words[0] == "APPLY":
                    body = (await reader.readexactly(int(words[3]) + 2))[:-2]
                    self._apply(words[1], words[2], body)
                else:
                    self._command(writer, words[0], words[1])
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError, ValueError, IndexError):
            pass  # what is no command closes the link
        finally:
            if self._link is writer:
                self._link = None
            writer.close()

    def _command(self, writer: asyncio.StreamWriter, command: str, argument: str) -> None:
        if command == "CONNECT":
            self._connect(writer, int(argument))
        elif command == "TOP":
            self._write(f"TOPS {argument} {' '.join(f'{value:.4f}' for value in self._gauges())}\r\n".encode())
        elif command == "SMOKE":
            self._write(f"SMOKED {argument} OK\r\n".encode())
        elif command == "BREAK":
            self._break(argument)
        elif command == "CONTINUE":
            self._continue(argument)
        else:
            raise ValueError(command)

    def _connect(self, writer: asyncio.StreamWriter, last_read: int) -> None:
        if self._link is not None and self._link is not writer:
            self._link.close()
        self._link = writer
        self._write(b"BANNER WARM 60000\r\n")
        for number, notice in self._notices:
            if number > last_read:
                self._write(notice)

    def _gauges(self) -> tuple[float, ...]:
        on_cores = float(sum(run.timer is not None for run in self._runs.values()))
        return min(1.0, on_cores / CORES), on_cores, len(self._runs) / (12.0 * CORES), 1.0

    def _apply(self, attempt: str, class_name: str, body: bytes) -> None:
        if attempt in self._runs:
            return
        if attempt in self.ended:
            self._notice(attempt, "MOOT", 0.0, b"")
            return
        now = time.monotonic()
        run = self._runs[attempt] = Run(class_name, body, now, self.seconds[class_name], now)
        self.started.append((now, class_name, body))
        self._record.add(f"run   interpreter={self.name} call={attempt} class={class_name} body={body.decode()}")
        self.on_started(class_name, body)
        self._schedule(attempt, run)

    def _schedule(self, attempt: str, run: Run) -> None:
        run.resumed_at = time.monotonic()
        run.timer = asyncio.get_running_loop().call_later(run.left_s * self.slowness, self._done, attempt)

    def _halt(self, run: Run) -> None:
        assert run.timer is not None
        run.timer.cancel()
        run.timer = None
        run.left_s -= (time.monotonic() - run.resumed_at) / self.slowness

    def _done(self, attempt: str) -> None:
        run = self._runs.pop(attempt)
        self.ended[attempt] = "OK"
        self._record.add(
            f"done  interpreter={self.name} call={attempt} class={run.class_name} body={run.body.decode()}"
        )
        self._notice(attempt, "OK", time.monotonic() - run.began_at, result_of(run.body))

    def _break(self, attempt: str) -> None:
        run = self._runs.get(attempt)
        if run is None or run.timer is None:
            return
        self._halt(run)
        self._record.add(f"break interpreter={self.name} call={attempt}")
        self._notice(attempt, "STOPPED", time.monotonic() - run.began_at, b"")

    def _continue(self, attempt: str) -> None:
        run = self._runs.get(attempt)
        if run is not None and run.timer is None:
            self._schedule(attempt, run)

    # ---- Notices
    def _notice(self, attempt: str, end: str, elapsed_s: float, result: bytes) -> None:
        self._number += 1
        head = f"VALUE {self._number} {attempt} {end} {elapsed_s * 1000:.3f} {len(result)}\r\n".encode()
        self._notices.append((self._number, head + result + b"\r\n"))
        self._write(head + result + b"\r\n")

    def _write(self, data: bytes) -> None:
        if self._link is not None and not self._link.is_closing():
            self._link.write(data)


def result_of(body: bytes) -> bytes:
    """The result of a run, by which a caller can tell whose it is."""
    return b"result of " + body
