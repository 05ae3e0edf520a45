"""Connections that are being closed to free their descriptors for new ones."""

from __future__ import annotations

from lapishaven.net.connection import Connection
from lapishaven.net.loop import Loop

CLOSE_RACE_WINDOW_S = 0.05  # the protocol lets a message cross a half-close for this long


class Evictions:
    """Evicted connections in the order in which their graceful close began.

    A peer that answers the half-close frees its descriptor at once. Another one is aborted once all responses are sent
    and no message can still cross the half-close.
    """

    def __init__(self, loop: Loop) -> None:
        self._loop = loop
        self._closing_since: dict[Connection, float] = {}  # loop time at which the close began

    def __len__(self) -> int:
        self._forget_ended()
        return len(self._closing_since)

    def __contains__(self, conn: Connection) -> bool:
        return conn in self._closing_since

    def add(self, conn: Connection) -> None:
        """Track a connection whose graceful close has just begun."""
        self._closing_since[conn] = self._loop.now

    def free(self) -> bool:
        """Abort the first connection that no message can cross any more; whether there was one."""
        self._forget_ended()
        for conn, since in self._closing_since.items():
            if since > self._loop.now - CLOSE_RACE_WINDOW_S:
                return False
            if conn.awaits_peer_close() and conn.closing is not None:
                conn.abort(conn.closing)
                return True
        return False

    def _forget_ended(self) -> None:
        for conn in [conn for conn in self._closing_since if conn.end is not None]:
            del self._closing_since[conn]
