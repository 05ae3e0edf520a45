"""The asyncio client: provides sockets and timers to the policy, which makes every decision."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Coroutine
from random import Random
from types import TracebackType
from typing import Any

from lapishaven.client.actions import CompleteCall
from lapishaven.client.connection_pool import ConnectionPool, SocketFactory, plain_socket
from lapishaven.client.endpoint_list_watcher import EndpointListWatcher
from lapishaven.client.engine import Hook
from lapishaven.client.outcomes import Outcome, unwrap
from lapishaven.client.policy import Policy
from lapishaven.client.settings import Settings
from lapishaven.client.wire import TimestampClock
from lapishaven.proto import jsonrpc

BODY_LIMIT_BYTES = jsonrpc.MAX_BODY_BYTES
ROW_BITS = 64  # size of a row number on the wire


class Client:
    """Calls match servers from one event loop.

    ::

        async with Client(settings) as client:
            body = await client.call("fuzzy-match", b"...", deadline=2.0)

    ``policy``: the pure core; set on entry to the context manager.
    """

    def __init__(
        self,
        settings: Settings,
        *,
        random: Random | None = None,
        hook: Hook | None = None,
        wall: Callable[[], float] = time.time,
        sockets: SocketFactory = plain_socket,
    ) -> None:
        """``hook``: receives every event as (time, name, fields). ``random``: the source of all random choices.

        ``wall``: the clock for the timestamps of requests, in Unix seconds; it may jump. ``sockets``: creates the
        sockets, so that tests can observe them.
        """
        self.settings = settings
        self._random = random or Random()
        self._hook = hook
        self._wall = wall
        self._sockets = sockets
        self._tasks: set[asyncio.Task[None]] = set()
        self._futures: dict[int, asyncio.Future[Outcome]] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = float("inf")
        self._running_policy = False
        self._closed = False

    # ---- For the application
    async def __aenter__(self) -> Client:
        self.loop = asyncio.get_running_loop()
        now = self.loop.time()
        self.policy = Policy(self.settings, self._random, now, self._hook, clock_offset_s=self._wall() - now)
        clock = TimestampClock(self._wall, self.loop.time)
        self._pool = ConnectionPool(self.loop, self.policy, clock, self._sockets, self._run_policy, self._spawn)
        if self.settings.catalog:
            watcher = EndpointListWatcher(self.loop, self.policy, self._random, self._sockets, self._run_policy)
            watcher.restore()
            self._spawn(watcher.run())
        self._run_policy()
        return self

    async def __aexit__(
        self, exc_type: type[BaseException] | None, exc: BaseException | None, traceback: TracebackType | None
    ) -> None:
        await self.aclose()

    async def call(
        self, cls: str, body: bytes, *, deadline: float | None = None, row: int | None = None, key: str = ""
    ) -> bytes:
        """Return the response of one call; raise the ``CallError`` for any outcome but ``Served``.

        ``cls``: the class of the request. ``deadline``: seconds from now for all attempts together, bounded by the
        deadline of the class. ``row``: the row that a read concerns. ``key``: the idempotency key on the uwsgi wire.
        """
        return unwrap(await self.outcome(cls, body, deadline=deadline, row=row, key=key))

    async def outcome(
        self, cls: str, body: bytes, *, deadline: float | None = None, row: int | None = None, key: str = ""
    ) -> Outcome:
        """Return the outcome of one call; parameters as for ``call``.

        Cancelling the task also cancels the request at the server. Raises ``ValueError`` for invalid arguments and
        ``RuntimeError`` on a closed client.
        """
        self._check_call(cls, body, deadline, row)
        now = self.loop.time()
        deadline_at = now + deadline if deadline is not None else None
        future: asyncio.Future[Outcome] = self.loop.create_future()
        call = self.policy.submit(now, cls, body, deadline=deadline_at, row=row, key=key)
        self._futures[call.number] = future
        self._run_policy()
        try:
            return await future
        except asyncio.CancelledError:
            if self._futures.pop(call.number, None) is not None:
                self.policy.cancel(self.loop.time(), call)
                self._run_policy()
            raise

    def _check_call(self, cls: str, body: bytes, deadline: float | None, row: int | None) -> None:
        if self._closed:
            raise RuntimeError(f"cannot call {cls!r:.100}: the client is closed")
        if cls not in self.settings.classes:
            raise ValueError(f"cannot call {cls!r:.100}: no such class in the settings")
        if len(body) > BODY_LIMIT_BYTES:
            raise ValueError(
                f"cannot call {cls!r:.100}: the body of {len(body)} bytes is over the limit of {BODY_LIMIT_BYTES} bytes"
            )
        if deadline is not None and not deadline > 0:
            raise ValueError(f"cannot call {cls!r:.100}: the deadline of {deadline} s must be above 0")
        if row is not None and not 0 <= row < 1 << ROW_BITS:
            raise ValueError(f"cannot call {cls!r:.100}: row {row} is not an unsigned number of {ROW_BITS} bits")

    @property
    def open_calls(self) -> int:
        """The number of calls without an outcome."""
        return self.policy.open_calls

    async def aclose(self) -> None:
        """Cancel every open call, close every connection, and end every task."""
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
        self._pool.close()
        await asyncio.sleep(0)  # transports close their sockets in the next iteration of the event loop

    # ---- Running the policy
    def _run_policy(self) -> None:
        """Run the policy's timers, execute its actions, and set the event loop's timer for the next policy timer."""
        if self._running_policy or self._closed:
            return
        self._running_policy = True
        try:
            self.policy.run_timers(self.loop.time())
            self._execute_actions()
        finally:
            self._running_policy = False
        when = self.policy.next_timer_at()
        if when is not None and (self._timer is None or when < self._timer_at):
            if self._timer is not None:
                self._timer.cancel()
            self._timer_at = when
            self._timer = self.loop.call_at(when, self._timer_due)

    def _timer_due(self) -> None:
        self._timer = None
        self._timer_at = float("inf")
        self._run_policy()

    def _execute_actions(self) -> None:
        while actions := self.policy.take_actions():
            for action in actions:
                if isinstance(action, CompleteCall):
                    self._complete_call(action)
                else:
                    self._pool.execute(action)

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = self.loop.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def _complete_call(self, action: CompleteCall) -> None:
        future = self._futures.pop(action.call.number, None)
        if future is not None and not future.done():
            future.set_result(action.outcome)
