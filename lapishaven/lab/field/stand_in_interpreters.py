"""Stand-in interpreters for a whole tier in one process, whose runs take time but no processor.

Each interpreter executes up to ``slots`` runs at a time, in order, each for its work over the speed. The process also
has a catalog for the tier's servers. Commands on standard input, one JSON object a line: ``{"slow": [N, FACTOR]}``
slows interpreter N down, ``{"fail": [N, true]}`` makes its runs fail at once, ``{"cold": N}`` restarts it cold without
its runs, and ``{"report": true}`` prints what happened since the last report: which runs began when, how many bodies
that must run at most once began twice, and the interpreter seconds for which one was empty while runs waited at
another.
"""

from __future__ import annotations

import asyncio
import json
import os
import sys
import threading
import time
from collections import Counter, deque
from dataclasses import replace
from random import Random
from typing import Any

from lapishaven.lab import site
from lapishaven.lab.catalog import Catalog
from lapishaven.lab.interpreter import Box, Interpreter, result


class TierStatistics:
    """Statistics over all interpreters: how many are empty, how many have waiting runs, and which runs began."""

    def __init__(self) -> None:
        self.empty = self.waiting = 0
        self.idle, self._since = 0.0, 0.0
        self.began: list[tuple[float, int]] = []
        self.bodies: Counter[bytes] = Counter()

    def accumulate_idle(self) -> None:
        """Add the time since the last change to ``idle``, if runs waited."""
        now = time.monotonic()
        if self.waiting:
            self.idle += self.empty * (now - self._since)
        self._since = now


class TimedInterpreter(Interpreter):
    """An interpreter that ends each run by a timer."""

    def __init__(self, number: int, statistics: TierStatistics, box: Box, scale: float, random: Random) -> None:
        works = {
            name: replace(work, min_s=work.min_s * scale, max_s=work.max_s * scale) for name, work in site.WORKS.items()
        }
        super().__init__(box, works, random, site.GAUGES)
        self._interpreter_number, self._statistics = number, statistics
        self._queue: deque[str] = deque()
        self._timers: dict[str, asyncio.TimerHandle] = {}
        self.fails = False
        statistics.empty += 1

    async def _step_cores(self) -> None:
        """Does nothing: the base class steps through runs here, but these have timers."""

    def _count_state(self, sign: int) -> None:
        self._statistics.empty += sign * (not self._timers)
        self._statistics.waiting += sign * bool(self._queue)

    def _apply(self, writer: asyncio.StreamWriter, handle: str, class_name: str, body: bytes) -> None:
        run_count = len(self.cores.runs)
        super()._apply(writer, handle, class_name, body)
        if len(self.cores.runs) == run_count:
            return
        self._statistics.began.append((time.monotonic(), self._interpreter_number))
        self._statistics.bodies[body] += 1
        if self.fails:
            del self.cores.runs[handle]
            self._remember_ended(handle)
            return self._notice(f"{handle} ERROR 0.000", b"")
        self._statistics.accumulate_idle()
        self._count_state(-1)
        self._queue.append(handle)
        self._start_runs()
        self._count_state(1)

    def _start_runs(self) -> None:
        loop = asyncio.get_running_loop()
        while self._queue and len(self._timers) < self.box.cores:
            handle = self._queue.popleft()
            duration_s = self.cores.runs[handle].work_left_s / self.cores.speed(loop.time())
            self._timers[handle] = loop.call_later(duration_s, self._done, handle)

    def _release(self, handle: str) -> None:
        """Free a run's slot, or its place in the queue."""
        self._statistics.accumulate_idle()
        self._count_state(-1)
        timer = self._timers.pop(handle, None)
        if timer is not None:
            timer.cancel()
        elif handle in self._queue:
            self._queue.remove(handle)
        self._start_runs()
        self._count_state(1)

    def _done(self, handle: str) -> None:
        run = self.cores.runs.pop(handle, None)
        self._release(handle)
        if run is not None:
            self._remember_ended(handle)
            spent = asyncio.get_running_loop().time() - run.started_at
            self._notice(f"{handle} OK {spent * 1000:.3f}", result(run.body))

    def _command(self, writer: asyncio.StreamWriter, words: list[str]) -> None:
        super()._command(writer, words)
        if words[0] == "BREAK" and words[1] in self.cores.runs:
            self._release(words[1])
        elif words[0] == "CONTINUE" and words[1] in self.cores.runs and words[1] not in self._timers:
            self._count_state(-1)
            self._queue.append(words[1])
            self._start_runs()
            self._count_state(1)

    def restart_cold(self) -> None:
        """Lose all runs and restart cold."""
        self._statistics.accumulate_idle()
        self._count_state(-1)
        for timer in self._timers.values():
            timer.cancel()
        self._timers.clear()
        self._queue.clear()
        self._count_state(1)
        self.down()
        self.reset(cold=True)


async def run(spec: dict[str, Any]) -> None:
    """Run the interpreters and the catalog that ``spec`` describes until standard input ends."""
    loop, statistics, random = asyncio.get_running_loop(), TierStatistics(), Random(spec["seed"])
    interpreters = [
        TimedInterpreter(
            n,
            statistics,
            Box(cores=spec["slots"], speed=speed, cold_span_s=spec.get("cold_span", 4.0)),
            spec["scale"],
            Random(random.getrandbits(64)),
        )
        for n, speed in enumerate(spec["speeds"])
    ]
    for interpreter in interpreters:
        await interpreter.open("127.0.0.1")
    catalog = Catalog(0.1)
    catalog.addresses.update({name: ("127.0.0.1", 1) for name in spec["names"]})
    await catalog.open("127.0.0.1", 0)
    input_ended = asyncio.Event()

    def report_event(what: str, **facts: Any) -> None:
        event = {"at": time.clock_gettime(time.CLOCK_BOOTTIME), "who": spec["name"], "what": what, **facts}
        data = json.dumps(event).encode() + b"\n"
        while data:
            data = data[os.write(1, data) :]

    def execute(command: dict[str, Any]) -> None:
        if "slow" in command:
            number, factor = command["slow"]
            interpreters[number].slow(factor)
        if "fail" in command:
            interpreters[command["fail"][0]].fails = command["fail"][1]
        if "cold" in command:
            interpreters[command["cold"]].restart_cold()
        if "report" in command:
            statistics.accumulate_idle()
            twice = sum(count > 1 for body, count in statistics.bodies.items() if body.startswith(b"once"))
            report_event(
                "report", began=[(round(at, 4), n) for at, n in statistics.began], twice=twice, idle=statistics.idle
            )
            statistics.idle = 0.0
            statistics.began.clear()
        else:
            report_event("done", word=next(iter(command)))

    def read_commands() -> None:
        for line in sys.stdin:
            loop.call_soon_threadsafe(execute, json.loads(line))
        loop.call_soon_threadsafe(input_ended.set)

    report_event("start", ports=[interpreter.address[1] for interpreter in interpreters], catalog=catalog.address[1])
    threading.Thread(target=read_commands, daemon=True).start()
    await input_ended.wait()


if __name__ == "__main__":
    asyncio.run(run(json.loads(sys.argv[1])))
