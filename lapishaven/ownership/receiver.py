"""A receiver of effects over TCP, for members that do not share its file. JSON lines, one answer per request.

Unlike with a shared file, a member that is stopped within a call holds no lock of the file. ``serve_receiver`` is the
server in front of a ``FencedStore``; ``RemoteReceiver`` is the client, which cannot tell whether an unanswered request
was applied.
"""

from __future__ import annotations

import json
import socket
import socketserver
import threading
from contextlib import suppress
from typing import Any

from lapishaven.ownership.fence import EffectRequest, Verdict
from lapishaven.ownership.fenced_store import Admission, FencedStore, FencedStoreError

MAX_LINE_BYTES = 64 * 1024  # longest request or answer
LISTEN_BACKLOG = 512
DEFAULT_TIMEOUT_S = 1.0


class _Server(socketserver.ThreadingTCPServer):
    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = LISTEN_BACKLOG


def serve_receiver(host: str, port: int, store: FencedStore) -> tuple[socketserver.ThreadingTCPServer, int]:
    """Serve a store at an address, on background threads; returns the server, for its shutdown, and its port."""
    lock = threading.Lock()

    class Handler(socketserver.StreamRequestHandler):
        """Handles one connection."""

        disable_nagle_algorithm = True

        def handle(self) -> None:
            """Answer requests until the connection is closed."""
            with suppress(OSError):
                while line := self.rfile.readline(MAX_LINE_BYTES):
                    if not line.endswith(b"\n"):
                        return  # truncated or too long: not applied
                    with lock:
                        answer = _answer_request(store, line)
                    self.wfile.write(json.dumps(answer).encode() + b"\n")

    server = _Server((host, port), Handler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return server, int(server.server_address[1])


def _answer_request(store: FencedStore, line: bytes) -> dict[str, Any]:
    try:
        fields = json.loads(line)
        request = _decode_request(fields)
        effect = str(fields["effect"])
    except (ValueError, KeyError, TypeError) as error:
        return {"error": f"no act: {type(error).__name__}: {error}"}
    try:
        admission = store.admit(request, effect, fields.get("detail"))
    except FencedStoreError as error:
        return {"error": str(error)}
    return {
        "verdict": admission.verdict.value,
        "token": admission.token,
        "held": admission.effect_count,
        "answer": admission.answer,
    }


def _decode_request(fields: Any) -> EffectRequest:
    return EffectRequest(
        (str(fields["duty"]), int(fields["shard"])),
        int(fields["token"]),
        int(fields["number"]),
        int(fields["after"]),
    )


def _encode_request(request: EffectRequest, effect: str, detail: Any) -> bytes:
    duty, number = request.shard
    fields = {
        "duty": duty,
        "shard": number,
        "token": request.token,
        "number": request.number,
        "after": request.known_effects,
        "effect": effect,
        "detail": detail,
    }
    return json.dumps(fields).encode() + b"\n"


class RemoteReceiver:
    """Client of a receiver at an address. A request that is not answered within ``timeout_s`` may still be applied."""

    def __init__(self, host: str, port: int, timeout_s: float = DEFAULT_TIMEOUT_S) -> None:
        self._address = host, port
        self._timeout_s = timeout_s
        self._socket: socket.socket | None = None
        self._answers: Any = None  # buffered reader of the socket

    def admit(self, request: EffectRequest, effect: str, detail: Any) -> Admission:
        """Send a request and wait for its answer. Raises ``FencedStoreError`` if it failed or was not answered."""
        line = _encode_request(request, effect, detail)
        try:
            if self._socket is None:
                self._connect()
            answer = json.loads(self._exchange(line))
        except (OSError, ValueError) as error:
            self.close()
            raise FencedStoreError(
                f"no answer from the receiver {self._address[0]}:{self._address[1]},"
                f" effect {effect!r:.80} may have been applied: {error}"
            ) from None
        if "error" in answer:
            raise FencedStoreError(answer["error"])
        return Admission(Verdict(answer["verdict"]), answer["token"], answer["held"], answer["answer"])

    def _connect(self) -> None:
        self._socket = socket.create_connection(self._address, self._timeout_s)
        self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._answers = self._socket.makefile("rb")

    def _exchange(self, line: bytes) -> bytes:
        assert self._socket is not None
        self._socket.sendall(line)
        answer: bytes = self._answers.readline(MAX_LINE_BYTES)
        if not answer.endswith(b"\n"):
            raise OSError(f"answer truncated after {len(answer)} bytes (limit {MAX_LINE_BYTES})")
        return answer

    def close(self) -> None:
        """Close the connection; the next request opens another."""
        if self._socket is not None:
            self._answers.close()
            self._socket.close()
            self._socket = None
