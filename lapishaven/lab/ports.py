"""Ports reserved for the servers of a trial, so that no other socket on the machine takes them, for TCP or UDP.

A port that was free when it was chosen may be taken before a server binds it, by another stand-in of the fleet or by an
outgoing connection, as the kernel assigns any unbound port of its ephemeral range. So ports are drawn from below that
range, which keeps the kernel from assigning their UDP side, too. Each port is held, for as long as the trial lasts, by
a TCP socket that is bound and does not listen. The holder sets ``SO_REUSEADDR`` only after its bind: another holder
cannot bind the same port, but a server that sets the option, as match servers do, can bind it and listen, also when it
is restarted after a kill. While no server listens, connections are refused.
"""

from __future__ import annotations

import random
import socket
from pathlib import Path

FIRST_PORT = 20_000  # above the ports that services of the machine usually listen on
EPHEMERAL_RANGE_FILE = Path("/proc/sys/net/ipv4/ip_local_port_range")
DEFAULT_EPHEMERAL_START = 32_768
MAX_DRAWS = 1000  # of ports that turn out to be taken


def ephemeral_start() -> int:
    """The first port of the kernel's ephemeral range."""
    try:
        return int(EPHEMERAL_RANGE_FILE.read_text().split()[0])
    except (OSError, ValueError, IndexError):
        return DEFAULT_EPHEMERAL_START


class Ports:
    """Reserves ports with ``take`` and releases all of them with ``close``."""

    def __init__(self) -> None:
        self._sockets: list[socket.socket] = []
        self._end = max(ephemeral_start(), FIRST_PORT + MAX_DRAWS)

    def take(self, host: str) -> tuple[str, int]:
        """Reserve a free port of ``host`` until ``close``; returns its address. Raises ``OSError`` if there is none."""
        for draws_left in reversed(range(MAX_DRAWS)):
            address = host, random.randrange(FIRST_PORT, self._end)
            try:
                self._hold(address)
            except OSError:
                if not draws_left:
                    raise
                continue
            return address
        raise AssertionError("unreachable: the last draw returns or raises")

    def _hold(self, address: tuple[str, int]) -> None:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp_socket:
            udp_socket.bind(address)  # a server may need the UDP side
        holder = socket.socket()
        try:
            holder.bind(address)
        except OSError:
            holder.close()
            raise
        holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._sockets.append(holder)

    def close(self) -> None:
        """Release all ports."""
        while self._sockets:
            self._sockets.pop().close()
