"""The event loop: epoll, timers, and generators that wait.

A coroutine is a generator that yields a ``Wait``; it goes on with the value that the wait was woken with, or
with ``None`` when its time ran out. All that one wake-up brings in is read before ``turn`` is called once.
"""

from __future__ import annotations

import select
import sys
import time
import traceback
from collections.abc import Callable, Generator
from heapq import heappop, heappush
from itertools import count
from typing import Any


class Wait:
    """What a coroutine waits for; ``wake`` ends it."""

    __slots__ = ("span", "task", "loop")

    def __init__(self, span: float | None = None) -> None:
        self.span = span
        self.task: Task | None = None
        self.loop: Loop | None = None

    def wake(self, value: Any = True) -> None:
        if self.task is not None and self.loop is not None:
            task, self.task = self.task, None
            self.loop.step(task, value)


Task = Generator[Wait, Any, Any]


class Loop:
    """Runs until ``stop`` is called."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self.clock = clock
        self.now = clock()
        self._epoll = select.epoll()
        self._watched: dict[int, Callable[[int], None]] = {}
        self._timers: list[tuple[float, int, Callable[[], None]]] = []
        self._order = count()
        self._after: dict[Callable[[], None], None] = {}
        self._next: list[Wait] = []
        self._stopped = False
        self.received = self.sent = 0  # bytes of all connections so far
        self.unsent_limit = 1 << 62
        self.unsent = 0  # bytes that all connections have queued and not yet sent

    # ---- Descriptors
    def watch(self, fd: int, mask: int, callback: Callable[[int], None]) -> None:
        if fd in self._watched:
            self._epoll.modify(fd, mask)
        else:
            self._epoll.register(fd, mask)
        self._watched[fd] = callback

    def unwatch(self, fd: int) -> None:
        if self._watched.pop(fd, None) is not None:
            self._epoll.unregister(fd)

    # ---- Coroutines and timers
    def spawn(self, task: Task) -> None:
        self.step(task, None)

    def step(self, task: Task, value: Any) -> None:
        try:
            wait = task.send(value)
        except StopIteration:
            return
        wait.task, wait.loop = task, self
        if wait.span is not None:
            self.at(self.now + wait.span, lambda: wait.wake(None))

    def at(self, when: float, callback: Callable[[], None]) -> None:
        heappush(self._timers, (when, next(self._order), callback))

    def after(self, callback: Callable[[], None]) -> None:
        """Call it once at the end of this round, after the turn."""
        self._after[callback] = None

    def next_round(self) -> Wait:
        """A wait that ends in the next round, so that others get their turn first."""
        wait = Wait()
        self._next.append(wait)
        return wait

    def stop(self) -> None:
        self._stopped = True

    # ---- The rounds
    def run(self, turn: Callable[[float], None], next_at: Callable[[], float | None]) -> None:
        while not self._stopped:
            heads = [self._timers[0][0]] if self._timers else []
            heads += [0.0] if self._next else []
            due = next_at()
            if due is not None:
                heads.append(due)
            span = max(0.0, min(heads) - self.clock()) if heads else -1
            self.round(span, turn)

    def round(self, span: float, turn: Callable[[float], None]) -> None:
        """One wake-up: read all that is there, one turn, then write."""
        # Rounded up to epoll's milliseconds, since it would else wake early and spin.
        ready = self._epoll.poll(span if span <= 0 else span + 0.001)
        self.now = self.clock()
        waits, self._next = self._next, []
        for fd, mask in ready:
            callback = self._watched.get(fd)
            if callback is not None:
                self._guarded(callback, mask)
        for wait in waits:
            self._guarded(wait.wake)
        while self._timers and self._timers[0][0] <= self.now:
            self._guarded(heappop(self._timers)[2])
        self._guarded(turn, self.now)
        while self._after:
            after, self._after = self._after, {}
            # The last written first: runs are started after the answers that made room for them are written,
            # and a core stands idle until its next run comes.
            for done in reversed(after):
                self._guarded(done)

    @staticmethod
    def _guarded(callback: Callable[..., None], *args: Any) -> None:
        """One fault must not end the process and all it holds; it is told with its place."""
        try:
            callback(*args)
        except Exception:
            traceback.print_exc(file=sys.stderr)

    def close(self) -> None:
        self._epoll.close()
