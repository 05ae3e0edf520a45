"""The platform's front: callers' JSON-RPC lines to core requests, and answers back."""

from __future__ import annotations

import socket
import time
from collections.abc import Generator
from hashlib import blake2b
from typing import Any

from lapishaven.connection_end import ConnectionEnd
from lapishaven.core import Answer, AnswerKind, Submission
from lapishaven.core.outcome_metrics import THROTTLED
from lapishaven.core.requests import Request
from lapishaven.frontends import Host, age
from lapishaven.net.connection import Connection
from lapishaven.net.loop import Wait
from lapishaven.proto import TooLarge, jsonrpc

OPEN_LIMIT = 64  # open requests on a connection past which more are an error; the protocol allows 32
DIGEST = 16  # bytes of a body's digest; two bodies of one key by chance alike would need 2^64 tries
SLICE = 16  # messages of one connection in a round, so that a flood on one does not hold up the others


class Session:
    """One caller's connection."""

    def __init__(self, host: Host, sock: socket.socket) -> None:
        self.host = host
        self.conn = Connection(host.loop, sock, self._ended)
        self.open: dict[int, Request | None] = {}  # by the id on this connection
        self._calls: dict[str, int] = {}
        self.since: float | None = host.loop.now
        self._feeding = False  # whether messages that were read are still to be taken up
        self._leaving: ConnectionEnd | None = None
        if host.draining:
            self.conn.write(jsonrpc.DRAINING)

    @property
    def busy(self) -> bool:
        return bool(self.open) or self._feeding

    def run(self) -> Generator[Wait, Any, None]:
        machine = jsonrpc.Server()
        while True:
            data = yield from self.conn.read()
            if isinstance(data, ConnectionEnd):
                return self._input_ended(data)
            self._feeding = True
            try:
                for n, message in enumerate(machine.feed(data or b""), 1):
                    if n % SLICE == 0:
                        yield self.host.loop.next_round()
                    if self.conn.end is not None:
                        return
                    self._message(message)
            except TooLarge as error:
                self.conn.write(jsonrpc.error(None, jsonrpc.PARSE_ERROR, str(error)))
                self._leaving = ConnectionEnd.TOO_LARGE
            finally:
                self._feeding = False
            self.since = None if machine.whole else self.host.loop.now if self.since is None else self.since
            if self._leaving is not None:
                return self.leave(self._leaving)

    def _input_ended(self, end: ConnectionEnd) -> None:
        """The peer sends no more. It may still wait for its answers, or be gone; where it is gone, what is written
        comes back as a reset. So it is told at once what holds anyhow: nothing new reaches this connection."""
        if self.open and end is ConnectionEnd.PEER_CLOSED:
            self.host.counters.add("platform", "half-closed with requests open")
            self.conn.write(jsonrpc.DRAINING)
        self.leave(end)

    def leave(self, end: ConnectionEnd) -> None:
        """Take up nothing more, and close once all that is open is answered."""
        self._leaving = end
        if self._feeding:
            return  # what was read is taken up first
        self.conn.discard()
        if not self.open:
            self.conn.close(end)

    def _message(self, message: jsonrpc.Message) -> None:
        if isinstance(message, jsonrpc.Serve):
            self._serve(message)
        elif isinstance(message, jsonrpc.Forget):
            id = self._calls.get(message.call or "", message.id if message.call is None else None)
            self.host.counters.add("platform", "forget")
            if id is not None and id in self.open:
                self._forget(id)
            else:
                self.host.counters.add("platform", "forget of nothing open")
        elif isinstance(message, jsonrpc.IsWell):
            id = message.id
            self.host.counters.add("platform", "checks")
            self.open[id] = None
            self.host.check(message.deep, lambda up: self._send(id, jsonrpc.well(id, up)))
        else:
            self.host.counters.add("platform", f"malformed {message.code}")
            self.conn.write(jsonrpc.error(message.id, message.code, message.text))

    def _serve(self, m: jsonrpc.Serve) -> None:
        broker = self.host.broker
        cls = self.host.classes.get(m.method)
        if cls is None:
            self.conn.write(jsonrpc.error(m.id, jsonrpc.NO_METHOD, "no such class"))
            return
        if len(self.open) >= OPEN_LIMIT:
            # Still read, as what comes next may take the others back.
            self.host.counters.add("platform", "too many open")
            self.conn.write(jsonrpc.error(m.id, jsonrpc.INVALID_REQUEST, "too many open requests"))
            return
        span = age(time.time(), m.recv)
        if span is None:
            self.host.counters.add("platform", f"malformed {jsonrpc.INVALID_PARAMS}")
            self.conn.write(jsonrpc.error(m.id, jsonrpc.INVALID_PARAMS, "recv is out of its range"))
            return
        if broker is None:
            self.host.counters.add(THROTTLED, m.method)
            self.conn.write(jsonrpc.error(m.id, jsonrpc.REFUSED, "not up yet", 1.0))
            return
        self.open[m.id] = None
        self._calls.setdefault(m.call, m.id)  # of two the second is failed
        sub = Submission(
            m.call,
            cls,
            m.body,
            m.heap,
            m.crit,
            span,
            m.src,
            m.rep,
            is_write=m.row is None,
            subject=m.row,
            idempotency_key=m.key,
            body_digest=blake2b(m.body, digest_size=DIGEST).digest() if m.key is not None else None,
            time_left=m.left,
            tenant_index=self.host.tenants.get(m.tenant or "", len(self.host.tenants)),
        )
        request = broker.submit(self.host.loop.now, sub, lambda answer: self._answer(m, answer))
        if request is not None:
            self.open[m.id] = request

    def _forget(self, id: int) -> None:
        request = self.open.pop(id)
        if request is not None and self.host.broker is not None:
            self._calls.pop(request.submission.attempt_id, None)
            self.host.broker.cancel(request)

    def _answer(self, m: jsonrpc.Serve, answer: Answer) -> None:
        if self._calls.get(m.call) == m.id:
            del self._calls[m.call]
        if answer.kind is AnswerKind.SERVED:
            line = jsonrpc.result(m.id, answer.body)
        elif answer.kind is AnswerKind.REJECTED:
            line = jsonrpc.error(m.id, jsonrpc.REFUSED, answer.reason, answer.retry_after, answer.no_retry_elsewhere)
        else:
            line = jsonrpc.error(m.id, jsonrpc.FAILED, answer.reason)
        self._send(m.id, line)

    def _send(self, id: int, line: bytes) -> None:
        if id in self.open:
            del self.open[id]
            self.conn.write(line)
            self._close_if_done()

    def _close_if_done(self) -> None:
        if self._leaving is not None and not self.open and not self._feeding:
            self.conn.close(self._leaving)

    def drain(self) -> None:
        self.conn.write(jsonrpc.DRAINING)

    def _ended(self, end: ConnectionEnd) -> None:
        for id in list(self.open):
            self._forget(id)
        self.host.ended(self, end)
