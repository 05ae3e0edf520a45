"""Connections that are closed so that others find a descriptor."""

from __future__ import annotations

from lapishaven.net.connection import Connection
from lapishaven.net.loop import Loop

CROSSING = 0.05  # s for which a message may cross a close, by the protocol; then nothing more is expected there


class Evictions:
    """Those whose orderly close was begun to make room, in the order in which it was.

    A peer that answers the half-close gives its descriptor back at once. One that does not is left as soon as nothing
    more can have crossed and all that it was owed is sent, so that it holds nobody up.
    """

    def __init__(self, loop: Loop) -> None:
        self._loop = loop
        self._closing: dict[Connection, float] = {}  # since when

    def __len__(self) -> int:
        self._forget_ended()
        return len(self._closing)

    def __contains__(self, conn: Connection) -> bool:
        return conn in self._closing

    def add(self, conn: Connection) -> None:
        """Its close was just begun."""
        self._closing[conn] = self._loop.now

    def free(self) -> bool:
        """Leave the first that was closed long enough ago; whether there was one."""
        self._forget_ended()
        for conn, since in self._closing.items():
            if since > self._loop.now - CROSSING:
                return False
            if conn.lingers() and conn.closing is not None:
                conn.abort(conn.closing)
                return True
        return False

    def _forget_ended(self) -> None:
        for conn in [conn for conn in self._closing if conn.end is not None]:
            del self._closing[conn]
