"""Connections that are being closed to free their descriptors for new connections."""

from __future__ import annotations

from lapishaven.net.connection import Connection
from lapishaven.net.loop import Loop

CLOSE_RACE_WINDOW_S = 0.05  # the protocol allows for a message to cross a half-close within this time


class Evictions:
    """Evicted connections in the order in which their graceful close began.

    The descriptor of a peer that closes in response is freed at once. Any other connection is aborted once all
    responses are sent and ``CLOSE_RACE_WINDOW_S`` has passed.
    """

    def __init__(self, loop: Loop) -> None:
        self._loop = loop
        self._closing_since: dict[Connection, float] = {}  # the loop time at which the close began

    def __len__(self) -> int:
        self._forget_ended()
        return len(self._closing_since)

    def __contains__(self, conn: Connection) -> bool:
        return conn in self._closing_since

    def add(self, conn: Connection) -> None:
        """Add a connection whose graceful close has just begun."""
        self._closing_since[conn] = self._loop.now

    def free_descriptor(self) -> bool:
        """Abort the oldest connection whose race window has passed; returns whether there was one."""
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
