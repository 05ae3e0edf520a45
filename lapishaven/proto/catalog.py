"""The protocol of the catalog, the platform's service registry: health reports and the server list, over HTTP.

Requests are sent one at a time on a persistent connection. HTTP is encoded and parsed by h11.
"""

from __future__ import annotations

import json
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any

import h11

from lapishaven.proto import ProtocolError, TooLargeError


class ReportClient:
    """Encodes the health reports of a server and parses their responses."""

    def __init__(self, host: str, name: str) -> None:
        self._http = h11.Connection(h11.CLIENT, max_incomplete_event_size=16 * 1024)
        self._host, self._path = host, f"/catalog/register/{name}"
        self._status: int | None = None

    def report(self, passing: bool) -> bytes:
        """Encode one health report."""
        body = json.dumps({"status": "passing" if passing else "critical"}, separators=(",", ":")).encode()
        headers = [("Host", self._host), ("Content-Length", str(len(body)))]
        request = h11.Request(method="PUT", target=self._path, headers=headers)
        parts = (request, h11.Data(data=body), h11.EndOfMessage())
        return b"".join(self._http.send(part) or b"" for part in parts)

    def feed(self, data: bytes) -> int | None:
        """The status code once the response is complete, else ``None``. Raises ``ProtocolError``."""
        try:
            self._http.receive_data(data)
            while True:
                event = self._http.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    return None
                if isinstance(event, h11.Response):
                    self._status = event.status_code
                elif isinstance(event, h11.EndOfMessage):
                    if self._http.our_state is h11.DONE and self._http.their_state is h11.DONE:
                        self._http.start_next_cycle()
                    return self._status
                elif isinstance(event, h11.ConnectionClosed):
                    raise ProtocolError(f"the catalog closed the connection while responding to PUT {self._path:.80}")
        except h11.RemoteProtocolError as error:
            raise ProtocolError(str(error)) from None

    @property
    def reusable(self) -> bool:
        """Whether another request may be sent on the connection."""
        return self._http.our_state is h11.IDLE


MAX_LIST_BYTES = 4 * 1024 * 1024  # enough for about 40,000 servers
LIST_PATH = "/catalog/list"


@dataclass(frozen=True, slots=True)
class ListedServer:
    """One server on the list. ``passing``: whether it last reported itself as healthy."""

    name: str
    host: str
    port: int
    passing: bool = True


@dataclass(frozen=True, slots=True)
class ServerList:
    """The server list at one version. Versions increase within an epoch; a restart of the catalog begins a new one."""

    epoch: str
    version: int
    servers: tuple[ListedServer, ...]


@dataclass(frozen=True, slots=True)
class Delta:
    """The changes from version ``since`` to ``version`` of one epoch.

    A catalog that keeps earlier versions sends this in response to ``?since=EPOCH.VERSION``, instead of the full list.
    """

    epoch: str
    version: int
    since: int
    joined: tuple[ListedServer, ...] = ()
    left: tuple[str, ...] = ()
    changed: tuple[ListedServer, ...] = ()


def _parse_servers(data: Any, key: str) -> tuple[ListedServer, ...]:
    if not isinstance(data, list):
        raise ProtocolError(f"the server list's {key} is {type(data).__name__}, not a list")
    found: dict[str, ListedServer] = {}
    for row in data:
        name, address = (row.get("name"), row.get("address")) if isinstance(row, dict) else (None, None)
        host, _, port = address.rpartition(":") if isinstance(address, str) else ("", "", "")
        if not isinstance(name, str) or not name or not host or not port.isdecimal() or int(port) > 65535:
            raise ProtocolError(f"{key}[{len(found)}] of the server list has no name, or its address is not HOST:PORT")
        if name in found:
            raise ProtocolError(f"{key} of the server list contains {name[:40]!r} twice")
        found[name] = ListedServer(name, host, int(port), row.get("status", "passing") == "passing")
    return tuple(found.values())


def _parse_header(data: bytes) -> tuple[dict[str, Any], str, int]:
    try:
        top: Any = json.loads(data)
    except (ValueError, RecursionError):
        raise ProtocolError(f"the server list is not JSON: {data[:60]!r}") from None
    if not isinstance(top, dict):
        raise ProtocolError(f"the server list is not a JSON object: {data[:60]!r}")
    version, epoch = top.get("version"), top.get("epoch", "")
    if isinstance(version, bool) or not isinstance(version, int) or not isinstance(epoch, str):
        raise ProtocolError(f"the server list has no integer version, or its epoch is not a string: {data[:60]!r}")
    return top, epoch, version


def decode_list(data: bytes) -> ServerList:
    """Parse and validate the JSON text of a list. Raises ``ProtocolError``."""
    top, epoch, version = _parse_header(data)
    return ServerList(epoch, version, _parse_servers(top.get("servers"), "servers"))


def decode_response(data: bytes) -> ServerList | Delta:
    """Parse and validate a list, or a delta if the JSON object has the field ``since``. Raises ``ProtocolError``."""
    top, epoch, version = _parse_header(data)
    if "since" not in top:
        return ServerList(epoch, version, _parse_servers(top.get("servers"), "servers"))
    since, left = top["since"], top.get("left", [])
    if isinstance(since, bool) or not isinstance(since, int) or since >= version:
        raise ProtocolError(f"the delta to version {version!r:.40}: field 'since' is not an earlier version")
    if not isinstance(left, list) or not all(isinstance(name, str) and name for name in left):
        raise ProtocolError(f"the delta to version {version!r:.40}: field 'left' is not a list of names")
    joined, changed = _parse_servers(top.get("joined", []), "joined"), _parse_servers(top.get("changed", []), "changed")
    names = [*left, *(row.name for row in (*joined, *changed))]
    if len(set(names)) != len(names):
        raise ProtocolError(f"the delta to version {version!r:.40} names a server twice")
    return Delta(epoch, version, since, joined, tuple(left), changed)


def _encode_server(server: ListedServer) -> dict[str, str]:
    return {
        "name": server.name,
        "address": f"{server.host}:{server.port}",
        "status": "passing" if server.passing else "critical",
    }


def encode_list(listing: ServerList) -> bytes:
    """The JSON text of a list, as the catalog serves it."""
    return json.dumps(
        {
            "epoch": listing.epoch,
            "version": listing.version,
            "servers": [_encode_server(server) for server in listing.servers],
        }
    ).encode()


def encode_delta(delta: Delta) -> bytes:
    """The JSON text of a delta."""
    return json.dumps(
        {
            "epoch": delta.epoch,
            "version": delta.version,
            "since": delta.since,
            "joined": [_encode_server(server) for server in delta.joined],
            "left": list(delta.left),
            "changed": [_encode_server(server) for server in delta.changed],
        }
    ).encode()


def delta_between(old: ServerList, new: ServerList) -> Delta:
    """The changes from ``old`` to ``new``, two versions of the same epoch."""
    before = {row.name: row for row in old.servers}
    after = {row.name: row for row in new.servers}
    joined = tuple(row for name, row in after.items() if name not in before)
    changed = tuple(row for name, row in after.items() if name in before and before[name] != row)
    left = tuple(name for name in before if name not in after)
    return Delta(new.epoch, new.version, old.version, joined, left, changed)


class ListClient:
    """Encodes requests for the server list and parses their responses."""

    def __init__(self, host: str) -> None:
        self._http = h11.Connection(h11.CLIENT, max_incomplete_event_size=16 * 1024)
        self._host = host
        self._status, self._body = 0, bytearray()

    def encode_request(self, known: str | None, since: bool = False) -> bytes:
        """Encode one request.

        ``known`` is the tag ``EPOCH.VERSION`` of the list that the client has; the catalog answers 304 if that list is
        unchanged. With ``since``, only the changes after ``known`` are requested; a catalog that does not keep earlier
        versions sends the full list.
        """
        headers = [("Host", self._host)] + ([("If-None-Match", f'"{known}"')] if known else [])
        self._status, self._body = 0, bytearray()
        target = f"{LIST_PATH}?since={known}" if since and known else LIST_PATH
        parts = (h11.Request(method="GET", target=target, headers=headers), h11.EndOfMessage())
        return b"".join(self._http.send(part) or b"" for part in parts)

    def feed(self, data: bytes) -> tuple[bool, ServerList | Delta | None]:
        """Whether the response is complete, and the list or delta in it (``None`` if the list is unchanged).

        Raises ``ProtocolError``.
        """
        try:
            self._http.receive_data(data)
            while (event := self._http.next_event()) is not h11.NEED_DATA and event is not h11.PAUSED:
                if isinstance(event, h11.Response):
                    self._status = event.status_code
                elif isinstance(event, h11.Data):
                    self._append_body(event.data)
                elif isinstance(event, h11.EndOfMessage):
                    return True, self._complete_response()
                elif isinstance(event, h11.ConnectionClosed):
                    raise ProtocolError(f"the catalog closed the connection while responding to GET {LIST_PATH}")
        except h11.RemoteProtocolError as error:
            raise ProtocolError(str(error)) from None
        return False, None

    def _append_body(self, data: bytes) -> None:
        self._body += data
        if len(self._body) > MAX_LIST_BYTES:
            raise TooLargeError(f"the server list is longer than {MAX_LIST_BYTES} bytes")

    def _complete_response(self) -> ServerList | Delta | None:
        if self._http.our_state is h11.DONE and self._http.their_state is h11.DONE:
            self._http.start_next_cycle()
        if self._status == HTTPStatus.NOT_MODIFIED:
            return None
        if self._status != HTTPStatus.OK:
            raise ProtocolError(f"the catalog answered GET {LIST_PATH} with status {self._status}, expected 200 or 304")
        return decode_response(bytes(self._body))

    @property
    def reusable(self) -> bool:
        """Whether another request may be sent on the connection."""
        return self._http.our_state is h11.IDLE
