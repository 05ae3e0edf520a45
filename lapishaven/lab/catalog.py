"""A stand-in catalog: takes servers' reports, and gives clients the list, late and in numbered versions.

``PUT /catalog/register/NAME`` is the platform's. ``GET /catalog/list`` is this project's own reading of how
clients learn of it: JSON with an epoch (new with each start), a version that counts up, and the servers.
"""

from __future__ import annotations

import asyncio
import json
from collections import deque
from typing import Literal

import h11

from lapishaven.proto.catalog import LIST_PATH, ListedServer, ServerList, delta_between, encode_delta, encode_list

EXPIRY = 3.0  # s after its last report at which a server leaves the list
HISTORY = 64  # versions kept, from which a delta is sent; from an older one the whole list
REGISTER = "/catalog/register/"
Lie = Literal["", "empty", "half", "garbage"]


class Book:
    """The list and its versions, with time passed in."""

    def __init__(self, addresses: dict[str, tuple[str, int]], epoch: str, lag: float) -> None:
        self.addresses, self.epoch, self.lag = addresses, epoch, lag
        self._reports: dict[str, tuple[float, bool]] = {}
        self._history: deque[tuple[float, ServerList]] = deque([(float("-inf"), ServerList(epoch, 0, ()))])

    def report(self, now: float, name: str, passing: bool) -> bool:
        if name not in self.addresses:
            return False
        self._reports[name] = now, passing
        self.refresh(now)
        return True

    def refresh(self, now: float) -> None:
        """Take off what has lapsed; a change makes a version."""
        rows = tuple(
            ListedServer(name, *self.addresses[name], passing)
            for name, (at, passing) in sorted(self._reports.items())
            if now - at < EXPIRY
        )
        last = self._history[-1][1]
        if rows != last.servers:
            self._history.append((now, ServerList(self.epoch, last.version + 1, rows)))

    def seen(self, now: float) -> ServerList:
        """What clients see now, which is what held ``lag`` seconds ago."""
        self.refresh(now)
        while len(self._history) > 1 and self._history[1][0] <= now - self.lag:
            self._history.popleft()
        return self._history[0][1]

    @property
    def latest(self) -> ServerList:
        return self._history[-1][1]


class Catalog:
    """The book on a socket."""

    def __init__(self, lag: float = 1.5) -> None:
        self.addresses: dict[str, tuple[str, int]] = {}
        self.lag, self._epochs = lag, 0
        self.book = Book(self.addresses, "", lag)
        self.address: tuple[str, int] = ("", 0)
        self.lie: Lie = ""
        self.reports = self.questions = self.deltas = 0
        self._served: dict[int, ServerList] = {}  # versions that clients were given, for deltas from them
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def open(self, host: str, port: int = 0) -> None:
        """Start, with an empty list and a new epoch."""
        self._epochs += 1
        self._served.clear()
        self.book = Book(self.addresses, f"{self._epochs}", self.lag)
        self._server = await asyncio.start_server(self._serve, host, port)
        self.address = self._server.sockets[0].getsockname()[:2]

    async def close(self) -> None:
        """Go away: connections are cut and new ones refused."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        await asyncio.sleep(0)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        http = h11.Connection(h11.SERVER, max_incomplete_event_size=64 * 1024)
        request: h11.Request | None = None
        body = bytearray()
        try:
            while True:
                event = http.next_event()
                if event is h11.NEED_DATA:
                    data = await reader.read(65536)
                    http.receive_data(data)
                elif isinstance(event, h11.Request):
                    request, body = event, bytearray()
                elif isinstance(event, h11.Data):
                    body += event.data
                elif isinstance(event, h11.EndOfMessage) and request is not None:
                    writer.write(self._answer(http, request, bytes(body)))
                    await writer.drain()
                    if http.our_state is h11.MUST_CLOSE:
                        return
                    http.start_next_cycle()
                else:
                    return
        except (h11.RemoteProtocolError, ConnectionError, ValueError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    def _answer(self, http: h11.Connection, request: h11.Request, body: bytes) -> bytes:
        now, target = asyncio.get_running_loop().time(), request.target.decode()
        status, answer, headers = 404, b"", [("Content-Type", "application/json")]
        if request.method == b"PUT" and target.startswith(REGISTER):
            self.reports += 1
            word = json.loads(body).get("status")
            name, stated = target[len(REGISTER) :], word in ("passing", "critical")
            known = stated and self.book.report(now, name, word == "passing")
            status = 204 if known else 404
        elif request.method == b"GET" and target.partition("?")[0] == LIST_PATH:
            self.questions += 1
            since = target.partition("?since=")[2] if "?since=" in target else ""
            status, answer = self._list(now, dict(request.headers).get(b"if-none-match", b""), since)
        headers += [] if status in (204, 304) else [("Content-Length", str(len(answer)))]
        response = h11.Response(status_code=status, headers=headers)
        parts = (response, h11.Data(data=answer), h11.EndOfMessage()) if answer else (response, h11.EndOfMessage())
        return b"".join(http.send(part) or b"" for part in parts)

    def _list(self, now: float, known: bytes, since: str = "") -> tuple[int, bytes]:
        seen = self.book.seen(now)
        self._served[seen.version] = seen
        while len(self._served) > HISTORY:
            del self._served[min(self._served)]
        if self.lie == "garbage":
            return 200, b'{"servers":['
        if self.lie:
            rows = seen.servers[: len(seen.servers) // 3] if self.lie == "half" else ()
            return 200, encode_list(ServerList(seen.epoch, seen.version + 1_000_000, rows))
        if known == f'"{seen.epoch}.{seen.version}"'.encode():
            return 304, b""
        epoch, _, version = since.rpartition(".")
        old = self._served.get(int(version)) if epoch == seen.epoch and version.isdigit() else None
        if old is not None and old.version < seen.version:
            self.deltas += 1
            return 200, encode_delta(delta_between(old, seen))
        return 200, encode_list(seen)
