"""Baseline clients, written in common ways, to compare the package's client with on the same fleet and seed.

``Naive`` retries at once and without limit on the next server of the list, and dials again at once. ``Backoff`` waits
50, 100 and 200 ms between up to four attempts, without jitter or a retry budget, and ignores Retry-After. Both also
retry calls that must not run twice.
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

POLL_INTERVAL_S = 1.0  # of the endpoint list
DIAL_TIMEOUT_S = 1.0


class _Connection:
    """A connection to one server, with any number of requests in flight."""

    def __init__(self) -> None:
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None
        self.in_flight: dict[int, asyncio.Future[jsonrpc.ResultResponse | jsonrpc.ErrorResponse]] = {}
        self.last_id = 0
        self.task: asyncio.Task[None] | None = None

    async def read(self) -> None:
        parser = jsonrpc.ClientParser()
        assert self.reader is not None and self.writer is not None
        try:
            while data := await self.reader.read(65536):
                for message in parser.feed(data):
                    if not isinstance(message, jsonrpc.Draining) and message.id is not None:
                        future = self.in_flight.pop(message.id, None)
                        if future is not None and not future.done():
                            future.set_result(message)
        except (OSError, ProtocolError):
            pass
        finally:
            if self.writer is not None:
                self.writer.close()
            self.writer = None
            for future in self.in_flight.values():
                if not future.done():
                    future.set_exception(ConnectionResetError("waiting for the response: the connection ended"))
            self.in_flight.clear()


class Baseline:
    """The common part: round-robin over the endpoint list, with one connection to each server.

    ``marks_retries``: whether retries are marked as such on the wire.
    """

    marks_retries = False

    def __init__(self, settings: Settings, *, random: Random, sockets: SocketFactory) -> None:
        self.settings, self.random, self._sockets = settings, random, sockets
        self._connections: dict[str, _Connection] = {}
        self._servers: tuple[ListedServer, ...] = ()
        self._next_index = random.randrange(1 << 16)
        self._list_received = asyncio.Event()
        self._tasks: set[asyncio.Task[None]] = set()

    async def __aenter__(self) -> Baseline:
        self._spawn(self._poll_catalog())
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

    async def _poll_catalog(self) -> None:
        host, port = split_address(self.settings.catalog, "catalog")
        while True:
            try:
                reader, writer = await asyncio.open_connection(host, port)
                list_client = ListClient(host)
                writer.write(list_client.encode_request(None))
                while not (answer := list_client.feed(await reader.read(65536)))[0]:
                    pass
                writer.close()
                if isinstance(answer[1], ServerList):  # never a delta, as the request has no ``since``
                    self._servers = tuple(row for row in answer[1].servers if row.passing)
                    self._list_received.set()
            except (OSError, ProtocolError):
                pass
            await asyncio.sleep(POLL_INTERVAL_S)

    async def outcome(self, class_name: str, body: bytes) -> Outcome:
        """Make one call; see ``Client.outcome``."""
        loop = asyncio.get_running_loop()
        start, rule, attempts = loop.time(), self.settings.classes[class_name], 0
        due = start + rule.deadline_s
        last: Outcome = Expired(0, 0.0)
        await self._list_received.wait()
        while loop.time() < due and (delay_s := self.retry_delay_s(attempts)) is not None:
            if delay_s:
                await asyncio.sleep(delay_s)
            attempts += 1
            elapsed_s = loop.time() - start
            try:
                async with asyncio.timeout_at(due):
                    answer = await self._attempt(class_name, body, attempts > 1)
            except TimeoutError:
                return Expired(
                    attempts, rule.deadline_s, f"no result of {class_name} within its deadline of {rule.deadline_s:g} s"
                )
            except OSError as error:
                last = Failed(attempts, elapsed_s, str(error))
                await asyncio.sleep(0)
                continue
            elapsed_s = loop.time() - start
            if isinstance(answer, jsonrpc.ResultResponse):
                return Served(attempts, elapsed_s, "", answer.body)
            refused = answer.code == jsonrpc.REJECTED_CODE
            last = Refused(attempts, elapsed_s, answer.text) if refused else Failed(attempts, elapsed_s, answer.text)
        return last

    async def _attempt(
        self, class_name: str, body: bytes, is_retry: bool
    ) -> jsonrpc.ResultResponse | jsonrpc.ErrorResponse:
        if not self._servers:
            await asyncio.sleep(0.05)
            raise ConnectionError(f"choosing a server: the catalog at {self.settings.catalog} lists none as passing")
        self._next_index += 1
        row = self._servers[self._next_index % len(self._servers)]
        connection = self._connections.setdefault(row.name, _Connection())
        await self._connect(connection, row)
        if connection.writer is None:
            raise ConnectionResetError(f"sending to {row.name} at {row.host}:{row.port}: the connection ended")
        connection.last_id += 1
        future: asyncio.Future[jsonrpc.ResultResponse | jsonrpc.ErrorResponse] = (
            asyncio.get_running_loop().create_future()
        )
        connection.in_flight[connection.last_id] = future
        rule = self.settings.classes[class_name]
        connection.writer.write(
            jsonrpc.encode_request(
                connection.last_id,
                class_name,
                f"{self.random.getrandbits(64):016x}",
                body,
                rule.heap_kb,
                received_at=time.time(),
                caller_id=self.settings.caller,
                is_retry=is_retry and self.marks_retries,
                rank=min(rule.rank + self.random.random() * rule.rank_span, 0.9999),
            )
        )
        return await future

    async def _connect(self, connection: _Connection, row: ListedServer) -> None:
        if connection.writer is not None:
            return
        sock = self._sockets(2)
        sock.setblocking(False)
        try:
            await asyncio.wait_for(asyncio.get_running_loop().sock_connect(sock, (row.host, row.port)), DIAL_TIMEOUT_S)
        except BaseException:
            sock.close()
            self.dial_failed(row.name)
            raise
        if connection.writer is not None:  # another call has connected in the meantime
            sock.close()
            return
        connection.reader, connection.writer = await asyncio.open_connection(sock=sock)
        connection.last_id = 0
        connection.task = self._spawn(connection.read())

    def retry_delay_s(self, attempts: int) -> float | None:
        """The delay before the next attempt, after ``attempts`` of them; None for no further attempt."""
        raise NotImplementedError

    def dial_failed(self, name: str) -> None:
        """Called after a failed dial of the server ``name``."""


class Naive(Baseline):
    """Retries at once and without limit."""

    def retry_delay_s(self, attempts: int) -> float | None:
        """Zero before the first attempt, then a millisecond, which lets other tasks run."""
        return 0.0 if attempts < 1 else 0.001


class Backoff(Baseline):
    """Retries with an exponential backoff without jitter."""

    marks_retries = True
    MAX_ATTEMPTS = 4
    FIRST_DELAY_S = 0.05

    def retry_delay_s(self, attempts: int) -> float | None:
        """Doubles with each attempt."""
        if attempts >= self.MAX_ATTEMPTS:
            return None
        return self.FIRST_DELAY_S * 2 ** (attempts - 1) if attempts else 0.0


CLIENTS: dict[str, type[Baseline]] = {"naive": Naive, "backoff": Backoff}
