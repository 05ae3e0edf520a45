"""The admin server: HTTP/1.1, one request per connection, on the server's event loop.

A client has ``REQUEST_TIMEOUT_S`` from the accept to send its request completely, and at most ``MAX_CONNECTIONS`` are
open at once, the oldest closed to make room for the next. So clients that connect and send nothing cost a descriptor
each for a while, and nothing else.
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

MAX_CONNECTIONS = 16  # open at once
REQUEST_TIMEOUT_S = 2.0  # from the accept for the request to arrive completely; clients wait 1 s for the answer
METRICS_CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"


class Host(Protocol):
    """What the admin server asks of the server around it."""

    def ready(self) -> bool:
        """Whether this process is ready to serve callers."""

    def metrics(self) -> bytes:
        """The metrics in the Prometheus text format."""

    def spread_state(self) -> dict[str, Any] | None:
        """The state of each process that attempts are balanced over; ``None`` if they are not."""


class AdminServer:
    """Listens on ``address`` from its construction, and answers each request from ``host``."""

    def __init__(self, loop: Loop, address: tuple[str, int], host: Host, counters: Counters) -> None:
        """Bind the address. Raises ``OSError``."""
        self._loop = loop
        self._host = host
        self._counters = counters
        self._connections: dict[Connection, None] = {}  # an ordered set, the oldest first
        self._evictions = Evictions(loop)
        self.listener = Listener(loop, address, DescriptorBudget(MAX_CONNECTIONS, 0), self._accepted, self._make_room)

    def _accepted(self, sock: socket.socket) -> None:
        self._counters.add("control", "calls")
        conn = Connection(self._loop, sock, lambda end: self._ended(conn, end))
        self._connections[conn] = None
        self._loop.spawn(self._serve(conn), lambda error: conn.close(ConnectionEnd.FAULT))

    def _make_room(self) -> bool:
        """Begin to close the oldest connection, and return whether a descriptor is free by now."""
        if self._evictions.free_descriptor():
            return True
        oldest = next((conn for conn in self._connections if conn.closing is None), None)
        if oldest is not None and not len(self._evictions):
            self._counters.add("control", "evicted")
            oldest.close(ConnectionEnd.EVICTED)
            self._evictions.add(oldest)
        return not self.listener.budget.full

    def _ended(self, conn: Connection, end: ConnectionEnd) -> None:
        del self._connections[conn]
        self.listener.budget.used -= 1
        self.listener.descriptor_freed()
        self._counters.add("ends", f"control {end.value}")

    def _serve(self, conn: Connection) -> Generator[Wait, Any, None]:
        """Read one request and answer it."""
        calls = http.RequestParser()
        read_until = self._loop.now + REQUEST_TIMEOUT_S
        while (time_left := read_until - self._loop.now) > 0:
            data = yield from conn.read(time_left)
            if isinstance(data, ConnectionEnd):
                return conn.close(data)
            try:
                call = calls.feed(data) if data is not None else None
            except http.BadRequestError as error:
                conn.write(calls.response(error.status, f"{error}\n".encode()))
                return conn.close(ConnectionEnd.PROTOCOL_ERROR)
            if call is not None:
                conn.write(self._answer(calls, *call))
                return conn.close(ConnectionEnd.FINISHED)
        conn.close(ConnectionEnd.TIMED_OUT)

    def _answer(self, calls: http.RequestParser, method: str, path: str) -> bytes:
        """The response to one request."""
        if path == "/v1/spread" and method == "GET" and (state := self._host.spread_state()) is not None:
            return calls.response(200, json.dumps(state).encode() + b"\n", "application/json")
        if path not in ("/v1/readyz", "/v1/metrics"):
            return calls.response(404, b"no such call\n")
        if method != "GET":
            return calls.response(405, b"only GET\n")
        if path == "/v1/readyz":
            ready = self._host.ready()
            return calls.response(200 if ready else 503, b"ready\n" if ready else b"not ready\n")
        return calls.response(200, self._host.metrics(), METRICS_CONTENT_TYPE)

    def close(self) -> None:
        """Close the listener and, as the process ends, all connections at once."""
        self.listener.abandon()
        for conn in list(self._connections):
            conn.flush()
            conn.abort(ConnectionEnd.SHUTDOWN)
