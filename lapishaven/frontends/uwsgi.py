"""The uwsgi front: packets to core requests, and answers back as HTTP responses.

The class is the last part of the path. The variables that are read, besides CONTENT_LENGTH and PATH_INFO:
HTTP_X_REQUEST_ID names the effect, the same for every try of it; HTTP_X_RETRY is 1 on a further try;
HTTP_X_REQUEST_START is when the request came to the gateway (``t=`` Unix seconds); HTTP_X_CALLER is the
caller's number; HTTP_X_TEAM and HTTP_X_SERVICE name whose contract it comes under. README.md has the table of
statuses; ``STATUS`` and ``ERRORS`` are its one definition.
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
from lapishaven.proto import ProtocolError, TooLarge
from lapishaven.proto import uwsgi as proto

AFTER = 64 * 1024  # bytes after the request that are thrown away before it is called a broken client
ID_LIMIT = 128

STATUS: dict[AnswerKind, HTTPStatus] = {
    AnswerKind.SERVED: HTTPStatus.OK,
    AnswerKind.REJECTED: HTTPStatus.SERVICE_UNAVAILABLE,  # never ran; the only one that invites a retry
    AnswerKind.FAILED: HTTPStatus.BAD_GATEWAY,
    AnswerKind.DEADLINE_EXCEEDED: HTTPStatus.GATEWAY_TIMEOUT,
    AnswerKind.FORBIDDEN: HTTPStatus.FORBIDDEN,  # no contract
}
ERRORS: dict[type[Exception], HTTPStatus] = {
    ProtocolError: HTTPStatus.BAD_REQUEST,
    TooLarge: HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    LookupError: HTTPStatus.NOT_FOUND,
}


def path_of(request: proto.Request) -> str:
    return request.vars.get("PATH_INFO") or request.vars.get("REQUEST_URI", "").partition("?")[0]


def class_name(request: proto.Request, front: UwsgiFrontendConfig) -> str:
    """What the path names below the front's own part; empty where it is not below it."""
    path = path_of(request)
    return path.removeprefix(front.path) if path.startswith(front.path) else ""


def submission(
    request: proto.Request, classes: dict[str, int], front: UwsgiFrontendConfig, handle: str, now: float
) -> Submission:
    """A core request from a packet; raises what ``ERRORS`` maps to a status."""
    get, name = request.vars.get, class_name(request, front)
    if name not in classes:
        raise LookupError(f"no class at {path_of(request)[:80]!r}")
    id, caller, started = get("HTTP_X_REQUEST_ID", ""), get("HTTP_X_CALLER", ""), now
    if len(id) > ID_LIMIT or not id.isprintable():
        raise ProtocolError("HTTP_X_REQUEST_ID is too long or not printable")
    if caller and not (caller.isascii() and caller.isdigit() and int(caller[:10]) < 65536):
        raise ProtocolError("HTTP_X_CALLER is not a number below 65536")
    if mark := get("HTTP_X_REQUEST_START", ""):
        try:
            started = float(mark.removeprefix("t="))
        except ValueError:
            started = math.nan
        if age(now, started) is None:
            raise ProtocolError("HTTP_X_REQUEST_START is no time near this one")
    team, service = get("HTTP_X_TEAM", ""), get("HTTP_X_SERVICE", "")
    # Two services may use the same id for different effects.
    key = json.dumps([team, service, id]) if id else None
    who = int(caller[:10]) if caller else zlib.crc32(get("REMOTE_ADDR", "").encode()) % 65536
    return Submission(
        handle,
        classes[name],
        request.body,
        front.queued_kb,
        age=now - started,
        caller_id=who,
        is_retry=get("HTTP_X_RETRY") == "1",
        is_write=True,
        idempotency_key=key,
        team=team,
        service=service,
    )


class Session:
    """One client's connection, which carries one request."""

    def __init__(
        self,
        host: Host,
        sock: socket.socket,
        front: UwsgiFrontendConfig,
        random: Random,
        word: Callable[[], str] | None = None,
    ) -> None:
        """``word``: what each answer is to say of this server's load."""
        self.host, self.front, self._random, self._word = host, front, random, word
        self.conn = Connection(host.loop, sock, self._ended)
        self._request: Request | None = None
        self._open = False
        self._leaving: ConnectionEnd | None = None
        self.since: float | None = host.loop.now

    @property
    def busy(self) -> bool:
        return self._open

    def run(self) -> Generator[Wait, Any, None]:
        machine, after = proto.Server(), 0
        while True:
            data = yield from self.conn.read()
            if isinstance(data, ConnectionEnd):
                return self._give_up(data)
            if data is None:
                continue
            if machine.done:
                after += len(data)
                if after > AFTER:
                    return self._give_up(ConnectionEnd.PROTOCOL_ERROR)
                continue
            try:
                request = machine.feed(data)
                if request is not None:
                    self._submit(request)
            except (ProtocolError, LookupError) as error:
                machine.done = True
                self.since = None
                self._error(ERRORS[type(error)], str(error))

    def _submit(self, request: proto.Request) -> None:
        self.since = None
        broker, loop = self.host.broker, self.host.loop
        if self.conn.left():
            # It gave this up, while the process was stopped or the packet waited: nobody wants it run.
            self.host.counters.add("uwsgi", "given up before it was read")
            return self._give_up(ConnectionEnd.PEER_CLOSED)
        handle = f"{self._random.getrandbits(64):016x}"
        sub = submission(request, self.host.classes, self.front, handle, time.time())
        self.host.counters.add("uwsgi", "requests")
        if broker is None:
            self.host.counters.add(THROTTLED, class_name(request, self.front))
            return self._answer(Answer(AnswerKind.REJECTED, reason="not up yet", retry_after=1.0))
        self._open = True
        self._request = broker.submit(loop.now, sub, self._answer)

    def _answer(self, answer: Answer) -> None:
        self._open = False
        status = STATUS[answer.kind]
        self.host.counters.add("uwsgi", f"status {status.value}")
        headers: tuple[tuple[str, str], ...] = (("X-Load", self._word()),) if self._word is not None else ()
        if answer.kind is AnswerKind.SERVED:
            self.conn.write(proto.response(status, answer.body, "application/octet-stream", headers))
        else:
            if answer.kind is AnswerKind.REJECTED:
                # Retry-After has whole seconds only; the second header has what the module said.
                wait = answer.retry_after or 1.0
                headers += (("Retry-After", str(math.ceil(wait))), ("X-Pushback-Ms", str(round(wait * 1000))))
                headers += (("X-Stop", "1"),) if answer.no_retry_elsewhere else ()
            self.conn.write(proto.response(status, answer.reason.encode(), "text/plain", headers))
        self.conn.close(self._leaving or ConnectionEnd.FINISHED)

    def _error(self, status: HTTPStatus, text: str) -> None:
        self.host.counters.add("uwsgi", f"status {status.value}")
        self.conn.write(proto.response(status, text.encode(), "text/plain"))
        self.conn.close(ConnectionEnd.FINISHED)

    def drain(self) -> None:
        """Nothing to tell: a uwsgi connection carries one request and is closed after its answer."""

    def leave(self, end: ConnectionEnd) -> None:
        """Close once the request is answered, at once where there is none."""
        self._leaving = end
        if not self._open:
            self.conn.close(end)

    def _give_up(self, end: ConnectionEnd) -> None:
        """The client has gone, and a gateway's client that closes no longer waits."""
        if self._request is not None and self.host.broker is not None:
            self.host.broker.cancel(self._request)
        self._open = False
        self.conn.close(end)

    def _ended(self, end: ConnectionEnd) -> None:
        self._give_up(end)
        self.host.ended(self, end)
