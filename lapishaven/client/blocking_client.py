"""A blocking client that threads can share. It runs the asyncio client on a dedicated thread."""

from __future__ import annotations

import asyncio
import threading
from types import TracebackType
from typing import Any

from lapishaven.client.asyncio_client import Client
from lapishaven.client.outcomes import Outcome, unwrap
from lapishaven.client.settings import Settings


class BlockingClient:
    """Calls match servers from any thread::

        with BlockingClient(settings) as client:
            body = client.call("fuzzy-match", b"...")

    All threads share the same connections and retry budget, which are meant to be per process. Takes the keyword
    arguments of ``Client``; the hook runs on the client's thread and must not block it.
    """

    def __init__(self, settings: Settings, **options: Any) -> None:
        self._settings = settings
        self._options = options
        self._loop: asyncio.AbstractEventLoop | None = None
        self._client: Client | None = None
        self._stop: asyncio.Event | None = None
        self._ready = threading.Event()
        self._startup_error: BaseException | None = None
        self._thread: threading.Thread | None = None

    def __enter__(self) -> BlockingClient:
        if self._thread is not None:
            raise RuntimeError("cannot enter this BlockingClient: it was already started and cannot be reused")
        self._thread = threading.Thread(target=self._run, name="lapishaven-client", daemon=True)
        self._thread.start()
        self._ready.wait()
        if self._startup_error is not None:
            self._thread.join()
            raise self._startup_error
        return self

    def __exit__(
        self, exc_type: type[BaseException] | None, exc: BaseException | None, traceback: TracebackType | None
    ) -> None:
        self.close()

    def _run(self) -> None:
        try:
            asyncio.run(self._serve())
        except BaseException as error:  # raised again by the thread that waits in __enter__
            self._startup_error = error
            self._ready.set()

    async def _serve(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._stop = asyncio.Event()
        async with Client(self._settings, **self._options) as self._client:
            self._ready.set()
            await self._stop.wait()

    def call(
        self, cls: str, body: bytes, *, deadline: float | None = None, row: int | None = None, key: str = ""
    ) -> bytes:
        """Like ``Client.call``, but blocks the calling thread."""
        return unwrap(self.outcome(cls, body, deadline=deadline, row=row, key=key))

    def outcome(
        self, cls: str, body: bytes, *, deadline: float | None = None, row: int | None = None, key: str = ""
    ) -> Outcome:
        """Like ``Client.outcome``, but blocks the calling thread. An interrupt (Ctrl-C) there cancels the call."""
        if self._client is None or self._loop is None or self._thread is None or not self._thread.is_alive():
            raise RuntimeError(f"cannot call {cls!r:.100}: the client is not started or already closed")
        if threading.current_thread() is self._thread:
            raise RuntimeError(
                f"cannot call {cls!r:.100} from the client's own thread: it would wait for itself forever"
            )
        coroutine = self._client.outcome(cls, body, deadline=deadline, row=row, key=key)
        future = asyncio.run_coroutine_threadsafe(coroutine, self._loop)
        try:
            return future.result()
        except BaseException:
            future.cancel()
            raise

    def close(self) -> None:
        """Cancel every open call and wait for the client's thread to end."""
        if self._thread is None or self._loop is None or self._stop is None:
            return
        if self._thread.is_alive():
            self._loop.call_soon_threadsafe(self._stop.set)
        self._thread.join()
