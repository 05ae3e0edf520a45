"""The control address: HTTP/1.1, one call a connection, ``GET /v1/readyz`` and ``GET /v1/metrics``.

It shares the loop with the serving path, but none of its waits: a caller has ``READ_SPAN`` from the accept to
send its head whole, and at most ``LIMIT`` connections are open at once, the oldest closed to make room. So a few
callers that connect and say nothing cost a descriptor each for a while and nothing else.
"""

from __future__ import annotations

import socket
from collections.abc import Generator
from typing import Any, Protocol

from lapishaven.ends import End
from lapishaven.net.conn import Conn
from lapishaven.net.loop import Loop, Wait
from lapishaven.proto import ProtocolError, http

LIMIT = 16  # control connections open at once
READ_SPAN = 2.0  # s from the accept for the head to come whole; callers wait 1 s for the answer
METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8"


class ControlHost(Protocol):
    """What the control address needs of the server round it."""

    loop: Loop

    def ready(self) -> bool:
        """Whether this process is ready to serve callers."""

    def metrics(self) -> bytes:
        """The figures in the exposition format."""

    def control_ended(self, session: ControlSession, end: End) -> None: ...


class ControlSession:
    """One call on the control address."""

    def __init__(self, host: ControlHost, sock: socket.socket) -> None:
        self.host = host
        self.conn = Conn(host.loop, sock, lambda end: host.control_ended(self, end))
        self.until = host.loop.now + READ_SPAN

    def run(self) -> Generator[Wait, Any, None]:
        reader = http.HeadReader()
        while True:
            span = self.until - self.host.loop.now
            data = yield from self.conn.read(max(span, 0.0))
            if isinstance(data, End):
                return
            if data is None:
                if self.host.loop.now >= self.until:
                    self.conn.close(End.TIMED_OUT)
                    return
                continue
            try:
                head = reader.feed(data)
            except ProtocolError as error:
                self._reply(http.response(400, f"{error}\n".encode()), End.PROTOCOL_ERROR)
                return
            if head is not None:
                self._reply(self.answer(head), End.FINISHED)
                return

    def answer(self, head: http.Head) -> bytes:
        """The response to one call."""
        if head.target not in ("/v1/readyz", "/v1/metrics"):
            return http.response(404, b"no such call\n")
        if head.method not in ("GET", "HEAD"):
            return http.response(405, b"only GET\n")
        if head.target == "/v1/readyz":
            ready = self.host.ready()
            return http.response(200 if ready else 503, b"ready\n" if ready else b"not ready\n")
        return http.response(200, self.host.metrics(), METRICS_TYPE)

    def _reply(self, data: bytes, end: End) -> None:
        self.conn.write(data)
        self.conn.finish(end)
