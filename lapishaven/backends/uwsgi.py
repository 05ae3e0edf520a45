"""A backend that sends each attempt to a uwsgi server, on a connection of its own."""

from __future__ import annotations

from collections.abc import Callable, Generator
from typing import Any

from lapishaven.admission import Outcome
from lapishaven.backends import BackendListener
from lapishaven.connection_end import ConnectionEnd, outcome_of
from lapishaven.counters import Counters
from lapishaven.net.connection import Connection, Dial, connect
from lapishaven.net.loop import Loop, Wait
from lapishaven.proto import ProtocolError, TooLargeError
from lapishaven.proto import uwsgi as proto

DIAL_TIMEOUT_S = 1.0  # for a connection to be established
SAMPLE_DELAY_S = 0.005  # from the request for a load sample to its delivery; the core cannot take it within the call
HTTP_OK = 200
HTTP_SERVICE_UNAVAILABLE = 503


class UwsgiBackend:
    """A backend on the uwsgi protocol. It cannot pause a run: to pause one is to close its connection."""

    def __init__(
        self,
        loop: Loop,
        address: tuple[str, int],
        path: str,
        cores: int,
        deadlines: dict[str, float],
        listener: BackendListener,
        counters: Counters,
        dial: Dial = connect,
    ) -> None:
        """``path`` is the URL path above the classes, ``cores`` the server's, ``deadlines`` seconds by class."""
        self.loop = loop
        self.address = address
        self.counters = counters
        self._path = path
        self._cores = cores
        self._deadlines = deadlines
        self._listener = listener
        self._dial = dial
        self._running: dict[str, Connection | None] = {}  # by attempt id; None while its connection is dialled
        self._cancelled: set[str] = set()  # attempt ids that were paused while their connections were dialled

    def run(self) -> Generator[Wait, Any, None]:
        """Report that the backend is up, at once, as there is no connection to hold."""
        self._listener.backend_up(False, 0.0)
        return
        yield

    # ---- Commands
    def change_address(self, address: tuple[str, int]) -> None:
        """Send new attempts there; those in flight have connections of their own and go on."""
        self.address = address

    def start(self, attempt_id: str, class_name: str, body: bytes, send_once: bool) -> None:
        """Send an attempt on a connection of its own; it is never sent twice."""
        self._running[attempt_id] = None
        self.loop.spawn(self._attempt(attempt_id, class_name, body), lambda error: self._attempt_failed(attempt_id))

    def _attempt_failed(self, attempt_id: str) -> None:
        """The attempt's coroutine has ended by a fault of this program."""
        conn = self._running.get(attempt_id)
        if conn is not None:
            conn.abort(ConnectionEnd.FAULT)
        self._end(attempt_id, outcome_of(ConnectionEnd.FAULT), 0.0)

    def pause(self, attempt_id: str) -> None:
        """Close the attempt's connection, which ends the attempt as cancelled."""
        conn = self._running.get(attempt_id)
        if conn is not None:
            conn.close(ConnectionEnd.ABANDONED, unsent=False)
        elif attempt_id in self._running:
            self._cancelled.add(attempt_id)

    def resume(self, attempt_id: str) -> None:
        """End the attempt as cancelled, unless it has ended: no attempt is ever paused, so none can go on."""
        self._end(attempt_id, Outcome.CANCELLED, 0.0)

    def request_load_sample(self) -> None:
        """Deliver what this side can see: each attempt in flight is taken to need one core of the server."""
        in_flight = len(self._running)
        core_use = min(1.0, in_flight / self._cores)
        values = {"core_use": core_use, "on_cores": float(in_flight), "links": float(in_flight)}
        self.loop.at(self.loop.now + SAMPLE_DELAY_S, lambda: self._listener.load_sampled(values))

    def health_check(self, callback: Callable[[bool], None]) -> None:
        """Check whether the server accepts a connection."""
        self.loop.spawn(self._dial_only(callback))

    def _dial_only(self, callback: Callable[[bool], None]) -> Generator[Wait, Any, None]:
        sock = yield from self._dial(self.loop, self.address, DIAL_TIMEOUT_S)
        if not isinstance(sock, ConnectionEnd):
            sock.close()
        callback(not isinstance(sock, ConnectionEnd))

    # ---- One attempt
    def _attempt(self, attempt_id: str, class_name: str, body: bytes) -> Generator[Wait, Any, None]:
        started_at = self.loop.now
        sock = yield from self._dial(self.loop, self.address, DIAL_TIMEOUT_S)
        if isinstance(sock, ConnectionEnd):
            # Whether refused or timed out, nothing was sent, so it never ran.
            return self._end(attempt_id, outcome_of(ConnectionEnd.UNREACHED), self.loop.now - started_at)
        conn = Connection(self.loop, sock, lambda end: self.counters.add("ends", f"uwsgi backend {end.value}"))
        self._running[attempt_id] = conn
        if attempt_id in self._cancelled:
            conn.close(ConnectionEnd.ABANDONED, unsent=False)
        variables = {"REQUEST_METHOD": "POST", "PATH_INFO": self._path + class_name, "HTTP_X_REQUEST_ID": attempt_id}
        conn.write(proto.encode_request(variables, body))
        outcome, result, _ = yield from read_response(self.loop, conn, started_at + self._deadlines[class_name])
        self._end(attempt_id, outcome, self.loop.now - started_at, result)

    def _end(self, attempt_id: str, outcome: Outcome, elapsed: float, result: bytes = b"") -> None:
        """Report the end of an attempt, the first time."""
        if attempt_id in self._running:
            del self._running[attempt_id]
            self._cancelled.discard(attempt_id)
            self._listener.run_finished(attempt_id, outcome, elapsed, result)

    def failed(self) -> None:
        """Do nothing: there is no connection to release."""

    def close(self) -> None:
        """End for good."""
        for conn in list(self._running.values()):
            if conn is not None:
                conn.abort(ConnectionEnd.SHUTDOWN)


def read_response(
    loop: Loop, conn: Connection, until: float
) -> Generator[Wait, Any, tuple[Outcome, bytes, proto.Response | None]]:
    """How the attempt that was sent on a connection ended by the time ``until``, its result, and any response."""
    parser = proto.ResponseParser()
    while True:
        data = yield from conn.read(max(0.0, until - loop.now))
        if data is None:
            conn.close(ConnectionEnd.TIMED_OUT, unsent=False)
            return outcome_of(ConnectionEnd.TIMED_OUT), b"", None
        try:
            response = parser.feed(b"" if isinstance(data, ConnectionEnd) else data)
        except ProtocolError as error:
            if isinstance(data, ConnectionEnd):
                return outcome_of(data), b"", None
            end = ConnectionEnd.TOO_LARGE if isinstance(error, TooLargeError) else ConnectionEnd.PROTOCOL_ERROR
            conn.close(end)
            return outcome_of(end), b"", None
        if response is not None:
            conn.close(ConnectionEnd.FINISHED)
            return outcome_of_response(response), response.body if response.status == HTTP_OK else b"", response
        if isinstance(data, ConnectionEnd):
            return outcome_of(data), b"", None


def outcome_of_response(response: proto.Response) -> Outcome:
    """What a server's response proves about the attempt.

    A 503 with Retry-After states that the server rejected the request without running it.
    """
    if response.status == HTTP_OK:
        return Outcome.OK
    if response.status == HTTP_SERVICE_UNAVAILABLE and "retry-after" in response.headers:
        return Outcome.OVERLOADED
    return Outcome.ERROR
