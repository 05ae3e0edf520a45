"""The uwsgi frontend: packets to core requests, and answers back as HTTP responses.

The class is the last part of the path. Besides CONTENT_LENGTH and PATH_INFO, these variables are read:

- HTTP_X_REQUEST_ID: the idempotency key, the same for every attempt of a request;
- HTTP_X_RETRY: 1 on a retry;
- HTTP_X_REQUEST_START: when the request came to the gateway (``t=`` Unix seconds);
- HTTP_X_CALLER: the caller's number;
- HTTP_X_TEAM and HTTP_X_SERVICE: whose contract covers it.

README.md has the table of statuses; ``STATUS`` and ``ERRORS`` are its one definition.
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
from lapishaven.core.outcome_metrics import THROTTLED
from lapishaven.core.requests import Request
from lapishaven.frontends import Host, age
from lapishaven.net.connection import Connection
from lapishaven.net.loop import Wait
from lapishaven.proto import ProtocolError, TooLargeError
from lapishaven.proto import uwsgi as proto

MAX_EXCESS_BYTES = 64 * 1024  # after the request, which are discarded; a client that sends more is broken
MAX_KEY_LENGTH = 128  # characters of HTTP_X_REQUEST_ID
CALLER_COUNT = 65536  # callers' numbers are below this
CALLER_DIGITS = 10  # of a caller's number that are read, so that no long number is parsed
SHOWN_PATH_LENGTH = 80  # characters of an unknown path that the error shows
NOT_UP_RETRY_AFTER_S = 1.0  # Retry-After until the backend is up
DEFAULT_RETRY_AFTER_S = 1.0  # Retry-After of a rejection that gives no advice, as the header is always sent

STATUS: dict[AnswerKind, HTTPStatus] = {
    AnswerKind.SERVED: HTTPStatus.OK,
    AnswerKind.REJECTED: HTTPStatus.SERVICE_UNAVAILABLE,  # never ran; the only one that invites a retry
    AnswerKind.FAILED: HTTPStatus.BAD_GATEWAY,
    AnswerKind.DEADLINE_EXCEEDED: HTTPStatus.GATEWAY_TIMEOUT,
    AnswerKind.FORBIDDEN: HTTPStatus.FORBIDDEN,  # no contract covers it
}
"""The status of each kind of answer."""

ERRORS: dict[type[Exception], HTTPStatus] = {
    ProtocolError: HTTPStatus.BAD_REQUEST,
    TooLargeError: HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    LookupError: HTTPStatus.NOT_FOUND,
}
"""The status of each error in a packet."""

Headers = tuple[tuple[str, str], ...]


def path_of(request: proto.Request) -> str:
    """The path that a packet names, without its query."""
    return request.variables.get("PATH_INFO") or request.variables.get("REQUEST_URI", "").partition("?")[0]


def class_name(request: proto.Request, front: UwsgiFrontendConfig) -> str:
    """What the path names below the frontend's own path; empty where it is not below it."""
    path = path_of(request)
    return path.removeprefix(front.path) if path.startswith(front.path) else ""


def submission(
    request: proto.Request, classes: dict[str, int], front: UwsgiFrontendConfig, handle: str, now: float
) -> Submission:
    """A core request from a packet.

    ``handle`` is its attempt id, ``now`` is in Unix seconds. Raises ``ProtocolError`` for a malformed variable and
    ``LookupError`` for an unknown class.
    """
    variables = request.variables
    name = class_name(request, front)
    if name not in classes:
        raise LookupError(f"no class at {path_of(request)[:SHOWN_PATH_LENGTH]!r}")
    request_id = variables.get("HTTP_X_REQUEST_ID", "")
    if len(request_id) > MAX_KEY_LENGTH or not request_id.isprintable():
        raise ProtocolError("HTTP_X_REQUEST_ID is too long or not printable")
    caller_id = _caller_id(request)
    request_age = _request_age(request, now)
    team = variables.get("HTTP_X_TEAM", "")
    service = variables.get("HTTP_X_SERVICE", "")
    return Submission(
        attempt_id=handle,
        class_index=classes[name],
        body=request.body,
        memory_kb=front.queued_kb,
        age=request_age,
        caller_id=caller_id,
        is_retry=variables.get("HTTP_X_RETRY") == "1",
        is_write=True,
        # Two services may use the same id for different effects.
        idempotency_key=json.dumps([team, service, request_id]) if request_id else None,
        team=team,
        service=service,
    )


def _caller_id(request: proto.Request) -> int:
    """The caller's number; one derived from its address where it gives none."""
    caller = request.variables.get("HTTP_X_CALLER", "")
    if not caller:
        return zlib.crc32(request.variables.get("REMOTE_ADDR", "").encode()) % CALLER_COUNT
    if not (caller.isascii() and caller.isdigit() and int(caller[:CALLER_DIGITS]) < CALLER_COUNT):
        raise ProtocolError("HTTP_X_CALLER is not a number below 65536")
    return int(caller[:CALLER_DIGITS])


def _request_age(request: proto.Request, now: float) -> float:
    """Seconds since the gateway received the request; 0 where it does not say."""
    stated = request.variables.get("HTTP_X_REQUEST_START", "")
    if not stated:
        return 0.0
    try:
        started_at = float(stated.removeprefix("t="))
    except ValueError:
        started_at = math.nan
    if age(now, started_at) is None:
        raise ProtocolError("HTTP_X_REQUEST_START is no time near this one")
    return now - started_at


class Session:
    """One client's connection, which carries one request."""

    def __init__(
        self,
        host: Host,
        sock: socket.socket,
        front: UwsgiFrontendConfig,
        random: Random,
        load_report: Callable[[], str] | None = None,
    ) -> None:
        """Attempt ids are drawn from ``random``; ``word`` gives the load report for each answer, if there is one."""
        self.host = host
        self.front = front
        self.conn = Connection(host.loop, sock, self._ended)
        self.awaiting_since: float | None = (
            host.loop.now
        )  # when the request began to be awaited; None once it is complete
        self._random = random
        self._load_report = load_report
        self._request: Request | None = None
        self._open = False  # whether the request is in the core and not answered
        self._closing_as: ConnectionEnd | None = None  # how it ends once the request is answered

    @property
    def busy(self) -> bool:
        """Whether the request is to be answered yet."""
        return self._open

    # ---- Input
    def run(self) -> Generator[Wait, Any, None]:
        """Read the request and serve it, until the input ends."""
        parser = proto.RequestParser()
        excess_bytes = 0
        while True:
            data = yield from self.conn.read()
            if isinstance(data, ConnectionEnd):
                self._give_up(data)
                return
            if data is None:
                continue
            if parser.done:
                excess_bytes += len(data)
                if excess_bytes > MAX_EXCESS_BYTES:
                    self._give_up(ConnectionEnd.PROTOCOL_ERROR)
                    return
                continue
            self._feed(parser, data)

    def _feed(self, parser: proto.RequestParser, data: bytes) -> None:
        """Submit the request if some bytes complete it, or answer with the error that they show."""
        try:
            request = parser.feed(data)
            if request is not None:
                self._submit(request)
        except (ProtocolError, LookupError) as error:
            parser.done = True
            self.awaiting_since = None
            self._answer_error(ERRORS[type(error)], str(error))

    def _submit(self, request: proto.Request) -> None:
        self.awaiting_since = None
        broker = self.host.broker
        if self.conn.peer_has_closed():
            # The client gave up while this process was stopped or the packet was queued: nobody wants it run.
            self.host.counters.add("uwsgi", "given up before it was read")
            self._give_up(ConnectionEnd.PEER_CLOSED)
            return
        attempt_id = f"{self._random.getrandbits(64):016x}"
        submitted = submission(request, self.host.classes, self.front, attempt_id, time.time())
        self.host.counters.add("uwsgi", "requests")
        if broker is None:
            self.host.counters.add(THROTTLED, class_name(request, self.front))
            self._answer(Answer(AnswerKind.REJECTED, reason="not up yet", retry_after=NOT_UP_RETRY_AFTER_S))
            return
        self._open = True
        self._request = broker.submit(self.host.loop.now, submitted, self._answer)

    # ---- Output
    def _answer(self, answer: Answer) -> None:
        self._open = False
        status = STATUS[answer.kind]
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
        """When, and whether elsewhere, a rejected request may be retried; Retry-After has whole seconds only."""
        wait = answer.retry_after or DEFAULT_RETRY_AFTER_S
        headers: Headers = (("Retry-After", str(math.ceil(wait))), ("X-Pushback-Ms", str(round(wait * 1000))))
        return (*headers, ("X-Stop", "1")) if answer.no_retry_elsewhere else headers

    def _answer_error(self, status: HTTPStatus, text: str) -> None:
        self.host.counters.add("uwsgi", f"status {status.value}")
        self.conn.write(proto.encode_response(status, text.encode(), "text/plain"))
        self.conn.close(ConnectionEnd.FINISHED)

    # ---- The end
    def drain(self) -> None:
        """Do nothing: a uwsgi connection carries one request and is closed after its answer."""

    def close_gracefully(self, end: ConnectionEnd) -> None:
        """Close once the request is answered, at once where there is none."""
        self._closing_as = end
        if not self._open:
            self.conn.close(end)

    def _give_up(self, end: ConnectionEnd) -> None:
        """The client has gone: a gateway that closes the connection no longer waits."""
        if self._request is not None and self.host.broker is not None:
            self.host.broker.cancel(self._request)
        self._open = False
        self.conn.close(end)

    def _ended(self, end: ConnectionEnd) -> None:
        self._give_up(end)
        self.host.connection_ended(self, end)
