"""The receiver of effects over TCP, for members that do not share its file: JSON lines, one act, one answer.

A member that is stopped within a call holds no lock of the file then. ``serve`` stands before a ``Book``; ``Remote`` is
the member's side, and knows of a lost answer only that there was none.
"""

from __future__ import annotations

import json
import socket
import socketserver
import threading
from contextlib import suppress
from typing import Any

from lapishaven.ownership.fence import Act, Verdict
from lapishaven.ownership.fenced_store import Admission, FencedStore, FencedStoreError

LINE = 64 * 1024  # bytes of one act or answer at most


class _Server(socketserver.ThreadingTCPServer):
    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 512


def _answer(book: FencedStore, line: bytes) -> dict[str, Any]:
    try:
        words = json.loads(line)
        act = Act(
            (str(words["duty"]), int(words["shard"])), int(words["token"]), int(words["number"]), int(words["after"])
        )
        effect = str(words["effect"])
    except (ValueError, KeyError, TypeError) as error:
        return {"error": f"no act: {type(error).__name__}: {error}"}
    try:
        found = book.admit(act, effect, words.get("detail"))
    except FencedStoreError as error:
        return {"error": str(error)}
    return {"verdict": found.verdict.value, "token": found.token, "held": found.held, "answer": found.answer}


def serve(host: str, port: int, book: FencedStore) -> tuple[socketserver.ThreadingTCPServer, int]:
    """Answer acts at an address, on threads; gives the server, to be shut down, and its port."""
    lock = threading.Lock()

    class Handler(socketserver.StreamRequestHandler):
        disable_nagle_algorithm = True

        def handle(self) -> None:
            with suppress(OSError):
                while line := self.rfile.readline(LINE):
                    if not line.endswith(b"\n"):
                        return  # cut off within an act, or too long: not done
                    with lock:
                        found = _answer(book, line)
                    self.wfile.write(json.dumps(found).encode() + b"\n")

    server = _Server((host, port), Handler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return server, int(server.server_address[1])


class Remote:
    """A receiver at an address. ``timeout`` in s for each act; without an answer in it the act may still be done."""

    def __init__(self, host: str, port: int, timeout: float = 1.0) -> None:
        self._address, self._timeout = (host, port), timeout
        self._sock: socket.socket | None = None
        self._file: Any = None

    def admit(self, act: Act, effect: str, detail: Any) -> Admission:
        line = (
            json.dumps(
                {
                    "duty": act.shard[0],
                    "shard": act.shard[1],
                    "token": act.token,
                    "number": act.number,
                    "after": act.after,
                    "effect": effect,
                    "detail": detail,
                }
            ).encode()
            + b"\n"
        )
        try:
            if self._sock is None:
                self._sock = socket.create_connection(self._address, self._timeout)
                self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                self._file = self._sock.makefile("rb")
            self._sock.sendall(line)
            got = self._file.readline(LINE)
            if not got.endswith(b"\n"):
                raise OSError("the connection ended")
            found = json.loads(got)
        except (OSError, ValueError) as error:
            self.close()
            raise FencedStoreError(f"no answer: {error}") from None
        if "error" in found:
            raise FencedStoreError(found["error"])
        return Admission(Verdict(found["verdict"]), found["token"], found["held"], found["answer"])

    def close(self) -> None:
        if self._sock is not None:
            self._file.close()
            self._sock.close()
            self._sock = None
