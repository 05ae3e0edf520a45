"""Reports health to the service registry: periodically, at once on a change, and again after a failure."""

from __future__ import annotations

from collections.abc import Generator
from typing import Any

from lapishaven.connection_end import ConnectionEnd
from lapishaven.counters import Counters
from lapishaven.net.connection import Connection, Dial, connect
from lapishaven.net.loop import Loop, Wait
from lapishaven.proto import ProtocolError
from lapishaven.proto import catalog as proto

REPORT_INTERVAL_S = 0.8  # an entry lapses after 3 s, so two reports may be lost
RESPONSE_TIMEOUT_S = 0.6  # for a connection, and for one report's response
RETRY_DELAY_S = 0.1  # after a report that failed
NO_CONTENT = 204  # status of a report that was accepted


class CatalogReporter:
    """Holds one connection to the registry and reports on it, once ``set_passing`` has said what."""

    def __init__(
        self, loop: Loop, address: tuple[str, int], name: str, counters: Counters, dial: Dial = connect
    ) -> None:
        """``name`` is this server's name in the registry."""
        self.address = address
        self.passing: bool | None = None  # what is reported; None until that is known
        self._loop = loop
        self._name = name
        self._counters = counters
        self._dial = dial
        self._report_pause: Wait | None = None  # the wait between two reports
        self._conn: Connection | None = None
        self._http: proto.ReportClient | None = None
        self._awaits_response = False
        self._stopped = False

    def set_passing(self, passing: bool) -> None:
        """Report this from now on, at once if it is a change."""
        if passing == self.passing:
            return
        self.passing = passing
        if self._report_pause is not None:
            self._report_pause.wake()
        elif self._conn is not None and self._awaits_response:
            # The response that is awaited may never come, and callers rely on the old report meanwhile.
            self._conn.close(ConnectionEnd.ABANDONED)

    def move(self, address: tuple[str, int]) -> None:
        """The registry is at this address from now on; the next report is sent there at once."""
        if address == self.address:
            return
        self.address = address
        if self._conn is not None:
            self._conn.close(ConnectionEnd.MOVED)
        if self._report_pause is not None:
            self._report_pause.wake()

    def run(self) -> Generator[Wait, Any, None]:
        """Report until ``close``."""
        while not self._stopped:
            succeeded = True
            address = self.address
            reported: bool | None = None
            if self.passing is not None:
                succeeded = yield from self._connected()
                # It may have changed, or the server may have ended, while the connection was dialled.
                reported = self.passing
                if self._stopped:
                    return
                if succeeded:
                    succeeded = yield from self._report(reported is True)
                self._counters.add("catalog", "reports" if succeeded else "failed reports")
            if (self.passing, self.address) == (reported, address) and not self._stopped:
                self._report_pause = Wait(REPORT_INTERVAL_S if succeeded else RETRY_DELAY_S)
                yield self._report_pause
                self._report_pause = None

    def _has_usable_connection(self) -> bool:
        """Whether a report can be sent on the connection, which the registry may have closed since the last one."""
        if self._conn is None or self._conn.closing is not None or self._conn.peer_has_closed():
            return False
        return self._http is not None and self._http.reusable

    def _connected(self) -> Generator[Wait, Any, bool]:
        """Whether there is a connection to the registry's present address, which is dialled if need be."""
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
        """Whether the response accepts the report; closes the connection if there is none in time, or a bad one."""
        read_until = self._loop.now + RESPONSE_TIMEOUT_S
        while True:
            data = yield from conn.read(max(0.0, read_until - self._loop.now))
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
        """``run`` has ended by a fault of this program: close the connection, as it is started again."""
        if self._conn is not None:
            self._conn.abort(ConnectionEnd.FAULT)

    def close(self) -> None:
        """Send no further report, not even one that is about to be sent."""
        self._stopped = True
        if self._report_pause is not None:
            self._report_pause.wake()
        if self._conn is not None:
            self._conn.close(ConnectionEnd.SHUTDOWN)
