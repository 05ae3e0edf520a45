"""Reports to the catalog: at a steady pace, at once on a change, and again while it is down."""

from __future__ import annotations

from collections.abc import Generator
from typing import Any

from lapishaven.counters import Counters
from lapishaven.ends import End
from lapishaven.net.conn import Conn, Dial, connect
from lapishaven.net.loop import Loop, Wait
from lapishaven.proto import ProtocolError
from lapishaven.proto import catalog as proto

EVERY = 0.8  # s; an entry lapses after 3 s, so two reports may be lost
ANSWER = 0.6  # s for one report's answer
AGAIN = 0.1  # s after a failed one


class Reporter:
    """Holds one connection to the catalog and reports on it."""

    def __init__(
        self, loop: Loop, address: tuple[str, int], name: str, counters: Counters, dial: Dial = connect
    ) -> None:
        self._connect = dial
        self.loop, self.address, self.name, self.counters = loop, address, name, counters
        self.passing: bool | None = None
        self._pause: Wait | None = None
        self._conn: Conn | None = None
        self._waits = self._stopped = False

    def tell(self, passing: bool) -> None:
        """From now on report this, the first time at once."""
        changed, self.passing = passing != self.passing, passing
        if changed and self._pause is not None:
            self._pause.wake()
        elif changed and self._conn is not None and self._waits:
            # The answer that is awaited may never come, and callers go by the old report meanwhile.
            self._conn.close(End.ABANDONED)

    def move(self, address: tuple[str, int]) -> None:
        """From now on the catalog is there; the next report goes there at once."""
        if address == self.address:
            return
        self.address = address
        if self._conn is not None:
            self._conn.close(End.MOVED)
        if self._pause is not None:
            self._pause.wake()

    def run(self) -> Generator[Wait, Any, None]:
        http: proto.Client | None = None
        while not self._stopped:
            good, told = True, self.passing
            if told is not None:
                if self._conn is None or self._conn.end is not None or http is None or not http.reusable:
                    http = yield from self._dial()
                self._waits = True
                good = http is not None and (yield from self._report(http, told))
                self._waits = False
                self.counters.add("catalog", "reports" if good else "failed reports")
            if self.passing is told:
                self._pause = Wait(EVERY if good else AGAIN)
                yield self._pause
                self._pause = None

    def _dial(self) -> Generator[Wait, Any, proto.Client | None]:
        if self._conn is not None:
            self._conn.close(End.FINISHED)
        sock = yield from self._connect(self.loop, self.address, ANSWER)
        if isinstance(sock, End):
            return None
        self._conn = Conn(self.loop, sock, lambda end: self.counters.add("ends", f"catalog {end.value}"))
        return proto.Client(f"{self.address[0]}:{self.address[1]}", self.name)

    def _report(self, http: proto.Client, passing: bool) -> Generator[Wait, Any, bool]:
        assert self._conn is not None
        self._conn.write(http.report(passing))
        until = self.loop.now + ANSWER
        while True:
            data = yield from self._conn.read(max(0.0, until - self.loop.now))
            if data is None or isinstance(data, End):
                self._conn.close(End.TIMED_OUT)
                return False
            try:
                status = http.feed(data)
            except ProtocolError:
                self._conn.close(End.PROTOCOL_ERROR)
                return False
            if status is not None:
                return status == 204

    def close(self) -> None:
        self._stopped = True
        if self._conn is not None:
            self._conn.close(End.SHUTDOWN)
