"""Clients as people often write them: baselines to measure the client against, on the same fleet and seed.

``Naive`` retries at once and without limit, on the next server of the list, and dials again at once. ``Backoff`` waits
50, 100 and 200 ms between up to four attempts, with no jitter and no budget, and ignores Retry-After. Neither knows
which calls must not run twice.
"""

from __future__ import annotations

import asyncio
import time
from random import Random

from lapishaven.client.connection_pool import SocketFactory
from lapishaven.client.outcomes import Expired, Failed, Outcome, Refused, Served
from lapishaven.client.settings import Settings, split_address
from lapishaven.proto import ProtocolError, jsonrpc
from lapishaven.proto.catalog import ListClient, ListedServer, ServerList

POLL = 1.0  # s between two polls of the endpoint list
DIAL_LIMIT = 1.0  # s for one dial


class _Connection:
    """One connection with any number of requests in flight."""

    def __init__(self) -> None:
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None
        self.open: dict[int, asyncio.Future[jsonrpc.ResultResponse | jsonrpc.ErrorResponse]] = {}
        self.last = 0
        self.task: asyncio.Task[None] | None = None

    async def read(self) -> None:
        machine = jsonrpc.ClientParser()
        assert self.reader is not None and self.writer is not None
        try:
            while data := await self.reader.read(65536):
                for message in machine.feed(data):
                    if not isinstance(message, jsonrpc.Draining) and message.id is not None:
                        future = self.open.pop(message.id, None)
                        if future is not None and not future.done():
                            future.set_result(message)
        except (OSError, ProtocolError):
            pass
        finally:
            if self.writer is not None:
                self.writer.close()
            self.writer = None
            for future in self.open.values():
                if not future.done():
                    future.set_exception(ConnectionResetError("the connection ended"))
            self.open.clear()


class Baseline:
    """What both have in common: round robin over the endpoint list, one connection to each server.

    ``marks``: retries are marked as such on the wire.
    """

    marks = False

    def __init__(self, settings: Settings, *, random: Random, sockets: SocketFactory) -> None:
        self.settings, self.random, self._sockets = settings, random, sockets
        self._connections: dict[str, _Connection] = {}
        self._rows: tuple[ListedServer, ...] = ()
        self._next = random.randrange(1 << 16)
        self._known = asyncio.Event()
        self._tasks: set[asyncio.Task[None]] = set()

    async def __aenter__(self) -> Baseline:
        self._spawn(self._watch())
        return self

    async def __aexit__(self, *_: object) -> None:
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _spawn(self, work: object) -> asyncio.Task[None]:
        task: asyncio.Task[None] = asyncio.get_running_loop().create_task(work)  # type: ignore[arg-type]
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _watch(self) -> None:
        host, port = split_address(self.settings.catalog, "catalog")
        while True:
            try:
                reader, writer = await asyncio.open_connection(host, port)
                machine = ListClient(host)
                writer.write(machine.encode_request(None))
                while not (found := machine.feed(await reader.read(65536)))[0]:
                    pass
                writer.close()
                if isinstance(found[1], ServerList):  # asked without since: never a delta
                    self._rows = tuple(row for row in found[1].servers if row.passing)
                    self._known.set()
            except (OSError, ProtocolError):
                pass
            await asyncio.sleep(POLL)

    async def outcome(self, cls: str, body: bytes) -> Outcome:
        """Make one call, as ``Client.outcome``."""
        loop = asyncio.get_running_loop()
        start, rule, tries = loop.time(), self.settings.classes[cls], 0
        due = start + rule.deadline_s
        last: Outcome = Expired(0, 0.0)
        await self._known.wait()
        while loop.time() < due and (wait := self.pause(tries)) is not None:
            if wait:
                await asyncio.sleep(wait)
            tries += 1
            span = loop.time() - start
            try:
                async with asyncio.timeout_at(due):
                    answer = await self._try(cls, body, tries > 1)
            except TimeoutError:
                return Expired(tries, rule.deadline_s, "the deadline came")
            except OSError as error:
                last = Failed(tries, span, str(error))
                await asyncio.sleep(0)
                continue
            span = loop.time() - start
            if isinstance(answer, jsonrpc.ResultResponse):
                return Served(tries, span, "", answer.body)
            refused = answer.code == jsonrpc.REJECTED_CODE
            last = Refused(tries, span, answer.text) if refused else Failed(tries, span, answer.text)
        return last

    async def _try(self, cls: str, body: bytes, again: bool) -> jsonrpc.ResultResponse | jsonrpc.ErrorResponse:
        if not self._rows:
            await asyncio.sleep(0.05)
            raise ConnectionError("no server is listed")
        self._next += 1
        row = self._rows[self._next % len(self._rows)]
        connection = self._connections.setdefault(row.name, _Connection())
        await self._open(connection, row)
        if connection.writer is None:
            raise ConnectionResetError("the connection ended")
        connection.last += 1
        future: asyncio.Future[jsonrpc.ResultResponse | jsonrpc.ErrorResponse] = (
            asyncio.get_running_loop().create_future()
        )
        connection.open[connection.last] = future
        rule = self.settings.classes[cls]
        connection.writer.write(
            jsonrpc.encode_request(
                connection.last,
                cls,
                f"{self.random.getrandbits(64):016x}",
                body,
                rule.heap_kb,
                received_at=time.time(),
                caller_id=self.settings.caller,
                is_retry=again and self.marks,
                rank=min(rule.rank + self.random.random() * rule.rank_span, 0.9999),
            )
        )
        return await future

    async def _open(self, connection: _Connection, row: ListedServer) -> None:
        if connection.writer is not None:
            return
        sock = self._sockets(2)
        sock.setblocking(False)
        try:
            await asyncio.wait_for(asyncio.get_running_loop().sock_connect(sock, (row.host, row.port)), DIAL_LIMIT)
        except BaseException:
            sock.close()
            self.unreached(row.name)
            raise
        if connection.writer is not None:  # another call was quicker
            sock.close()
            return
        connection.reader, connection.writer = await asyncio.open_connection(sock=sock)
        connection.last = 0
        connection.task = self._spawn(connection.read())

    def pause(self, tries: int) -> float | None:
        """Seconds before the next attempt, after so many ones; None if there is to be none."""
        raise NotImplementedError

    def unreached(self, name: str) -> None:
        """A dial failed."""


class Naive(Baseline):
    """Retries at once and without limit."""

    def pause(self, tries: int) -> float | None:
        """Nearly none: a millisecond lets other tasks run."""
        return 0.0 if tries < 1 else 0.001


class Backoff(Baseline):
    """Retries with an exponential backoff without jitter."""

    marks = True
    TRIES = 4
    FIRST_PAUSE_S = 0.05

    def pause(self, tries: int) -> float | None:
        """Doubles with each attempt."""
        if tries >= self.TRIES:
            return None
        return self.FIRST_PAUSE_S * 2 ** (tries - 1) if tries else 0.0


CLIENTS: dict[str, type[Baseline]] = {"naive": Naive, "backoff": Backoff}
