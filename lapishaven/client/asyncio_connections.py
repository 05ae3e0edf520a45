"""Sockets of the asyncio client: dialled connections and the protocol that feeds the policy from them."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import Protocol

from lapishaven.client.model import Connection
from lapishaven.client.wire import Wire

SocketFactory = Callable[[int], socket.socket]
"""Makes a TCP socket of the given address family."""


def plain_socket(family: int) -> socket.socket:
    """The ``SocketFactory`` of real clients."""
    return socket.socket(family, socket.SOCK_STREAM)


async def connect(
    loop: asyncio.AbstractEventLoop, sockets: SocketFactory, address: tuple[str, int], timeout_s: float
) -> socket.socket:
    """A connected socket. Raises ``TimeoutError`` after ``timeout_s``, or ``OSError``."""
    host, port = address
    sock = sockets(socket.AF_INET6 if ":" in host else socket.AF_INET)
    try:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        await asyncio.wait_for(loop.sock_connect(sock, (host.strip("[]"), port)), timeout_s)
    except BaseException:
        sock.close()
        raise
    return sock


class ConnectionOwner(Protocol):
    """Receives what arrives on a connection (``asyncio_client.Client``)."""

    def data_received(self, protocol: ConnectionProtocol, data: bytes) -> None:
        """Bytes arrived."""

    def stream_ended(self, protocol: ConnectionProtocol, clean: bool) -> None:
        """The other side closed; ``clean`` unless the connection was reset."""


class ConnectionProtocol(asyncio.Protocol):
    """One connection to an endpoint. ``closed``: nothing more is reported to the owner."""

    def __init__(self, owner: ConnectionOwner, connection: Connection, wire: Wire) -> None:
        self.connection = connection
        self.wire = wire
        self.closed = False
        self._owner = owner
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called by asyncio when the transport is ready."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Called by asyncio with received bytes."""
        if not self.closed:
            self._owner.data_received(self, data)

    def eof_received(self) -> bool:
        """Called by asyncio when the other side closed; False closes this side too."""
        if not self.closed:
            self._owner.stream_ended(self, clean=True)
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Called by asyncio when the transport is closed."""
        if not self.closed:
            self._owner.stream_ended(self, clean=error is None)

    def write(self, data: bytes) -> None:
        """Send bytes, unless the connection is closing."""
        if self._transport is not None and data and not self._transport.is_closing():
            self._transport.write(data)

    def close(self, abort: bool = False) -> None:
        """Close the connection; ``abort`` drops what was not sent yet."""
        self.closed = True
        if self._transport is None:
            return
        if abort:
            self._transport.abort()
        else:
            self._transport.close()
