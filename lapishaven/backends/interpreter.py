"""The interpreter behind its link, which is held open and made anew when it breaks."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Generator
from typing import Any

from cometdrum.interface import Outcome
from lapishaven.backends import Listener
from lapishaven.counters import Counters
from lapishaven.ends import End
from lapishaven.net.conn import Conn, Dial, connect
from lapishaven.net.loop import Loop, Wait
from lapishaven.proto import ProtocolError
from lapishaven.proto import interpreter as proto

DIAL = 1.0  # s for a connection to come about
AGAIN = (0.02, 0.05, 0.1, 0.25)  # s between tries; the last one stays
SMOKE_WAIT = 3.0  # s for a deep check; a caller's own check gives up sooner
OUTCOMES = {"OK": Outcome.OK, "ERROR": Outcome.ERROR, "STOPPED": Outcome.CANCELLED, "MOOT": Outcome.MOOT}

Command = tuple[str, bytes]  # whose it is, and its bytes


class Unsent:
    """Commands that the kernel has not wholly taken, so that they provably never arrived.

    A command counts for the interpreter once its last byte came, so one of which any byte is still here did
    not run. Once the kernel has taken all of it, it may have run, and is not sent again.
    """

    def __init__(self) -> None:
        self._queue: deque[tuple[int, Command]] = deque()
        self._end = 0

    def note(self, command: bytes, handle: str | None) -> None:
        """A command on its way; one with no handle is worth nothing on a later link."""
        self._end += len(command)
        if handle is not None:
            self._queue.append((self._end, (handle, command)))

    def taken(self, sent: int) -> None:
        while self._queue and self._queue[0][0] <= sent:
            self._queue.popleft()

    def rest(self, sent: int) -> list[Command]:
        """What is left at the link's end; the book starts anew."""
        self.taken(sent)
        left = [command for _, command in self._queue]
        self._queue.clear()
        self._end = 0
        return left


class Interpreter:
    """A core backend on the interpreter's lines."""

    def __init__(
        self,
        loop: Loop,
        address: tuple[str, int],
        gauge_names: tuple[str, ...],
        listener: Listener,
        counters: Counters,
        dial: Dial = connect,
    ) -> None:
        self._dial = dial
        self.loop, self.address, self.names = loop, address, gauge_names
        self.listener, self.counters = listener, counters
        self.ready = False
        self._conn: Conn | None = None
        self._last = 0  # number of the last notice read
        self._unsent = Unsent()
        self._waiting: list[Command] = []  # for the next link
        self._tags = 0
        self._smokes: dict[str, Callable[[bool], None]] = {}
        self._stopped = False

    # ---- Commands
    def start(self, handle: str, cls: str, body: bytes) -> None:
        self._command(proto.apply(handle, cls, body), handle)

    def halt(self, handle: str) -> None:
        unsent = [command for command in self._waiting if command[0] == handle]
        if unsent and unsent[0][1].startswith(b"APPLY"):
            # It never left, so there is nothing to stop.
            self._waiting = [command for command in self._waiting if command[0] != handle]
            self.loop.at(self.loop.now, lambda: self.listener.finished(handle, Outcome.MOOT, 0.0, b""))
        else:
            self._command(proto.pause(handle), handle)

    def resume(self, handle: str) -> None:
        self._command(proto.resume(handle), handle)

    def gauges(self) -> None:
        self._tags += 1
        self._command(proto.top(f"t{self._tags}"), None)

    def smoke(self, told: Callable[[bool], None]) -> None:
        """A deep health check; ``told`` is called once."""
        self._tags += 1
        tag = f"s{self._tags}"
        self._smokes[tag] = told
        self.loop.at(self.loop.now + SMOKE_WAIT, lambda: self._smoked(tag, False))
        if self.ready:
            self._command(proto.smoke(tag), None)
        else:
            self._smoked(tag, False)

    def _command(self, command: bytes, handle: str | None) -> None:
        if self.ready and self._conn is not None:
            self._unsent.taken(self._conn.sent)
            self._unsent.note(command, handle)
            self._conn.write(command)
        elif handle is not None:
            self._waiting.append((handle, command))

    def _smoked(self, tag: str, good: bool) -> None:
        told = self._smokes.pop(tag, None)
        if told is not None:
            told(good)

    # ---- The link
    def run(self) -> Generator[Wait, Any, None]:
        """Hold the link: dial, read until it ends, dial again."""
        failures = 0
        while not self._stopped:
            sock = yield from self._dial(self.loop, self.address, DIAL)
            if isinstance(sock, End):
                self.counters.add("interpreter", sock.value)
            else:
                self._conn = conn = Conn(self.loop, sock, self._ended)
                hello = proto.connect(self._last)
                self._unsent.note(hello, None)
                conn.write(hello)
                before = self._last
                yield from self._read(conn)
                failures = 0 if self._last > before else failures
            yield Wait(AGAIN[min(failures, len(AGAIN) - 1)])
            failures += 1

    def _read(self, conn: Conn) -> Generator[Wait, Any, None]:
        machine = proto.Client()
        while True:
            data = yield from conn.read()
            if isinstance(data, End):
                return
            try:
                for message in machine.feed(data or b""):
                    self._told(message)
            except ProtocolError:
                conn.close(End.PROTOCOL_ERROR)
                return

    def _ended(self, end: End) -> None:
        assert self._conn is not None
        self.counters.add("ends", f"interpreter {end.value}")
        self._waiting = self._unsent.rest(self._conn.sent) + self._waiting
        self.ready = False
        for tag in list(self._smokes):
            self._smoked(tag, False)

    def _told(self, message: proto.Message) -> None:
        if isinstance(message, proto.Value | proto.Trace):
            if message.number <= self._last:
                self.counters.add("interpreter", "notices seen before")
                return
            self._last = message.number
        if isinstance(message, proto.Value):
            outcome = OUTCOMES.get(message.end, Outcome.ERROR)
            self.listener.finished(message.handle, outcome, message.spent, message.result)
        elif isinstance(message, proto.Tops):
            self.listener.gauges(dict(zip(self.names, message.values, strict=False)))
        elif isinstance(message, proto.Smoked):
            self._smoked(message.tag, message.good)
        elif isinstance(message, proto.Rejected):
            self.counters.add("interpreter", f"rejected {message.command}")
            if message.command == "APPLY":
                self.listener.finished(message.handle, Outcome.MOOT, 0.0, b"")
        elif isinstance(message, proto.Banner):
            self.ready = True
            self.listener.up(message.cold, message.up_for)
            waiting, self._waiting = self._waiting, []
            for handle, command in waiting:
                self._command(command, handle)

    def close(self) -> None:
        self._stopped = True
        if self._conn is not None:
            self._conn.close(End.SHUTDOWN)
