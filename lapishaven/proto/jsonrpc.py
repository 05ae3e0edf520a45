"""The protocol between callers and servers, both sides of it: JSON-RPC 2.0 with one message per line."""

from __future__ import annotations

import base64
import binascii
import json
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from lapishaven.proto import ProtocolError, TooLargeError
from lapishaven.proto.lines import LineBuffer

MAX_BODY_BYTES = 2048
MAX_REQUEST_LINE_BYTES = 8 * 1024  # a body of 2 KiB is 2.7 KiB in base64; the rest of a request is a few hundred bytes
MAX_RESULT_BYTES = 4096
MAX_RESPONSE_LINE_BYTES = 16 * 1024  # a result of 4 KiB is 5.5 KiB in base64
MAX_RETRY_AFTER_S = 600.0  # a longer Retry-After is reduced to this
MAX_TIME_LEFT_S = 3600.0  # longest remaining deadline that a caller may send; class deadlines are far shorter

PARSE_ERROR, INVALID_REQUEST, NO_METHOD, INVALID_PARAMS = -32700, -32600, -32601, -32602
REJECTED_CODE, FAILED_CODE = -32066, -32000
MAX_NAME_LENGTH = 128  # characters of an idempotency key or a tenant name


@dataclass(frozen=True, slots=True)
class RunRequest:
    """A request to run a method."""

    id: int
    method: str
    attempt_id: str
    body: bytes
    memory_kb: float
    received_at: float | None = None  # Unix seconds
    caller_id: int = 0
    is_retry: bool = False
    rank: float = 0.0
    subject: int | None = None
    idempotency_key: str | None = None  # identifies the effect, the same for all attempts
    time_left_s: float | None = None  # until the caller's deadline, if callers propagate it
    tenant_name: str | None = None


@dataclass(frozen=True, slots=True)
class CancelRequest:
    """The caller no longer waits for a request, identified by its attempt or by its id on this connection."""

    attempt_id: str | None
    id: int | None


@dataclass(frozen=True, slots=True)
class HealthCheck:
    """A health check."""

    id: int
    deep: bool


@dataclass(frozen=True, slots=True)
class MalformedMessage:
    """An invalid message. The error response carries the id if it could be parsed."""

    id: int | None
    code: int
    text: str


Message = RunRequest | CancelRequest | HealthCheck | MalformedMessage


class _InvalidParamsError(ValueError):
    """A parameter is missing or invalid; the message is sent to the caller."""


def _number(params: dict[str, Any], name: str, default: float | None = None) -> float:
    value = params.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int | float) or value != value:
        raise _InvalidParamsError(f"{name} is not a number")
    return float(value)


def _seconds(params: dict[str, Any], name: str, limit_s: float) -> float | None:
    """An optional duration from 0 to ``limit_s``, sent in milliseconds."""
    if params.get(name) is None:
        return None
    duration_s = _number(params, name) / 1000
    if not 0 <= duration_s <= limit_s:
        raise _InvalidParamsError(f"{name} is out of its range")
    return duration_s


def _optional_name(params: dict[str, Any], name: str) -> str | None:
    """An optional string of at most ``MAX_NAME_LENGTH`` printable characters."""
    value = params.get(name)
    if value is not None and (
        not isinstance(value, str) or not 0 < len(value) <= MAX_NAME_LENGTH or not value.isprintable()
    ):
        raise _InvalidParamsError(f"{name} is no name")
    return value


def _parse_run_request(id: int, method: str, params: dict[str, Any]) -> RunRequest:
    call = params.get("call")
    if not isinstance(call, str) or len(call) != 16 or not set(call) <= set("0123456789abcdefABCDEF"):
        raise _InvalidParamsError("call is not 16 hex digits")
    arg, row = params.get("arg", ""), params.get("row")
    if not isinstance(arg, str):
        raise _InvalidParamsError("arg is not a string")
    try:
        body = base64.b64decode(arg, validate=True)
        subject = None if row is None else int(row, 16)
    except (binascii.Error, ValueError, TypeError):
        raise _InvalidParamsError("arg is not base64, or row no hex number") from None
    if len(body) > MAX_BODY_BYTES:
        raise _InvalidParamsError(f"a body is longer than {MAX_BODY_BYTES} bytes")
    heap, crit = _number(params, "heap"), _number(params, "crit", 0.0)
    src = _number(params, "src", 0)
    if not 0 < heap < 2000 or not 0 <= crit < 1 or not 0 <= src < 1 << 32 or src != int(src):
        raise _InvalidParamsError("heap, crit or src is out of its range")
    return RunRequest(
        id,
        method,
        call,
        body,
        float(heap),
        received_at=_number(params, "recv") / 1000 if params.get("recv") is not None else None,
        caller_id=int(src),
        is_retry=bool(params.get("rep")),
        rank=float(crit),
        subject=subject,
        idempotency_key=_optional_name(params, "dedupe"),
        time_left_s=_seconds(params, "ttl", MAX_TIME_LEFT_S),
        tenant_name=_optional_name(params, "org"),
    )


class ServerParser:
    """Parses a caller's messages on one connection. Ids must increase, so the highest one reveals a reused id."""

    def __init__(self) -> None:
        self._lines = LineBuffer(MAX_REQUEST_LINE_BYTES)
        self._highest_id = 0

    @property
    def at_message_boundary(self) -> bool:
        """Whether there is no incomplete message."""
        return not self._lines.data

    @property
    def unfinished_bytes(self) -> int:
        """Bytes held that were fed and not yet consumed."""
        return len(self._lines.data)

    def clear(self) -> None:
        """Drop what is held, as no further message is wanted."""
        self._lines.data.clear()

    def feed(self, data: bytes) -> Iterator[Message]:
        """Yield the messages that ``data`` completes. Raises ``TooLargeError`` if a line exceeds the limit."""
        self._lines.feed(data)
        while (line := self._lines.line()) is not None:
            if line.strip():
                yield self._parse(line)

    def _parse(self, line: bytes) -> Message:
        try:
            data = json.loads(line)
        except (ValueError, RecursionError):
            return MalformedMessage(None, PARSE_ERROR, "not JSON")
        if not isinstance(data, dict) or not isinstance(data.get("method"), str):
            return MalformedMessage(None, INVALID_REQUEST, "not a request")
        id, method, params = data.get("id"), data["method"], data.get("params", {})
        if not isinstance(params, dict):
            return MalformedMessage(None, INVALID_PARAMS, "params is not an object")
        if method == "forget":
            call, target = params.get("call"), params.get("id", id)
            return CancelRequest(call if isinstance(call, str) else None, target if isinstance(target, int) else None)
        if isinstance(id, bool) or not isinstance(id, int) or id <= self._highest_id:
            return MalformedMessage(None, INVALID_REQUEST, "id is no number, or was used before")
        self._highest_id = id
        if method == "isWell":
            return HealthCheck(id, params.get("e2e") is True)
        try:
            return _parse_run_request(id, method, params)
        except (_InvalidParamsError, OverflowError) as error:
            return MalformedMessage(id, INVALID_PARAMS, str(error))


def _encode_line(data: dict[str, Any]) -> bytes:
    return json.dumps({"jsonrpc": "2.0", **data}, separators=(",", ":")).encode() + b"\n"


def encode_result(id: int, body: bytes) -> bytes:
    return _encode_line({"id": id, "result": {"arg": base64.b64encode(body).decode()}})


def encode_health(id: int, healthy: bool) -> bytes:
    return _encode_line({"id": id, "result": {"up": healthy}})


def encode_error(
    id: int | None, code: int, text: str, retry_after: float | None = None, no_retry_elsewhere: bool = False
) -> bytes:
    """An error response; ``retry_after`` is in seconds."""
    data: dict[str, Any] = {}
    if retry_after:
        data["pushback"] = max(1, round(retry_after * 1000))
    if no_retry_elsewhere:
        data["stop"] = 1
    body: dict[str, Any] = {"code": code, "message": text}
    if data:
        body["data"] = data
    return _encode_line({"id": id, "error": body})


DRAINING_NOTICE = _encode_line({"method": "draining"})


# ---- The caller's side of the protocol
def encode_request(
    id: int,
    method: str,
    attempt_id: str,
    body: bytes,
    memory_kb: float,
    *,
    received_at: float | None = None,
    caller_id: int = 0,
    is_retry: bool = False,
    rank: float = 0.0,
    subject: int | None = None,
    idempotency_key: str | None = None,
) -> bytes:
    """The line of one request. ``received_at`` is in Unix seconds."""
    params: dict[str, Any] = {"call": attempt_id, "src": caller_id, "heap": memory_kb, "crit": rank}
    if received_at is not None:
        params["recv"] = round(received_at * 1000)
    if is_retry:
        params["rep"] = 1
    if subject is not None:
        params["row"] = f"{subject:016x}"
    if idempotency_key is not None:
        params["dedupe"] = idempotency_key
    params["arg"] = base64.b64encode(body).decode()
    return _encode_line({"id": id, "method": method, "params": params})


def encode_cancel(attempt_id: str) -> bytes:
    """The notice that the caller no longer waits for an attempt."""
    return _encode_line({"method": "forget", "params": {"call": attempt_id}})


def encode_health_check(id: int, deep: bool = False) -> bytes:
    return _encode_line({"id": id, "method": "isWell", "params": {"e2e": True} if deep else {}})


@dataclass(frozen=True, slots=True)
class ResultResponse:
    """The result of a run, or of a health check: then ``healthy`` is set."""

    id: int
    body: bytes
    healthy: bool | None = None


@dataclass(frozen=True, slots=True)
class ErrorResponse:
    """An error; ``retry_after`` is in seconds."""

    id: int | None
    code: int
    text: str
    retry_after: float | None = None
    no_retry_elsewhere: bool = False


@dataclass(frozen=True, slots=True)
class Draining:
    """The server is draining: no new request may be sent on this connection."""


Reply = ResultResponse | ErrorResponse | Draining


class ClientParser:
    """Parses a server's responses on one connection."""

    def __init__(self) -> None:
        self._lines = LineBuffer(MAX_RESPONSE_LINE_BYTES)

    @property
    def at_message_boundary(self) -> bool:
        """Whether there is no incomplete response."""
        return not self._lines.data

    def feed(self, data: bytes) -> Iterator[Reply]:
        """Yield the responses that ``data`` completes. After a ``ProtocolError`` the connection is unusable."""
        self._lines.feed(data)
        while (line := self._lines.line()) is not None:
            if line.strip():
                yield self._parse(line)

    def _parse(self, line: bytes) -> Reply:
        try:
            data = json.loads(line)
        except (ValueError, RecursionError):
            raise ProtocolError(f"the response is not JSON: {line[:60]!r}") from None
        if not isinstance(data, dict):
            raise ProtocolError(f"the response is not a JSON object: {line[:60]!r}")
        if data.get("method") == "draining":
            return Draining()
        id = data.get("id")
        if "error" in data and "result" not in data:
            return self._parse_error(id, data["error"])
        result = data.get("result")
        if isinstance(id, bool) or not isinstance(id, int) or not isinstance(result, dict) or "error" in data:
            raise ProtocolError(
                f"the response has no integer id, or not exactly one of result and error: {line[:60]!r}"
            )
        up, arg = result.get("up"), result.get("arg", "")
        try:
            body = base64.b64decode(arg, validate=True)
        except (binascii.Error, ValueError, TypeError):
            raise ProtocolError(f"the result of request {id!r:.40} is not base64") from None
        if len(body) > MAX_RESULT_BYTES:
            raise TooLargeError(
                f"the result of request {id!r:.40} has {len(body)} bytes, allowed are {MAX_RESULT_BYTES}"
            )
        if "arg" not in result and up is None:
            raise ProtocolError(f"the result of request {id!r:.40} has neither arg nor up")
        return ResultResponse(id, body, up if isinstance(up, bool) else None)

    def _parse_error(self, id: Any, error: Any) -> ErrorResponse:
        if isinstance(id, bool) or not (id is None or isinstance(id, int)) or not isinstance(error, dict):
            raise ProtocolError(
                "an error response has an id that is not an integer, or an error that is not a JSON object"
            )
        code, data = error.get("code"), error.get("data")
        if isinstance(code, bool) or not isinstance(code, int):
            raise ProtocolError(f"the error response to request {id!r:.40} has no integer code")
        data = data if isinstance(data, dict) else {}
        pushback_ms = data.get("pushback")
        valid = isinstance(pushback_ms, int | float) and not isinstance(pushback_ms, bool) and pushback_ms > 0
        retry_after = min(float(pushback_ms or 0) / 1000, MAX_RETRY_AFTER_S) if valid else None
        return ErrorResponse(id, code, str(error.get("message", ""))[:200], retry_after, data.get("stop") == 1)


__all__ = [
    "ClientParser",
    "Draining",
    "ErrorResponse",
    "CancelRequest",
    "HealthCheck",
    "MalformedMessage",
    "Message",
    "Reply",
    "ResultResponse",
    "RunRequest",
    "ServerParser",
    "TooLargeError",
]
