"""The HTTP of the catalog, the platform's service registry: health reports and the endpoint list.

Requests are sent one at a time on a persistent connection. h11 does the HTTP.
"""

from __future__ import annotations

import json
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any

import h11

from lapishaven.proto import ProtocolError, TooLargeError


class ReportClient:
    """Encodes health reports and parses their responses."""

    def __init__(self, host: str, name: str) -> None:
        self._http = h11.Connection(h11.CLIENT, max_incomplete_event_size=16 * 1024)
        self._host, self._path = host, f"/catalog/register/{name}"
        self._status: int | None = None

    def report(self, passing: bool) -> bytes:
        """The bytes of one report."""
        body = json.dumps({"status": "passing" if passing else "critical"}, separators=(",", ":")).encode()
        headers = [("Host", self._host), ("Content-Length", str(len(body)))]
        request = h11.Request(method="PUT", target=self._path, headers=headers)
        parts = (request, h11.Data(data=body), h11.EndOfMessage())
        return b"".join(self._http.send(part) or b"" for part in parts)

    def feed(self, data: bytes) -> int | None:
        """The status code of the response once it is complete. Raises ``ProtocolError``."""
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
                    raise ProtocolError("the catalog closed the connection")
        except h11.RemoteProtocolError as error:
            raise ProtocolError(str(error)) from None

    @property
    def reusable(self) -> bool:
        """Whether another request may be sent on the connection."""
        return self._http.our_state is h11.IDLE


MAX_LIST_BYTES = 4 * 1024 * 1024  # some 40,000 servers
LIST_PATH = "/catalog/list"


@dataclass(frozen=True, slots=True)
class Listed:
    """One server on the endpoint list. ``passing``: whether it last reported itself as healthy."""

    name: str
    host: str
    port: int
    passing: bool = True


@dataclass(frozen=True, slots=True)
class Listing:
    """The endpoint list at one version. Versions count up within an epoch; each start of the catalog begins one."""

    epoch: str
    version: int
    servers: tuple[Listed, ...]


@dataclass(frozen=True, slots=True)
class Delta:
    """The changes from version ``since`` to ``version`` of one epoch.

    A catalog that keeps its history answers ``?since=EPOCH.VERSION`` with this instead of the complete list.
    """

    epoch: str
    version: int
    since: int
    joined: tuple[Listed, ...] = ()
    left: tuple[str, ...] = ()
    changed: tuple[Listed, ...] = ()


def _rows(data: Any, what: str) -> tuple[Listed, ...]:
    if not isinstance(data, list):
        raise ProtocolError(f"the list has no {what}")
    found: dict[str, Listed] = {}
    for row in data:
        name, where = (row.get("name"), row.get("address")) if isinstance(row, dict) else (None, None)
        host, _, port = where.rpartition(":") if isinstance(where, str) else ("", "", "")
        if not isinstance(name, str) or not name or not host or not port.isdigit() or int(port) > 65535:
            raise ProtocolError("a server of the list has no name, or its address is not HOST:PORT")
        if name in found:
            raise ProtocolError(f"the list names {name[:40]!r} twice")
        found[name] = Listed(name, host, int(port), row.get("status", "passing") == "passing")
    return tuple(found.values())


def _top(data: bytes) -> tuple[dict[str, Any], str, int]:
    try:
        top: Any = json.loads(data)
    except (ValueError, RecursionError):
        raise ProtocolError("the list is not JSON") from None
    if not isinstance(top, dict):
        raise ProtocolError("the list has no servers")
    version, epoch = top.get("version"), top.get("epoch", "")
    if isinstance(version, bool) or not isinstance(version, int) or not isinstance(epoch, str):
        raise ProtocolError("the list has no version")
    return top, epoch, version


def listing(data: bytes) -> Listing:
    """A checked list from its JSON text; ``ProtocolError`` names what is wrong."""
    top, epoch, version = _top(data)
    return Listing(epoch, version, _rows(top.get("servers"), "servers"))


def answer(data: bytes) -> Listing | Delta:
    """A whole list, or a delta where the text has ``since``; ``ProtocolError`` names what is wrong."""
    top, epoch, version = _top(data)
    if "since" not in top:
        return Listing(epoch, version, _rows(top.get("servers"), "servers"))
    since, left = top["since"], top.get("left", [])
    if isinstance(since, bool) or not isinstance(since, int) or since >= version:
        raise ProtocolError("a delta's since is no earlier version")
    if not isinstance(left, list) or not all(isinstance(name, str) and name for name in left):
        raise ProtocolError("a delta's left is not a list of names")
    joined, changed = _rows(top.get("joined", []), "joined"), _rows(top.get("changed", []), "changed")
    named = [*left, *(row.name for row in (*joined, *changed))]
    if len(set(named)) != len(named):
        raise ProtocolError("a delta names a server twice")
    return Delta(epoch, version, since, joined, tuple(left), changed)


def _row(s: Listed) -> dict[str, str]:
    return {"name": s.name, "address": f"{s.host}:{s.port}", "status": "passing" if s.passing else "critical"}


def text(of: Listing) -> bytes:
    """The JSON text of a list, as the catalog serves it."""
    return json.dumps({"epoch": of.epoch, "version": of.version, "servers": [_row(s) for s in of.servers]}).encode()


def delta_text(of: Delta) -> bytes:
    """The JSON text of a delta."""
    return json.dumps(
        {
            "epoch": of.epoch,
            "version": of.version,
            "since": of.since,
            "joined": [_row(s) for s in of.joined],
            "left": list(of.left),
            "changed": [_row(s) for s in of.changed],
        }
    ).encode()


def delta_between(old: Listing, new: Listing) -> Delta:
    """What a catalog sends a client that holds ``old``; ``new`` is of the same epoch."""
    before = {row.name: row for row in old.servers}
    after = {row.name: row for row in new.servers}
    joined = tuple(row for name, row in after.items() if name not in before)
    changed = tuple(row for name, row in after.items() if name in before and before[name] != row)
    left = tuple(name for name in before if name not in after)
    return Delta(new.epoch, new.version, old.version, joined, left, changed)


class ListClient:
    """Encodes requests for the endpoint list and parses their responses."""

    def __init__(self, host: str) -> None:
        self._http = h11.Connection(h11.CLIENT, max_incomplete_event_size=16 * 1024)
        self._host = host
        self._status, self._body = 0, bytearray()

    def encode_request(self, known: str | None, since: bool = False) -> bytes:
        """The bytes of one request.

        ``known`` is the tag ``EPOCH.VERSION`` of the list that the client has; an unchanged list is not sent again.
        With ``since`` only the changes after it are requested; a catalog without history responds with the whole list.
        """
        headers = [("Host", self._host)] + ([("If-None-Match", f'"{known}"')] if known else [])
        self._status, self._body = 0, bytearray()
        target = f"{LIST_PATH}?since={known}" if since and known else LIST_PATH
        parts = (h11.Request(method="GET", target=target, headers=headers), h11.EndOfMessage())
        return b"".join(self._http.send(part) or b"" for part in parts)

    def feed(self, data: bytes) -> tuple[bool, Listing | Delta | None]:
        """Whether the response is complete, and the list or the changes if it brought any. Raises ``ProtocolError``."""
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
                    raise ProtocolError("the catalog closed the connection")
        except h11.RemoteProtocolError as error:
            raise ProtocolError(str(error)) from None
        return False, None

    def _append_body(self, data: bytes) -> None:
        self._body += data
        if len(self._body) > MAX_LIST_BYTES:
            raise TooLargeError(f"a list is longer than {MAX_LIST_BYTES} bytes")

    def _complete_response(self) -> Listing | Delta | None:
        if self._http.our_state is h11.DONE and self._http.their_state is h11.DONE:
            self._http.start_next_cycle()
        if self._status == HTTPStatus.NOT_MODIFIED:
            return None
        if self._status != HTTPStatus.OK:
            raise ProtocolError(f"the catalog answered {self._status}")
        return answer(bytes(self._body))

    @property
    def reusable(self) -> bool:
        """Whether another request may be sent on the connection."""
        return self._http.our_state is h11.IDLE
