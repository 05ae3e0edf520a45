"""A stand-in for a caller: one connection to a match server, after the protocol page."""

from __future__ import annotations

import asyncio
import base64
import json
import random
import time
from dataclasses import dataclass, field
from typing import Any

from lib.record import Record
from lib.settings import Address

REFUSED_CODE = -32066


@dataclass(slots=True)
class Answer:
    """An answer, or the end of the connection without one. ``kind``: served, refused, failed or none."""

    kind: str
    body: bytes = b""
    text: str = ""
    at: float = field(default_factory=time.monotonic)


class Connection:
    """One connection of the caller with the number ``src``; it is not usable once it is draining or closed."""

    def __init__(self, record: Record, src: int) -> None:
        self.usable = True
        self._record = record
        self._src = src
        self._last_id = 0
        self._open: dict[int, tuple[str, asyncio.Future[Answer]]] = {}
        self._writer: asyncio.StreamWriter | None = None
        self._task: asyncio.Task[None] | None = None

    async def connect(self, address: Address) -> None:
        """Connect to a match server."""
        reader, self._writer = await asyncio.open_connection(*address, limit=1 << 20)
        self._task = asyncio.create_task(self._read(reader))

    def send(
        self, class_name: str, body: bytes, *, key: str | None = None, again: bool = False
    ) -> asyncio.Future[Answer]:
        """Send one try; the future gets its answer. ``key`` names the effect; ``again`` marks a further try."""
        assert self._writer is not None and self.usable
        self._last_id += 1
        call = f"{random.getrandbits(64):016x}"
        params: dict[str, Any] = {
            "call": call,
            "recv": round(time.time() * 1000),
            "src": self._src,
            "heap": 24.5,
            "crit": 0.9,
            "arg": base64.b64encode(body).decode(),
        }
        if key is not None:
            params["dedupe"] = key
        if again:
            params["rep"] = 1
        message = {"jsonrpc": "2.0", "id": self._last_id, "method": class_name, "params": params}
        future: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()
        self._open[self._last_id] = call, future
        self._record.add(
            f"send  caller={self._src} call={call} class={class_name} key={key} again={int(again)} body={body.decode()}"
        )
        self._writer.write(json.dumps(message).encode() + b"\n")
        return future

    async def _read(self, reader: asyncio.StreamReader) -> None:
        try:
            while line := await reader.readline():
                self._receive(json.loads(line))
        except (ConnectionError, ValueError):
            pass
        self.usable = False
        if self._writer is not None:
            self._writer.close()
        for request_id in list(self._open):
            self._settle(request_id, Answer("none", text="the connection ended"))

    def _receive(self, message: dict[str, Any]) -> None:
        if message.get("method") == "draining":
            self.usable = False
            self._record.add(f"told  caller={self._src} draining")
        elif message.get("id") in self._open:
            if "result" in message:
                answer = Answer("served", base64.b64decode(message["result"].get("arg", "")))
            else:
                error = message["error"]
                kind = "refused" if error["code"] == REFUSED_CODE else "failed"
                answer = Answer(kind, text=str(error.get("message", "")))
            self._settle(message["id"], answer)

    def _settle(self, request_id: int, answer: Answer) -> None:
        call, future = self._open.pop(request_id)
        self._record.add(f"reply caller={self._src} call={call} {answer.kind} {answer.text}{answer.body.decode()}")
        if not future.done():
            future.set_result(answer)

    @property
    def open_requests(self) -> int:
        """The number of requests without an answer."""
        return len(self._open)

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()
        if self._task is not None:
            self._task.cancel()


class Caller:
    """A caller with as many connections as it needs, and at most ``MOST_OPEN`` requests on each."""

    MOST_OPEN = 8

    def __init__(self, record: Record, src: int, address: Address) -> None:
        self._record = record
        self._src = src
        self._address = address
        self._connections: list[Connection] = []

    async def send(self, class_name: str, body: bytes, *, key: str | None = None, again: bool = False) -> Answer:
        """Send one try and wait for its answer."""
        return await (await self._connection()).send(class_name, body, key=key, again=again)

    async def _connection(self) -> Connection:
        usable = [each for each in self._connections if each.usable and each.open_requests < self.MOST_OPEN]
        if usable:
            return min(usable, key=lambda each: each.open_requests)
        connection = Connection(self._record, self._src)
        await connection.connect(self._address)
        self._connections.append(connection)
        return connection

    def close(self) -> None:
        """Close every connection."""
        for connection in self._connections:
            connection.close()
