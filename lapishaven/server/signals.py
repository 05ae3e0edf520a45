"""Receives the signals that control the process, with the time at which each arrived."""

from __future__ import annotations

import signal
import time
from collections.abc import Callable
from types import FrameType
from typing import NamedTuple

from lapishaven.net.wake import WakePipe

HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP, signal.SIGUSR1)


class ReceivedSignal(NamedTuple):
    """A signal and the time of its arrival."""

    number: int
    received_at: float  # seconds on the clock of ``Signals``


class Signals:
    """Receives signals from its construction until ``close``.

    The event loop is woken through a pipe (``signal.set_wakeup_fd``). The handler records the time of arrival itself:
    the loop may be in a long round, and the time until the kill counts from the signal.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._received_at: dict[int, float] = {}  # first arrival by signal number, of signals not yet taken
        self._wake = WakePipe()
        self._previous_wakeup_fd = signal.set_wakeup_fd(self._wake.writer, warn_on_full_buffer=False)
        self._previous_handlers = {number: signal.signal(number, self._record_arrival) for number in HANDLED_SIGNALS}

    def _record_arrival(self, number: int, frame: FrameType | None) -> None:
        self._received_at.setdefault(number, self._clock())

    @property
    def ready(self) -> int:
        """The descriptor that becomes readable when a signal arrives."""
        return self._wake.reader

    def take(self) -> list[ReceivedSignal]:
        """Return the signals since the last call, in order of arrival."""
        return [ReceivedSignal(number, self._received_at.pop(number, self._clock())) for number in self._wake.drain()]

    def close(self) -> None:
        """Restore the previous handlers and wake-up descriptor."""
        signal.set_wakeup_fd(self._previous_wakeup_fd)
        for number, handler in self._previous_handlers.items():
            signal.signal(number, handler if handler is not None else signal.SIG_DFL)
        self._wake.close()


class SignalDispatcher:
    """Logs each signal and acts on it: SIGUSR1 logs the counters, SIGHUP reloads, any other shuts down."""

    def __init__(
        self,
        log: Callable[[str], None],
        log_counters: Callable[[], None],
        reload: Callable[[], None],
        drain: Callable[[float], None],
    ) -> None:
        """``drain`` is called with the time of the signal's arrival."""
        self._log = log
        self._log_counters = log_counters
        self._reload = reload
        self._drain = drain

    def dispatch(self, received: list[ReceivedSignal]) -> None:
        """Handle signals in order of arrival."""
        for number, received_at in received:
            self._log(f"handling signal {number} ({signal.Signals(number).name}) at {time.time():.3f}")
            if number == signal.SIGUSR1:
                self._log_counters()
            elif number == signal.SIGHUP:
                self._reload()
            else:
                self._drain(received_at)


__all__ = ["HANDLED_SIGNALS", "ReceivedSignal", "SignalDispatcher", "Signals"]
