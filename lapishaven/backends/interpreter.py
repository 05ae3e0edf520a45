"""The interpreter behind its link, which is held open, made anew when it breaks, and moved on a reload.

A break may take the last commands along, so what was sent stays in doubt until a ``TOPS`` proves that it was
read. After the next ``BANNER`` a ``TOP`` fences the notices that follow it; what is still in doubt behind the
fence either runs or never arrived, and is settled there.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Generator
from dataclasses import dataclass
from typing import Any

from lapishaven.admission import Outcome
from lapishaven.backends import BackendListener
from lapishaven.connection_end import ConnectionEnd, outcome_of
from lapishaven.counters import Counters
from lapishaven.net.connection import Connection, Dial, connect
from lapishaven.net.loop import Loop, Wait
from lapishaven.proto import ProtocolError
from lapishaven.proto import interpreter as proto

DIAL = 1.0  # s for a connection to come about
AGAIN = (0.02, 0.05, 0.1, 0.25)  # s between tries; the last one stays
SMOKE_WAIT = 3.0  # s for a deep check; a caller's own check gives up sooner
LOST = 0.1  # s before a break in which a command may be lost even if a later one was answered
HANDOVER = 0.25  # s for the old link's last answer when the interpreter moves
PROBE = 0.1  # s for a run to say that it was stopped, after which it counts as never begun
OUTCOMES = {"OK": Outcome.OK, "ERROR": Outcome.ERROR, "STOPPED": Outcome.CANCELLED, "MOOT": Outcome.OBSOLETE}


@dataclass(slots=True)
class Command:
    """A command for a run."""

    handle: str
    data: bytes
    starts: bool = False
    once: bool = False  # starts what must not be started twice, or looks whether that runs
    end: int = 0  # where it ends in the link's bytes
    at: float = 0.0  # when it was written


class Ledger:
    """Commands on one link of which it is not proved that the interpreter read them."""

    def __init__(self) -> None:
        self._queue: deque[Command] = deque()
        self._marks: dict[str, int] = {}  # where the commands end that an answer to this tag proves read
        self._end = self._proved = 0

    def note(self, now: float, command: Command) -> None:
        self._end += len(command.data)
        command.end, command.at = self._end, now
        self._queue.append(command)

    def mark(self, tag: str, size: int) -> None:
        """A question on its way; its answer proves that all before it was read."""
        self._end += size
        self._marks[tag] = self._end

    def answered(self, now: float, tag: str) -> None:
        self._proved = max(self._proved, self._marks.get(tag, 0))
        self._marks = {tag: end for tag, end in self._marks.items() if end > self._proved}
        while self._queue and self._queue[0].end <= self._proved and self._queue[0].at < now - LOST:
            self._queue.popleft()

    def settle(self, sent: int) -> tuple[list[Command], list[Command]]:
        """At the link's end: what the kernel never wholly took, so never ran, and what is in doubt."""
        unsent = [command for command in self._queue if command.end > sent]
        doubtful = [command for command in self._queue if command.end <= sent]
        self._queue.clear()
        self._marks.clear()
        self._end = self._proved = 0
        return unsent, doubtful


class InterpreterBackend:
    """A core backend on the interpreter's lines."""

    def __init__(
        self,
        loop: Loop,
        address: tuple[str, int],
        gauge_names: tuple[str, ...],
        listener: BackendListener,
        counters: Counters,
        dial: Dial = connect,
    ) -> None:
        self._dial = dial
        self.loop, self.address, self.names = loop, address, gauge_names
        self.listener, self.counters = listener, counters
        self.ready = False
        self._conn: Connection | None = None
        self._last = 0  # number of the last end of a run that was read
        self._ledger = Ledger()
        self._waiting: list[Command] = []  # for the next link
        self._running: set[str] = set()  # started, and no end was told
        self._resent: set[str] = set()  # of these, those whose command was sent on two links
        self._doubt: list[Command] = []  # from links that broke, to be settled behind the fence
        self._probes: dict[str, bool] = {}  # runs stopped to see whether they run, and whether to go on
        self._fences: dict[str, Callable[[], None]] = {}
        self._tags = 0
        self._asked = False
        self._smokes: dict[str, list[Callable[[bool], None]]] = {}
        self._pause: Wait | None = None
        self._moving = self._stopped = False

    # ---- Commands
    def start(self, handle: str, cls: str, body: bytes, once: bool) -> None:
        self._running.add(handle)
        self._command(Command(handle, proto.apply(handle, cls, body), True, once))

    def pause(self, handle: str) -> None:
        stop = Command(handle, proto.pause(handle))
        if any(command.handle == handle and command.starts for command in self._waiting):
            # It never left, so there is nothing to stop.
            self._waiting = [command for command in self._waiting if command.handle != handle]
            self._over(handle)
            self.loop.at(self.loop.now, lambda: self.listener.finished(handle, Outcome.UNREACHABLE, 0.0, b""))
        elif handle in self._probes:
            self._probes[handle] = False
        elif any(command.handle == handle for command in self._doubt):
            self._doubt.append(stop)
        else:
            self._command(stop)

    def resume(self, handle: str) -> None:
        self._running.add(handle)
        self._command(Command(handle, proto.resume(handle)))

    def gauges(self) -> None:
        self._asked = True
        if self.ready and not self._moving:
            self._fence(None)

    def health_check(self, told: Callable[[bool], None]) -> None:
        """A deep health check; ``told`` is called once. One that meets a break is sent on the next link.

        Checks that come while one is out share its end, so that a flood of them is no flood of work.
        """
        if self._smokes:
            return next(iter(self._smokes.values())).append(told)
        self._tags += 1
        tag = f"s{self._tags}"
        self._smokes[tag] = [told]
        self.loop.at(self.loop.now + SMOKE_WAIT, lambda: self._smoked(tag, False))
        self._ask(tag)

    def _ask(self, tag: str) -> None:
        if self.ready and not self._moving and self._conn is not None:
            question = proto.smoke(tag)
            self._ledger.mark(tag, len(question))
            self._conn.write(question)

    def _command(self, command: Command) -> None:
        if self.ready and not self._moving and self._conn is not None:
            self._ledger.note(self.loop.now, command)
            self._conn.write(command.data)
        else:
            self._waiting.append(command)

    def _fence(self, then: Callable[[], None] | None) -> None:
        """Ask for the gauges; ``then`` is called once all that was sent before is proved read."""
        assert self._conn is not None
        self._tags += 1
        tag = f"t{self._tags}"
        question = proto.top(tag)
        self._ledger.mark(tag, len(question))
        self._conn.write(question)
        if then is not None:
            self._fences[tag] = then

    def _smoked(self, tag: str, good: bool) -> None:
        for told in self._smokes.pop(tag, ()):
            told(good)

    # ---- The link
    def run(self) -> Generator[Wait, Any, None]:
        """Hold the link: dial, read until it ends, dial again."""
        failures = 0
        while not self._stopped:
            address = self.address
            sock = yield from self._dial(self.loop, address, DIAL)
            if isinstance(sock, ConnectionEnd):
                self.counters.add("interpreter", sock.value)
            elif self._stopped or self.address != address:
                sock.close()  # moved once more, or over, while it was dialled
            else:
                self._conn = conn = Connection(self.loop, sock, self._ended)
                hello = proto.connect(self._last)
                self._ledger.mark("", len(hello))
                conn.write(hello)
                before = self._last
                yield from self._read(conn)
                failures = 0 if self._last > before else failures
            if self.address == address:
                self._pause = Wait(AGAIN[min(failures, len(AGAIN) - 1)])
                yield self._pause
                self._pause = None
                failures += 1
            else:
                failures = 0

    def _read(self, conn: Connection) -> Generator[Wait, Any, None]:
        machine = proto.Client()
        while True:
            data = yield from conn.read()
            if isinstance(data, ConnectionEnd):
                # Never closed in order: what is still queued here is sent on the next link, and must not be twice.
                return conn.abort(data)
            if conn.end is not None:
                return  # all notices that were not read on it come again on the next link
            try:
                for message in machine.feed(data or b""):
                    self._told(message)
            except ProtocolError:
                conn.abort(ConnectionEnd.PROTOCOL_ERROR)
                return

    def change_address(self, address: tuple[str, int]) -> None:
        """From now on the interpreter is there; the link goes over without a command in doubt if it can."""
        if address == self.address:
            return
        self.address = address
        conn = self._conn
        if conn is not None and conn.end is None:
            if self.ready and not self._moving:
                self._moving = True
                self._fence(lambda: conn.abort(ConnectionEnd.MOVED))
                self.loop.at(self.loop.now + HANDOVER, lambda: conn.abort(ConnectionEnd.MOVED))
            elif not self.ready:
                conn.abort(ConnectionEnd.MOVED)
        elif self._pause is not None:
            self._pause.wake()

    def _ended(self, end: ConnectionEnd) -> None:
        assert self._conn is not None
        self.counters.add("ends", f"interpreter {end.value}")
        unsent, doubtful = self._ledger.settle(self._conn.sent)
        self._waiting = unsent + self._waiting
        doubtful = [command for command in doubtful if command.handle in self._running]
        self._doubt += doubtful
        self.counters.add("interpreter", "commands in doubt", len(doubtful))
        self.ready = self._moving = False
        self._fences.clear()
        for handle, goes_on in self._probes.items():
            self._doubt += [Command(handle, b"", once=True)]
            self._doubt += [] if goes_on else [Command(handle, proto.pause(handle))]
        self._probes.clear()

    # ---- What is in doubt
    def _settle(self) -> None:
        """All ends up to here are read: what is in doubt still runs, or never arrived."""
        doubt, self._doubt = self._doubt, []
        for command in doubt:
            if command.once and command.handle not in self._probes:
                # Never sent twice, as it might end in between and run again. Stopping tells whether it runs.
                self._probes[command.handle] = True
                self._command(Command(command.handle, proto.pause(command.handle), once=True))
            elif command.once:
                continue
            elif command.handle in self._probes:
                self._probes[command.handle] = False  # its caller is gone, so it is not taken up again
            else:
                # Where it runs already, nothing happens; where its request is over, it is told to be moot.
                self.counters.add("interpreter", "commands sent again")
                self._resent.add(command.handle)
                self._command(command)
        if self._probes:
            conn, probes = self._conn, list(self._probes)
            self.loop.at(self.loop.now + PROBE, lambda: self._look(conn, probes))

    def _look(self, conn: Connection | None, probes: list[str]) -> None:
        if conn is self._conn and self.ready and not self._moving:
            self._fence(lambda: self._probed(probes))

    def _probed(self, probes: list[str]) -> None:
        """None of these said that it was stopped, so it does not run, though that is no full proof."""
        for handle in probes:
            if self._probes.pop(handle, None) is not None:
                self.counters.add("interpreter", "runs given up")
                self._over(handle)
                self.listener.finished(handle, outcome_of(ConnectionEnd.RESET), 0.0, b"")

    # ---- Notices
    def _told(self, message: proto.Message) -> None:
        if isinstance(message, proto.Value):
            # Remarks have numbers too, but none is let stand for the end of a run.
            if message.number <= self._last:
                self.counters.add("interpreter", "notices seen before")
                return
            self._last = message.number
            self._value(message)
        elif isinstance(message, proto.Tops):
            self._ledger.answered(self.loop.now, message.tag)
            self._asked = False
            self.listener.gauges(dict(zip(self.names, message.values, strict=False)))
            then = self._fences.pop(message.tag, None)
            if then is not None:
                then()
        elif isinstance(message, proto.Smoked):
            self._smoked(message.tag, message.good)
        elif isinstance(message, proto.Rejected):
            self.counters.add("interpreter", f"rejected {message.command}")
            if message.command == "APPLY":
                # It was not carried out, so unless it was sent before as well, nothing of it ran.
                outcome = Outcome.OBSOLETE if message.handle in self._resent else Outcome.UNREACHABLE
                self._over(message.handle)
                self.listener.finished(message.handle, outcome, 0.0, b"")
        elif isinstance(message, proto.Banner):
            self.ready = True
            self.listener.up(message.cold, message.up_for)
            waiting, self._waiting = self._waiting, []
            for command in waiting:
                self._command(command)
            for tag in self._smokes:
                self._ask(tag)
            if self._doubt:
                self._fence(self._settle)
            elif self._asked:
                self._fence(None)

    def _value(self, message: proto.Value) -> None:
        outcome = OUTCOMES.get(message.end, Outcome.ERROR)
        goes_on = outcome is Outcome.CANCELLED and self._goes_on(message.handle)
        self._over(message.handle)
        if goes_on:
            return self.resume(message.handle)
        self.listener.finished(message.handle, outcome, message.spent, message.result)

    def _goes_on(self, handle: str) -> bool:
        """Whether it was stopped just to see whether it runs; the word of it may come over the next link."""
        mine = [command.once for command in self._doubt if command.handle == handle]
        return self._probes.get(handle, bool(mine) and all(mine))

    def _over(self, handle: str) -> None:
        self._running.discard(handle)
        self._resent.discard(handle)
        self._probes.pop(handle, None)
        if self._doubt:
            self._doubt = [command for command in self._doubt if command.handle != handle]

    def failed(self) -> None:
        """Its coroutine has ended by a fault: the link goes, and ``run`` may be started again."""
        if self._conn is not None:
            self._conn.abort(ConnectionEnd.FAULT)

    def close(self) -> None:
        """End for good."""
        self._stopped = True
        if self._pause is not None:
            self._pause.wake()
        if self._conn is not None:
            self._conn.abort(ConnectionEnd.SHUTDOWN)
