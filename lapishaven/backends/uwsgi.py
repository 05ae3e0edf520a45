"""A backend that sends each attempt to a uwsgi server, on a connection of its own."""

from __future__ import annotations

from collections.abc import Callable, Generator
from typing import Any

from cometdrum.interface import Outcome
from lapishaven.backends import Listener
from lapishaven.counters import Counters
from lapishaven.ends import End, outcome_of
from lapishaven.net.conn import Conn, Dial, connect
from lapishaven.net.loop import Loop, Wait
from lapishaven.proto import ProtocolError, TooLarge
from lapishaven.proto import uwsgi as proto

DIAL = 1.0  # s for a connection to come about
POOL = 0.005  # s after which the gauges are told


class Uwsgi:
    """A core backend on the uwsgi protocol. It cannot pause: to halt is to close the connection."""

    def __init__(
        self,
        loop: Loop,
        address: tuple[str, int],
        path: str,
        cores: int,
        spans: dict[str, float],
        listener: Listener,
        counters: Counters,
        dial: Dial = connect,
    ) -> None:
        self._dial = dial
        self.loop, self.address, self.path, self.cores = loop, address, path, cores
        self.spans, self.listener, self.counters = spans, listener, counters
        self._running: dict[str, Conn | None] = {}
        self._halted: set[str] = set()

    def run(self) -> Generator[Wait, Any, None]:
        """There is no link to hold: the backend is up at once."""
        self.listener.up(False, 0.0)
        return
        yield

    # ---- Commands
    def move(self, address: tuple[str, int]) -> None:
        """New attempts go there; those under way have connections of their own and go on."""
        self.address = address

    def start(self, handle: str, cls: str, body: bytes, once: bool) -> None:
        self._running[handle] = None
        self.loop.spawn(self._attempt(handle, cls, body), lambda error: self._fault(handle))

    def _fault(self, handle: str) -> None:
        conn = self._running.get(handle)
        if conn is not None:
            conn.abort(End.FAULT)
        self._end(handle, outcome_of(End.FAULT), 0.0)

    def halt(self, handle: str) -> None:
        conn = self._running.get(handle)
        if conn is not None:
            conn.close(End.ABANDONED, unsent=False)
        elif handle in self._running:
            self._halted.add(handle)

    def resume(self, handle: str) -> None:
        # Never paused, so there is nothing to go on with; the attempt ended when it was halted.
        self._end(handle, Outcome.CANCELLED, 0.0)

    def gauges(self) -> None:
        """What this side can see: each attempt in hand wants a core of the server's."""
        wanted = len(self._running)
        use = min(1.0, wanted / self.cores)
        values = {"core_use": use, "on_cores": float(wanted), "links": float(wanted)}
        self.loop.at(self.loop.now + POOL, lambda: self.listener.gauges(values))

    def smoke(self, told: Callable[[bool], None]) -> None:
        self.loop.spawn(self._dial_only(told))

    def _dial_only(self, told: Callable[[bool], None]) -> Generator[Wait, Any, None]:
        sock = yield from self._dial(self.loop, self.address, DIAL)
        if not isinstance(sock, End):
            sock.close()
        told(not isinstance(sock, End))

    # ---- One attempt
    def _attempt(self, handle: str, cls: str, body: bytes) -> Generator[Wait, Any, None]:
        began = self.loop.now
        sock = yield from self._dial(self.loop, self.address, DIAL)
        if isinstance(sock, End):
            # Whether refused or out of time, nothing was sent, so it never ran.
            return self._end(handle, outcome_of(End.UNREACHED), self.loop.now - began)
        conn = Conn(self.loop, sock, lambda end: self.counters.add("ends", f"uwsgi backend {end.value}"))
        self._running[handle] = conn
        if handle in self._halted:
            conn.close(End.ABANDONED, unsent=False)
        conn.write(
            proto.packet({"REQUEST_METHOD": "POST", "PATH_INFO": self.path + cls, "HTTP_X_REQUEST_ID": handle}, body)
        )
        outcome, result, _ = yield from read_response(self.loop, conn, began + self.spans[cls])
        self._end(handle, outcome, self.loop.now - began, result)

    def _end(self, handle: str, outcome: Outcome, spent: float, result: bytes = b"") -> None:
        if self._running.pop(handle, 0) != 0:
            self._halted.discard(handle)
            self.listener.finished(handle, outcome, spent, result)

    def failed(self) -> None:
        """There is no link that could be left behind."""

    def close(self) -> None:
        """End for good."""
        for conn in list(self._running.values()):
            if conn is not None:
                conn.abort(End.SHUTDOWN)


def read_response(
    loop: Loop, conn: Conn, until: float
) -> Generator[Wait, Any, tuple[Outcome, bytes, proto.Response | None]]:
    """How the attempt that was sent on a connection ended, its result, and the response if one came."""
    machine = proto.Client()
    while True:
        data = yield from conn.read(max(0.0, until - loop.now))
        if data is None:
            conn.close(End.TIMED_OUT, unsent=False)
            return outcome_of(End.TIMED_OUT), b"", None
        try:
            response = machine.feed(b"" if isinstance(data, End) else data)
        except ProtocolError as error:
            if isinstance(data, End):
                return outcome_of(data), b"", None
            end = End.TOO_LARGE if isinstance(error, TooLarge) else End.PROTOCOL_ERROR
            conn.close(end)
            return outcome_of(end), b"", None
        if response is not None:
            conn.close(End.FINISHED)
            return outcome_of_response(response), response.body if response.status == 200 else b"", response
        if isinstance(data, End):
            return outcome_of(data), b"", None


def outcome_of_response(response: proto.Response) -> Outcome:
    """What a server's word says of the attempt."""
    if response.status == 200:
        return Outcome.OK
    # A 503 with Retry-After is a server's word that it turned the request away unrun.
    return Outcome.FULL if response.status == 503 and "retry-after" in response.headers else Outcome.ERROR
