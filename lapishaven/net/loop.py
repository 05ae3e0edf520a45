"""The event loop: epoll, timers, and generators as coroutines.

A coroutine is a generator that yields a ``Wait``; it resumes with the value passed to ``Wait.wake``, or with ``None``
on timeout. All input of one wake-up is read before ``turn`` is called once.
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

CANCELLED_TIMERS_BEFORE_REBUILD = 64  # and once they are more than half of the heap


class Timer:
    """A callback scheduled by ``Loop.at``; ``cancel`` keeps it from being called."""

    __slots__ = ("callback", "_loop")

    def __init__(self, callback: Callable[[], None], loop: Loop) -> None:
        self.callback: Callable[[], None] | None = callback
        self._loop = loop

    def cancel(self) -> None:
        """Never call it, and drop the reference to the callback at once."""
        if self.callback is not None:
            self.callback = None
            self._loop.timer_cancelled()


class Wait:
    """One wait of a coroutine, for at most ``span`` seconds; ``wake`` ends it."""

    __slots__ = ("span", "task", "loop", "timer")

    def __init__(self, span: float | None = None) -> None:
        self.span = span
        self.task: Task | None = None
        self.loop: Loop | None = None
        self.timer: Timer | None = None

    def wake(self, value: Any = True) -> None:
        """Resume the coroutine with ``value``; further calls do nothing."""
        if self.task is not None and self.loop is not None:
            task, self.task = self.task, None
            if self.timer is not None:
                self.timer.cancel()
                self.timer = None
            self.loop.step(task, value)


Coroutine = Generator[Wait, Any, Any]


@dataclass(slots=True, eq=False)
class Task:
    """A running coroutine, and the callback for an exception that ends it."""

    coroutine: Coroutine
    failed: Callable[[Exception], None] | None


@dataclass(slots=True, eq=False)
class Registration:
    """The callback for a descriptor's events, and the round in which it was registered."""

    callback: Callable[[int], None]
    since: int


class Sender(Protocol):
    """A connection with queued bytes that are not yet sent."""

    @property
    def unsent(self) -> int:
        """Bytes that are queued and not yet sent."""

    def evict(self) -> None:
        """Abort the connection to free its memory."""


class Loop:
    """Runs callbacks, timers and coroutines on one thread until ``stop`` is called. Times are seconds of ``clock``."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self.clock = clock
        self.now = clock()
        self._epoll = select.epoll()
        self._watched: dict[int, Registration] = {}
        self._round_number = 0
        self._timers: list[tuple[float, int, Timer]] = []
        self._cancelled_timers = 0
        self._timer_order = count()
        self._end_of_round: dict[Callable[[], None], None] = {}
        self._next_round: list[Wait] = []
        self._stopped = False
        self.received = self.sent = 0  # bytes of all connections since the start
        self.unsent_limit = 1 << 62  # bytes; in effect none, until the server sets one
        self.unsent = 0  # bytes queued on all connections and not yet sent
        self.senders: set[Sender] = set()  # the connections that have such bytes

    # ---- Descriptors
    def watch(self, fd: int, mask: int, callback: Callable[[int], None]) -> None:
        """Call ``callback`` with the descriptor's events (an epoll mask) from the next round on."""
        watch = self._watched.get(fd)
        if watch is not None:
            self._epoll.modify(fd, mask)
            watch.callback = callback
        else:
            self._epoll.register(fd, mask)
            self._watched[fd] = Registration(callback, self._round_number)

    def unwatch(self, fd: int) -> None:
        """Stop watching a descriptor; to be called before it is closed."""
        if self._watched.pop(fd, None) is not None:
            self._epoll.unregister(fd)

    # ---- Coroutines and timers
    def spawn(self, coroutine: Coroutine, failed: Callable[[Exception], None] | None = None) -> None:
        """Run a coroutine up to its first wait. ``failed`` is called with an exception that ends it."""
        self.step(Task(coroutine, failed), None)

    def step(self, task: Task, value: Any) -> None:
        """Resume a coroutine; its exceptions never reach the caller."""
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
        """Call ``callback`` at the loop time ``when``, or as soon after it as possible."""
        timer = Timer(callback, self)
        heappush(self._timers, (when, next(self._timer_order), timer))
        return timer

    def timer_cancelled(self) -> None:
        """Count a cancelled timer; the heap is rebuilt when most of its entries are cancelled."""
        self._cancelled_timers += 1
        if self._cancelled_timers > CANCELLED_TIMERS_BEFORE_REBUILD and 2 * self._cancelled_timers > len(self._timers):
            self._timers = [entry for entry in self._timers if entry[2].callback is not None]
            heapify(self._timers)
            self._cancelled_timers = 0

    @property
    def timers(self) -> int:
        """How many entries the timer heap has, cancelled ones included."""
        return len(self._timers)

    def at_end_of_round(self, callback: Callable[[], None]) -> None:
        """Call ``callback`` once at the end of this round, after the turn."""
        self._end_of_round[callback] = None

    def next_round(self) -> Wait:
        """A wait that ends in the next round, so that other descriptors are served in between."""
        wait = Wait()
        self._next_round.append(wait)
        return wait

    def stop(self) -> None:
        """End ``run`` after this round."""
        self._stopped = True

    # ---- The rounds
    def run(self, turn: Callable[[float], None], next_at: Callable[[], float | None]) -> None:
        """Run rounds until ``stop``; ``next_at`` gives the time at which ``turn`` has work without any input."""
        while not self._stopped:
            due_times = [self._timers[0][0]] if self._timers else []
            due_times += [0.0] if self._next_round else []
            due = next_at()
            if due is not None:
                due_times.append(due)
            span = max(0.0, min(due_times) - self.clock()) if due_times else -1  # -1: until there is input
            self.round(span, turn)

    def round(self, span: float, turn: Callable[[float], None]) -> None:
        """One wake-up: read all input, call ``turn`` once, then write."""
        # Rounded up, because epoll truncates to milliseconds: the loop would wake early and spin.
        ready = self._epoll.poll(span if span <= 0 else span + 0.001)
        self.now = self.clock()
        self._round_number += 1
        waits, self._next_round = self._next_round, []
        for fd, mask in ready:
            watch = self._watched.get(fd)
            # A descriptor registered since the poll may reuse the number of one that an earlier callback closed; the
            # event belongs to that one.
            if watch is not None and watch.since < self._round_number:
                self._guarded(watch.callback, mask)
        for wait in waits:
            self._guarded(wait.wake)
        while self._timers and self._timers[0][0] <= self.now:
            timer = heappop(self._timers)[2]
            callback, timer.callback = timer.callback, None
            if callback is not None:
                self._guarded(callback)
            else:
                self._cancelled_timers -= 1
        self._guarded(turn, self.now)
        while self._end_of_round:
            callbacks, self._end_of_round = self._end_of_round, {}
            # Last registered, first called: commands to the backend are queued after the responses that freed its
            # cores, and a core idles until its next command arrives.
            for callback in reversed(callbacks):
                self._guarded(callback)

    # ---- Unsent bytes
    def reserve_unsent(self, size: int, sender: Sender) -> bool:
        """Whether ``sender`` may queue ``size`` more bytes.

        At the limit of the process, connections with the most unsent bytes are evicted first.
        """
        while self.unsent + size > self.unsent_limit:
            most = max(self.senders, key=lambda each: each.unsent, default=sender)
            most.evict()
            if most is sender:
                return False
        return True

    @staticmethod
    def _guarded(callback: Callable[..., None], *args: Any) -> None:
        """Call ``callback`` and print an exception, which must not end the process."""
        try:
            callback(*args)
        except Exception:
            traceback.print_exc(file=sys.stderr)

    def close(self) -> None:
        """Close the epoll descriptor."""
        self._epoll.close()
