"""Ports reserved for the servers of a trial, so that no other socket on the machine takes them.

A port that was free when it was chosen may be taken before a server binds it, by another stand-in of the fleet or by an
outgoing connection, as the kernel assigns any unbound port to either. So each port is held, for as long as the trial
lasts, by a socket that is bound with ``SO_REUSEADDR`` and does not listen. A server that sets the option, as match
servers do, can bind the same port and listen, also when it is restarted after a kill. While no server listens,
connections are refused.
"""

from __future__ import annotations

import socket


class Ports:
    """Reserves ports with ``take`` and releases all of them with ``close``."""

    def __init__(self) -> None:
        self._sockets: list[socket.socket] = []

    def take(self, host: str) -> tuple[str, int]:
        """Reserve a free port of ``host`` until ``close``; returns its address. Raises ``OSError`` if there is none."""
        sock = socket.socket()
        self._sockets.append(sock)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((host, 0))
        return host, int(sock.getsockname()[1])

    def close(self) -> None:
        """Release all ports."""
        while self._sockets:
            self._sockets.pop().close()
