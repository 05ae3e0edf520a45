"""The server: one loop, one core, its fronts and its backend, from start to drained end."""

from __future__ import annotations

import os
import signal
import socket
import sys
import time
from collections.abc import Callable
from dataclasses import replace

from cometdrum.interface import Outcome
from lapishaven.backends.interpreter import Interpreter
from lapishaven.catalog import Reporter
from lapishaven.config import Config
from lapishaven.core.broker import Broker
from lapishaven.counters import Counters
from lapishaven.ends import End
from lapishaven.fronts.platform import Session
from lapishaven.net.listener import Budget, Listener
from lapishaven.net.loop import Loop

RESERVE = 48  # descriptors for the program itself: standard streams, epoll, links, files
SWEEP = 0.05  # s between looks for idle connections
LEAVE_ROOM = 0.15  # s before the kill at which the program ends by itself
CROSSING = 0.1  # s after the last answer of a drain, as a request may have crossed the notice


class Server:
    """An embeddable match server; ``run`` serves until it is told to leave."""

    def __init__(self, config: Config, loop: Loop | None = None, log: Callable[[str], None] | None = None):
        self.config, self.loop = config, loop or Loop()
        self.log = log or (lambda text: print(text, file=sys.stderr, flush=True))
        self.counters = Counters()
        self.broker: Broker | None = None
        self.draining = False
        self.sessions: dict[Session, None] = {}
        self.budget = Budget(config.descriptors, RESERVE)
        self.interpreter = Interpreter(
            self.loop, config.interpreter, config.gauges, self, self.counters
        )
        self.reporter = Reporter(self.loop, config.catalog, config.name, self.counters)
        self._good = False
        self._idle = config.settings.idle or 15.0
        self._kill_at = float("inf")
        self.listener = Listener(self.loop, config.listen, self.budget, self._accepted, self._make_room)
        self.loop.spawn(self.interpreter.run())
        self.loop.spawn(self.reporter.run())
        self._sweep()

    # ---- What the interpreter says
    def up(self, cold: bool, up_for: float) -> None:
        if self.broker is None:
            settings = replace(self.config.settings, cold=cold)
            self.broker = Broker(settings, self.config.seed, self.interpreter, self, self.counters)

    def finished(self, handle: str, outcome: Outcome, spent: float, result: bytes) -> None:
        if self.broker is not None:
            self.broker.finished(handle, outcome, spent, result)

    def gauges(self, values: dict[str, float]) -> None:
        if self.broker is not None:
            self.broker.gauges(values)

    # ---- What the module says
    def health(self, good: bool) -> None:
        self._good = good
        self.reporter.tell(good)

    def idle(self, span: float) -> None:
        self._idle = span or self.config.settings.idle or 15.0

    def remark(self, text: str) -> None:
        self.log(f"remark: {text}")

    # ---- Callers
    def _accepted(self, sock: socket.socket) -> None:
        self.counters.add("connections", "accepted")
        session = Session(self, sock)
        self.sessions[session] = None
        self.loop.spawn(session.run())

    def ended(self, session: Session, end: End) -> None:
        if self.sessions.pop(session, 0) is None:
            self.budget.used -= 1
            self.counters.add("ends", f"caller {end.value}")

    def check(self, deep: bool, told: Callable[[bool], None]) -> None:
        if not self._good or not deep:
            told(self._good)
        else:
            self.interpreter.smoke(told)

    def _make_room(self) -> bool:
        """Close the connection that has been idle longest, if any is."""
        idle = [s for s in self.sessions if not s.open and not s.conn.out.size]
        if not idle:
            return False
        min(idle, key=lambda s: s.conn.active).conn.close(End.EVICTED)
        return True

    def _sweep(self) -> None:
        old = self.loop.now - self._idle
        for session in [s for s in self.sessions if s.conn.active < old and not s.open]:
            if not session.conn.out.size:
                session.conn.close(End.IDLE)
        self.loop.at(self.loop.now + SWEEP, self._sweep)

    # ---- Leaving
    def drain(self) -> None:
        """The notice to leave came."""
        if self.draining:
            return
        self.draining = True
        self._kill_at = self.loop.now + self.config.stop_span
        for session in self.sessions:
            session.drain()
        if self.broker is None:
            self.loop.stop()
            return
        self.broker.drain(self.loop.now, self._kill_at)
        self.loop.at(self.loop.now + self.config.settings.drain_grace, self.listener.close)
        self.loop.at(self._kill_at - LEAVE_ROOM, self._leave)

    def _leave(self) -> None:
        for session in list(self.sessions):
            session.conn.flush()
            session.conn.close(End.DRAINED)
        self.loop.stop()

    # ---- Running
    def turn(self, now: float) -> None:
        if self.broker is not None:
            self.broker.turn(now)

    def next_at(self) -> float | None:
        return self.broker.next_at() if self.broker is not None else None

    def run(self) -> int:
        wakeup, poke = socket.socketpair()
        for end in (wakeup, poke):
            end.setblocking(False)
        old = signal.set_wakeup_fd(poke.fileno(), warn_on_full_buffer=False)
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGUSR1):
            signal.signal(number, lambda *_: None)  # told through the descriptor
        self.loop.watch(wakeup.fileno(), 1, lambda mask: self._signals(wakeup.recv(64)))
        self.log(f"lapishaven {self.config.name} pid {os.getpid()} at {self.listener.address}")
        try:
            self.loop.run(self.turn, self.next_at)
        finally:
            signal.set_wakeup_fd(old)
            self.listener.close()
            self.interpreter.close()
            self.reporter.close()
            self.log(self.counters.line())
        return 0

    def _signals(self, numbers: bytes) -> None:
        for number in numbers:
            self.log(f"signal {number} at {time.time():.3f}")
            if number == signal.SIGUSR1:
                self.log(self.counters.line())
            else:
                self.drain()
