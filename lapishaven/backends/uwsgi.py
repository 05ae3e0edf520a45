"""A backend that sends each attempt to a uwsgi server, on a connection of its own."""

from __future__ import annotations

from collections.abc import Callable, Generator
from typing import Any

from lapishaven.admission import Outcome
from lapishaven.backends import BackendListener
from lapishaven.connection_end import ConnectionEnd, outcome_of
from lapishaven.counters import Counters
from lapishaven.net.connection import Connection, Dial, connect
from lapishaven.net.loop import Loop, Wait
from lapishaven.proto import ProtocolError, TooLarge
from lapishaven.proto import uwsgi as proto

DIAL = 1.0  # s for a connection to come about
POOL = 0.005  # s after which the gauges are told


class UwsgiBackend:
    """A core backend on the uwsgi protocol. It cannot pause: to halt is to close the connection."""

    def __init__(
        self,
        loop: Loop,
        address: tuple[str, int],
        path: str,
        cores: int,
        spans: dict[str, float],
        listener: BackendListener,
        counters: Counters,
        dial: Dial = connect,
    ) -> None:
        self._dial = dial
        self.loop, self.address, self.path, self.cores = loop, address, path, cores
        self.spans, self.listener, self.counters = spans, listener, counters
        self._running: dict[str, Connection | None] = {}
        self._halted: set[str] = set()

    def run(self) -> Generator[Wait, Any, None]:
        """There is no link to hold: the backend is up at once."""
        self.listener.up(False, 0.0)
        return
        yield

    # ---- Commands
    def change_address(self, address: tuple[str, int]) -> None:
        """New attempts go there; those under way have connections of their own and go on."""
        self.address = address

    def start(self, handle: str, cls: str, body: bytes, once: bool) -> None:
        self._running[handle] = None
        self.loop.spawn(self._attempt(handle, cls, body), lambda error: self._fault(handle))

    def _fault(self, handle: str) -> None:
        conn = self._running.get(handle)
        if conn is not None:
            conn.abort(ConnectionEnd.FAULT)
        self._end(handle, outcome_of(ConnectionEnd.FAULT), 0.0)

    def pause(self, handle: str) -> None:
        conn = self._running.get(handle)
        if conn is not None:
            conn.close(ConnectionEnd.ABANDONED, unsent=False)
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

    def health_check(self, told: Callable[[bool], None]) -> None:
        self.loop.spawn(self._dial_only(told))

    def _dial_only(self, told: Callable[[bool], None]) -> Generator[Wait, Any, None]:
        sock = yield from self._dial(self.loop, self.address, DIAL)
        if not isinstance(sock, ConnectionEnd):
            sock.close()
        told(not isinstance(sock, ConnectionEnd))

    # ---- One attempt
    def _attempt(self, handle: str, cls: str, body: bytes) -> Generator[Wait, Any, None]:
        began = self.loop.now
        sock = yield from self._dial(self.loop, self.address, DIAL)
        if isinstance(sock, ConnectionEnd):
            # Whether refused or out of time, nothing was sent, so it never ran.
            return self._end(handle, outcome_of(ConnectionEnd.UNREACHED), self.loop.now - began)
        conn = Connection(self.loop, sock, lambda end: self.counters.add("ends", f"uwsgi backend {end.value}"))
        self._running[handle] = conn
        if handle in self._halted:
            conn.close(ConnectionEnd.ABANDONED, unsent=False)
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
                conn.abort(ConnectionEnd.SHUTDOWN)


def read_response(
    loop: Loop, conn: Connection, until: float
) -> Generator[Wait, Any, tuple[Outcome, bytes, proto.Response | None]]:
    """How the attempt that was sent on a connection ended, its result, and the response if one came."""
    machine = proto.Client()
    while True:
        data = yield from conn.read(max(0.0, until - loop.now))
        if data is None:
            conn.close(ConnectionEnd.TIMED_OUT, unsent=False)
            return outcome_of(ConnectionEnd.TIMED_OUT), b"", None
        try:
            response = machine.feed(b"" if isinstance(data, ConnectionEnd) else data)
        except ProtocolError as error:
            if isinstance(data, ConnectionEnd):
                return outcome_of(data), b"", None
            end = ConnectionEnd.TOO_LARGE if isinstance(error, TooLarge) else ConnectionEnd.PROTOCOL_ERROR
            conn.close(end)
            return outcome_of(end), b"", None
        if response is not None:
            conn.close(ConnectionEnd.FINISHED)
            return outcome_of_response(response), response.body if response.status == 200 else b"", response
        if isinstance(data, ConnectionEnd):
            return outcome_of(data), b"", None


def outcome_of_response(response: proto.Response) -> Outcome:
    """What a server's word says of the attempt."""
    if response.status == 200:
        return Outcome.OK
    # A 503 with Retry-After is a server's word that it turned the request away unrun.
    return Outcome.OVERLOADED if response.status == 503 and "retry-after" in response.headers else Outcome.ERROR
