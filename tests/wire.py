"""Callers on real TCP connections to the server of ``scenario``, for tests that force an order of events.

The test sets the clock. Bytes on loopback take time to arrive, so each step waits for its event: bytes in the kernel's
buffer, a connection in the backlog, or a condition of the server. No step waits for a fixed time.
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

EVENT_TIMEOUT_S = 10.0  # in real time


def wait_for(condition: Callable[[], Any], what: str) -> None:
    """Poll until the condition holds; fail the test on a timeout."""
    until = time.monotonic() + EVENT_TIMEOUT_S
    while not condition():
        if time.monotonic() > until:
            raise AssertionError(f"timed out after {EVENT_TIMEOUT_S} s of waiting for {what}")
        select.select([], [], [], 0.001)


def buffered(sock: socket.socket) -> int:
    """The number of unread bytes in the kernel's receive buffer of a socket."""
    size: int = struct.unpack("i", fcntl.ioctl(sock, termios.FIONREAD, b"\0\0\0\0"))[0]
    return size


def reset(sock: socket.socket) -> None:
    """Close a socket with a reset."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


class Caller:
    """A caller's end of a connection, and what it has received."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.data = bytearray()
        self.ended: str | None = None  # "closed" or "reset"

    def pump(self) -> None:
        """Receive what has arrived."""
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
        """The complete lines received so far."""
        complete = bytes(self.data).rpartition(b"\n")[0]
        return [json.loads(line) for line in complete.splitlines()]

    @property
    def answers(self) -> list[str]:
        """The answers received so far, in terms of the scenario language."""
        return [World.kind(line) for line in self.lines if "id" in line]


class Tcp(World):
    """A test case with a server whose callers connect over TCP."""

    def call(self, name: str, id: str) -> str:  # type: ignore[override]
        return World.call(name.replace("t", "77"), id)

    def connect(self, **options: int) -> Caller:
        """Open a connection that the server accepts; ``options`` are socket options set before it connects."""
        before = self.server.counters.get("connections", "accepted")
        caller = self.connect_unaccepted(**options)
        self.until(lambda: self.server.counters.get("connections", "accepted") > before, "an accept")
        return caller

    def connect_unaccepted(self, **options: int) -> Caller:
        """Open a connection that waits in the server's backlog."""
        sock = socket.socket()
        self.addCleanup(sock.close)
        for name, value in options.items():
            sock.setsockopt(socket.SOL_SOCKET, getattr(socket, name), value)
        sock.connect(self.server.listeners[0].address)
        return Caller(sock)

    def session(self) -> Session:
        """The most recently accepted session."""
        return list(self.server.callers.sessions)[-1]

    def send(self, caller: Caller, *messages: bytes) -> None:
        """Send messages and wait for them in the kernel's buffer, without running the server's loop."""
        session = self.of(caller)
        before, data = buffered(session.conn.sock), b"".join(messages)
        caller.sock.sendall(data)
        wait_for(lambda: buffered(session.conn.sock) >= before + len(data), "the bytes in the server's receive buffer")

    def of(self, caller: Caller) -> Session:
        """The server's session of a caller."""
        name = caller.sock.getsockname()
        return next(session for session in self.server.callers.sessions if session.conn.sock.getpeername() == name)

    def round(self) -> None:
        """Run one round of the server."""
        self.server.loop.round(0, self.server.turn)

    def until(self, condition: Callable[[], Any], what: str) -> None:
        """Run the server and its stand-ins until the condition holds."""

        def check() -> Any:
            self.pump()
            return condition()

        wait_for(check, what)

    def answered(self, caller: Caller, *answers: str) -> None:
        """Run until the caller has exactly these answers."""

        def check() -> bool:
            caller.pump()
            return len(caller.answers) >= len(answers) or caller.ended is not None

        self.until(check, f"answers {answers}")
        self.assertEqual(caller.answers, list(answers))

    def ended(self, caller: Caller, how: str) -> None:
        """Run until the connection has ended for the caller, in the way given by ``how``."""

        def check() -> bool:
            caller.pump()
            return caller.ended is not None

        self.until(check, f"the end of the connection: {how}")
        self.assertEqual(caller.ended, how)

    def serve(self, caller: Caller, name: str, id: int, cls: str = "fuzzy-match") -> None:
        """Send a request and complete it."""
        self.send(caller, self.message(name, str(id), cls))
        self.until(lambda: f"{name}.{id}" in self.vm.handles, f"the run of {name}.{id}")
        self.vm.end("OK", f"{name}.{id}")
        self.until(lambda: (caller.pump(), f"result {id}" in caller.answers)[1], f"the answer to {name}.{id}")


__all__ = ["Caller", "Tcp", "buffered", "reset", "wait_for"]
