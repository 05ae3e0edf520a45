"""The client's two wires as state machines, one object a connection: fed bytes, they give ends of tries."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass

from lapishaven.client.model import Attempt
from lapishaven.client.outcomes import Ending, Reply
from lapishaven.client.settings import Settings
from lapishaven.proto import ProtocolError, jsonrpc, uwsgi

DISTRUST = 60.0  # s for which requests bear no time stamp after a server turned one down
NOT_A_REQUEST = (jsonrpc.PARSE_ERROR, jsonrpc.INVALID_REQUEST, jsonrpc.NO_METHOD, jsonrpc.INVALID_PARAMS)


@dataclass(frozen=True, slots=True)
class Ended:
    """A try has its answer."""

    attempt: int
    reply: Reply


@dataclass(frozen=True, slots=True)
class Drains:
    """The server leaves."""


@dataclass(frozen=True, slots=True)
class Well:
    """The answer to a question how the server is: it is there, whatever it says."""


class Clock:
    """The wall clock, as far as the servers take it. It may jump; nothing but the time stamp goes by it."""

    def __init__(self, wall: Callable[[], float], steady: Callable[[], float]) -> None:
        self._wall, self._steady = wall, steady
        self._distrusted = float("-inf")

    def stamp(self) -> float | None:
        """Unix seconds, or ``None`` while the servers do not take ours."""
        return self._wall() if self._steady() >= self._distrusted else None

    def distrust(self) -> None:
        self._distrusted = self._steady() + DISTRUST


class JsonRpc:
    """The platform's protocol: many requests on a connection, answers in any order."""

    def __init__(self, settings: Settings, clock: Clock) -> None:
        self._settings, self._clock = settings, clock
        self._machine = jsonrpc.Client()
        self._last = 0
        self._open: dict[int, tuple[int, bool]] = {}  # id here -> the try, and whether it bears a time
        self._asked: set[int] = set()  # questions how it is

    def send(self, attempt: Attempt) -> bytes:
        self._last += 1
        call, stamp = attempt.call, self._clock.stamp()
        self._open[self._last] = attempt.id, stamp is not None
        return jsonrpc.request(
            self._last,
            call.cls,
            attempt.name,
            call.body,
            call.heap,
            recv=stamp,
            src=self._settings.caller,
            rep=attempt.rep,
            crit=call.rank,
            row=call.row,
        )

    def withdraw(self, attempt: Attempt) -> bytes:
        return jsonrpc.forget(attempt.name)

    def ask(self) -> bytes:
        """A question how the server is."""
        self._last += 1
        self._asked.add(self._last)
        return jsonrpc.is_well(self._last)

    def feed(self, data: bytes) -> Iterator[Ended | Drains | Well]:
        """Ends of tries; ``ProtocolError`` where the connection cannot be trusted any more."""
        for message in self._machine.feed(data):
            if isinstance(message, jsonrpc.Draining):
                yield Drains()
                continue
            if message.id in self._asked:
                self._asked.discard(message.id)
                yield Well()
                continue
            found = self._open.pop(message.id, None) if message.id is not None else None
            if found is None:
                if message.id is not None and 0 < message.id <= self._last:
                    continue  # a second answer to one request: the first one holds
                raise ProtocolError(f"an answer to no request: {message.id}")
            attempt, stamped = found
            if isinstance(message, jsonrpc.Result):
                yield Ended(attempt, Reply(Ending.SERVED, message.body))
            else:
                yield Ended(attempt, self._error(message, stamped))

    def _error(self, error: jsonrpc.Error, stamped: bool) -> Reply:
        ending = Ending.FAILED
        if error.code == jsonrpc.REFUSED:
            ending = Ending.REFUSED
        elif error.code == jsonrpc.INVALID_PARAMS and stamped and "recv" in error.text:
            self._clock.distrust()
            ending = Ending.UNTIMED
        elif error.code in NOT_A_REQUEST:
            ending = Ending.INVALID
        return Reply(ending, b"", error.text, error.code, error.pushback, error.stop)

    def ended(self) -> Iterator[Ended]:
        """The other side closed: an answer cut in half is no answer."""
        return iter(())


class Uwsgi:
    """uwsgi: one request a connection, an HTTP response back, then the close."""

    def __init__(self, settings: Settings, clock: Clock) -> None:
        self._settings, self._clock = settings, clock
        self._machine = uwsgi.Client()
        self._attempt: int | None = None

    def send(self, attempt: Attempt) -> bytes:
        call, settings, stamp = attempt.call, self._settings, self._clock.stamp()
        self._attempt = attempt.id
        variables = {
            "REQUEST_METHOD": "POST",
            "PATH_INFO": settings.path + call.cls,
            "HTTP_X_REQUEST_ID": call.key,
            "HTTP_X_CALLER": str(settings.caller),
        }
        if attempt.rep:
            variables["HTTP_X_RETRY"] = "1"
        if stamp is not None:
            variables["HTTP_X_REQUEST_START"] = f"t={stamp:.3f}"
        if settings.team:
            variables |= {"HTTP_X_TEAM": settings.team, "HTTP_X_SERVICE": settings.service}
        return uwsgi.packet(variables, call.body)

    def withdraw(self, attempt: Attempt) -> bytes:
        return b""  # the close says it

    def feed(self, data: bytes) -> Iterator[Ended | Drains]:
        yield from self._told(data)

    def ended(self) -> Iterator[Ended]:
        yield from self._told(b"")

    def _told(self, data: bytes) -> Iterator[Ended]:
        if self._attempt is None:
            return
        response = self._machine.feed(data)
        if response is not None:
            attempt, self._attempt = self._attempt, None
            yield Ended(attempt, self._reply(response))

    def _reply(self, response: uwsgi.Response) -> Reply:
        status, text = response.status, response.body[:200].decode("latin-1")
        if status == 200:
            return Reply(Ending.SERVED, response.body)
        if status == 503:
            wait = _seconds(response.headers)
            # Without an advice it may be another program's word, which promises nothing.
            ending = Ending.FAILED if wait is None else Ending.REFUSED
            return Reply(ending, b"", text, status, wait, response.headers.get("x-stop") == "1")
        if status == 400 and "HTTP_X_REQUEST_START" in text:
            self._clock.distrust()
            return Reply(Ending.UNTIMED, b"", text, status)
        return Reply(Ending.INVALID if 400 <= status < 500 else Ending.FAILED, b"", text, status)


def _seconds(headers: dict[str, str]) -> float | None:
    """The advice to stay away, in seconds; the exact header before the whole seconds."""
    for name, scale in (("x-pushback-ms", 1000.0), ("retry-after", 1.0)):
        word = headers.get(name, "")
        if word.isascii() and word.isdigit():
            return min(int(word[:9]) / scale, jsonrpc.ADVICE_LIMIT)
    return None


Wire = JsonRpc | Uwsgi
WIRES: dict[str, type[JsonRpc] | type[Uwsgi]] = {"jsonrpc": JsonRpc, "uwsgi": Uwsgi}
