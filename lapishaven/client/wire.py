"""The client's two wires as state machines, one object a connection: fed bytes, they give ends of tries."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass

from lapishaven.client.model import Attempt
from lapishaven.client.outcomes import AttemptEnd, AttemptResult
from lapishaven.client.settings import Settings
from lapishaven.proto import ProtocolError, jsonrpc, uwsgi

TIMESTAMP_SUSPENSION_S = 60.0  # s for which requests bear no time stamp after a server turned one down
INVALID_REQUEST_CODES = (jsonrpc.PARSE_ERROR, jsonrpc.INVALID_REQUEST, jsonrpc.NO_METHOD, jsonrpc.INVALID_PARAMS)


@dataclass(frozen=True, slots=True)
class ResponseReceived:
    """A try has its answer."""

    attempt_id: int
    result: AttemptResult


@dataclass(frozen=True, slots=True)
class DrainingNotice:
    """The server leaves."""


@dataclass(frozen=True, slots=True)
class ProbeAnswered:
    """The answer to a question how the server is: it is there, whatever it says."""


class TimestampClock:
    """The wall clock, as far as the servers take it. It may jump; nothing but the time stamp goes by it."""

    def __init__(self, wall: Callable[[], float], steady: Callable[[], float]) -> None:
        self._wall, self._steady = wall, steady
        self._suspended_until = float("-inf")

    def stamp(self) -> float | None:
        """Unix seconds, or ``None`` while the servers do not take ours."""
        return self._wall() if self._steady() >= self._suspended_until else None

    def suspend(self) -> None:
        self._suspended_until = self._steady() + TIMESTAMP_SUSPENSION_S


class JsonRpc:
    """The platform's protocol: many requests on a connection, answers in any order."""

    def __init__(self, settings: Settings, clock: TimestampClock) -> None:
        self._settings, self._clock = settings, clock
        self._machine = jsonrpc.Client()
        self._last_id = 0
        self._in_flight: dict[int, tuple[int, bool]] = {}  # id here -> the try, and whether it bears a time
        self._probe_ids: set[int] = set()  # questions how it is

    def send(self, attempt: Attempt) -> bytes:
        self._last_id += 1
        call, stamp = attempt.call, self._clock.stamp()
        self._in_flight[self._last_id] = attempt.id, stamp is not None
        return jsonrpc.request(
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
        return jsonrpc.forget(attempt.request_id)

    def probe(self) -> bytes:
        """A question how the server is."""
        self._last_id += 1
        self._probe_ids.add(self._last_id)
        return jsonrpc.is_well(self._last_id)

    def feed(self, data: bytes) -> Iterator[ResponseReceived | DrainingNotice | ProbeAnswered]:
        """Ends of tries; ``ProtocolError`` where the connection cannot be trusted any more."""
        for message in self._machine.feed(data):
            if isinstance(message, jsonrpc.Draining):
                yield DrainingNotice()
                continue
            if message.id in self._probe_ids:
                self._probe_ids.discard(message.id)
                yield ProbeAnswered()
                continue
            found = self._in_flight.pop(message.id, None) if message.id is not None else None
            if found is None:
                if message.id is not None and 0 < message.id <= self._last_id:
                    continue  # a second answer to one request: the first one holds
                raise ProtocolError(f"an answer to no request: {message.id}")
            attempt, stamped = found
            if isinstance(message, jsonrpc.Result):
                yield ResponseReceived(attempt, AttemptResult(AttemptEnd.SERVED, message.body))
            else:
                yield ResponseReceived(attempt, self._error(message, stamped))

    def _error(self, error: jsonrpc.Error, stamped: bool) -> AttemptResult:
        ending = AttemptEnd.FAILED
        if error.code == jsonrpc.REFUSED:
            ending = AttemptEnd.REJECTED
        elif error.code == jsonrpc.INVALID_PARAMS and stamped and "recv" in error.text:
            self._clock.suspend()
            ending = AttemptEnd.TIMESTAMP_REJECTED
        elif error.code in INVALID_REQUEST_CODES:
            ending = AttemptEnd.INVALID
        return AttemptResult(ending, b"", error.text, error.code, error.pushback, error.stop)

    def end_of_stream(self) -> Iterator[ResponseReceived]:
        """The other side closed: an answer cut in half is no answer."""
        return iter(())


class Uwsgi:
    """uwsgi: one request a connection, an HTTP response back, then the close."""

    def __init__(self, settings: Settings, clock: TimestampClock) -> None:
        self._settings, self._clock = settings, clock
        self._machine = uwsgi.Client()
        self._attempt: int | None = None

    def send(self, attempt: Attempt) -> bytes:
        call, settings, stamp = attempt.call, self._settings, self._clock.stamp()
        self._attempt = attempt.id
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
        return uwsgi.packet(variables, call.body)

    def cancel(self, attempt: Attempt) -> bytes:
        return b""  # the close says it

    def feed(self, data: bytes) -> Iterator[ResponseReceived | DrainingNotice]:
        yield from self._events(data)

    def end_of_stream(self) -> Iterator[ResponseReceived]:
        yield from self._events(b"")

    def _events(self, data: bytes) -> Iterator[ResponseReceived]:
        if self._attempt is None:
            return
        response = self._machine.feed(data)
        if response is not None:
            attempt, self._attempt = self._attempt, None
            yield ResponseReceived(attempt, self._reply(response))

    def _reply(self, response: uwsgi.Response) -> AttemptResult:
        status, text = response.status, response.body[:200].decode("latin-1")
        if status == 200:
            return AttemptResult(AttemptEnd.SERVED, response.body)
        if status == 503:
            wait = _retry_after_seconds(response.headers)
            # Without an advice it may be another program's word, which promises nothing.
            ending = AttemptEnd.FAILED if wait is None else AttemptEnd.REJECTED
            return AttemptResult(ending, b"", text, status, wait, response.headers.get("x-stop") == "1")
        if status == 400 and "HTTP_X_REQUEST_START" in text:
            self._clock.suspend()
            return AttemptResult(AttemptEnd.TIMESTAMP_REJECTED, b"", text, status)
        return AttemptResult(AttemptEnd.INVALID if 400 <= status < 500 else AttemptEnd.FAILED, b"", text, status)


def _retry_after_seconds(headers: dict[str, str]) -> float | None:
    """The advice to stay away, in seconds; the exact header before the whole seconds."""
    for name, scale in (("x-pushback-ms", 1000.0), ("retry-after", 1.0)):
        word = headers.get(name, "")
        if word.isascii() and word.isdigit():
            return min(int(word[:9]) / scale, jsonrpc.ADVICE_LIMIT)
    return None


Wire = JsonRpc | Uwsgi
WIRES: dict[str, type[JsonRpc] | type[Uwsgi]] = {"jsonrpc": JsonRpc, "uwsgi": Uwsgi}
