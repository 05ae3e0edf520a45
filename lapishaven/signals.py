"""The signals that the program is told by, with the moment at which each came."""

from __future__ import annotations

import signal
import time
from collections.abc import Callable
from types import FrameType

from lapishaven.net.wake import Wake

HEARD = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP, signal.SIGUSR1)


class Signals:
    """Hears them from its making to ``close``.

    The loop is woken through a pipe. A handler notes the time, since the loop may be in the middle of a long round:
    the time that is left until the kill counts from the signal, and not from when the loop takes it up.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock, self._came = clock, dict[int, float]()
        self._wake = Wake()
        self._old_wakeup = signal.set_wakeup_fd(self._wake.writer, warn_on_full_buffer=False)
        self._old = {number: signal.signal(number, self._note) for number in HEARD}

    def _note(self, number: int, frame: FrameType | None) -> None:
        self._came.setdefault(number, self._clock())

    @property
    def ready(self) -> int:
        """The descriptor that is readable once a signal came."""
        return self._wake.reader

    def take(self) -> list[tuple[int, float]]:
        """Those that came since the last call, in their order, each with its time."""
        return [(number, self._came.pop(number, self._clock())) for number in self._wake.drain()]

    def close(self) -> None:
        """Hear no more: what comes now does what it did before."""
        signal.set_wakeup_fd(self._old_wakeup)
        for number, handler in self._old.items():
            signal.signal(number, handler if handler is not None else signal.SIG_DFL)
        self._wake.close()


__all__ = ["HEARD", "Signals"]
