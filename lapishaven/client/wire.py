"""The client's two wire protocols as state machines without I/O, one object per connection.

A wire encodes attempts into bytes, and decodes received bytes into events.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass

from lapishaven.client.model import Attempt
from lapishaven.client.outcomes import AttemptEnd, AttemptResult
from lapishaven.client.settings import Settings
from lapishaven.proto import ProtocolError, jsonrpc, uwsgi

TIMESTAMP_SUSPENSION_S = 60.0  # requests carry no timestamp for this long after a server rejected one
MAX_ERROR_TEXT_BYTES = 200  # of an HTTP error's body, used as the reason
MAX_RETRY_AFTER_DIGITS = 9
INVALID_REQUEST_CODES = (
    jsonrpc.PARSE_ERROR,
    jsonrpc.INVALID_REQUEST,
    jsonrpc.NO_METHOD,
    jsonrpc.INVALID_PARAMS,
)


@dataclass(frozen=True, slots=True)
class ResponseReceived:
    """The response to the attempt with the id ``attempt_id`` (``Attempt.id``)."""

    attempt_id: int
    result: AttemptResult


@dataclass(frozen=True, slots=True)
class DrainingNotice:
    """The server announced its graceful shutdown."""


@dataclass(frozen=True, slots=True)
class ProbeAnswered:
    """An answer to a probe. Whatever its content, the server is responsive."""


class TimestampClock:
    """The wall clock for the timestamps of requests, suspended while servers reject them. It may jump."""

    def __init__(self, wall: Callable[[], float], monotonic: Callable[[], float]) -> None:
        self._wall = wall
        self._monotonic = monotonic
        self._suspended_until = float("-inf")

    def stamp(self) -> float | None:
        """Return the time in Unix seconds, or None while timestamps are suspended."""
        return self._wall() if self._monotonic() >= self._suspended_until else None

    def suspend(self) -> None:
        """Suspend timestamps for ``TIMESTAMP_SUSPENSION_S``, as a server rejected one."""
        self._suspended_until = self._monotonic() + TIMESTAMP_SUSPENSION_S


class JsonRpc:
    """The platform's protocol: concurrent requests on a connection, with responses in any order."""

    def __init__(self, settings: Settings, clock: TimestampClock) -> None:
        self._settings = settings
        self._clock = clock
        self._parser = jsonrpc.ClientParser()
        self._last_id = 0
        self._in_flight: dict[int, tuple[int, bool]] = {}  # by message id: attempt id, has a timestamp
        self._probe_ids: set[int] = set()

    def send(self, attempt: Attempt) -> bytes:
        """Return the encoded request of an attempt."""
        self._last_id += 1
        call = attempt.call
        stamp = self._clock.stamp()
        self._in_flight[self._last_id] = attempt.id, stamp is not None
        return jsonrpc.encode_request(
            self._last_id,
            call.class_name,
            attempt.request_id,
            call.body,
            call.memory_kb,
            received_at=stamp,
            caller_id=self._settings.caller,
            is_retry=attempt.is_retry,
            rank=call.rank,
            subject=call.row_id,
        )

    def cancel(self, attempt: Attempt) -> bytes:
        """Return the message that tells the server that no caller waits for an attempt."""
        return jsonrpc.encode_cancel(attempt.request_id)

    def probe(self) -> bytes:
        """Return an encoded probe; its answer is the event ``ProbeAnswered``."""
        self._last_id += 1
        self._probe_ids.add(self._last_id)
        return jsonrpc.encode_health_check(self._last_id)

    def feed(self, data: bytes) -> Iterator[ResponseReceived | DrainingNotice | ProbeAnswered]:
        """Yield the events in received bytes; raise ``ProtocolError`` if the connection is no longer usable."""
        for message in self._parser.feed(data):
            if isinstance(message, jsonrpc.Draining):
                yield DrainingNotice()
            elif message.id in self._probe_ids:
                self._probe_ids.discard(message.id)
                yield ProbeAnswered()
            else:
                response = self._response(message)
                if response is not None:
                    yield response

    def _response(self, message: jsonrpc.ResultResponse | jsonrpc.ErrorResponse) -> ResponseReceived | None:
        request = self._in_flight.pop(message.id, None) if message.id is not None else None
        if request is None:
            if message.id is not None and 0 < message.id <= self._last_id:
                return None  # a second response to the same request: the first one counts
            raise ProtocolError(f"response with id {message.id} matches no request sent on this connection")
        attempt_id, has_timestamp = request
        if isinstance(message, jsonrpc.ResultResponse):
            return ResponseReceived(attempt_id, AttemptResult(AttemptEnd.SERVED, message.body))
        return ResponseReceived(attempt_id, self._error(message, has_timestamp))

    def _error(self, error: jsonrpc.ErrorResponse, has_timestamp: bool) -> AttemptResult:
        end = AttemptEnd.FAILED
        if error.code == jsonrpc.REJECTED_CODE:
            end = AttemptEnd.REJECTED
        elif error.code == jsonrpc.INVALID_PARAMS and has_timestamp and "recv" in error.text:
            self._clock.suspend()
            end = AttemptEnd.TIMESTAMP_REJECTED
        elif error.code in INVALID_REQUEST_CODES:
            end = AttemptEnd.INVALID
        return AttemptResult(end, b"", error.text, error.code, error.retry_after, error.no_retry_elsewhere)

    def end_of_stream(self) -> Iterator[ResponseReceived]:
        """The peer closed the connection; a truncated response is discarded."""
        return iter(())


class Uwsgi:
    """uwsgi: one request per connection, an HTTP response, then the close."""

    def __init__(self, settings: Settings, clock: TimestampClock) -> None:
        self._settings = settings
        self._clock = clock
        self._parser = uwsgi.ResponseParser()
        self._attempt_id: int | None = None

    def send(self, attempt: Attempt) -> bytes:
        """Return the encoded request of an attempt."""
        call, settings = attempt.call, self._settings
        stamp = self._clock.stamp()
        self._attempt_id = attempt.id
        variables = {
            "REQUEST_METHOD": "POST",
            "PATH_INFO": settings.path + call.class_name,
            "HTTP_X_REQUEST_ID": call.idempotency_key,
            "HTTP_X_CALLER": str(settings.caller),
        }
        if attempt.is_retry:
            variables["HTTP_X_RETRY"] = "1"
        if stamp is not None:
            variables["HTTP_X_REQUEST_START"] = f"t={stamp:.3f}"
        if settings.team:
            variables |= {"HTTP_X_TEAM": settings.team, "HTTP_X_SERVICE": settings.service}
        return uwsgi.encode_request(variables, call.body)

    def cancel(self, attempt: Attempt) -> bytes:
        """Return nothing: closing the connection cancels the request."""
        return b""

    def feed(self, data: bytes) -> Iterator[ResponseReceived | DrainingNotice]:
        """Yield the events in received bytes; raise ``ProtocolError`` if they are not an HTTP response."""
        if self._attempt_id is not None:
            yield from self._events(self._attempt_id, self._parser.feed(data))

    def end_of_stream(self) -> Iterator[ResponseReceived]:
        """The peer closed the connection in order, which may mark the end of the response."""
        if self._attempt_id is not None:
            yield from self._events(self._attempt_id, self._parser.end_of_input())

    def _events(self, attempt_id: int, response: uwsgi.Response | None) -> Iterator[ResponseReceived]:
        if response is not None:
            self._attempt_id = None
            yield ResponseReceived(attempt_id, self._result(response))

    def _result(self, response: uwsgi.Response) -> AttemptResult:
        status = response.status
        text = response.body[:MAX_ERROR_TEXT_BYTES].decode("latin-1")
        if status == 200:
            return AttemptResult(AttemptEnd.SERVED, response.body)
        if status == 503:
            retry_after_s = _retry_after_seconds(response.headers)
            # Without Retry-After, the response may come from another program (a proxy), so the request may have run.
            end = AttemptEnd.FAILED if retry_after_s is None else AttemptEnd.REJECTED
            stop = response.headers.get("x-stop") == "1"
            return AttemptResult(end, b"", text, status, retry_after_s, stop)
        if status == 400 and "HTTP_X_REQUEST_START" in text:
            self._clock.suspend()
            return AttemptResult(AttemptEnd.TIMESTAMP_REJECTED, b"", text, status)
        end = AttemptEnd.INVALID if 400 <= status < 500 else AttemptEnd.FAILED
        return AttemptResult(end, b"", text, status)


def _retry_after_seconds(headers: dict[str, str]) -> float | None:
    """Return Retry-After in seconds; the header in milliseconds takes precedence over the one in whole seconds."""
    for name, units_per_s in (("x-pushback-ms", 1000.0), ("retry-after", 1.0)):
        value = headers.get(name, "")
        if value.isascii() and value.isdigit():
            return min(int(value[:MAX_RETRY_AFTER_DIGITS]) / units_per_s, jsonrpc.MAX_RETRY_AFTER_S)
    return None


Wire = JsonRpc | Uwsgi
WIRES: dict[str, type[JsonRpc] | type[Uwsgi]] = {"jsonrpc": JsonRpc, "uwsgi": Uwsgi}
