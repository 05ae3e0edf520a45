"""The admin server: HTTP/1.1 with one request per connection, on the server's event loop.

A client has to send its complete request within ``REQUEST_TIMEOUT_S`` of the accept. At most ``MAX_CONNECTIONS`` are
open at once; the oldest is closed to make room for the next. So a client that connects and sends nothing costs only a
descriptor for a limited time.
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

MAX_CONNECTIONS = 16
REQUEST_TIMEOUT_S = 2.0  # from the accept until the request is complete; clients wait 1 s for the response
METRICS_CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"


class Host(Protocol):
    """The interface to the server whose state the admin server reports."""

    def ready(self) -> bool:
        """Whether this process is ready to serve callers."""

    def metrics(self) -> bytes:
        """The metrics in the Prometheus text format."""

    def spread_state(self) -> dict[str, Any] | None:
        """The state of each endpoint that attempts are balanced over; ``None`` if load balancing is off."""


class AdminServer:
    """Listens on ``address`` as soon as it is constructed, and answers requests with the state of ``host``."""

    def __init__(self, loop: Loop, address: tuple[str, int], host: Host, counters: Counters) -> None:
        """Bind the address. Raises ``OSError``."""
        self._loop = loop
        self._host = host
        self._counters = counters
        self._connections: dict[Connection, None] = {}  # used as an ordered set, oldest first
        self._evictions = Evictions(loop)
        self.listener = Listener(loop, address, DescriptorBudget(MAX_CONNECTIONS, 0), self._accepted, self._make_room)

    def _accepted(self, sock: socket.socket) -> None:
        self._counters.add("control", "calls")
        conn = Connection(self._loop, sock, lambda end: self._ended(conn, end))
        self._connections[conn] = None
        self._loop.spawn(self._serve(conn), lambda error: conn.close(ConnectionEnd.FAULT))

    def _make_room(self) -> bool:
        """Begin to close the oldest connection; returns whether a descriptor is free now."""
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
        parser = http.RequestParser()
        request_deadline = self._loop.now + REQUEST_TIMEOUT_S
        while (time_left_s := request_deadline - self._loop.now) > 0:
            data = yield from conn.read(time_left_s)
            if isinstance(data, ConnectionEnd):
                return conn.close(data)
            try:
                request = parser.feed(data) if data is not None else None
            except http.BadRequestError as error:
                conn.write(parser.response(error.status, f"{error}\n".encode()))
                return conn.close(ConnectionEnd.PROTOCOL_ERROR)
            if request is not None:
                conn.write(self._answer(parser, *request))
                return conn.close(ConnectionEnd.FINISHED)
        conn.close(ConnectionEnd.TIMED_OUT)

    def _answer(self, parser: http.RequestParser, method: str, path: str) -> bytes:
        """Encode the response to one request."""
        if path == "/v1/spread" and method == "GET" and (state := self._host.spread_state()) is not None:
            return parser.response(200, json.dumps(state).encode() + b"\n", "application/json")
        if path not in ("/v1/readyz", "/v1/metrics"):
            return parser.response(404, b"no such call\n")
        if method != "GET":
            return parser.response(405, b"only GET\n")
        if path == "/v1/readyz":
            ready = self._host.ready()
            return parser.response(200 if ready else 503, b"ready\n" if ready else b"not ready\n")
        return parser.response(200, self._host.metrics(), METRICS_CONTENT_TYPE)

    def close(self) -> None:
        """Close the listener and abort all connections, when the process ends."""
        self.listener.abandon()
        for conn in list(self._connections):
            conn.flush()
            conn.abort(ConnectionEnd.SHUTDOWN)
