"""Callbacks that other threads hand to the event loop."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from lapishaven.net.wake import Wake


class CompletionQueue:
    """``post`` may be called on any thread; ``run_pending`` belongs on the event loop, when ``ready`` is readable."""

    def __init__(self) -> None:
        self._callbacks: deque[Callable[[], None]] = deque()
        self._wake = Wake()

    @property
    def ready(self) -> int:
        """A descriptor that is readable while callbacks wait."""
        return self._wake.reader

    def post(self, callback: Callable[[], None]) -> None:
        """Have the callback run on the event loop, after those that were posted before."""
        self._callbacks.append(callback)
        self._wake.poke()

    def run_pending(self) -> None:
        """Run what was posted, also by the callbacks themselves."""
        self._wake.drain()
        while self._callbacks:
            self._callbacks.popleft()()

    def close(self) -> None:
        """Run what is left and free the descriptors."""
        self.run_pending()
        self._wake.close()
