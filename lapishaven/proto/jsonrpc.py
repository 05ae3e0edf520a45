"""JSON-RPC 2.0, one message a line: both sides of the callers' protocol."""

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
MAX_RESULT_BYTES = 4096  # bytes of a result
MAX_RESPONSE_LINE_BYTES = 16 * 1024  # a line of an answer; a result of 4 KiB is 5.5 KiB in base64
MAX_RETRY_AFTER_S = 600.0  # s; advice to stay away past this is read as this
MAX_TIME_LEFT_S = 3600.0  # s for which a caller may say that it waits; no class has a deadline near it

PARSE_ERROR, INVALID_REQUEST, NO_METHOD, INVALID_PARAMS = -32700, -32600, -32601, -32602
REJECTED_CODE, FAILED_CODE = -32066, -32000
MAX_NAME_LENGTH = 128  # characters of a key or a tenant's name


@dataclass(frozen=True, slots=True)
class RunRequest:
    """A request to be run."""

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
    idempotency_key: str | None = None  # names the effect, the same for every try of it
    time_left: float | None = None  # seconds for which the caller still waits, where callers pass their deadline on
    tenant_name: str | None = None


@dataclass(frozen=True, slots=True)
class CancelRequest:
    """The caller no longer waits for a request, named by its try or by its id on this connection."""

    attempt_id: str | None
    id: int | None


@dataclass(frozen=True, slots=True)
class HealthCheck:
    """A health check."""

    id: int
    deep: bool


@dataclass(frozen=True, slots=True)
class MalformedMessage:
    """A line that is no request; the error goes out under the id, where one could be read."""

    id: int | None
    code: int
    text: str


Message = RunRequest | CancelRequest | HealthCheck | MalformedMessage


class _InvalidParamsError(ValueError):
    pass


def _number(params: dict[str, Any], name: str, default: float | None = None) -> float:
    value = params.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int | float) or value != value:
        raise _InvalidParamsError(f"{name} is not a number")
    return float(value)


def _seconds(params: dict[str, Any], name: str, limit: float) -> float | None:
    """An optional time, given in milliseconds, from 0 to ``limit`` seconds."""
    if params.get(name) is None:
        return None
    span = _number(params, name) / 1000
    if not 0 <= span <= limit:
        raise _InvalidParamsError(f"{name} is out of its range")
    return span


def _word(params: dict[str, Any], name: str) -> str | None:
    """An optional name of printable characters."""
    value = params.get(name)
    if value is not None and (
        not isinstance(value, str) or not 0 < len(value) <= MAX_NAME_LENGTH or not value.isprintable()
    ):
        raise _InvalidParamsError(f"{name} is no name")
    return value


def _serve(id: int, method: str, params: dict[str, Any]) -> RunRequest:
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
        idempotency_key=_word(params, "dedupe"),
        time_left=_seconds(params, "ttl", MAX_TIME_LEFT_S),
        tenant_name=_word(params, "org"),
    )


class ServerParser:
    """One connection's input. Ids count upwards, so a used one is told by the highest seen."""

    def __init__(self) -> None:
        self._lines = LineBuffer(MAX_REQUEST_LINE_BYTES)
        self._highest = 0

    @property
    def at_message_boundary(self) -> bool:
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
            return MalformedMessage(None, PARSE_ERROR, "not JSON")
        if not isinstance(data, dict) or not isinstance(data.get("method"), str):
            return MalformedMessage(None, INVALID_REQUEST, "not a request")
        id, method, params = data.get("id"), data["method"], data.get("params", {})
        if not isinstance(params, dict):
            return MalformedMessage(None, INVALID_PARAMS, "params is not an object")
        if method == "forget":
            call, target = params.get("call"), params.get("id", id)
            return CancelRequest(call if isinstance(call, str) else None, target if isinstance(target, int) else None)
        if isinstance(id, bool) or not isinstance(id, int) or id <= self._highest:
            return MalformedMessage(None, INVALID_REQUEST, "id is no number, or was used before")
        self._highest = id
        if method == "isWell":
            return HealthCheck(id, params.get("e2e") is True)
        try:
            return _serve(id, method, params)
        except (_InvalidParamsError, OverflowError) as error:
            return MalformedMessage(id, INVALID_PARAMS, str(error))


def _line(data: dict[str, Any]) -> bytes:
    return json.dumps({"jsonrpc": "2.0", **data}, separators=(",", ":")).encode() + b"\n"


def encode_result(id: int, body: bytes) -> bytes:
    """A result goes out as it came from the run."""
    return _line({"id": id, "result": {"arg": base64.b64encode(body).decode()}})


def encode_health(id: int, up: bool) -> bytes:
    return _line({"id": id, "result": {"up": up}})


def encode_error(
    id: int | None, code: int, text: str, retry_after: float | None = None, no_retry_elsewhere: bool = False
) -> bytes:
    data: dict[str, Any] = {}
    if retry_after:
        data["pushback"] = max(1, round(retry_after * 1000))
    if no_retry_elsewhere:
        data["stop"] = 1
    body: dict[str, Any] = {"code": code, "message": text}
    if data:
        body["data"] = data
    return _line({"id": id, "error": body})


DRAINING_NOTICE = _line({"method": "draining"})


# ---- The caller's side
def encode_request(
    id: int,
    method: str,
    call: str,
    body: bytes,
    heap: float,
    *,
    recv: float | None = None,
    src: int = 0,
    rep: bool = False,
    crit: float = 0.0,
    row: int | None = None,
) -> bytes:
    """One request's line. ``recv`` is in Unix seconds, ``heap`` in KB."""
    params: dict[str, Any] = {"call": call, "src": src, "heap": heap, "crit": crit}
    if recv is not None:
        params["recv"] = round(recv * 1000)
    if rep:
        params["rep"] = 1
    if row is not None:
        params["row"] = f"{row:016x}"
    params["arg"] = base64.b64encode(body).decode()
    return _line({"id": id, "method": method, "params": params})


def encode_cancel(call: str) -> bytes:
    """The notice that nobody waits for this try any more."""
    return _line({"method": "forget", "params": {"call": call}})


def encode_health_check(id: int, deep: bool = False) -> bytes:
    return _line({"id": id, "method": "isWell", "params": {"e2e": True} if deep else {}})


@dataclass(frozen=True, slots=True)
class ResultResponse:
    """Served: what the run made, and whether it said ``up``, as answers to checks do."""

    id: int
    body: bytes
    healthy: bool | None = None


@dataclass(frozen=True, slots=True)
class ErrorResponse:
    """An error; ``pushback`` is in seconds."""

    id: int | None
    code: int
    text: str
    retry_after: float | None = None
    no_retry_elsewhere: bool = False


@dataclass(frozen=True, slots=True)
class Draining:
    """No new request may be sent on this connection."""


Reply = ResultResponse | ErrorResponse | Draining


class ClientParser:
    """A caller's end of one connection: answers in, typed. Anything else raises ``ProtocolError``."""

    def __init__(self) -> None:
        self._lines = LineBuffer(MAX_RESPONSE_LINE_BYTES)

    @property
    def at_message_boundary(self) -> bool:
        """Whether no answer has begun that is not whole yet."""
        return not self._lines.data

    def feed(self, data: bytes) -> Iterator[Reply]:
        """Answers in their order; ``ProtocolError`` where the rest cannot be trusted any more."""
        self._lines.feed(data)
        while (line := self._lines.line()) is not None:
            if line.strip():
                yield self._reply(line)

    def _reply(self, line: bytes) -> Reply:
        try:
            data = json.loads(line)
        except (ValueError, RecursionError):
            raise ProtocolError(f"an answer is not JSON: {line[:60]!r}") from None
        if not isinstance(data, dict):
            raise ProtocolError("an answer is not an object")
        if data.get("method") == "draining":
            return Draining()
        id = data.get("id")
        if "error" in data and "result" not in data:
            return self._error(id, data["error"])
        result = data.get("result")
        if isinstance(id, bool) or not isinstance(id, int) or not isinstance(result, dict) or "error" in data:
            raise ProtocolError("an answer has no id, or neither a result nor an error")
        up, arg = result.get("up"), result.get("arg", "")
        try:
            body = base64.b64decode(arg, validate=True)
        except (binascii.Error, ValueError, TypeError):
            raise ProtocolError("a result is not base64") from None
        if len(body) > MAX_RESULT_BYTES:
            raise TooLargeError(f"a result is longer than {MAX_RESULT_BYTES} bytes")
        if "arg" not in result and up is None:
            raise ProtocolError("a result holds nothing")
        return ResultResponse(id, body, up if isinstance(up, bool) else None)

    def _error(self, id: Any, error: Any) -> ErrorResponse:
        if isinstance(id, bool) or not (id is None or isinstance(id, int)) or not isinstance(error, dict):
            raise ProtocolError("an error is not an object, or its id no number")
        code, data = error.get("code"), error.get("data")
        if isinstance(code, bool) or not isinstance(code, int):
            raise ProtocolError("an error has no code")
        data = data if isinstance(data, dict) else {}
        wait = data.get("pushback")
        told = isinstance(wait, int | float) and not isinstance(wait, bool) and wait > 0
        advice = min(float(wait or 0) / 1000, MAX_RETRY_AFTER_S) if told else None
        return ErrorResponse(id, code, str(error.get("message", ""))[:200], advice, data.get("stop") == 1)


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
