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
from dataclasses import dataclass
from heapq import heapify, heappop, heappush
from itertools import count
from typing import Any, Protocol

MANY_CANCELLED = 64  # cancelled timers past which the heap is built anew, once they are most of it


class Timer:
    """A callback that is due at some time, unless it is cancelled."""

    __slots__ = ("callback", "_loop")

    def __init__(self, callback: Callable[[], None], loop: Loop) -> None:
        self.callback: Callable[[], None] | None = callback
        self._loop = loop

    def cancel(self) -> None:
        """It is never called, and what it refers to is let go of at once."""
        if self.callback is not None:
            self.callback = None
            self._loop.timer_cancelled()


class Wait:
    """What a coroutine waits for; ``wake`` ends it."""

    __slots__ = ("span", "task", "loop", "timer")

    def __init__(self, span: float | None = None) -> None:
        self.span = span
        self.task: Task | None = None
        self.loop: Loop | None = None
        self.timer: Timer | None = None

    def wake(self, value: Any = True) -> None:
        """Go on with ``value``; nothing happens where it was woken before."""
        if self.task is not None and self.loop is not None:
            task, self.task = self.task, None
            if self.timer is not None:
                self.timer.cancel()
                self.timer = None
            self.loop.step(task, value)


Coroutine = Generator[Wait, Any, Any]


@dataclass(slots=True, eq=False)
class Task:
    """A coroutine under way, and who is told of an exception that ends it."""

    coroutine: Coroutine
    failed: Callable[[Exception], None] | None


@dataclass(slots=True, eq=False)
class Watch:
    """Who is told of a descriptor's events, and since which round."""

    callback: Callable[[int], None]
    since: int


class Sender(Protocol):
    """A connection with bytes that are queued and not yet sent."""

    @property
    def unsent(self) -> int: ...
    def evict(self) -> None: ...


class Loop:
    """Runs until ``stop`` is called."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self.clock = clock
        self.now = clock()
        self._epoll = select.epoll()
        self._watched: dict[int, Watch] = {}
        self._rounds = 0
        self._timers: list[tuple[float, int, Timer]] = []
        self._cancelled = 0
        self._order = count()
        self._after: dict[Callable[[], None], None] = {}
        self._next: list[Wait] = []
        self._stopped = False
        self.received = self.sent = 0  # bytes of all connections so far
        self.unsent_limit = 1 << 62
        self.unsent = 0  # bytes that all connections have queued and not yet sent
        self.senders: set[Sender] = set()  # those connections

    # ---- Descriptors
    def watch(self, fd: int, mask: int, callback: Callable[[int], None]) -> None:
        """Tell ``callback`` of the descriptor's events from the next round on."""
        watch = self._watched.get(fd)
        if watch is not None:
            self._epoll.modify(fd, mask)
            watch.callback = callback
        else:
            self._epoll.register(fd, mask)
            self._watched[fd] = Watch(callback, self._rounds)

    def unwatch(self, fd: int) -> None:
        """Tell nobody any more; to be called before the descriptor is closed."""
        if self._watched.pop(fd, None) is not None:
            self._epoll.unregister(fd)

    # ---- Coroutines and timers
    def spawn(self, coroutine: Coroutine, failed: Callable[[Exception], None] | None = None) -> None:
        """Run a coroutine up to its first wait. ``failed`` is told of an exception that ends it, so that what it
        served does not stay behind, open and silent."""
        self.step(Task(coroutine, failed), None)

    def step(self, task: Task, value: Any) -> None:
        """Let a coroutine go on; its exceptions are its own and never its waker's."""
        try:
            wait = task.coroutine.send(value)
        except StopIteration:
            return
        except Exception as error:
            traceback.print_exc(file=sys.stderr)
            if task.failed is not None:
                task.failed(error)
            return
        wait.task, wait.loop = task, self
        if wait.span is not None:
            wait.timer = self.at(self.now + wait.span, lambda: wait.wake(None))

    def at(self, when: float, callback: Callable[[], None]) -> Timer:
        """Call it once ``when`` has come."""
        timer = Timer(callback, self)
        heappush(self._timers, (when, next(self._order), timer))
        return timer

    def timer_cancelled(self) -> None:
        """Keep the heap from being filled by timers that are cancelled long before their time."""
        self._cancelled += 1
        if self._cancelled > MANY_CANCELLED and 2 * self._cancelled > len(self._timers):
            self._timers = [entry for entry in self._timers if entry[2].callback is not None]
            heapify(self._timers)
            self._cancelled = 0

    @property
    def timers(self) -> int:
        """How many timers are kept."""
        return len(self._timers)

    def after(self, callback: Callable[[], None]) -> None:
        """Call it once at the end of this round, after the turn."""
        self._after[callback] = None

    def next_round(self) -> Wait:
        """A wait that ends in the next round, so that others get their turn first."""
        wait = Wait()
        self._next.append(wait)
        return wait

    def stop(self) -> None:
        """End ``run`` after this round."""
        self._stopped = True

    # ---- The rounds
    def run(self, turn: Callable[[float], None], next_at: Callable[[], float | None]) -> None:
        """Rounds until ``stop``; ``next_at`` says when ``turn`` has something to do with no input."""
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
        self._rounds += 1
        waits, self._next = self._next, []
        for fd, mask in ready:
            watch = self._watched.get(fd)
            # What was registered since the poll has the number of a descriptor that an earlier callback closed:
            # the event is that one's.
            if watch is not None and watch.since < self._rounds:
                self._guarded(watch.callback, mask)
        for wait in waits:
            self._guarded(wait.wake)
        while self._timers and self._timers[0][0] <= self.now:
            timer = heappop(self._timers)[2]
            callback, timer.callback = timer.callback, None
            if callback is not None:
                self._guarded(callback)
            else:
                self._cancelled -= 1
        self._guarded(turn, self.now)
        while self._after:
            after, self._after = self._after, {}
            # The last written first: runs are started after the answers that made room for them are written,
            # and a core stands idle until its next run comes.
            for done in reversed(after):
                self._guarded(done)

    # ---- Bytes that wait to be sent
    def make_unsent_room(self, size: int, sender: Sender) -> bool:
        """Whether ``size`` more bytes may be queued by ``sender``. At the limit, the connection that holds most is
        evicted, and not the one that happens to write."""
        while self.unsent + size > self.unsent_limit:
            most = max(self.senders, key=lambda each: each.unsent, default=sender)
            most.evict()
            if most is sender:
                return False
        return True

    @staticmethod
    def _guarded(callback: Callable[..., None], *args: Any) -> None:
        """One fault must not end the process and all it holds; it is told with its place."""
        try:
            callback(*args)
        except Exception:
            traceback.print_exc(file=sys.stderr)

    def close(self) -> None:
        """Give the epoll descriptor back."""
        self._epoll.close()
