"""The program's clock port with faults: drift, and a wall clock that steps."""

from __future__ import annotations

from lapishaven.ownership.model import SystemClock


class FaultyClock:
    """``drift`` as a part (0.001: a second in 1,000 fast); ``offset`` in s is put on the wall clock, and may change."""

    def __init__(self, drift: float = 0.0, offset: float = 0.0) -> None:
        self._system = SystemClock()
        self._start = self._system.now()
        self.drift, self.offset = drift, offset

    def now(self) -> float:
        """Seconds, with the drift."""
        true = self._system.now()
        return true + (true - self._start) * self.drift

    def wall(self) -> float:
        """Unix time in seconds, with the offset."""
        return self._system.wall() + self.offset

    def true(self) -> float:
        """Seconds without faults: the same clock for all processes."""
        return self._system.now()
