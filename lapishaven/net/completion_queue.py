"""Callbacks that other threads schedule on the event loop."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from lapishaven.net.wake import WakePipe


class CompletionQueue:
    """A thread-safe queue: ``post`` from any thread, ``run_pending`` on the event loop when ``ready`` is readable."""

    def __init__(self) -> None:
        self._callbacks: deque[Callable[[], None]] = deque()
        self._wake_pipe = WakePipe()

    @property
    def ready(self) -> int:
        """A descriptor that is readable while callbacks are pending."""
        return self._wake_pipe.reader

    def post(self, callback: Callable[[], None]) -> None:
        """Schedule the callback on the event loop; callbacks run in the order in which they were posted."""
        self._callbacks.append(callback)
        self._wake_pipe.wake()

    def run_pending(self) -> None:
        """Run all posted callbacks, including those that are posted while they run."""
        self._wake_pipe.drain()
        while self._callbacks:
            self._callbacks.popleft()()

    def close(self) -> None:
        """Run the callbacks that are still pending and close the pipe."""
        self.run_pending()
        self._wake_pipe.close()
