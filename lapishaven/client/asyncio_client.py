"""The asyncio driver: sockets and timers round the policy core. It decides nothing."""

from __future__ import annotations

import asyncio
import os
import socket
import time
from collections.abc import Callable
from random import Random
from types import TracebackType
from typing import Any

from lapishaven.client.actions import (
    CancelRequest,
    CheckHealth,
    CloseConnection,
    CompleteCall,
    OpenConnection,
    SendProbe,
    SendRequest,
)
from lapishaven.client.endpoint_updates import APPLIED_VERDICTS
from lapishaven.client.engine import Hook
from lapishaven.client.model import Attempt, Call, Connection, Endpoint
from lapishaven.client.outcomes import AttemptEnd, AttemptResult, Outcome, unwrap
from lapishaven.client.policy import Policy
from lapishaven.client.settings import Settings, split_address
from lapishaven.client.wire import WIRES, DrainingNotice, JsonRpc, ProbeAnswered, ResponseReceived, TimestampClock, Wire
from lapishaven.proto import ProtocolError, jsonrpc
from lapishaven.proto.catalog import LIST_LIMIT, Reader

BODY_LIMIT = jsonrpc.BODY_LIMIT
POLL_JITTER = 0.1  # of the time between two looks at the catalog
SocketFactory = Callable[[int], socket.socket]


def _plain_socket(family: int) -> socket.socket:
    return socket.socket(family, socket.SOCK_STREAM)


class _ConnectionProtocol(asyncio.Protocol):
    """One connection."""

    def __init__(self, client: Client, connection: Connection, wire: Wire) -> None:
        self.client, self.connection, self.wire = client, connection, wire
        self.transport: asyncio.Transport | None = None
        self.closed = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        if not self.closed:
            self.client._data_received(self, data)

    def eof_received(self) -> bool:
        if not self.closed:
            self.client._stream_ended(self, clean=True)
        return False

    def connection_lost(self, error: Exception | None) -> None:
        if not self.closed:
            self.client._stream_ended(self, clean=error is None)

    def write(self, data: bytes) -> None:
        if self.transport is not None and data and not self.transport.is_closing():
            self.transport.write(data)

    def close(self, abort: bool = False) -> None:
        self.closed = True
        if self.transport is not None:
            (self.transport.abort if abort else self.transport.close)()


class Client:
    """Calls match servers, from one event loop.

    ::

        async with Client(settings) as client:
            body = await client.call("fuzzy-match", b"...", deadline=2.0)

    ``hook`` is told every event of a call's life as (time, event, fields). ``sockets`` makes the sockets, so
    that a test can look at what crosses them; ``wall`` is the clock that requests are stamped by, and may jump.
    """

    def __init__(
        self,
        settings: Settings,
        *,
        random: Random | None = None,
        hook: Hook | None = None,
        wall: Callable[[], float] = time.time,
        sockets: SocketFactory = _plain_socket,
    ) -> None:
        self.settings = settings
        self._random = random or Random()
        self._hook, self._wall, self._sockets = hook, wall, sockets
        self._connections: dict[int, _ConnectionProtocol] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._dialing: dict[int, asyncio.Task[None]] = {}
        self._futures: dict[int, asyncio.Future[Outcome]] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = float("inf")
        self._driving = False
        self._closed = False
        self._list_saved_at = float("-inf")

    # ---- For the application
    async def __aenter__(self) -> Client:
        self.loop = asyncio.get_running_loop()
        self.clock = TimestampClock(self._wall, self.loop.time)
        now = self.loop.time()
        self.policy = Policy(self.settings, self._random, now, self._hook, clock_offset_s=self._wall() - now)
        if self.settings.catalog:
            self._restore_list()
            self._spawn(self._watch_catalog())
        self._run_policy()
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        await self.aclose()

    async def call(
        self, cls: str, body: bytes, *, deadline: float | None = None, row: int | None = None, key: str = ""
    ) -> bytes:
        """The result of one call; raises the ``CallError`` that goes with any other outcome.

        ``deadline`` is the budget of all tries together, in seconds from now, the class's own at the most.
        ``row`` names what a read is about; ``key`` names the effect on the uwsgi wire.
        """
        return unwrap(await self.outcome(cls, body, deadline=deadline, row=row, key=key))

    async def outcome(
        self, cls: str, body: bytes, *, deadline: float | None = None, row: int | None = None, key: str = ""
    ) -> Outcome:
        """What became of one call, as a value. Cancelling this takes the call back at the server too."""
        if self._closed:
            raise RuntimeError("the client is closed")
        if cls not in self.settings.classes:
            raise ValueError(f"no class {cls!r} in the settings")
        if len(body) > BODY_LIMIT:
            raise ValueError(f"a body of {len(body)} bytes is over {BODY_LIMIT}")
        if deadline is not None and not deadline > 0:
            raise ValueError("the deadline is not above 0")
        if row is not None and not 0 <= row < 1 << 64:
            raise ValueError("row is not a number of 64 bits")
        now = self.loop.time()
        due = now + deadline if deadline is not None else None
        future: asyncio.Future[Outcome] = self.loop.create_future()
        call = self.policy.submit(now, cls, body, deadline=due, row=row, key=key)
        self._futures[call.number] = future
        self._run_policy()
        try:
            return await future
        except asyncio.CancelledError:
            if self._futures.pop(call.number, None) is not None:
                self.policy.cancel(self.loop.time(), call)
                self._run_policy()
            raise

    @property
    def open_calls(self) -> int:
        return self.policy.open_calls

    async def aclose(self) -> None:
        """Take back every open call, close every connection, and end every task."""
        if self._closed:
            return
        self._closed = True
        self.policy.close(self.loop.time())
        self._execute_actions()
        if self._timer is not None:
            self._timer.cancel()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for link in list(self._connections.values()):
            link.close()
        self._connections.clear()
        await asyncio.sleep(0)  # transports close their sockets in the next round

    # ---- Policy to sockets
    def _run_policy(self) -> None:
        """Carry out what the policy wants, and be back when it next has something to do."""
        if self._driving or self._closed:
            return
        self._driving = True
        try:
            self.policy.run_timers(self.loop.time())
            self._execute_actions()
        finally:
            self._driving = False
        when = self.policy.next_timer_at()
        if when is not None and (self._timer is None or when < self._timer_at):
            if self._timer is not None:
                self._timer.cancel()
            self._timer_at = when
            self._timer = self.loop.call_at(when, self._timer_due)

    def _timer_due(self) -> None:
        self._timer, self._timer_at = None, float("inf")
        self._run_policy()

    def _execute_actions(self) -> None:
        while actions := self.policy.take_actions():
            for action in actions:
                if isinstance(action, SendRequest):
                    self._send(action.connection, action.attempt)
                elif isinstance(action, CompleteCall):
                    self._finish(action.call, action.outcome)
                elif isinstance(action, OpenConnection):
                    task = self._spawn(self._dial(action.connection))
                    self._dialing[action.connection.id] = task
                elif isinstance(action, CancelRequest):
                    link = self._connections.get(action.connection.id)
                    if link is not None:
                        link.write(link.wire.cancel(action.attempt))
                elif isinstance(action, CloseConnection):
                    self._close(action.connection)
                elif isinstance(action, SendProbe):
                    link = self._connections.get(action.connection.id)
                    if link is not None and isinstance(link.wire, JsonRpc):
                        link.write(link.wire.probe())
                elif isinstance(action, CheckHealth):
                    self._spawn(self._check_health(action.endpoint))

    def _send(self, connection: Connection, attempt: Attempt) -> None:
        link = self._connections.get(connection.id)
        if link is not None:
            link.write(link.wire.send(attempt))

    def _finish(self, call: Call, outcome: Outcome) -> None:
        future = self._futures.pop(call.number, None)
        if future is not None and not future.done():
            future.set_result(outcome)

    def _close(self, connection: Connection) -> None:
        link = self._connections.pop(connection.id, None)
        if link is not None:
            link.close()
        task = self._dialing.pop(connection.id, None)
        if task is not None:
            task.cancel()

    # ---- Sockets to policy
    def _data_received(self, link: _ConnectionProtocol, data: bytes) -> None:
        now, connection = self.loop.time(), link.connection
        try:
            for event in link.wire.feed(data):
                self._handle_event(now, link, event)
        except ProtocolError as error:
            if self.policy.one_request_per_connection:
                for attempt in list(connection.in_flight):
                    self.policy.response_received(
                        now, connection, attempt, AttemptResult(AttemptEnd.MALFORMED_RESPONSE, text=str(error))
                    )
            link.close(abort=True)
            self._connections.pop(connection.id, None)
            self.policy.closed(now, connection, clean=False)
        self._run_policy()

    def _handle_event(
        self, now: float, link: _ConnectionProtocol, event: ResponseReceived | DrainingNotice | ProbeAnswered
    ) -> None:
        if isinstance(event, DrainingNotice):
            self.policy.draining(now, link.connection)
            return
        if isinstance(event, ProbeAnswered):
            self.policy.probe_answered(now, link.connection)
            return
        self.policy.response_received(now, link.connection, event.attempt_id, event.result)
        if self.policy.one_request_per_connection:
            link.close()
            self._connections.pop(link.connection.id, None)

    def _stream_ended(self, link: _ConnectionProtocol, clean: bool) -> None:
        now = self.loop.time()
        try:
            for event in link.wire.end_of_stream() if clean else ():
                self._handle_event(now, link, event)
        except ProtocolError:
            clean = False
        link.close()
        self._connections.pop(link.connection.id, None)
        self.policy.closed(now, link.connection, clean)
        self._run_policy()

    # ---- Tasks
    def _spawn(self, work: Any) -> asyncio.Task[None]:
        task: asyncio.Task[None] = self.loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _connect(self, host: str, port: int, timeout: float) -> socket.socket:
        sock = self._sockets(socket.AF_INET6 if ":" in host else socket.AF_INET)
        try:
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            await asyncio.wait_for(self.loop.sock_connect(sock, (host.strip("[]"), port)), timeout)
        except BaseException:
            sock.close()
            raise
        return sock

    async def _dial(self, connection: Connection) -> None:
        row = connection.endpoint.member.listed
        link = _ConnectionProtocol(self, connection, WIRES[self.settings.wire](self.settings, self.clock))
        try:
            sock = await self._connect(row.host, row.port, self.settings.connections.dial_timeout_s)
        except (TimeoutError, OSError):
            self._dialing.pop(connection.id, None)
            self.policy.dial_failed(self.loop.time(), connection)
            return self._run_policy()
        try:
            await self.loop.create_connection(lambda: link, sock=sock)
        except BaseException:
            sock.close()
            raise
        self._dialing.pop(connection.id, None)
        self._connections[connection.id] = link
        self.policy.connected(self.loop.time(), connection)
        self._run_policy()

    async def _check_health(self, peer: Endpoint) -> None:
        good, row = False, peer.member.listed
        try:
            async with asyncio.timeout(self.settings.health.probe_timeout_s):
                good = await self._endpoint_is_healthy(row.host, row.port)
        except (TimeoutError, OSError, ProtocolError):
            pass
        self.policy.health_checked(self.loop.time(), peer, good)
        self._run_policy()

    async def _endpoint_is_healthy(self, host: str, port: int) -> bool:
        with await self._connect(host, port, self.settings.health.probe_timeout_s) as sock:
            if self.policy.one_request_per_connection:
                return True  # the wire has no check: that the connection came about is all there is to learn
            await self.loop.sock_sendall(sock, jsonrpc.is_well(1))
            machine = jsonrpc.Client()
            while data := await self.loop.sock_recv(sock, 4096):
                for message in machine.feed(data):
                    if isinstance(message, jsonrpc.Result):
                        return message.up is True
                    return False  # draining, or an error
        return False

    async def _watch_catalog(self) -> None:
        host, port = split_address(self.settings.catalog, "catalog")
        rules = self.settings.catalog_rules
        reader: Reader | None = None
        sock: socket.socket | None = None
        try:
            while True:
                try:
                    async with asyncio.timeout(rules.timeout_s):
                        if sock is None or reader is None or not reader.reusable:
                            if sock is not None:
                                sock.close()
                            sock = await self._connect(host, port, rules.timeout_s)
                            reader = Reader(f"{host}:{port}")
                        await self._poll_list(sock, reader)
                except (TimeoutError, OSError, ProtocolError) as error:
                    self.policy.counts["catalog failed"] += 1
                    if self._hook is not None:
                        self._hook(self.loop.time(), "catalog failed", {"error": str(error)})
                    if sock is not None:
                        sock.close()
                    sock = None
                await asyncio.sleep(rules.poll_s * self._random.uniform(1 - POLL_JITTER, 1 + POLL_JITTER))
        finally:
            if sock is not None:
                sock.close()

    async def _poll_list(self, sock: socket.socket, reader: Reader) -> None:
        membership = self.policy.membership
        since = self.settings.catalog_rules.deltas and not membership.needs_full_list
        await self.loop.sock_sendall(sock, reader.ask(membership.version_tag, since))
        while True:
            done, listing = reader.feed(await self.loop.sock_recv(sock, 65536))
            if done:
                if listing is not None:
                    verdict = self.policy.update_endpoints(self.loop.time(), listing)
                    self._run_policy()
                    if verdict in APPLIED_VERDICTS:
                        self._save_list()
                return

    # ---- The last good list over a restart
    def _restore_list(self) -> None:
        """Read the list that an earlier process kept. One that is missing, unreadable or garbled is no list:
        the catalog is asked as at any start, and the hook is told why."""
        path = self.settings.catalog_rules.file
        if not path:
            return
        try:
            with open(path, "rb") as file:
                data = file.read(LIST_LIMIT + 1)
            self.policy.restore_endpoints(self.loop.time(), data)
            self._run_policy()
        except FileNotFoundError:
            pass
        except (OSError, ProtocolError) as error:
            self.policy.counts["list file unreadable"] += 1
            if self._hook is not None:
                self._hook(self.loop.time(), "list file unreadable", {"error": str(error)})

    def _save_list(self) -> None:
        """Write the list held, whole or not at all (a file beside it, then a rename), at most every save_s."""
        rules = self.settings.catalog_rules
        if not rules.file or self.loop.time() < self._list_saved_at + rules.save_s:
            return
        self._list_saved_at = self.loop.time()
        part = f"{rules.file}.part"
        try:
            with open(part, "wb") as file:
                file.write(self.policy.membership.serialize())
                file.flush()
                os.fsync(file.fileno())
            os.replace(part, rules.file)
        except OSError as error:
            self.policy.counts["list file unwritable"] += 1
            if self._hook is not None:
                self._hook(self.loop.time(), "list file unwritable", {"error": str(error)})
