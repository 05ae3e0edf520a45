"""Reports to the catalog: at a steady pace, at once on a change, and again while it is down."""

from __future__ import annotations

from collections.abc import Generator
from typing import Any

from lapishaven.connection_end import ConnectionEnd
from lapishaven.counters import Counters
from lapishaven.net.connection import Connection, Dial, connect
from lapishaven.net.loop import Loop, Wait
from lapishaven.proto import ProtocolError
from lapishaven.proto import catalog as proto

EVERY = 0.8  # s; an entry lapses after 3 s, so two reports may be lost
ANSWER = 0.6  # s for one report's answer
AGAIN = 0.1  # s after a failed one


class CatalogReporter:
    """Holds one connection to the catalog and reports on it."""

    def __init__(
        self, loop: Loop, address: tuple[str, int], name: str, counters: Counters, dial: Dial = connect
    ) -> None:
        self._connect = dial
        self.loop, self.address, self.name, self.counters = loop, address, name, counters
        self.passing: bool | None = None
        self._pause: Wait | None = None
        self._conn: Connection | None = None
        self._http: proto.Client | None = None
        self._waits = self._stopped = False

    def tell(self, passing: bool) -> None:
        """From now on report this, the first time at once."""
        changed, self.passing = passing != self.passing, passing
        if changed and self._pause is not None:
            self._pause.wake()
        elif changed and self._conn is not None and self._waits:
            # The answer that is awaited may never come, and callers go by the old report meanwhile.
            self._conn.close(ConnectionEnd.ABANDONED)

    def move(self, address: tuple[str, int]) -> None:
        """From now on the catalog is there; the next report goes there at once."""
        if address == self.address:
            return
        self.address = address
        if self._conn is not None:
            self._conn.close(ConnectionEnd.MOVED)
        if self._pause is not None:
            self._pause.wake()

    def run(self) -> Generator[Wait, Any, None]:
        """Report until ``close``."""
        while not self._stopped:
            good, address, told = True, self.address, None
            if self.passing is not None:
                good = yield from self._connected()
                # What holds by now: it may have changed, or the server may have ended, while it was dialled.
                told = self.passing
                if self._stopped:
                    return
                if good:
                    good = yield from self._report(told is True)
                self.counters.add("catalog", "reports" if good else "failed reports")
            if (self.passing, self.address) == (told, address) and not self._stopped:
                self._pause = Wait(EVERY if good else AGAIN)
                yield self._pause
                self._pause = None

    def _usable(self) -> bool:
        conn, http = self._conn, self._http
        # The catalog may have closed it since the last answer, which nobody was waiting to read.
        return conn is not None and conn.closing is None and not conn.left() and http is not None and http.reusable

    def _connected(self) -> Generator[Wait, Any, bool]:
        """Whether there is a connection to the catalog's address of now, dialled if need be."""
        if self._usable():
            return True
        if self._conn is not None:
            self._conn.close(ConnectionEnd.FINISHED)
        self._conn, address = None, self.address
        sock = yield from self._connect(self.loop, address, ANSWER)
        if isinstance(sock, ConnectionEnd):
            return False
        if self._stopped or address != self.address:
            sock.close()
            return False
        self._conn = Connection(self.loop, sock, lambda end: self.counters.add("ends", f"catalog {end.value}"))
        self._http = proto.Client(f"{address[0]}:{address[1]}", self.name)
        return True

    def _report(self, passing: bool) -> Generator[Wait, Any, bool]:
        """One report, and whether it was taken."""
        assert self._conn is not None and self._http is not None
        conn, http = self._conn, self._http
        conn.write(http.report(passing))
        until = self.loop.now + ANSWER
        self._waits = True
        try:
            while True:
                data = yield from conn.read(max(0.0, until - self.loop.now))
                if data is None or isinstance(data, ConnectionEnd):
                    conn.close(ConnectionEnd.TIMED_OUT if data is None else data)
                    return False
                try:
                    status = http.feed(data)
                except ProtocolError:
                    conn.close(ConnectionEnd.PROTOCOL_ERROR)
                    return False
                if status is not None:
                    return status == 204
        finally:
            self._waits = False

    def failed(self) -> None:
        """Its coroutine has ended by a fault: the connection goes, and ``run`` may be started again."""
        if self._conn is not None:
            self._conn.abort(ConnectionEnd.FAULT)

    def close(self) -> None:
        """No further report, also where one is about to be sent."""
        self._stopped = True
        if self._pause is not None:
            self._pause.wake()
        if self._conn is not None:
            self._conn.close(ConnectionEnd.SHUTDOWN)
