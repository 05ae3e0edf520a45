"""A stand-in for the catalog: accepts the servers' reports and serves clients a versioned, delayed list.

``PUT /catalog/register/NAME`` is specified by the platform. ``GET /catalog/list`` is this project's choice, as the
platform does not specify how clients read the catalog: JSON with an epoch (new with each start), an increasing version
and the servers.
"""

from __future__ import annotations

import asyncio
import json
from collections import deque
from typing import Literal

import h11

from lapishaven.proto.catalog import LIST_PATH, ListedServer, ServerList, delta_between, encode_delta, encode_list

REPORT_TTL_S = 3.0  # after its last report a server is removed from the list
VERSIONS_KEPT = 64  # a client with an older version gets the full list instead of a delta
REGISTER_PATH = "/catalog/register/"
WrongAnswer = Literal["", "empty", "half", "garbage"]


class PublishedList:
    """The list of servers and its versions, without I/O and with time passed in.

    ``lag``: seconds by which the list that clients see trails the reports.
    """

    def __init__(self, addresses: dict[str, tuple[str, int]], epoch: str, lag: float) -> None:
        self.addresses, self.epoch, self.lag = addresses, epoch, lag
        self._reports: dict[str, tuple[float, bool]] = {}
        self._history: deque[tuple[float, ServerList]] = deque([(float("-inf"), ServerList(epoch, 0, ()))])

    def report(self, now: float, name: str, passing: bool) -> bool:
        """Record a server's report; returns false for an unknown server."""
        if name not in self.addresses:
            return False
        self._reports[name] = now, passing
        self.refresh(now)
        return True

    def refresh(self, now: float) -> None:
        """Remove servers whose last report is too old, and add a version if the list changed."""
        rows = tuple(
            ListedServer(name, *self.addresses[name], passing)
            for name, (reported_at, passing) in sorted(self._reports.items())
            if now - reported_at < REPORT_TTL_S
        )
        last = self._history[-1][1]
        if rows != last.servers:
            self._history.append((now, ServerList(self.epoch, last.version + 1, rows)))

    def published(self, now: float) -> ServerList:
        """The list that clients see at ``now``: the version that was current ``lag`` seconds earlier."""
        self.refresh(now)
        while len(self._history) > 1 and self._history[1][0] <= now - self.lag:
            self._history.popleft()
        return self._history[0][1]

    @property
    def latest(self) -> ServerList:
        """The current version, without the lag."""
        return self._history[-1][1]


class Catalog:
    """Serves ``PublishedList`` over HTTP.

    ``wrong_answer``: what to send in place of the list; empty for the list itself. ``reports``, ``list_requests``
    and ``deltas`` count the reports and list requests received and the deltas sent.
    """

    def __init__(self, lag: float = 1.5) -> None:
        self.addresses: dict[str, tuple[str, int]] = {}
        self.lag, self._epochs = lag, 0
        self.server_list = PublishedList(self.addresses, "", lag)
        self.address: tuple[str, int] = ("", 0)
        self.wrong_answer: WrongAnswer = ""
        self.reports = self.list_requests = self.deltas = 0
        self._served: dict[int, ServerList] = {}  # versions sent to clients, as the base of deltas
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def open(self, host: str, port: int = 0) -> None:
        """Start serving, with an empty list and a new epoch."""
        self._epochs += 1
        self._served.clear()
        self.server_list = PublishedList(self.addresses, f"{self._epochs}", self.lag)
        self._server = await asyncio.start_server(self._serve, host, port)
        self.address = self._server.sockets[0].getsockname()[:2]

    async def close(self) -> None:
        """Stop: abort the connections and refuse new ones."""
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
        if request.method == b"PUT" and target.startswith(REGISTER_PATH):
            self.reports += 1
            reported = json.loads(body).get("status")
            name, valid = target[len(REGISTER_PATH) :], reported in ("passing", "critical")
            known = valid and self.server_list.report(now, name, reported == "passing")
            status = 204 if known else 404
        elif request.method == b"GET" and target.partition("?")[0] == LIST_PATH:
            self.list_requests += 1
            since = target.partition("?since=")[2] if "?since=" in target else ""
            status, answer = self._list(now, dict(request.headers).get(b"if-none-match", b""), since)
        headers += [] if status in (204, 304) else [("Content-Length", str(len(answer)))]
        response = h11.Response(status_code=status, headers=headers)
        parts = (response, h11.Data(data=answer), h11.EndOfMessage()) if answer else (response, h11.EndOfMessage())
        return b"".join(http.send(part) or b"" for part in parts)

    def _list(self, now: float, known_tag: bytes, since: str = "") -> tuple[int, bytes]:
        listing = self.server_list.published(now)
        self._served[listing.version] = listing
        while len(self._served) > VERSIONS_KEPT:
            del self._served[min(self._served)]
        if self.wrong_answer == "garbage":
            return 200, b'{"servers":['
        if self.wrong_answer:
            rows = listing.servers[: len(listing.servers) // 3] if self.wrong_answer == "half" else ()
            return 200, encode_list(ServerList(listing.epoch, listing.version + 1_000_000, rows))
        if known_tag == f'"{listing.epoch}.{listing.version}"'.encode():
            return 304, b""
        epoch, _, version = since.rpartition(".")
        old = self._served.get(int(version)) if epoch == listing.epoch and version.isdigit() else None
        if old is not None and old.version < listing.version:
            self.deltas += 1
            return 200, encode_delta(delta_between(old, listing))
        return 200, encode_list(listing)
