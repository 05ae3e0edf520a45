"""The control door: HTTP/1.1, one call a connection, on the serving loop but apart from its waits.

A caller has ``READ_SPAN`` from the accept to send its request whole, and at most ``LIMIT`` calls are open at once,
the oldest closed to make room for the next. So callers that connect and say nothing cost a descriptor each for a
while, and nothing else.
"""

from __future__ import annotations

import json
import socket
from collections.abc import Generator
from typing import Any, Protocol

from lapishaven.connection_end import ConnectionEnd
from lapishaven.counters import Counters
from lapishaven.net.connection import Connection
from lapishaven.net.eviction import Evictions
from lapishaven.net.listener import DescriptorBudget, Listener
from lapishaven.net.loop import Loop, Wait
from lapishaven.proto import http

LIMIT = 16  # calls open at once
READ_SPAN = 2.0  # s from the accept for the request to come whole; callers wait 1 s for the answer
METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8"


class Host(Protocol):
    """What the control door asks of the server round it."""

    def ready(self) -> bool:
        """Whether this process is ready to serve callers."""

    def metrics(self) -> bytes:
        """The figures in the exposition format."""

    def spread_state(self) -> dict[str, Any] | None:
        """What is known of the processes behind this one; none where there are none."""


class AdminServer:
    """Listens on ``address`` (raises ``OSError``) and answers each call from ``host``."""

    def __init__(self, loop: Loop, address: tuple[str, int], host: Host, counters: Counters) -> None:
        self.loop, self.host, self.counters = loop, host, counters
        self.calls: dict[Connection, None] = {}  # open, oldest first
        self._room = Evictions(loop)
        self.listener = Listener(loop, address, DescriptorBudget(LIMIT, 0), self._accepted, self._make_room)

    def _accepted(self, sock: socket.socket) -> None:
        self.counters.add("control", "calls")
        conn = Connection(self.loop, sock, lambda end: self._ended(conn, end))
        self.calls[conn] = None
        self.loop.spawn(self._serve(conn), lambda error: conn.close(ConnectionEnd.FAULT))

    def _make_room(self) -> bool:
        if self._room.free():
            return True
        oldest = next((conn for conn in self.calls if conn.closing is None), None)
        if oldest is not None and not len(self._room):
            self.counters.add("control", "evicted")
            oldest.close(ConnectionEnd.EVICTED)
            self._room.add(oldest)
        return not self.listener.budget.full

    def _ended(self, conn: Connection, end: ConnectionEnd) -> None:
        del self.calls[conn]
        self.listener.budget.used -= 1
        self.listener.room_made()
        self.counters.add("ends", f"control {end.value}")

    def _serve(self, conn: Connection) -> Generator[Wait, Any, None]:
        calls, until = http.Calls(), self.loop.now + READ_SPAN
        while (span := until - self.loop.now) > 0:
            data = yield from conn.read(span)
            if isinstance(data, ConnectionEnd):
                return conn.close(data)
            try:
                call = calls.feed(data) if data is not None else None
            except http.BadCall as error:
                conn.write(calls.response(error.status, f"{error}\n".encode()))
                return conn.close(ConnectionEnd.PROTOCOL_ERROR)
            if call is not None:
                conn.write(self.answer(calls, *call))
                return conn.close(ConnectionEnd.FINISHED)
        conn.close(ConnectionEnd.TIMED_OUT)

    def answer(self, calls: http.Calls, method: str, path: str) -> bytes:
        """The response to one call."""
        if path == "/v1/spread" and method == "GET" and (state := self.host.spread_state()) is not None:
            return calls.response(200, json.dumps(state).encode() + b"\n", "application/json")
        if path not in ("/v1/readyz", "/v1/metrics"):
            return calls.response(404, b"no such call\n")
        if method != "GET":
            return calls.response(405, b"only GET\n")
        if path == "/v1/readyz":
            ready = self.host.ready()
            return calls.response(200 if ready else 503, b"ready\n" if ready else b"not ready\n")
        return calls.response(200, self.host.metrics(), METRICS_TYPE)

    def close(self) -> None:
        """No more calls; those open are closed at once, as the process ends."""
        self.listener.abandon()
        for conn in list(self.calls):
            conn.flush()
            conn.abort(ConnectionEnd.SHUTDOWN)
