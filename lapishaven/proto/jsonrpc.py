"""JSON-RPC 2.0, one message a line: the server's side of the callers' protocol."""

from __future__ import annotations

import base64
import binascii
import json
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from lapishaven.proto import TooLarge
from lapishaven.proto.lines import Lines

BODY_LIMIT = 2048
LINE_LIMIT = 8 * 1024  # a body of 2 KiB is 2.7 KiB in base64; the rest of a request is a few hundred bytes

PARSE_ERROR, INVALID_REQUEST, NO_METHOD, INVALID_PARAMS = -32700, -32600, -32601, -32602
REFUSED, FAILED = -32066, -32000


@dataclass(frozen=True, slots=True)
class Serve:
    """A request to be run."""

    id: int
    method: str
    call: str
    body: bytes
    heap: float
    recv: float | None = None  # Unix seconds
    src: int = 0
    rep: bool = False
    crit: float = 0.0
    row: int | None = None


@dataclass(frozen=True, slots=True)
class Forget:
    """The caller no longer waits for a request, named by its try or by its id on this connection."""

    call: str | None
    id: int | None


@dataclass(frozen=True, slots=True)
class IsWell:
    """A health check."""

    id: int
    deep: bool


@dataclass(frozen=True, slots=True)
class Malformed:
    """A line that is no request; the error goes out under the id, where one could be read."""

    id: int | None
    code: int
    text: str


Message = Serve | Forget | IsWell | Malformed


class _BadParams(ValueError):
    pass


def _number(params: dict[str, Any], name: str, default: float | None = None) -> float:
    value = params.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int | float) or value != value:
        raise _BadParams(f"{name} is not a number")
    return float(value)


def _serve(id: int, method: str, params: dict[str, Any]) -> Serve:
    call = params.get("call")
    if not isinstance(call, str) or len(call) != 16 or not set(call) <= set("0123456789abcdefABCDEF"):
        raise _BadParams("call is not 16 hex digits")
    arg, row = params.get("arg", ""), params.get("row")
    if not isinstance(arg, str):
        raise _BadParams("arg is not a string")
    try:
        body = base64.b64decode(arg, validate=True)
        subject = None if row is None else int(row, 16)
    except (binascii.Error, ValueError, TypeError):
        raise _BadParams("arg is not base64, or row no hex number") from None
    if len(body) > BODY_LIMIT:
        raise _BadParams(f"a body is longer than {BODY_LIMIT} bytes")
    heap, crit = _number(params, "heap"), _number(params, "crit", 0.0)
    src = _number(params, "src", 0)
    if not 0 < heap < 2000 or not 0 <= crit < 1 or not 0 <= src < 1 << 32 or src != int(src):
        raise _BadParams("heap, crit or src is out of its range")
    return Serve(
        id, method, call, body, float(heap),
        recv=_number(params, "recv") / 1000 if params.get("recv") is not None else None,
        src=int(src), rep=bool(params.get("rep")), crit=float(crit), row=subject,
    )  # fmt: skip


class Server:
    """One connection's input. Ids count upwards, so a used one is told by the highest seen."""

    def __init__(self) -> None:
        self._lines = Lines(LINE_LIMIT)
        self._highest = 0

    @property
    def whole(self) -> bool:
        """Whether no message has begun that is not whole yet."""
        return not self._lines.data

    def feed(self, data: bytes) -> Iterator[Message]:
        """Messages in their order; raises ``TooLarge`` where a line has no end in sight."""
        self._lines.feed(data)
        while (line := self._lines.line()) is not None:
            if line.strip():
                yield self._message(line)

    def _message(self, line: bytes) -> Message:
        try:
            data = json.loads(line)
        except (ValueError, RecursionError):
            return Malformed(None, PARSE_ERROR, "not JSON")
        if not isinstance(data, dict) or not isinstance(data.get("method"), str):
            return Malformed(None, INVALID_REQUEST, "not a request")
        id, method, params = data.get("id"), data["method"], data.get("params", {})
        if not isinstance(params, dict):
            return Malformed(None, INVALID_PARAMS, "params is not an object")
        if method == "forget":
            call, target = params.get("call"), params.get("id", id)
            return Forget(
                call if isinstance(call, str) else None, target if isinstance(target, int) else None
            )
        if isinstance(id, bool) or not isinstance(id, int) or id <= self._highest:
            return Malformed(None, INVALID_REQUEST, "id is no number, or was used before")
        self._highest = id
        if method == "isWell":
            return IsWell(id, params.get("e2e") is True)
        try:
            return _serve(id, method, params)
        except (_BadParams, OverflowError) as error:
            return Malformed(id, INVALID_PARAMS, str(error))


def _line(data: dict[str, Any]) -> bytes:
    return json.dumps({"jsonrpc": "2.0", **data}, separators=(",", ":")).encode() + b"\n"


def result(id: int, body: bytes) -> bytes:
    """A result goes out as it came from the run."""
    return _line({"id": id, "result": {"arg": base64.b64encode(body).decode()}})


def well(id: int, up: bool) -> bytes:
    return _line({"id": id, "result": {"up": up}})


def error(
    id: int | None, code: int, text: str, pushback: float | None = None, stop: bool = False
) -> bytes:
    data: dict[str, Any] = {}
    if pushback:
        data["pushback"] = max(1, round(pushback * 1000))
    if stop:
        data["stop"] = 1
    body: dict[str, Any] = {"code": code, "message": text}
    if data:
        body["data"] = data
    return _line({"id": id, "error": body})


DRAINING = _line({"method": "draining"})

__all__ = ["Forget", "IsWell", "Malformed", "Message", "Serve", "Server", "TooLarge"]
