"""Records a client's traffic at its sockets, so that a check does not depend on the client's own counters.

``Tap.socket`` creates sockets that record each connect and all bytes that the kernel accepted or delivered. Requests
and answers are parsed from these bytes by code that is independent of the client's parser.
"""

from __future__ import annotations

import base64
import json
import socket
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any


@dataclass(slots=True)
class RecordedAttempt:
    """One request as sent. ``socket``: identifies the connection. ``request_id``: the JSON-RPC id on it."""

    sent_at: float
    call: str
    class_name: str
    is_retry: bool
    body: bytes
    socket: int
    request_id: int
    answered_at: float | None = None
    result: str = ""


@dataclass(slots=True)
class Tap:
    """Creates recording sockets and collects what they record.

    ``ignored_addresses``: connections to these, such as the catalog's, are not recorded. ``connects``: the times of all
    connects. ``unreadable``: lines that could not be parsed. ``max_in_flight``: the most requests in flight on one
    connection.
    """

    clock: Callable[[], float]
    ignored_addresses: set[tuple[str, int]] = field(default_factory=set)
    connects: list[float] = field(default_factory=list)
    attempts: list[RecordedAttempt] = field(default_factory=list)
    cancellations: int = 0
    health_checks: int = 0
    duplicate_answers: int = 0
    unreadable: int = 0
    max_in_flight: int = 0
    late_results: int = 0

    def socket(self, family: int) -> socket.socket:
        """Create a recording TCP socket."""
        return _RecordingSocket(self, family)


class _RecordingSocket(socket.socket):
    """A TCP socket that reports its traffic to a ``Tap``."""

    __slots__ = ("_tap", "_sent", "_received", "_in_flight", "_answered", "_recorded")

    def __init__(self, tap: Tap, family: int) -> None:
        super().__init__(family, socket.SOCK_STREAM)
        self._tap, self._sent, self._received = tap, bytearray(), bytearray()
        self._in_flight: dict[int, RecordedAttempt] = {}
        self._answered: set[int] = set()
        self._recorded = True

    def connect(self, address: Any) -> None:
        self._recorded = tuple(address[:2]) not in self._tap.ignored_addresses
        if self._recorded:
            self._tap.connects.append(self._tap.clock())
        super().connect(address)

    def send(self, data: Any, flags: int = 0) -> int:
        count = super().send(data, flags)
        self._record_sent(bytes(data[:count]))
        return count

    def sendmsg(self, buffers: Any, *rest: Any) -> int:
        data = b"".join(buffers)
        count = super().sendmsg([data], *rest)
        self._record_sent(data[:count])
        return count

    def recv(self, size: int, flags: int = 0) -> bytes:
        data = super().recv(size, flags)
        if self._recorded:
            self._received += data
            for line in self._take_lines(self._received):
                self._record_answer(line)
        return data

    @staticmethod
    def _take_lines(buffer: bytearray) -> list[bytes]:
        *complete, rest = bytes(buffer).split(b"\n")
        buffer[:] = rest
        return complete

    def _record_sent(self, data: bytes) -> None:
        if not self._recorded:
            return
        self._sent += data
        for line in self._take_lines(self._sent):
            try:
                message = json.loads(line)
                method, params = message["method"], message.get("params", {})
            except (ValueError, KeyError, TypeError):
                self._tap.unreadable += 1
                continue
            if method == "forget":
                self._tap.cancellations += 1
            elif method == "isWell":
                self._tap.health_checks += 1
            else:
                body = base64.b64decode(params.get("arg", ""))
                attempt = RecordedAttempt(
                    self._tap.clock(), params["call"], method, params.get("rep") == 1, body, id(self), message["id"]
                )
                self._tap.attempts.append(attempt)
                self._in_flight[attempt.request_id] = attempt
                self._tap.max_in_flight = max(
                    self._tap.max_in_flight, sum(one.answered_at is None for one in self._in_flight.values())
                )

    def _record_answer(self, line: bytes) -> None:
        try:
            message = json.loads(line)
        except ValueError:
            self._tap.unreadable += 1
            return
        request_id = message.get("id")
        if request_id is None:
            return
        if request_id in self._answered:
            self._tap.duplicate_answers += 1
        attempt = self._in_flight.pop(request_id, None)
        if attempt is not None:
            self._answered.add(request_id)
            attempt.answered_at = self._tap.clock()
            code = message.get("error", {}).get("code") if "error" in message else None
            attempt.result = "served" if "result" in message else "refused" if code == -32066 else "failed"


def most_in_a_second(times: list[float], since: float, until: float) -> int:
    """The largest number of events from ``since`` to ``until`` within any window of one second."""
    times = sorted(t for t in times if since <= t < until)
    most = start = 0
    for end, at in enumerate(times):
        while times[start] <= at - 1.0:
            start += 1
        most = max(most, end - start + 1)
    return most
