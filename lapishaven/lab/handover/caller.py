"""A caller that counts: open-loop requests on the platform's wire, each one's end written into a ``Book``.

It keeps up to ``connections`` connections and sends each request on the one with the fewest open, at its intended
time whatever the server does (open loop). It heeds ``draining`` as the protocol asks, or, as a caller that
misbehaves, goes on sending on such a connection. A connection that cannot be made, is reset, or is closed with
requests on it is written into the book with every request that it concerns.
"""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import Sequence
from dataclasses import dataclass, field
from random import Random

from lapishaven.lab import site
from lapishaven.lab.handover.book import Book, Ended
from lapishaven.proto import ProtocolError, jsonrpc

DIAL_SPAN = 1.0  # s for a connection to be made before it counts as refused
HEAP_KB = 24.5  # booked for each request while it is held


@dataclass(frozen=True, slots=True)
class Load:
    """What the caller sends: ``rate`` requests a second for ``seconds``, over at most ``connections``."""

    rate: float
    seconds: float
    connections: int = 8
    heed_draining: bool = True


@dataclass(slots=True)
class Line:
    """One connection of the caller's."""

    number: int
    writer: asyncio.StreamWriter
    sent: dict[int, bytes] = field(default_factory=dict)  # every request by its id on it
    ids: set[int] = field(default_factory=set)  # of those, the open ones
    next_id: int = 1
    draining: bool = False
    over: bool = False  # ended, by either side


def arrivals(
    load: Load, start: float, random: Random, kinds: Sequence[site.Kind] = site.KINDS
) -> list[tuple[float, site.Kind]]:
    """Poisson arrivals from ``start`` (s on the loop's clock), each of a class drawn by the site's shares."""
    out: list[tuple[float, site.Kind]] = []
    at = start
    shares = [kind.share for kind in kinds]
    while True:
        at += random.expovariate(load.rate)
        if at >= start + load.seconds:
            return out
        out.append((at, random.choices(kinds, shares)[0]))


class Caller:
    """Sends ``arrivals`` to ``address``; ``book`` learns of every send and every end."""

    def __init__(self, address: tuple[str, int], book: Book, load: Load, random: Random, tag: str = "r") -> None:
        self.address, self.book, self.load, self.random, self.tag = address, book, load, random, tag
        self.lines: list[Line] = []
        self.ranks = {name: rule.rank for name, rule in site.rules().items()}
        self._numbers = 0
        self._readers: set[asyncio.Task[None]] = set()

    async def run(self, planned: Sequence[tuple[float, site.Kind]]) -> None:
        """Send each request at its time, then wait for the answers up to the last due time."""
        loop = asyncio.get_running_loop()
        for n, (at, kind) in enumerate(planned):
            await asyncio.sleep(max(0.0, at - loop.time()))
            await self._send(f"{self.tag}{n}".encode(), kind)
        last_due = max((at + kind.deadline for at, kind in planned), default=loop.time())
        while self.book.open() and loop.time() < last_due + 0.1:
            await asyncio.sleep(0.02)
        await self.close()

    async def close(self) -> None:
        for line in self.lines:
            self._over(line)
        for task in list(self._readers):
            task.cancel()
        await asyncio.gather(*self._readers, return_exceptions=True)

    async def _send(self, body: bytes, kind: site.Kind) -> None:
        loop = asyncio.get_running_loop()
        line = await self._line()
        if line is None:
            self.book.not_sent(loop.time(), body, kind.name, not kind.safe, kind.deadline)
            return
        id, line.next_id = line.next_id, line.next_id + 1
        call = f"{self.random.getrandbits(64):016x}"
        data = jsonrpc.encode_request(
            id, kind.name, call, body, HEAP_KB, received_at=time.time(), caller_id=1, rank=self.ranks[kind.name]
        )
        line.sent[id] = body
        line.ids.add(id)
        line.writer.write(data)
        self.book.sent(loop.time(), body, kind.name, not kind.safe, kind.deadline, line.number)

    async def _line(self) -> Line | None:
        usable = [line for line in self.lines if not line.over and not (line.draining and self.load.heed_draining)]
        if len(usable) >= self.load.connections:
            return min(usable, key=lambda line: len(line.ids))
        try:
            _, writer = await asyncio.wait_for(asyncio.open_connection(*self.address), DIAL_SPAN)
        except (OSError, TimeoutError):
            return min(usable, key=lambda line: len(line.ids)) if usable else None
        self._numbers += 1
        line = Line(self._numbers, writer)
        self.lines.append(line)
        reader = asyncio.get_running_loop().create_task(self._read(line, _))
        self._readers.add(reader)
        reader.add_done_callback(self._readers.discard)
        return line

    async def _read(self, line: Line, reader: asyncio.StreamReader) -> None:
        loop, client = asyncio.get_running_loop(), jsonrpc.ClientParser()
        ended = Ended.CUT
        try:
            while data := await reader.read(65536):
                for reply in client.feed(data):
                    self._reply(line, reply, loop.time())
                if line.draining and self.load.heed_draining and not line.ids:
                    break  # the caller closes it once everything on it is answered
        except (ConnectionResetError, BrokenPipeError):
            ended = Ended.RESET
        except ProtocolError:
            ended = Ended.CUT
        self.book.broke(loop.time(), line.number, ended)
        line.ids.clear()
        self._over(line)

    def _reply(self, line: Line, reply: jsonrpc.Reply, now: float) -> None:
        if isinstance(reply, jsonrpc.Draining):
            line.draining = True
            return
        body = line.sent.get(reply.id) if reply.id is not None else None
        if body is None:
            return
        line.ids.discard(reply.id)  # type: ignore[arg-type]
        if isinstance(reply, jsonrpc.ResultResponse):
            self.book.answered(now, body, Ended.SERVED)
        elif reply.code == jsonrpc.REJECTED_CODE:
            self.book.answered(now, body, Ended.REFUSED, reply.text)
        else:
            self.book.answered(now, body, Ended.FAILED, reply.text)

    def _over(self, line: Line) -> None:
        if not line.over:
            line.over = True
            with contextlib.suppress(RuntimeError):
                line.writer.close()
