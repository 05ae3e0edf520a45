"""Sockets of the asyncio client: executes the policy's actions on connections and reports their events."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Coroutine
from typing import Any

from lapishaven.client.actions import (
    CancelRequest,
    CheckHealth,
    CloseConnection,
    OpenConnection,
    SendProbe,
    SendRequest,
)
from lapishaven.client.model import Connection, Endpoint
from lapishaven.client.outcomes import AttemptEnd, AttemptResult
from lapishaven.client.policy import Policy
from lapishaven.client.wire import (
    WIRES,
    DrainingNotice,
    JsonRpc,
    ProbeAnswered,
    ResponseReceived,
    TimestampClock,
    Wire,
)
from lapishaven.proto import ProtocolError, jsonrpc

HEALTH_CHECK_RECEIVE_BYTES = 4096
HEALTH_CHECK_ID = 1

ConnectionAction = SendRequest | CancelRequest | SendProbe | OpenConnection | CloseConnection | CheckHealth

SocketFactory = Callable[[int], socket.socket]
"""Creates a TCP socket of the given address family."""


def plain_socket(family: int) -> socket.socket:
    """The ``SocketFactory`` of real clients."""
    return socket.socket(family, socket.SOCK_STREAM)


async def connect(
    loop: asyncio.AbstractEventLoop, sockets: SocketFactory, address: tuple[str, int], timeout_s: float
) -> socket.socket:
    """Return a connected socket. Raises ``TimeoutError`` after ``timeout_s``, or ``OSError``."""
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


class ConnectionProtocol(asyncio.Protocol):
    """One connection to an endpoint. ``closed``: closed by this side; its events are no longer reported to the pool."""

    def __init__(self, pool: ConnectionPool, connection: Connection, wire: Wire) -> None:
        self.connection = connection
        self.wire = wire
        self.closed = False
        self._pool = pool
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called by asyncio when the transport is ready."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Called by asyncio with received bytes."""
        if not self.closed:
            self._pool.data_received(self, data)

    def eof_received(self) -> bool:
        """Called by asyncio when the peer closed its side; returning False closes this side too."""
        if not self.closed:
            self._pool.stream_ended(self, clean=True)
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Called by asyncio when the transport is closed."""
        if not self.closed:
            self._pool.stream_ended(self, clean=error is None)

    def write(self, data: bytes) -> None:
        """Send bytes, unless the connection is closing."""
        if self._transport is not None and data and not self._transport.is_closing():
            self._transport.write(data)

    def close(self, abort: bool = False) -> None:
        """Close the connection; ``abort`` discards data that was not sent yet."""
        self.closed = True
        if self._transport is None:
            return
        if abort:
            self._transport.abort()
        else:
            self._transport.close()


class ConnectionPool:
    """The connections of one client. ``run_policy`` is called after each event reported to the policy."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        policy: Policy,
        clock: TimestampClock,
        sockets: SocketFactory,
        run_policy: Callable[[], None],
        spawn: Callable[[Coroutine[Any, Any, None]], asyncio.Task[None]],
    ) -> None:
        """``clock``: gives requests their timestamps. ``spawn``: starts a task that is cancelled with the client."""
        self._loop = loop
        self._policy = policy
        self._settings = policy.settings
        self._clock = clock
        self._sockets = sockets
        self._run_policy = run_policy
        self._spawn = spawn
        self._connections: dict[int, ConnectionProtocol] = {}
        self._dials: dict[int, asyncio.Task[None]] = {}

    def close(self) -> None:
        """Close every connection."""
        for protocol in list(self._connections.values()):
            protocol.close()
        self._connections.clear()

    # ---- Actions
    def execute(self, action: ConnectionAction) -> None:
        """Execute an action of the policy."""
        if isinstance(action, SendRequest):
            protocol = self._connections.get(action.connection.id)
            if protocol is not None:
                protocol.write(protocol.wire.send(action.attempt))
        elif isinstance(action, OpenConnection):
            self._dials[action.connection.id] = self._spawn(self._dial(action.connection))
        elif isinstance(action, CloseConnection):
            self._close_connection(action.connection)
        elif isinstance(action, CheckHealth):
            self._spawn(self._check_health(action.endpoint))
        else:
            self._cancel_or_probe(action)

    def _cancel_or_probe(self, action: CancelRequest | SendProbe) -> None:
        protocol = self._connections.get(action.connection.id)
        if protocol is None:
            return
        if isinstance(action, CancelRequest):
            protocol.write(protocol.wire.cancel(action.attempt))
        elif isinstance(protocol.wire, JsonRpc):
            protocol.write(protocol.wire.probe())

    def _close_connection(self, connection: Connection) -> None:
        protocol = self._connections.pop(connection.id, None)
        if protocol is not None:
            protocol.close()
        dial = self._dials.pop(connection.id, None)
        if dial is not None:
            dial.cancel()

    # ---- Events on connections
    def data_received(self, protocol: ConnectionProtocol, data: bytes) -> None:
        """Report the events in received bytes to the policy; abort a connection that violates the protocol."""
        now, connection = self._loop.time(), protocol.connection
        try:
            for event in protocol.wire.feed(data):
                self._handle_event(now, protocol, event)
        except ProtocolError as error:
            if self._policy.one_request_per_connection:
                for attempt_id in list(connection.in_flight):
                    result = AttemptResult(AttemptEnd.MALFORMED_RESPONSE, text=str(error))
                    self._policy.response_received(now, connection, attempt_id, result)
            self._drop(protocol, abort=True)
            self._policy.closed(now, connection, clean=False)
        self._run_policy()

    def stream_ended(self, protocol: ConnectionProtocol, clean: bool) -> None:
        """The peer closed the connection; ``clean`` unless it was reset."""
        now = self._loop.time()
        try:
            for event in protocol.wire.end_of_stream() if clean else ():
                self._handle_event(now, protocol, event)
        except ProtocolError:
            clean = False
        self._drop(protocol)
        self._policy.closed(now, protocol.connection, clean)
        self._run_policy()

    def _handle_event(
        self, now: float, protocol: ConnectionProtocol, event: ResponseReceived | DrainingNotice | ProbeAnswered
    ) -> None:
        if isinstance(event, DrainingNotice):
            self._policy.draining(now, protocol.connection)
            return
        if isinstance(event, ProbeAnswered):
            self._policy.probe_answered(now, protocol.connection)
            return
        self._policy.response_received(now, protocol.connection, event.attempt_id, event.result)
        if self._policy.one_request_per_connection:
            self._drop(protocol)

    def _drop(self, protocol: ConnectionProtocol, abort: bool = False) -> None:
        protocol.close(abort)
        self._connections.pop(protocol.connection.id, None)

    # ---- Dials and health checks
    async def _dial(self, connection: Connection) -> None:
        row = connection.endpoint.member.listed
        protocol = ConnectionProtocol(self, connection, WIRES[self._settings.wire](self._settings, self._clock))
        timeout_s = self._settings.connections.dial_timeout_s
        try:
            sock = await connect(self._loop, self._sockets, (row.host, row.port), timeout_s)
        except (TimeoutError, OSError):
            self._dials.pop(connection.id, None)
            self._policy.dial_failed(self._loop.time(), connection)
            self._run_policy()
            return
        try:
            await self._loop.create_connection(lambda: protocol, sock=sock)
        except BaseException:
            sock.close()
            raise
        self._dials.pop(connection.id, None)
        self._connections[connection.id] = protocol
        self._policy.connected(self._loop.time(), connection)
        self._run_policy()

    async def _check_health(self, endpoint: Endpoint) -> None:
        row = endpoint.member.listed
        healthy = False
        try:
            async with asyncio.timeout(self._settings.health.probe_timeout_s):
                healthy = await self._endpoint_is_healthy((row.host, row.port))
        except (TimeoutError, OSError, ProtocolError):
            pass
        self._policy.health_checked(self._loop.time(), endpoint, healthy)
        self._run_policy()

    async def _endpoint_is_healthy(self, address: tuple[str, int]) -> bool:
        timeout_s = self._settings.health.probe_timeout_s
        with await connect(self._loop, self._sockets, address, timeout_s) as sock:
            if self._policy.one_request_per_connection:
                return True  # uwsgi has no health check: an established connection counts as healthy
            await self._loop.sock_sendall(sock, jsonrpc.encode_health_check(HEALTH_CHECK_ID))
            parser = jsonrpc.ClientParser()
            while data := await self._loop.sock_recv(sock, HEALTH_CHECK_RECEIVE_BYTES):
                for message in parser.feed(data):
                    if isinstance(message, jsonrpc.ResultResponse):
                        return message.healthy is True
                    return False  # a draining notice, or an error response
        return False
