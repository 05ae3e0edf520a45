"""The uwsgi frontend: maps packets to core requests, and their answers to HTTP responses.

The class is the last segment of the path. Besides CONTENT_LENGTH and PATH_INFO, these variables are read:

- HTTP_X_REQUEST_ID: the idempotency key, the same for every attempt of a request;
- HTTP_X_RETRY: 1 on a retry;
- HTTP_X_REQUEST_START: when the gateway received the request (``t=`` Unix seconds);
- HTTP_X_CALLER: the caller's number, below 65536;
- HTTP_X_TEAM and HTTP_X_SERVICE: the parties of the contract that covers the request.

README.md documents the statuses, which ``STATUS_BY_ANSWER`` and ``STATUS_BY_ERROR`` define.
"""

from __future__ import annotations

import json
import math
import socket
import time
import zlib
from collections.abc import Callable, Generator
from http import HTTPStatus
from random import Random
from typing import Any

from lapishaven.config import UwsgiFrontendConfig
from lapishaven.connection_end import ConnectionEnd
from lapishaven.core import Answer, AnswerKind, Submission
from lapishaven.core.outcome_metrics import FAULTED, THROTTLED
from lapishaven.core.requests import Request
from lapishaven.core.source_fairness import RequestSource
from lapishaven.frontends import Host, age
from lapishaven.net.connection import Connection
from lapishaven.net.loop import Wait
from lapishaven.proto import ProtocolError, TooLargeError
from lapishaven.proto import uwsgi as proto

MAX_EXCESS_BYTES = 64 * 1024  # bytes after the request that are discarded; more are a protocol error
MAX_KEY_LENGTH = 128  # in characters, of HTTP_X_REQUEST_ID
CALLER_COUNT = 65536  # caller numbers are below this
MAX_CALLER_DIGITS = 10  # leading digits of a caller number that are parsed, to bound the work
MAX_QUOTED_PATH_LENGTH = 80  # characters of an unknown path that the error text quotes
NOT_UP_RETRY_AFTER_S = 1.0  # Retry-After until the backend is up
DEFAULT_RETRY_AFTER_S = 1.0  # Retry-After of a rejection without a retry time; the header is always sent

STATUS_BY_ANSWER: dict[AnswerKind, HTTPStatus] = {
    AnswerKind.SERVED: HTTPStatus.OK,
    AnswerKind.REJECTED: HTTPStatus.SERVICE_UNAVAILABLE,  # never ran; the only status that invites a retry
    AnswerKind.FAILED: HTTPStatus.BAD_GATEWAY,
    AnswerKind.DEADLINE_EXCEEDED: HTTPStatus.GATEWAY_TIMEOUT,
    AnswerKind.FORBIDDEN: HTTPStatus.FORBIDDEN,  # no contract covers the request
}
"""HTTP status by kind of answer."""

STATUS_BY_ERROR: dict[type[Exception], HTTPStatus] = {
    ProtocolError: HTTPStatus.BAD_REQUEST,
    TooLargeError: HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    LookupError: HTTPStatus.NOT_FOUND,
}
"""HTTP status by the exact type of the error that a packet raised."""

VARIABLES = (
    "PATH_INFO",
    "REQUEST_URI",
    "REMOTE_ADDR",
    "HTTP_X_REQUEST_ID",
    "HTTP_X_RETRY",
    "HTTP_X_REQUEST_START",
    "HTTP_X_CALLER",
    "HTTP_X_TEAM",
    "HTTP_X_SERVICE",
)
"""The names of the variables that are read; no others are kept."""

Headers = tuple[tuple[str, str], ...]


def path_of(request: proto.Request) -> str:
    """The path of a request, without its query."""
    return request.variables.get("PATH_INFO") or request.variables.get("REQUEST_URI", "").partition("?")[0]


def class_name(request: proto.Request, front: UwsgiFrontendConfig) -> str:
    """The path below the frontend's prefix; empty if it is not below that prefix."""
    path = path_of(request)
    return path.removeprefix(front.path) if path.startswith(front.path) else ""


def submission(
    request: proto.Request,
    classes: dict[str, int],
    front: UwsgiFrontendConfig,
    attempt_id: str,
    now: float,
    source: RequestSource | None = None,
) -> Submission:
    """Build a core request from a packet.

    ``now`` is in Unix seconds. Raises ``ProtocolError`` for a malformed variable and
    ``LookupError`` for an unknown class.
    """
    variables = request.variables
    name = class_name(request, front)
    if name not in classes:
        raise LookupError(f"no class at {path_of(request)[:MAX_QUOTED_PATH_LENGTH]!r}")
    request_id = variables.get("HTTP_X_REQUEST_ID", "")
    if len(request_id) > MAX_KEY_LENGTH or not request_id.isprintable():
        raise ProtocolError("HTTP_X_REQUEST_ID is too long or not printable")
    caller_id = _caller_id(request)
    request_age = _request_age(request, now)
    team = variables.get("HTTP_X_TEAM", "")
    service = variables.get("HTTP_X_SERVICE", "")
    return Submission(
        attempt_id=attempt_id,
        class_index=classes[name],
        body=request.body,
        memory_kb=front.queued_kb,
        age=request_age,
        caller_id=caller_id,
        is_retry=variables.get("HTTP_X_RETRY") == "1",
        is_write=True,
        # The key includes the party: two services may use the same id for different effects.
        idempotency_key=json.dumps([team, service, request_id]) if request_id else None,
        team=team,
        service=service,
        source=source,
    )


def _caller_id(request: proto.Request) -> int:
    """The caller's number, or one derived from its address if it gives none."""
    caller = request.variables.get("HTTP_X_CALLER", "")
    if not caller:
        return zlib.crc32(request.variables.get("REMOTE_ADDR", "").encode()) % CALLER_COUNT
    if not (caller.isascii() and caller.isdigit() and int(caller[:MAX_CALLER_DIGITS]) < CALLER_COUNT):
        raise ProtocolError("HTTP_X_CALLER is not a number below 65536")
    return int(caller[:MAX_CALLER_DIGITS])


def _request_age(request: proto.Request, now: float) -> float:
    """Seconds since the gateway received the request; 0 if it does not state a time."""
    header = request.variables.get("HTTP_X_REQUEST_START", "")
    if not header:
        return 0.0
    try:
        started_at = float(header.removeprefix("t="))
    except ValueError:
        started_at = math.nan
    if age(now, started_at) is None:
        raise ProtocolError("HTTP_X_REQUEST_START is no time near this one")
    return now - started_at


class Session:
    """One client connection, which carries one request."""

    def __init__(
        self,
        host: Host,
        sock: socket.socket,
        front: UwsgiFrontendConfig,
        random: Random,
        new_connections: RequestSource,
        load_report: Callable[[], str] | None = None,
    ) -> None:
        """Attempt ids are drawn from ``random``; ``load_report`` renders the X-Load header, if it is to be sent.

        ``new_connections`` is the record that the new connections of this frontend share.
        """
        self.host = host
        self.front = front
        self.conn = Connection(host.loop, sock, self._ended, serves_peer=True)
        self.awaiting_since: float | None = host.loop.now  # since when the request is awaited; None once it is read
        self._random = random
        self._load_report = load_report
        self._source = RequestSource(host.loop.now, new_connections)
        self._parser = proto.RequestParser(VARIABLES)
        self._request: Request | None = None
        self._open = False  # whether the request was submitted and is not answered
        self._closing_as: ConnectionEnd | None = None  # the end to close with after the answer; None for FINISHED

    @property
    def busy(self) -> bool:
        """Whether the request is still to be answered."""
        return self._open

    @property
    def unfinished_bytes(self) -> int:
        """Bytes held of the request while it is not complete."""
        return 0 if self._closing_as is not None else self._parser.unfinished_bytes

    # ---- Input
    def run(self) -> Generator[Wait, Any, None]:
        """Read and serve the request, until the input ends."""
        parser = self._parser
        excess_bytes = 0
        while True:
            data = yield from self.conn.read()
            if isinstance(data, ConnectionEnd):
                self._cancel_and_close(data)
                return
            if data is None:
                continue
            if parser.done:
                excess_bytes += len(data)
                if excess_bytes > MAX_EXCESS_BYTES:
                    self._cancel_and_close(ConnectionEnd.PROTOCOL_ERROR)
                    return
                continue
            self._feed(parser, data)

    def _feed(self, parser: proto.RequestParser, data: bytes) -> None:
        """Submit the request if ``data`` completes it, or answer a malformed one with its error."""
        try:
            request = parser.feed(data)
            if request is not None:
                self._submit(request)
        except (ProtocolError, LookupError) as error:
            parser.done = True
            self.awaiting_since = None
            self._answer_error(STATUS_BY_ERROR[type(error)], str(error))

    def _submit(self, request: proto.Request) -> None:
        self.awaiting_since = None
        broker = self.host.broker
        if self.conn.peer_has_closed():
            # The client closed while this process was stopped or the packet was queued, so the request is not run.
            self.host.counters.add("uwsgi", "given up before it was read")
            self._cancel_and_close(ConnectionEnd.PEER_CLOSED)
            return
        attempt_id = f"{self._random.getrandbits(64):016x}"
        submitted = submission(request, self.host.classes, self.front, attempt_id, time.time(), self._source)
        self.host.counters.add("uwsgi", "requests")
        if broker is None:
            self._answer_not_up(class_name(request, self.front), submitted.idempotency_key)
            return
        self._open = True
        self._request = broker.submit(self.host.loop.now, submitted, self._answer)

    def _answer_not_up(self, name: str, key: str | None) -> None:
        """Answer a request that comes before the backend is up; what may have run is not rejected."""
        if key is not None and self.host.may_have_run(name, key):
            self.host.counters.add(FAULTED, name)
            self._answer(Answer(AnswerKind.FAILED, reason="not up yet, and it may have run"))
            return
        self.host.counters.add(THROTTLED, name)
        self._answer(Answer(AnswerKind.REJECTED, reason="not up yet", retry_after=NOT_UP_RETRY_AFTER_S))

    # ---- Output
    def _answer(self, answer: Answer) -> None:
        self._open = False
        status = STATUS_BY_ANSWER[answer.kind]
        self.host.counters.add("uwsgi", f"status {status.value}")
        headers: Headers = (("X-Load", self._load_report()),) if self._load_report is not None else ()
        if answer.kind is AnswerKind.SERVED:
            response = proto.encode_response(status, answer.body, "application/octet-stream", headers)
        else:
            if answer.kind is AnswerKind.REJECTED:
                headers += self._retry_headers(answer)
            response = proto.encode_response(status, answer.reason.encode(), "text/plain", headers)
        self.conn.write(response)
        self.conn.close(self._closing_as or ConnectionEnd.FINISHED)

    def _retry_headers(self, answer: Answer) -> Headers:
        """The headers that tell when, and whether on another server, a rejected request may be retried.

        Retry-After has whole seconds; X-Pushback-Ms gives the same time in milliseconds.
        """
        retry_after_s = answer.retry_after or DEFAULT_RETRY_AFTER_S
        headers: Headers = (
            ("Retry-After", str(math.ceil(retry_after_s))),
            ("X-Pushback-Ms", str(round(retry_after_s * 1000))),
        )
        return (*headers, ("X-Stop", "1")) if answer.no_retry_elsewhere else headers

    def _answer_error(self, status: HTTPStatus, text: str) -> None:
        self.host.counters.add("uwsgi", f"status {status.value}")
        self.conn.write(proto.encode_response(status, text.encode(), "text/plain"))
        self.conn.close(ConnectionEnd.FINISHED)

    # ---- Closing
    def drain(self) -> None:
        """Do nothing: a uwsgi connection carries one request and is closed after its answer."""

    def close_gracefully(self, end: ConnectionEnd) -> None:
        """Close once the request is answered, or immediately if none is open."""
        self._closing_as = end
        if not self._open:
            self.conn.close(end)

    def _cancel_and_close(self, end: ConnectionEnd) -> None:
        """Cancel the open request and close: a gateway that closes the connection no longer waits for the answer."""
        if self._request is not None and self.host.broker is not None:
            self.host.broker.cancel(self._request)
        self._open = False
        self.conn.close(end)

    def _ended(self, end: ConnectionEnd) -> None:
        self._cancel_and_close(end)
        self.host.connection_ended(self, end)
