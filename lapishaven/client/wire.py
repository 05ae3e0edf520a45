"""The client's two wires as state machines without I/O, one object for each connection.

A wire turns attempts into bytes, and the bytes received into events.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass

from lapishaven.client.model import Attempt
from lapishaven.client.outcomes import AttemptEnd, AttemptResult
from lapishaven.client.settings import Settings
from lapishaven.proto import ProtocolError, jsonrpc, uwsgi

TIMESTAMP_SUSPENSION_S = 60.0  # for which requests have no timestamp after a server rejected one
MAX_ERROR_TEXT = 200  # bytes of an HTTP error's body that become the reason
MAX_RETRY_AFTER_DIGITS = 9
INVALID_REQUEST_CODES = (
    jsonrpc.PARSE_ERROR,
    jsonrpc.INVALID_REQUEST,
    jsonrpc.NO_METHOD,
    jsonrpc.INVALID_PARAMS,
)


@dataclass(frozen=True, slots=True)
class ResponseReceived:
    """The response to an attempt, named by ``Attempt.id``."""

    attempt_id: int
    result: AttemptResult


@dataclass(frozen=True, slots=True)
class DrainingNotice:
    """The server announced its graceful shutdown."""


@dataclass(frozen=True, slots=True)
class ProbeAnswered:
    """The answer to a probe. Whatever it says, the server is responsive."""


class TimestampClock:
    """The wall clock that requests are stamped by, as long as the servers accept it. It may jump."""

    def __init__(self, wall: Callable[[], float], monotonic: Callable[[], float]) -> None:
        self._wall = wall
        self._monotonic = monotonic
        self._suspended_until = float("-inf")

    def stamp(self) -> float | None:
        """Unix seconds, or None while the servers do not accept them."""
        return self._wall() if self._monotonic() >= self._suspended_until else None

    def suspend(self) -> None:
        """A server rejected a timestamp: send none for ``TIMESTAMP_SUSPENSION_S``."""
        self._suspended_until = self._monotonic() + TIMESTAMP_SUSPENSION_S


class JsonRpc:
    """The platform's protocol: many requests on a connection, responses in any order."""

    def __init__(self, settings: Settings, clock: TimestampClock) -> None:
        self._settings = settings
        self._clock = clock
        self._parser = jsonrpc.ClientParser()
        self._last_id = 0
        self._in_flight: dict[int, tuple[int, bool]] = {}  # message id: attempt id, and whether it has a timestamp
        self._probe_ids: set[int] = set()

    def send(self, attempt: Attempt) -> bytes:
        """The request of an attempt."""
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
            recv=stamp,
            src=self._settings.caller,
            rep=attempt.is_retry,
            crit=call.rank,
            row=call.row_id,
        )

    def cancel(self, attempt: Attempt) -> bytes:
        """Tell the server that nobody waits for an attempt."""
        return jsonrpc.encode_cancel(attempt.request_id)

    def probe(self) -> bytes:
        """A probe, answered by ``ProbeAnswered``."""
        self._last_id += 1
        self._probe_ids.add(self._last_id)
        return jsonrpc.encode_health_check(self._last_id)

    def feed(self, data: bytes) -> Iterator[ResponseReceived | DrainingNotice | ProbeAnswered]:
        """Events from received bytes; raises ``ProtocolError`` where the connection cannot be trusted any more."""
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
        found = self._in_flight.pop(message.id, None) if message.id is not None else None
        if found is None:
            if message.id is not None and 0 < message.id <= self._last_id:
                return None  # a second response to one request: the first one holds
            raise ProtocolError(f"an answer to no request: {message.id}")
        attempt_id, stamped = found
        if isinstance(message, jsonrpc.ResultResponse):
            return ResponseReceived(attempt_id, AttemptResult(AttemptEnd.SERVED, message.body))
        return ResponseReceived(attempt_id, self._error(message, stamped))

    def _error(self, error: jsonrpc.ErrorResponse, stamped: bool) -> AttemptResult:
        end = AttemptEnd.FAILED
        if error.code == jsonrpc.REJECTED_CODE:
            end = AttemptEnd.REJECTED
        elif error.code == jsonrpc.INVALID_PARAMS and stamped and "recv" in error.text:
            self._clock.suspend()
            end = AttemptEnd.TIMESTAMP_REJECTED
        elif error.code in INVALID_REQUEST_CODES:
            end = AttemptEnd.INVALID
        return AttemptResult(end, b"", error.text, error.code, error.retry_after, error.no_retry_elsewhere)

    def end_of_stream(self) -> Iterator[ResponseReceived]:
        """The other side closed: a response that was cut off is none."""
        return iter(())


class Uwsgi:
    """uwsgi: one request on a connection, an HTTP response, then the close."""

    def __init__(self, settings: Settings, clock: TimestampClock) -> None:
        self._settings = settings
        self._clock = clock
        self._parser = uwsgi.ResponseParser()
        self._attempt_id: int | None = None

    def send(self, attempt: Attempt) -> bytes:
        """The request of an attempt."""
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
        """Nothing: the close of the connection tells the server."""
        return b""

    def feed(self, data: bytes) -> Iterator[ResponseReceived | DrainingNotice]:
        """Events from received bytes; raises ``ProtocolError`` where they are no HTTP response."""
        yield from self._events(data)

    def end_of_stream(self) -> Iterator[ResponseReceived]:
        """The other side closed, which may end the response."""
        yield from self._events(b"")

    def _events(self, data: bytes) -> Iterator[ResponseReceived]:
        if self._attempt_id is None:
            return
        response = self._parser.feed(data)
        if response is not None:
            attempt_id = self._attempt_id
            self._attempt_id = None
            yield ResponseReceived(attempt_id, self._result(response))

    def _result(self, response: uwsgi.Response) -> AttemptResult:
        status = response.status
        text = response.body[:MAX_ERROR_TEXT].decode("latin-1")
        if status == 200:
            return AttemptResult(AttemptEnd.SERVED, response.body)
        if status == 503:
            retry_after_s = _retry_after_seconds(response.headers)
            # Without Retry-After another program may have answered, which says nothing of whether the request ran.
            end = AttemptEnd.FAILED if retry_after_s is None else AttemptEnd.REJECTED
            stop = response.headers.get("x-stop") == "1"
            return AttemptResult(end, b"", text, status, retry_after_s, stop)
        if status == 400 and "HTTP_X_REQUEST_START" in text:
            self._clock.suspend()
            return AttemptResult(AttemptEnd.TIMESTAMP_REJECTED, b"", text, status)
        end = AttemptEnd.INVALID if 400 <= status < 500 else AttemptEnd.FAILED
        return AttemptResult(end, b"", text, status)


def _retry_after_seconds(headers: dict[str, str]) -> float | None:
    """Retry-After in seconds; the exact header takes precedence over the one in whole seconds."""
    for name, units_per_s in (("x-pushback-ms", 1000.0), ("retry-after", 1.0)):
        value = headers.get(name, "")
        if value.isascii() and value.isdigit():
            return min(int(value[:MAX_RETRY_AFTER_DIGITS]) / units_per_s, jsonrpc.MAX_RETRY_AFTER_S)
    return None


Wire = JsonRpc | Uwsgi
WIRES: dict[str, type[JsonRpc] | type[Uwsgi]] = {"jsonrpc": JsonRpc, "uwsgi": Uwsgi}
