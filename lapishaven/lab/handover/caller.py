"""An open-loop caller on the platform's protocol that records every request and its outcome in a ``RequestLog``.

It keeps up to ``connections`` connections and sends each request on the one with the fewest open requests, at its
planned time whatever the server does. After a ``draining`` notice it sends nothing more on that connection, as the
protocol requires, unless ``heed_draining`` is false, which stands for a misbehaving caller. When a connection cannot
be made, is reset or is closed, the outcome is recorded for every request on it. A share of the requests of keyed
classes is sent once more under the same key and body: on the same connection or, where the processes of one server
share what they run, on any other.
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
    keyed_classes: frozenset[str] = frozenset()  # their requests bear an idempotency key
    repeat_share: float = 0.0  # of keyed requests that are sent once more
    max_repeat_delay_s: float = 1.5
    repeats_anywhere: bool = False  # on any connection, which may lead to another process; else on the same one


@dataclass(slots=True)
class Connection:
    """A connection of the caller and the requests on it."""

    number: int
    writer: asyncio.StreamWriter
    opened_at: float  # on the loop's clock
    names: dict[int, bytes] = field(default_factory=dict)  # by request id, as the log names the requests sent on it
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

    def __init__(
        self,
        address: tuple[str, int],
        log: RequestLog,
        load: Load,
        random: Random,
        tag: str = "r",
        first_connection: int = 1,
    ) -> None:
        """Callers that share a log differ in ``tag``, which starts their request bodies, and by far in
        ``first_connection``, from which on they number their connections."""
        self.address, self.log, self.load, self.random, self.tag = address, log, load, random, tag
        self.connections: list[Connection] = []
        self.ranks = {name: rule.rank for name, rule in site.rules().items()}
        self._next_connection = first_connection
        self._repeats: set[asyncio.TimerHandle] = set()
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
        for timer in self._repeats:
            timer.cancel()
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
        self._write(connection, body, kind)
        if kind.name in self.load.keyed_classes and self.random.random() < self.load.repeat_share:
            delay_s = self.random.uniform(0.0, self.load.max_repeat_delay_s)
            self._repeats.add(loop.call_later(delay_s, self._repeat, connection, body, kind))

    def _repeat(self, connection: Connection, body: bytes, kind: site.RequestClass) -> None:
        """Send a keyed request once more, if its connection, or any if it may take another, is still there."""
        if self.load.repeats_anywhere:
            usable = self._usable_connections()
            connection = self.random.choice(usable) if usable else connection
        if self._is_usable(connection):
            self._write(connection, body, kind, name=body + b" again")

    def _write(self, connection: Connection, body: bytes, kind: site.RequestClass, name: bytes = b"") -> None:
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
            is_retry=bool(name),
            rank=self.ranks.get(kind.name, 0.0),
            idempotency_key=body.decode() if kind.name in self.load.keyed_classes else None,
        )
        connection.names[request_id] = name or body
        connection.open_ids.add(request_id)
        connection.writer.write(data)
        sent_at = asyncio.get_running_loop().time()
        self.log.record_sent(sent_at, body, kind.name, not kind.safe, kind.deadline_s, connection.number, name)

    def _is_usable(self, connection: Connection) -> bool:
        return not connection.closed and not (connection.draining and self.load.heed_draining)

    def _usable_connections(self) -> list[Connection]:
        return [connection for connection in self.connections if self._is_usable(connection)]

    async def _choose_connection(self) -> Connection | None:
        usable = self._usable_connections()
        if len(usable) >= self.load.connections:
            return min(usable, key=lambda connection: len(connection.open_ids))
        try:
            _, writer = await asyncio.wait_for(asyncio.open_connection(*self.address), DIAL_TIMEOUT_S)
        except (OSError, TimeoutError):
            return min(usable, key=lambda connection: len(connection.open_ids)) if usable else None
        connection = Connection(self._next_connection, writer, asyncio.get_running_loop().time())
        self._next_connection += 1
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
        name = connection.names.get(reply.id) if reply.id is not None else None
        if name is None:
            return
        connection.open_ids.discard(reply.id)  # type: ignore[arg-type]
        if isinstance(reply, jsonrpc.ResultResponse):
            self.log.record_answer(now, name, RequestOutcome.SERVED)
        elif reply.code == jsonrpc.REJECTED_CODE:
            self.log.record_answer(now, name, RequestOutcome.REFUSED, reply.text)
        else:
            self.log.record_answer(now, name, RequestOutcome.FAILED, reply.text)

    def _close_connection(self, connection: Connection) -> None:
        if not connection.closed:
            connection.closed = True
            with contextlib.suppress(RuntimeError):
                connection.writer.close()
