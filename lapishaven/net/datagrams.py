"""A UDP socket on the event loop. A datagram that cannot be sent is dropped silently."""

from __future__ import annotations

import select
import socket
from collections.abc import Callable
from contextlib import suppress

from lapishaven.net.loop import Loop

Address = tuple[str, int]
MAX_DATAGRAM_BYTES = 64  # a longer datagram is truncated, so that it is not a valid message
MAX_READS_PER_WAKEUP = 256  # so that a flood does not starve other descriptors


class DatagramSocket:
    """A UDP socket bound to ``address`` (port 0: chosen by the kernel).

    ``on_datagram`` is called with each datagram and its sender.

    Raises ``OSError`` if the address cannot be bound.
    """

    def __init__(self, loop: Loop, address: Address, on_datagram: Callable[[bytes, Address], None]) -> None:
        self._loop, self._on_datagram = loop, on_datagram
        self.sock: socket.socket | None = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.setblocking(False)
        self.sock.bind(address)
        loop.watch(self.sock.fileno(), select.EPOLLIN, self._on_events)

    def _on_events(self, mask: int) -> None:
        for _ in range(MAX_READS_PER_WAKEUP):
            if self.sock is None:
                return
            try:
                data, sender = self.sock.recvfrom(MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                return
            except OSError:
                continue  # an ICMP error caused by a datagram that was sent earlier
            self._loop.received += len(data)
            self._on_datagram(data, sender)

    def send(self, data: bytes, to: Address) -> None:
        """Send one datagram; errors are ignored."""
        if self.sock is not None:
            with suppress(OSError):
                self._loop.sent += self.sock.sendto(data, to)

    def close(self) -> None:
        """Close the socket; further calls do nothing."""
        if self.sock is not None:
            self._loop.unwatch(self.sock.fileno())
            self.sock.close()
            self.sock = None
