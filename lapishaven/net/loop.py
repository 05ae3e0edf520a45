"""The event loop: epoll, timers, and generators as coroutines.

A coroutine is a generator that yields a ``Wait``; it resumes with the value passed to ``Wait.wake``, or with ``None``
on timeout. Each round reads all available input before it calls ``process_round`` once.
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

CANCELLED_TIMERS_BEFORE_REBUILD = 64  # the heap is rebuilt if there are more, and they are over half of its entries


class Timer:
    """A callback scheduled by ``Loop.at``. ``callback`` is ``None`` once it was called or cancelled."""

    __slots__ = ("callback", "_loop")

    def __init__(self, callback: Callable[[], None], loop: Loop) -> None:
        self.callback: Callable[[], None] | None = callback
        self._loop = loop

    def cancel(self) -> None:
        """Prevent the call, and release the callback at once."""
        if self.callback is not None:
            self.callback = None
            self._loop.timer_cancelled()


class Wait:
    """One wait of a coroutine, ended by ``wake`` or after ``timeout_s``."""

    __slots__ = ("timeout_s", "task", "loop", "timer")

    def __init__(self, timeout_s: float | None = None) -> None:
        self.timeout_s = timeout_s
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
    round_number: int


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
        self._timer_order = count()  # orders timers that are due at the same time
        self._end_of_round: dict[Callable[[], None], None] = {}  # an ordered set
        self._next_round: list[Wait] = []
        self._stopped = False
        self.received = self.sent = 0  # bytes on all connections since the start
        self.unsent_limit = 1 << 62  # bytes; effectively unlimited until the server sets a limit
        self.unsent = 0  # bytes queued on all connections and not yet sent
        self.senders: set[Sender] = set()  # connections with unsent bytes

    # ---- Descriptors
    def watch(self, fd: int, mask: int, callback: Callable[[int], None]) -> None:
        """Call ``callback`` with the descriptor's events (an epoll mask) from the next round on."""
        registration = self._watched.get(fd)
        if registration is not None:
            self._epoll.modify(fd, mask)
            registration.callback = callback
        else:
            self._epoll.register(fd, mask)
            self._watched[fd] = Registration(callback, self._round_number)

    def unwatch(self, fd: int) -> None:
        """Stop watching a descriptor. Must be called before the descriptor is closed."""
        if self._watched.pop(fd, None) is not None:
            self._epoll.unregister(fd)

    # ---- Coroutines and timers
    def spawn(self, coroutine: Coroutine, failed: Callable[[Exception], None] | None = None) -> None:
        """Start a coroutine and run it to its first wait. ``failed`` is called with an exception that ends it."""
        self.step(Task(coroutine, failed), None)

    def step(self, task: Task, value: Any) -> None:
        """Resume a coroutine. Its exceptions are printed and passed to ``Task.failed``, and do not reach the caller."""
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
        if wait.timeout_s is not None:
            wait.timer = self.at(self.now + wait.timeout_s, lambda: wait.wake(None))

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
        """The number of entries in the timer heap, including cancelled ones."""
        return len(self._timers)

    def at_end_of_round(self, callback: Callable[[], None]) -> None:
        """Call ``callback`` at the end of this round, after ``process_round``; once, however often it is registered."""
        self._end_of_round[callback] = None

    def next_round(self) -> Wait:
        """A wait that ends in the next round, so that long work yields to other descriptors."""
        wait = Wait()
        self._next_round.append(wait)
        return wait

    def stop(self) -> None:
        """Make ``run`` return after this round."""
        self._stopped = True

    # ---- Rounds
    def run(self, process_round: Callable[[float], None], next_due_at: Callable[[], float | None]) -> None:
        """Run rounds until ``stop``.

        ``next_due_at`` returns the loop time at which ``process_round`` has to be called even without input.
        """
        while not self._stopped:
            due_times = [self._timers[0][0]] if self._timers else []
            due_times += [0.0] if self._next_round else []  # 0.0: due at once
            due = next_due_at()
            if due is not None:
                due_times.append(due)
            timeout_s = max(0.0, min(due_times) - self.clock()) if due_times else -1  # -1: no timeout
            self.round(timeout_s, process_round)

    def round(self, timeout_s: float, process_round: Callable[[float], None]) -> None:
        """Run one round: wait for events, read all input, call ``process_round`` once, then write."""
        # epoll waits whole milliseconds. 1 ms is added so that the loop does not wake before a timer is due, and spin.
        ready = self._epoll.poll(timeout_s if timeout_s <= 0 else timeout_s + 0.001)
        self.now = self.clock()
        self._round_number += 1
        waits, self._next_round = self._next_round, []
        for fd, mask in ready:
            registration = self._watched.get(fd)
            # A callback of this round may have closed a descriptor and registered a new one with the same number; the
            # event belongs to the closed one.
            if registration is not None and registration.round_number < self._round_number:
                self._call_guarded(registration.callback, mask)
        for wait in waits:
            self._call_guarded(wait.wake)
        while self._timers and self._timers[0][0] <= self.now:
            timer = heappop(self._timers)[2]
            callback, timer.callback = timer.callback, None
            if callback is not None:
                self._call_guarded(callback)
            else:
                self._cancelled_timers -= 1
        self._call_guarded(process_round, self.now)
        while self._end_of_round:
            callbacks, self._end_of_round = self._end_of_round, {}
            # In reverse order of registration: when runs end, the responses to callers are queued first and the next
            # commands to the backend after them. The commands must be sent first, because a core of the backend idles
            # until its next command arrives.
            for callback in reversed(callbacks):
                self._call_guarded(callback)

    # ---- Unsent bytes
    def reserve_unsent(self, size: int, sender: Sender) -> bool:
        """Make room for ``size`` more unsent bytes of ``sender``; returns whether it may queue them.

        If ``unsent_limit`` would be exceeded, the connections with the most unsent bytes are evicted, which may include
        ``sender`` itself.
        """
        while self.unsent + size > self.unsent_limit:
            largest = max(self.senders, key=lambda candidate: candidate.unsent, default=sender)
            largest.evict()
            if largest is sender:
                return False
        return True

    @staticmethod
    def _call_guarded(callback: Callable[..., None], *args: Any) -> None:
        """Call ``callback``; an exception is printed and does not end the process."""
        try:
            callback(*args)
        except Exception:
            traceback.print_exc(file=sys.stderr)

    def close(self) -> None:
        """Close the epoll descriptor."""
        self._epoll.close()
