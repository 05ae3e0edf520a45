"""The platform frontend: maps callers' JSON-RPC lines to core requests, and their answers to response lines."""

from __future__ import annotations

import socket
import time
from collections.abc import Generator
from typing import Any

from lapishaven.connection_end import ConnectionEnd
from lapishaven.core import Answer, AnswerKind, Submission
from lapishaven.core.outcome_metrics import FAULTED, THROTTLED
from lapishaven.core.requests import Request
from lapishaven.core.source_fairness import RequestSource
from lapishaven.frontends import Host, age
from lapishaven.net.connection import Connection
from lapishaven.net.loop import Wait
from lapishaven.proto import TooLargeError, jsonrpc

MAX_OPEN_REQUESTS = 64  # on one connection, though the protocol allows callers 32; more are answered with an error
MESSAGES_PER_ROUND = 16  # of one connection, in one round of the loop, so that a flood on one does not delay others
TOTAL_MESSAGES_PER_ROUND = 256  # of all connections, where each has more than one; some tens of milliseconds
CLOSE_PROBE_S = 0.01  # for the reset of a peer that has closed; many round trips on the platform's network
NOT_UP_RETRY_AFTER_S = 1.0  # Retry-After until the backend is up


class MessageTurns:
    """How many messages each connection may process in one round of the loop.

    A round takes as long as the messages of all connections, and what they open in it is held before the core can
    reject any of it. So the more connections have messages waiting, the fewer each may process; one at the least.
    """

    def __init__(self) -> None:
        self.waiting = 0  # connections with messages that were read and not processed
        self._round_at = 0.0
        self._waiting_before = 0  # as the round began

    def per_connection(self, round_at: float) -> int:
        """Messages of one connection in the round of the loop that began at ``round_at``."""
        if round_at != self._round_at:
            self._round_at = round_at
            self._waiting_before = self.waiting
        waiting = max(1, self.waiting, self._waiting_before)
        return max(1, min(MESSAGES_PER_ROUND, TOTAL_MESSAGES_PER_ROUND // waiting))


class Session:
    """One caller's connection.

    A caller that half-closes its connection still gets the answers to its open requests. See
    ``docs/design/closing.md``.
    """

    def __init__(self, host: Host, sock: socket.socket, new_connections: RequestSource, turns: MessageTurns) -> None:
        """All sessions share ``turns``, and the new ones the record ``new_connections``."""
        self.host = host
        self._turns = turns
        self.conn = Connection(host.loop, sock, self._ended, serves_peer=True)
        self.open: dict[int, Request | None] = {}  # by JSON-RPC id; None: a health check or a request being submitted
        self.awaiting_since: float | None = host.loop.now  # loop time since which an incomplete message is awaited
        self._source = RequestSource(host.loop.now, new_connections)
        self._parser = jsonrpc.ServerParser()
        self._ids_by_attempt: dict[str, int] = {}  # JSON-RPC ids by the caller's attempt id
        self._has_probed = False  # whether a peer that has shut down its sending direction was sent something
        self._feeding = False  # whether messages that were read are still being processed
        self._closing_as: ConnectionEnd | None = None  # the end to close with once no request is open
        if host.draining:
            self.conn.write(jsonrpc.DRAINING_NOTICE)

    @property
    def busy(self) -> bool:
        """Whether input that was read is still to be processed or answered."""
        return bool(self.open) or self._feeding

    @property
    def unfinished_bytes(self) -> int:
        """Bytes held of an incomplete message."""
        return 0 if self._feeding else self._parser.unfinished_bytes

    # ---- Input
    def run(self) -> Generator[Wait, Any, None]:
        """Read and serve until the input ends."""
        while True:
            data = yield from self.conn.read()
            if isinstance(data, ConnectionEnd):
                self._input_ended(data)
                return
            if not (yield from self._feed(data or b"")):
                return
            self._update_awaiting_since()
            if self._closing_as is not None:
                self.close_gracefully(self._closing_as)
                return

    def _feed(self, data: bytes) -> Generator[Wait, Any, bool]:
        """Process the messages that ``data`` completes; returns false if the connection ended before one of them."""
        self._feeding = True
        self._turns.waiting += 1
        left = self._turns.per_connection(self.host.loop.now)
        try:
            for message in self._parser.feed(data):
                if not left:
                    yield self.host.loop.next_round()
                    left = self._turns.per_connection(self.host.loop.now)
                left -= 1
                if self.conn.peer_finished and not self._has_probed:
                    self._probe()
                    yield Wait(CLOSE_PROBE_S)
                if self.conn.end is not None:
                    return False
                self._process(message)
        except TooLargeError as error:
            self.conn.write(jsonrpc.encode_error(None, jsonrpc.PARSE_ERROR, str(error)))
            self._closing_as = ConnectionEnd.TOO_LARGE
        finally:
            self._turns.waiting -= 1
            self._feeding = False
        return True

    def _update_awaiting_since(self) -> None:
        """Update the time since which an incomplete message is awaited."""
        if self._parser.at_message_boundary:
            self.awaiting_since = None
        elif self.awaiting_since is None:
            self.awaiting_since = self.host.loop.now

    def _input_ended(self, end: ConnectionEnd) -> None:
        """Handle the end of the peer's input: a half-close, whose peer awaits its answers, or a full close.

        A peer that was not probed before its last requests were read is probed now if any is open.
        """
        if self.open and end is ConnectionEnd.PEER_CLOSED:
            self.host.counters.add("platform", "half-closed with requests open")
            if not self._has_probed:
                self._probe()
        self.close_gracefully(end)

    def _probe(self) -> None:
        """Write something, to which a peer that has closed fully, and not only half, answers with a reset.

        The draining notice does no harm, as the peer can send no further request on this connection anyway.
        """
        self._has_probed = True
        self.conn.write(jsonrpc.DRAINING_NOTICE)
        self.conn.flush()

    def _process(self, message: jsonrpc.Message) -> None:
        if isinstance(message, jsonrpc.RunRequest):
            self._serve(message)
        elif isinstance(message, jsonrpc.CancelRequest):
            self._cancel_named(message)
        elif isinstance(message, jsonrpc.HealthCheck):
            self._check_health(message)
        else:
            self.host.counters.add("platform", f"malformed {message.code}")
            self.conn.write(jsonrpc.encode_error(message.id, message.code, message.text))

    def _check_health(self, message: jsonrpc.HealthCheck) -> None:
        request_id = message.id
        self.host.counters.add("platform", "checks")
        self.open[request_id] = None
        self.host.health_check(
            message.deep, lambda healthy: self._send(request_id, jsonrpc.encode_health(request_id, healthy))
        )

    # ---- Requests
    def _serve(self, message: jsonrpc.RunRequest) -> None:
        """Submit a request, or answer it with an error."""
        class_index = self.host.classes.get(message.method)
        if class_index is None:
            self.conn.write(jsonrpc.encode_error(message.id, jsonrpc.NO_METHOD, "no such class"))
            return
        if len(self.open) >= MAX_OPEN_REQUESTS:
            # Keep reading the connection: the next messages may cancel open requests.
            self.host.counters.add("platform", "too many open")
            if self.host.broker is not None:
                self.host.broker.record_unsubmitted(self.host.loop.now, self._source)
            self.conn.write(jsonrpc.encode_error(message.id, jsonrpc.INVALID_REQUEST, "too many open requests"))
            return
        request_age = age(time.time(), message.received_at)
        if request_age is None:
            self.host.counters.add("platform", f"malformed {jsonrpc.INVALID_PARAMS}")
            self.conn.write(jsonrpc.encode_error(message.id, jsonrpc.INVALID_PARAMS, "recv is out of its range"))
            return
        broker = self.host.broker
        if broker is None:
            self._answer_not_up(message)
            return
        self.open[message.id] = None
        # A second request with the same attempt id does not replace the entry of the first: the core fails the second.
        self._ids_by_attempt.setdefault(message.attempt_id, message.id)
        submission = self._submission(message, class_index, request_age)
        request = broker.submit(self.host.loop.now, submission, lambda answer: self._answer(message, answer))
        if request is not None:
            self.open[message.id] = request

    def _answer_not_up(self, message: jsonrpc.RunRequest) -> None:
        """Answer a request that comes before the backend is up; what may have run is not rejected."""
        key = message.idempotency_key
        if key is not None and self.host.may_have_run(message.method, key):
            self.host.counters.add(FAULTED, message.method)
            self.conn.write(jsonrpc.encode_error(message.id, jsonrpc.FAILED_CODE, "not up yet, and it may have run"))
            return
        self.host.counters.add(THROTTLED, message.method)
        self.conn.write(jsonrpc.encode_error(message.id, jsonrpc.REJECTED_CODE, "not up yet", NOT_UP_RETRY_AFTER_S))

    def _submission(self, message: jsonrpc.RunRequest, class_index: int, request_age: float) -> Submission:
        return Submission(
            attempt_id=message.attempt_id,
            class_index=class_index,
            body=message.body,
            memory_kb=message.memory_kb,
            rank=message.rank,
            age=request_age,
            caller_id=message.caller_id,
            is_retry=message.is_retry,
            is_write=message.subject is None,
            subject=message.subject,
            idempotency_key=message.idempotency_key,
            time_left=message.time_left_s,
            source=self._source,
            tenant_index=self.host.tenants.get(message.tenant_name or "", len(self.host.tenants)),
        )

    def _cancel_named(self, message: jsonrpc.CancelRequest) -> None:
        """Cancel the request that a message names by its attempt id, or else by its JSON-RPC id."""
        by_id = message.id if message.attempt_id is None else None
        request_id = self._ids_by_attempt.get(message.attempt_id or "", by_id)
        self.host.counters.add("platform", "forget")
        if request_id is not None and request_id in self.open:
            self._cancel(request_id)
        else:
            self.host.counters.add("platform", "forget of nothing open")

    def _cancel(self, request_id: int) -> None:
        request = self.open.pop(request_id)
        if request is not None and self.host.broker is not None:
            self._ids_by_attempt.pop(request.submission.attempt_id, None)
            self.host.broker.cancel(request)

    # ---- Output
    def _answer(self, message: jsonrpc.RunRequest, answer: Answer) -> None:
        if self._ids_by_attempt.get(message.attempt_id) == message.id:
            del self._ids_by_attempt[message.attempt_id]
        if answer.kind is AnswerKind.SERVED:
            line = jsonrpc.encode_result(message.id, answer.body)
        elif answer.kind is AnswerKind.REJECTED:
            line = jsonrpc.encode_error(
                message.id, jsonrpc.REJECTED_CODE, answer.reason, answer.retry_after, answer.no_retry_elsewhere
            )
        else:
            line = jsonrpc.encode_error(message.id, jsonrpc.FAILED_CODE, answer.reason)
        self._send(message.id, line)

    def _send(self, request_id: int, line: bytes) -> None:
        """Send an answer, unless its request was cancelled."""
        if request_id in self.open:
            del self.open[request_id]
            self.conn.write(line)
            self._close_if_answered()

    # ---- Closing
    def drain(self) -> None:
        """Tell the caller to send no new requests here."""
        self.conn.write(jsonrpc.DRAINING_NOTICE)

    def close_gracefully(self, end: ConnectionEnd) -> None:
        """Process no further input, and close once all open requests are answered."""
        self._closing_as = end
        if self._feeding:
            return  # input that was read is processed first
        self._parser.clear()
        self.conn.discard()
        if not self.open:
            self.conn.close(end)

    def _close_if_answered(self) -> None:
        if self._closing_as is not None and not self.open and not self._feeding:
            self.conn.close(self._closing_as)

    def _ended(self, end: ConnectionEnd) -> None:
        """Handle the end of the connection: nobody waits for the open requests, so cancel them."""
        for request_id in list(self.open):
            self._cancel(request_id)
        self.host.connection_ended(self, end)
