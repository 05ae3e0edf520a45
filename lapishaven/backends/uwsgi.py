"""A backend that sends each attempt to one uwsgi server, each on its own connection."""

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

DIAL_TIMEOUT_S = 1.0  # for establishing a connection
SAMPLE_DELAY_S = 0.005  # before a load sample is delivered; the core must not receive it within its own call
HTTP_OK = 200
HTTP_SERVICE_UNAVAILABLE = 503


class UwsgiBackend:
    """A backend that speaks the uwsgi protocol. It cannot pause a run: pausing closes its connection."""

    can_pause = False

    def __init__(
        self,
        loop: Loop,
        address: tuple[str, int],
        path: str,
        cores: int,
        listener: BackendListener,
        counters: Counters,
        dial: Dial = connect,
    ) -> None:
        """``path`` is the URL prefix of classes, ``cores`` the uwsgi server's."""
        self.loop = loop
        self.address = address
        self.counters = counters
        self._path = path
        self._cores = cores
        self._listener = listener
        self._dial = dial
        self._running: dict[str, Connection | None] = {}  # by attempt id; None while dialling
        self._cancelled: set[str] = set()  # attempt ids that were paused while dialling

    def run(self) -> Generator[Wait, Any, None]:
        """Report that the backend is up immediately, as there is no persistent connection."""
        self._listener.backend_up(False, 0.0)
        return
        yield

    # ---- Commands
    def change_address(self, address: tuple[str, int]) -> None:
        """Send new attempts to this address; attempts in flight continue on their own connections."""
        self.address = address

    def start(self, attempt_id: str, class_name: str, body: bytes, at_most_once: bool, time_limit_s: float) -> None:
        """Send an attempt on a new connection; it is never sent twice."""
        self._running[attempt_id] = None
        self.loop.spawn(
            self._attempt(attempt_id, class_name, body, time_limit_s), lambda error: self._attempt_failed(attempt_id)
        )

    def _attempt_failed(self, attempt_id: str) -> None:
        """The attempt's coroutine has ended by an unexpected exception."""
        conn = self._running.get(attempt_id)
        if conn is not None:
            conn.abort(ConnectionEnd.FAULT)
        self._report_end(attempt_id, outcome_of(ConnectionEnd.FAULT), 0.0)

    def pause(self, attempt_id: str) -> None:
        """Cancel the attempt by closing its connection."""
        conn = self._running.get(attempt_id)
        if conn is not None:
            conn.close(ConnectionEnd.ABANDONED, unsent=False)
        elif attempt_id in self._running:
            self._cancelled.add(attempt_id)

    def resume(self, attempt_id: str) -> None:
        """End the attempt as cancelled unless it has ended, as it cannot be continued."""
        self._report_end(attempt_id, Outcome.CANCELLED, 0.0)

    def request_load_sample(self) -> None:
        """Deliver a load sample estimated from the attempts in flight, assuming that each uses one core."""
        in_flight = len(self._running)
        core_use = min(1.0, in_flight / self._cores)
        values = {"core_use": core_use, "on_cores": float(in_flight), "links": float(in_flight)}
        self.loop.at(self.loop.now + SAMPLE_DELAY_S, lambda: self._listener.load_sampled(values))

    def health_check(self, callback: Callable[[bool], None]) -> None:
        """Check whether the uwsgi server accepts a connection."""
        self.loop.spawn(self._check_accepts(callback))

    def _check_accepts(self, callback: Callable[[bool], None]) -> Generator[Wait, Any, None]:
        sock = yield from self._dial(self.loop, self.address, DIAL_TIMEOUT_S)
        if not isinstance(sock, ConnectionEnd):
            sock.close()
        callback(not isinstance(sock, ConnectionEnd))

    # ---- One attempt
    def _attempt(
        self, attempt_id: str, class_name: str, body: bytes, time_limit_s: float
    ) -> Generator[Wait, Any, None]:
        started_at = self.loop.now
        sock = yield from self._dial(self.loop, self.address, DIAL_TIMEOUT_S)
        if isinstance(sock, ConnectionEnd):
            # Refused or timed out: nothing was sent, so the attempt never ran.
            return self._report_end(attempt_id, outcome_of(ConnectionEnd.UNREACHED), self.loop.now - started_at)
        conn = Connection(self.loop, sock, lambda end: self.counters.add("ends", f"uwsgi backend {end.value}"))
        self._running[attempt_id] = conn
        if attempt_id in self._cancelled:
            conn.close(ConnectionEnd.ABANDONED, unsent=False)
        variables = {"REQUEST_METHOD": "POST", "PATH_INFO": self._path + class_name, "HTTP_X_REQUEST_ID": attempt_id}
        conn.write(proto.encode_request(variables, body))
        outcome, result, _ = yield from read_response(self.loop, conn, started_at + time_limit_s)
        self._report_end(attempt_id, outcome, self.loop.now - started_at, result)

    def _report_end(self, attempt_id: str, outcome: Outcome, elapsed: float, result: bytes = b"") -> None:
        """Report the end of an attempt, once."""
        if attempt_id in self._running:
            del self._running[attempt_id]
            self._cancelled.discard(attempt_id)
            self._listener.run_finished(attempt_id, outcome, elapsed, result)

    def failed(self) -> None:
        """Do nothing: there is no persistent connection to release."""

    def close(self) -> None:
        """Abort all attempts in flight."""
        for conn in list(self._running.values()):
            if conn is not None:
                conn.abort(ConnectionEnd.SHUTDOWN)


def read_response(
    loop: Loop, conn: Connection, deadline: float
) -> Generator[Wait, Any, tuple[Outcome, bytes, proto.Response | None]]:
    """Read the response to an attempt until the loop time ``deadline``.

    Returns the outcome, the result, which is empty unless the attempt was served, and the response if there was one.
    """
    parser = proto.ResponseParser()
    while True:
        data = yield from conn.read(max(0.0, deadline - loop.now))
        if data is None:
            conn.close(ConnectionEnd.TIMED_OUT, unsent=False)
            return outcome_of(ConnectionEnd.TIMED_OUT), b"", None
        try:
            response = _response_at_end(parser, data) if isinstance(data, ConnectionEnd) else parser.feed(data)
        except ProtocolError as error:
            end = ConnectionEnd.TOO_LARGE if isinstance(error, TooLargeError) else ConnectionEnd.PROTOCOL_ERROR
            conn.close(end)
            return outcome_of(end), b"", None
        if response is not None:
            conn.close(ConnectionEnd.FINISHED)
            return outcome_of_response(response), response.body if response.status == HTTP_OK else b"", response
        if isinstance(data, ConnectionEnd):
            conn.close(data)
            return outcome_of(data), b"", None


def _response_at_end(parser: proto.ResponseParser, end: ConnectionEnd) -> proto.Response | None:
    """The response if the end of its connection completes it, which only the server's orderly close does."""
    if end is not ConnectionEnd.PEER_CLOSED:
        return None
    try:
        return parser.end_of_input()
    except ProtocolError:
        return None


def outcome_of_response(response: proto.Response) -> Outcome:
    """The outcome of an attempt by its response.

    A 503 with Retry-After states that the server rejected the request without running it.
    """
    if response.status == HTTP_OK:
        return Outcome.OK
    if response.status == HTTP_SERVICE_UNAVAILABLE and "retry-after" in response.headers:
        return Outcome.OVERLOADED
    return Outcome.ERROR
