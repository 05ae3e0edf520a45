"""Stand-in interpreters for a whole tier in one process, as light as the machine needs: work is time and no processor.

Each has ``slots`` at which runs are worked at in their order, each for its work over the speed. The process also has a
catalog for its servers. ``{"slow": [N, FACTOR]}``, ``{"fail": [N, true]}`` (every run fails at once) and
``{"cold": N}`` (it died and is back cold) change one; ``{"report": true}`` has it say what was begun when, which bodies
were begun twice, and how long an empty one stood beside one whose runs waited, since the last report.
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


class Hall:
    """What is known of all at once: who is empty and who has runs that wait."""

    def __init__(self) -> None:
        self.empty = self.waiting = 0
        self.idle, self._since = 0.0, 0.0
        self.began: list[tuple[float, int]] = []
        self.bodies: Counter[bytes] = Counter()

    def flow(self) -> None:
        now = time.monotonic()
        if self.waiting:
            self.idle += self.empty * (now - self._since)
        self._since = now


class Light(Interpreter):
    """An interpreter whose runs end by a timer each."""

    def __init__(self, number: int, hall: Hall, box: Box, scale: float, random: Random) -> None:
        works = {
            name: replace(work, min_s=work.min_s * scale, max_s=work.max_s * scale) for name, work in site.WORKS.items()
        }
        super().__init__(box, works, random, site.GAUGES)
        self._at, self._hall = number, hall
        self._queue: deque[str] = deque()
        self._timers: dict[str, asyncio.TimerHandle] = {}
        self.fails = False
        hall.empty += 1

    async def _step_cores(self) -> None:
        """No steps: each run has a timer."""

    def _mark(self, sign: int) -> None:
        self._hall.empty += sign * (not self._timers)
        self._hall.waiting += sign * bool(self._queue)

    def _apply(self, writer: asyncio.StreamWriter, handle: str, cls: str, body: bytes) -> None:
        before = len(self.cores.runs)
        super()._apply(writer, handle, cls, body)
        if len(self.cores.runs) == before:
            return
        self._hall.began.append((time.monotonic(), self._at))
        self._hall.bodies[body] += 1
        if self.fails:
            del self.cores.runs[handle]
            self._remember_ended(handle)
            return self._notice(f"{handle} ERROR 0.000", b"")
        self._hall.flow()
        self._mark(-1)
        self._queue.append(handle)
        self._begin()
        self._mark(1)

    def _begin(self) -> None:
        loop = asyncio.get_running_loop()
        while self._queue and len(self._timers) < self.box.cores:
            handle = self._queue.popleft()
            span = self.cores.runs[handle].work_left_s / self.cores.speed(loop.time())
            self._timers[handle] = loop.call_later(span, self._done, handle)

    def _free(self, handle: str) -> None:
        """Its slot, or its place among those that wait, is free."""
        self._hall.flow()
        self._mark(-1)
        timer = self._timers.pop(handle, None)
        if timer is not None:
            timer.cancel()
        elif handle in self._queue:
            self._queue.remove(handle)
        self._begin()
        self._mark(1)

    def _done(self, handle: str) -> None:
        run = self.cores.runs.pop(handle, None)
        self._free(handle)
        if run is not None:
            self._remember_ended(handle)
            spent = asyncio.get_running_loop().time() - run.started_at
            self._notice(f"{handle} OK {spent * 1000:.3f}", result(run.body))

    def _command(self, writer: asyncio.StreamWriter, words: list[str]) -> None:
        super()._command(writer, words)
        if words[0] == "BREAK" and words[1] in self.cores.runs:
            self._free(words[1])
        elif words[0] == "CONTINUE" and words[1] in self.cores.runs and words[1] not in self._timers:
            self._mark(-1)
            self._queue.append(words[1])
            self._begin()
            self._mark(1)

    def lost(self) -> None:
        """It dies with all that it had, and is back cold."""
        self._hall.flow()
        self._mark(-1)
        for timer in self._timers.values():
            timer.cancel()
        self._timers.clear()
        self._queue.clear()
        self._mark(1)
        self.down()
        self.reset(cold=True)


async def run(spec: dict[str, Any]) -> None:
    loop, hall, random = asyncio.get_running_loop(), Hall(), Random(spec["seed"])
    lights = [
        Light(
            n,
            hall,
            Box(cores=spec["slots"], speed=speed, cold_span_s=spec.get("cold_span", 4.0)),
            spec["scale"],
            Random(random.getrandbits(64)),
        )
        for n, speed in enumerate(spec["speeds"])
    ]
    for light in lights:
        await light.open("127.0.0.1")
    catalog = Catalog(0.1)
    catalog.addresses.update({name: ("127.0.0.1", 1) for name in spec["names"]})
    await catalog.open("127.0.0.1", 0)
    over = asyncio.Event()

    def say(what: str, **facts: Any) -> None:
        line = {"at": time.clock_gettime(time.CLOCK_BOOTTIME), "who": spec["name"], "what": what, **facts}
        data = json.dumps(line).encode() + b"\n"
        while data:
            data = data[os.write(1, data) :]

    def word(words: dict[str, Any]) -> None:
        if "slow" in words:
            number, factor = words["slow"]
            lights[number].slow(factor)
        if "fail" in words:
            lights[words["fail"][0]].fails = words["fail"][1]
        if "cold" in words:
            lights[words["cold"]].lost()
        if "report" in words:
            hall.flow()
            twice = sum(count > 1 for body, count in hall.bodies.items() if body.startswith(b"once"))
            say("report", began=[(round(at, 4), n) for at, n in hall.began], twice=twice, idle=hall.idle)
            hall.idle = 0.0
            hall.began.clear()
        else:
            say("done", word=next(iter(words)))

    def listen() -> None:
        for line in sys.stdin:
            loop.call_soon_threadsafe(word, json.loads(line))
        loop.call_soon_threadsafe(over.set)

    say("start", ports=[light.address[1] for light in lights], catalog=catalog.address[1])
    threading.Thread(target=listen, daemon=True).start()
    await over.wait()


if __name__ == "__main__":
    asyncio.run(run(json.loads(sys.argv[1])))
