"""TCP relays that delay or hold data, drop answers, or refuse and reset connections.

All relays of a ``Relays`` run on one thread. The mode of a relay may be changed while connections are open.
"""

from __future__ import annotations

import asyncio
import threading
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from typing import TypeVar

CHUNK_BYTES = 1 << 16
T = TypeVar("T")


@dataclass(slots=True)
class RelayMode:
    """The faults of a relay.

    ``delay_s`` applies each way. ``hold_upstream`` and ``hold_downstream`` keep data back in that direction until the
    mode changes, ``drop_downstream`` discards the target's data, and ``cut`` refuses new connections and resets
    open ones.
    """

    delay_s: float = 0.0
    hold_upstream: bool = False
    hold_downstream: bool = False
    drop_downstream: bool = False
    cut: bool = False


class Relay:
    """A listening port on loopback whose connections go to ``target``."""

    def __init__(self, target: tuple[str, int]) -> None:
        self.target, self.mode, self.port = target, RelayMode(), 0
        self.upstream_bytes = 0  # bytes that were sent to the target
        self._writers: set[asyncio.StreamWriter] = set()
        self._mode_changed, self.holding = asyncio.Event(), asyncio.Event()
        self._server: asyncio.Server | None = None

    async def open(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop_listening(self) -> None:
        """Accept no further connections."""
        if self._server is not None:
            self._server.close()

    async def set_mode(self, mode: RelayMode) -> None:
        """Set the mode, also for open connections."""
        self.mode = mode
        self._mode_changed.set()
        self._mode_changed = asyncio.Event()
        if mode.cut:
            for writer in list(self._writers):
                writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.mode.cut:
            writer.transport.abort()
            return
        try:
            target_reader, target_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        writers = {writer, target_writer}
        self._writers |= writers
        try:
            await asyncio.gather(
                self._forward(reader, target_writer, True), self._forward(target_reader, writer, False)
            )
        except (OSError, asyncio.CancelledError):
            pass  # a peer or the relay has closed
        finally:
            self._writers -= writers
            for open_writer in writers:
                open_writer.transport.abort()

    async def _forward(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, upstream: bool) -> None:
        while data := await reader.read(CHUNK_BYTES):
            while self.mode.hold_upstream if upstream else self.mode.hold_downstream:
                self.holding.set()
                await self._mode_changed.wait()
            if self.mode.delay_s:
                await asyncio.sleep(self.mode.delay_s)
            if self.mode.drop_downstream and not upstream:
                continue
            if upstream:
                self.upstream_bytes += len(data)
            writer.write(data)
            await writer.drain()
        # Forward the end of the stream after the data; the other side may have closed already.
        with suppress(OSError):
            if writer.can_write_eof():
                writer.write_eof()


class Relays:
    """``with Relays() as relays``: opens relays and sets their modes, from any thread."""

    def __enter__(self) -> Relays:
        self._loop = asyncio.new_event_loop()
        self._relays: list[Relay] = []
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._thread.start()
        return self

    def _call_on_loop(self, work: Callable[[], T]) -> T:
        async def run() -> T:
            return work()

        return asyncio.run_coroutine_threadsafe(run(), self._loop).result(10.0)

    def open(self, port: int) -> Relay:
        """Open a relay to a port on loopback."""
        relay = self._call_on_loop(lambda: Relay(("127.0.0.1", port)))
        asyncio.run_coroutine_threadsafe(relay.open(), self._loop).result(10.0)
        self._relays.append(relay)
        return relay

    def set_mode(self, relay: Relay, mode: RelayMode) -> None:
        """Set a relay's mode, also for its open connections."""
        asyncio.run_coroutine_threadsafe(relay.set_mode(mode), self._loop).result(10.0)

    def wait_until_held(self, relay: Relay, timeout: float = 10.0) -> None:
        """Wait until the relay holds data back."""
        asyncio.run_coroutine_threadsafe(relay.holding.wait(), self._loop).result(timeout)

    def __exit__(self, *_: object) -> None:
        async def close() -> None:
            for relay in self._relays:
                relay.stop_listening()
            # A connection that was accepted just before begins its task in a later iteration of the loop.
            while remaining := asyncio.all_tasks() - {asyncio.current_task()}:
                for task in remaining:
                    task.cancel()
                await asyncio.gather(*remaining, return_exceptions=True)

        asyncio.run_coroutine_threadsafe(close(), self._loop).result(10.0)
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(10.0)
        self._loop.close()
