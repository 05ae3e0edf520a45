"""What crossed the sockets, read at the sockets: the checker's own eyes, apart from any client's counters.

``Tap.socket`` makes sockets that write down each connect and every byte as the system took or gave it. Requests
and answers are read from these bytes by a parser that shares nothing with the client's.
"""

from __future__ import annotations

import base64
import json
import socket
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any


@dataclass(slots=True)
class Try:
    """One request as it went out."""

    at: float
    call: str
    cls: str
    rep: bool
    body: bytes
    socket: int
    id: int
    answered: float | None = None
    ending: str = ""


@dataclass(slots=True)
class Tap:
    """The book of all sockets it made."""

    clock: Callable[[], float]
    not_servers: set[tuple[str, int]] = field(default_factory=set)  # addresses that are no match servers'
    connects: list[float] = field(default_factory=list)
    tries: list[Try] = field(default_factory=list)
    forgets: int = 0
    checks: int = 0
    answers_twice: int = 0
    unreadable: int = 0
    most_open: int = 0  # on one connection
    late_results: int = 0

    def socket(self, family: int) -> socket.socket:
        return _Tapped(self, family)


class _Tapped(socket.socket):
    """A socket that tells its tap what it does."""

    __slots__ = ("_tap", "_sent", "_got", "_open", "_done", "_server")

    def __init__(self, tap: Tap, family: int) -> None:
        super().__init__(family, socket.SOCK_STREAM)
        self._tap, self._sent, self._got = tap, bytearray(), bytearray()
        self._open: dict[int, Try] = {}
        self._done: set[int] = set()
        self._server = True

    def connect(self, address: Any) -> None:
        self._server = tuple(address[:2]) not in self._tap.not_servers
        if self._server:
            self._tap.connects.append(self._tap.clock())
        super().connect(address)

    def send(self, data: Any, flags: int = 0) -> int:
        count = super().send(data, flags)
        self._out(bytes(data[:count]))
        return count

    def sendmsg(self, buffers: Any, *rest: Any) -> int:
        data = b"".join(buffers)
        count = super().sendmsg([data], *rest)
        self._out(data[:count])
        return count

    def recv(self, size: int, flags: int = 0) -> bytes:
        data = super().recv(size, flags)
        if self._server:
            self._got += data
            for line in self._lines(self._got):
                self._in(line)
        return data

    @staticmethod
    def _lines(buffer: bytearray) -> list[bytes]:
        *whole, rest = bytes(buffer).split(b"\n")
        buffer[:] = rest
        return whole

    def _out(self, data: bytes) -> None:
        if not self._server:
            return
        self._sent += data
        for line in self._lines(self._sent):
            try:
                message = json.loads(line)
                method, params = message["method"], message.get("params", {})
            except (ValueError, KeyError, TypeError):
                self._tap.unreadable += 1
                continue
            if method == "forget":
                self._tap.forgets += 1
            elif method == "isWell":
                self._tap.checks += 1
            else:
                body = base64.b64decode(params.get("arg", ""))
                each = Try(
                    self._tap.clock(), params["call"], method, params.get("rep") == 1, body, id(self), message["id"]
                )
                self._tap.tries.append(each)
                self._open[each.id] = each
                self._tap.most_open = max(self._tap.most_open, sum(t.answered is None for t in self._open.values()))

    def _in(self, line: bytes) -> None:
        try:
            message = json.loads(line)
        except ValueError:
            self._tap.unreadable += 1
            return
        number = message.get("id")
        if number is None:
            return
        if number in self._done:
            self._tap.answers_twice += 1
        each = self._open.pop(number, None)
        if each is not None:
            self._done.add(number)
            each.answered = self._tap.clock()
            code = message.get("error", {}).get("code") if "error" in message else None
            each.ending = "served" if "result" in message else "refused" if code == -32066 else "failed"


def most_in_a_second(times: list[float], since: float, until: float) -> int:
    """The most events in any window of one second that begins at one of them."""
    times = sorted(t for t in times if since <= t < until)
    most = start = 0
    for end, at in enumerate(times):
        while times[start] <= at - 1.0:
            start += 1
        most = max(most, end - start + 1)
    return most
