"""An open-loop caller on the platform's protocol that records every request and its outcome in a ``RequestLog``.

It keeps up to ``connections`` connections and sends each request on the one with the fewest open requests, at its
planned time whatever the server does. After a ``draining`` notice it sends nothing more on that connection, as the
protocol requires, unless ``heed_draining`` is false, which stands for a misbehaving caller. When a connection cannot
be made, is reset or is closed, the outcome is recorded for every request on it.
"""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import Sequence
from dataclasses import dataclass, field
from random import Random

from lapishaven.lab import site
from lapishaven.lab.handover.book import RequestLog, RequestOutcome
from lapishaven.proto import ProtocolError, jsonrpc

DIAL_TIMEOUT_S = 1.0  # after which a connection attempt counts as refused
HEAP_KB = 24.5  # the memory that each request declares


@dataclass(frozen=True, slots=True)
class Load:
    """``rate`` requests a second for ``seconds``, over at most ``connections`` connections."""

    rate: float
    seconds: float
    connections: int = 8
    heed_draining: bool = True


@dataclass(slots=True)
class Connection:
    """A connection of the caller and the requests on it."""

    number: int
    writer: asyncio.StreamWriter
    bodies: dict[int, bytes] = field(default_factory=dict)  # body by request id, for all requests sent on it
    open_ids: set[int] = field(default_factory=set)  # of the requests that have no answer yet
    next_id: int = 1
    draining: bool = False
    closed: bool = False  # by either side


def arrivals(
    load: Load, start: float, random: Random, kinds: Sequence[site.RequestClass] = site.CLASSES
) -> list[tuple[float, site.RequestClass]]:
    """Poisson arrivals from ``start`` (seconds on the loop's clock); classes are drawn by their shares of the mix."""
    planned: list[tuple[float, site.RequestClass]] = []
    at = start
    shares = [kind.share for kind in kinds]
    while True:
        at += random.expovariate(load.rate)
        if at >= start + load.seconds:
            return planned
        planned.append((at, random.choices(kinds, shares)[0]))


class Caller:
    """Sends planned requests to ``address`` and records every request and its outcome in ``log``."""

    def __init__(self, address: tuple[str, int], log: RequestLog, load: Load, random: Random, tag: str = "r") -> None:
        """``tag`` starts every request body, which keeps bodies of several callers distinct."""
        self.address, self.log, self.load, self.random, self.tag = address, log, load, random, tag
        self.connections: list[Connection] = []
        self.ranks = {name: rule.rank for name, rule in site.rules().items()}
        self._connection_count = 0
        self._readers: set[asyncio.Task[None]] = set()

    async def run(self, planned: Sequence[tuple[float, site.RequestClass]]) -> None:
        """Send each request at its planned time, then wait for the answers until the last due time."""
        loop = asyncio.get_running_loop()
        for n, (at, kind) in enumerate(planned):
            await asyncio.sleep(max(0.0, at - loop.time()))
            await self._send(f"{self.tag}{n}".encode(), kind)
        last_due = max((at + kind.deadline_s for at, kind in planned), default=loop.time())
        while self.log.open_count() and loop.time() < last_due + 0.1:
            await asyncio.sleep(0.02)
        await self.close()

    async def close(self) -> None:
        """Close all connections and stop reading."""
        for connection in self.connections:
            self._close_connection(connection)
        for task in list(self._readers):
            task.cancel()
        await asyncio.gather(*self._readers, return_exceptions=True)

    async def _send(self, body: bytes, kind: site.RequestClass) -> None:
        loop = asyncio.get_running_loop()
        connection = await self._choose_connection()
        if connection is None:
            self.log.record_dial_failure(loop.time(), body, kind.name, not kind.safe, kind.deadline_s)
            return
        request_id, connection.next_id = connection.next_id, connection.next_id + 1
        call_id = f"{self.random.getrandbits(64):016x}"
        data = jsonrpc.encode_request(
            request_id,
            kind.name,
            call_id,
            body,
            HEAP_KB,
            received_at=time.time(),
            caller_id=1,
            rank=self.ranks[kind.name],
        )
        connection.bodies[request_id] = body
        connection.open_ids.add(request_id)
        connection.writer.write(data)
        self.log.record_sent(loop.time(), body, kind.name, not kind.safe, kind.deadline_s, connection.number)

    async def _choose_connection(self) -> Connection | None:
        usable = [
            connection
            for connection in self.connections
            if not connection.closed and not (connection.draining and self.load.heed_draining)
        ]
        if len(usable) >= self.load.connections:
            return min(usable, key=lambda connection: len(connection.open_ids))
        try:
            _, writer = await asyncio.wait_for(asyncio.open_connection(*self.address), DIAL_TIMEOUT_S)
        except (OSError, TimeoutError):
            return min(usable, key=lambda connection: len(connection.open_ids)) if usable else None
        self._connection_count += 1
        connection = Connection(self._connection_count, writer)
        self.connections.append(connection)
        reader = asyncio.get_running_loop().create_task(self._read(connection, _))
        self._readers.add(reader)
        reader.add_done_callback(self._readers.discard)
        return connection

    async def _read(self, connection: Connection, reader: asyncio.StreamReader) -> None:
        loop, client = asyncio.get_running_loop(), jsonrpc.ClientParser()
        outcome = RequestOutcome.CUT
        try:
            while data := await reader.read(65536):
                for reply in client.feed(data):
                    self._reply(connection, reply, loop.time())
                if connection.draining and self.load.heed_draining and not connection.open_ids:
                    break  # the caller closes a draining connection once all its requests are answered
        except (ConnectionResetError, BrokenPipeError):
            outcome = RequestOutcome.RESET
        except ProtocolError:
            outcome = RequestOutcome.CUT
        self.log.record_connection_end(loop.time(), connection.number, outcome)
        connection.open_ids.clear()
        self._close_connection(connection)

    def _reply(self, connection: Connection, reply: jsonrpc.Reply, now: float) -> None:
        if isinstance(reply, jsonrpc.Draining):
            connection.draining = True
            return
        body = connection.bodies.get(reply.id) if reply.id is not None else None
        if body is None:
            return
        connection.open_ids.discard(reply.id)  # type: ignore[arg-type]
        if isinstance(reply, jsonrpc.ResultResponse):
            self.log.record_answer(now, body, RequestOutcome.SERVED)
        elif reply.code == jsonrpc.REJECTED_CODE:
            self.log.record_answer(now, body, RequestOutcome.REFUSED, reply.text)
        else:
            self.log.record_answer(now, body, RequestOutcome.FAILED, reply.text)

    def _close_connection(self, connection: Connection) -> None:
        if not connection.closed:
            connection.closed = True
            with contextlib.suppress(RuntimeError):
                connection.writer.close()
