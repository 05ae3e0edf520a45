"""Callers on real TCP connections of the scenarios' server, for orders of events that must happen every time.

The clock stays turned by hand. Bytes on loopback are not there at once, so each step waits for its event: for bytes in
a kernel's buffer, a connection in the listening queue, a condition of the server. No step is a pause.
"""

from __future__ import annotations

import fcntl
import json
import select
import socket
import struct
import termios
import time
from collections.abc import Callable
from typing import Any

from scenario import World

from lapishaven.frontends import Session

PATIENCE = 10.0  # s of real time after which an event that is waited for is taken not to come


def wait_for(condition: Callable[[], Any], what: str) -> None:
    """Look until the condition holds; the test fails if it never does."""
    until = time.monotonic() + PATIENCE
    while not condition():
        if time.monotonic() > until:
            raise AssertionError(f"never came: {what}")
        select.select([], [], [], 0.001)


def buffered(sock: socket.socket) -> int:
    """Bytes that the kernel holds for a reader of this socket."""
    size: int = struct.unpack("i", fcntl.ioctl(sock, termios.FIONREAD, b"\0\0\0\0"))[0]
    return size


def reset(sock: socket.socket) -> None:
    """Close with a reset."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


class Caller:
    """A caller's end, and what it has received."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.data = bytearray()
        self.ended: str | None = None  # "closed" or "reset"

    def pump(self) -> None:
        """Read what is there."""
        while self.ended is None and select.select([self.sock], [], [], 0)[0]:
            try:
                got = self.sock.recv(65536)
            except ConnectionResetError:
                self.ended = "reset"
                return
            self.data += got
            if not got:
                self.ended = "closed"

    @property
    def lines(self) -> list[dict[str, Any]]:
        """The whole lines so far."""
        whole = bytes(self.data).rpartition(b"\n")[0]
        return [json.loads(line) for line in whole.splitlines()]

    @property
    def answers(self) -> list[str]:
        """The answers so far, in the scenario's words."""
        return [World.kind(line) for line in self.lines if "id" in line]


class Tcp(World):
    """A server whose callers connect over TCP."""

    def call(self, name: str, id: str) -> str:  # type: ignore[override]
        return World.call(name.replace("t", "77"), id)

    def connect(self, **options: int) -> Caller:
        """A connection that the server has accepted; ``options`` are of the socket level, set before it connects."""
        before = self.server.counters.get("connections", "accepted")
        caller = self.knock(**options)
        self.until(lambda: self.server.counters.get("connections", "accepted") > before, "an accept")
        return caller

    def knock(self, **options: int) -> Caller:
        """A connection in the server's listening queue."""
        sock = socket.socket()
        self.addCleanup(sock.close)
        for name, value in options.items():
            sock.setsockopt(socket.SOL_SOCKET, getattr(socket, name), value)
        sock.connect(self.server.listeners[0].address)
        return Caller(sock)

    def session(self) -> Session:
        """The session that was accepted last."""
        return list(self.server.callers.sessions)[-1]

    def send(self, caller: Caller, *messages: bytes) -> None:
        """Send, and see it in the server's kernel; the server's loop does not run meanwhile."""
        session = self.of(caller)
        before, data = buffered(session.conn.sock), b"".join(messages)
        caller.sock.sendall(data)
        wait_for(lambda: buffered(session.conn.sock) >= before + len(data), "bytes in the server's kernel")

    def of(self, caller: Caller) -> Session:
        """The session at the other end."""
        name = caller.sock.getsockname()
        return next(s for s in self.server.callers.sessions if s.conn.sock.getpeername() == name)

    def round(self) -> None:
        """One round of the server, and what came back."""
        self.server.loop.round(0, self.server.turn)

    def until(self, condition: Callable[[], Any], what: str) -> None:
        """Rounds of the server and its stand-ins until the condition holds."""

        def look() -> Any:
            self.pump()
            return condition()

        wait_for(look, what)

    def answered(self, caller: Caller, *answers: str) -> None:
        """Rounds until the caller has just these answers."""

        def look() -> bool:
            caller.pump()
            return len(caller.answers) >= len(answers) or caller.ended is not None

        self.until(look, f"answers {answers}")
        self.assertEqual(caller.answers, list(answers))

    def ended(self, caller: Caller, how: str) -> None:
        """Rounds until the connection ended at the caller's side, in this way."""

        def look() -> bool:
            caller.pump()
            return caller.ended is not None

        self.until(look, f"the connection's end: {how}")
        self.assertEqual(caller.ended, how)

    def serve(self, caller: Caller, name: str, id: int, cls: str = "fuzzy-match") -> None:
        """One request from its sending to its answer."""
        self.send(caller, self.message(name, str(id), cls))
        self.until(lambda: f"{name}.{id}" in self.vm.handles, "a run")
        self.vm.end("OK", f"{name}.{id}")
        self.until(lambda: (caller.pump(), f"result {id}" in caller.answers)[1], "an answer")


__all__ = ["Caller", "Tcp", "buffered", "reset", "wait_for"]
