"""Reports health to the service registry: periodically, immediately on a change, and again after a failure."""

from __future__ import annotations

from collections.abc import Generator
from typing import Any

from lapishaven.connection_end import ConnectionEnd
from lapishaven.counters import Counters
from lapishaven.net.connection import Connection, Dial, connect
from lapishaven.net.loop import Loop, Wait
from lapishaven.proto import ProtocolError
from lapishaven.proto import catalog as proto

REPORT_INTERVAL_S = 0.8  # the registry's entry expires after 3 s, so two consecutive reports may be lost
RESPONSE_TIMEOUT_S = 0.6  # for dialling, and again for the response to a report
RETRY_DELAY_S = 0.1  # after a failed report
NO_CONTENT = 204  # HTTP status of an accepted report


class CatalogReporter:
    """Reports over one persistent connection to the registry, once ``set_passing`` has been called."""

    def __init__(
        self, loop: Loop, address: tuple[str, int], name: str, counters: Counters, dial: Dial = connect
    ) -> None:
        """``name`` is this server's entry in the registry."""
        self.address = address
        self.passing: bool | None = None  # the health status to report; None before the first set_passing
        self._loop = loop
        self._name = name
        self._counters = counters
        self._dial = dial
        self._report_wait: Wait | None = None  # the wait before the next report, while it lasts
        self._conn: Connection | None = None
        self._http: proto.ReportClient | None = None
        self._awaits_response = False
        self._stopped = False

    def set_passing(self, passing: bool) -> None:
        """Set the health status to report: passing or not. A change is reported immediately."""
        if passing == self.passing:
            return
        self.passing = passing
        if self._report_wait is not None:
            self._report_wait.wake()
        elif self._conn is not None and self._awaits_response:
            # Do not wait for the outstanding response, which may never come while callers act on the old status.
            self._conn.close(ConnectionEnd.ABANDONED)

    def move(self, address: tuple[str, int]) -> None:
        """Switch to a new registry address and report there immediately."""
        if address == self.address:
            return
        self.address = address
        if self._conn is not None:
            self._conn.close(ConnectionEnd.MOVED)
        if self._report_wait is not None:
            self._report_wait.wake()

    def run(self) -> Generator[Wait, Any, None]:
        """Report until ``close``."""
        while not self._stopped:
            succeeded = True
            address = self.address
            reported: bool | None = None
            if self.passing is not None:
                succeeded = yield from self._ensure_connected()
                # The status may have changed, or close() been called, while the connection was dialled.
                reported = self.passing
                if self._stopped:
                    return
                if succeeded:
                    succeeded = yield from self._report(reported is True)
                self._counters.add("catalog", "reports" if succeeded else "failed reports")
            # Do not wait if the status or the address changed meanwhile: report that immediately.
            if (self.passing, self.address) == (reported, address) and not self._stopped:
                self._report_wait = Wait(REPORT_INTERVAL_S if succeeded else RETRY_DELAY_S)
                yield self._report_wait
                self._report_wait = None

    def _has_usable_connection(self) -> bool:
        """Whether a report can be sent on the current connection; the registry may have closed it meanwhile."""
        if self._conn is None or self._conn.closing is not None or self._conn.peer_has_closed():
            return False
        return self._http is not None and self._http.reusable

    def _ensure_connected(self) -> Generator[Wait, Any, bool]:
        """Dial the current address unless there is a usable connection; returns whether there is one now."""
        if self._has_usable_connection():
            return True
        if self._conn is not None:
            self._conn.close(ConnectionEnd.FINISHED)
        self._conn = None
        address = self.address
        sock = yield from self._dial(self._loop, address, RESPONSE_TIMEOUT_S)
        if isinstance(sock, ConnectionEnd):
            return False
        if self._stopped or address != self.address:
            sock.close()
            return False
        self._conn = Connection(self._loop, sock, lambda end: self._counters.add("ends", f"catalog {end.value}"))
        self._http = proto.ReportClient(f"{address[0]}:{address[1]}", self._name)
        return True

    def _report(self, passing: bool) -> Generator[Wait, Any, bool]:
        """Send one report; returns whether it was accepted."""
        assert self._conn is not None and self._http is not None
        self._conn.write(self._http.report(passing))
        self._awaits_response = True
        try:
            return (yield from self._read_response(self._conn, self._http))
        finally:
            self._awaits_response = False

    def _read_response(self, conn: Connection, http: proto.ReportClient) -> Generator[Wait, Any, bool]:
        """Return whether the response accepts the report; close the connection on a timeout or malformed response."""
        response_deadline = self._loop.now + RESPONSE_TIMEOUT_S
        while True:
            data = yield from conn.read(max(0.0, response_deadline - self._loop.now))
            if data is None or isinstance(data, ConnectionEnd):
                conn.close(ConnectionEnd.TIMED_OUT if data is None else data)
                return False
            try:
                status = http.feed(data)
            except ProtocolError:
                conn.close(ConnectionEnd.PROTOCOL_ERROR)
                return False
            if status is not None:
                return status == NO_CONTENT

    def failed(self) -> None:
        """``run`` has ended by an unexpected exception: abort the connection before ``run`` is restarted."""
        if self._conn is not None:
            self._conn.abort(ConnectionEnd.FAULT)

    def close(self) -> None:
        """Stop reporting; a report whose connection is still being dialled is not sent either."""
        self._stopped = True
        if self._report_wait is not None:
            self._report_wait.wake()
        if self._conn is not None:
            self._conn.close(ConnectionEnd.SHUTDOWN)
