"""A clock with faults: drift, and steps of the wall clock."""

from __future__ import annotations

from lapishaven.ownership.model import SystemClock


class FaultyClock:
    """A system clock that drifts and whose wall time is shifted.

    ``drift`` is a fraction: 0.001 gains a second in 1,000. ``offset``, in seconds, is added to the wall clock and may
    be changed at any time.
    """

    def __init__(self, drift: float = 0.0, offset: float = 0.0) -> None:
        self._system = SystemClock()
        self._start = self._system.now()
        self.drift, self.offset = drift, offset

    def now(self) -> float:
        """Monotonic seconds, with the drift."""
        true_now = self._system.now()
        return true_now + (true_now - self._start) * self.drift

    def wall(self) -> float:
        """Unix time in seconds, with the offset."""
        return self._system.wall() + self.offset

    def true_now(self) -> float:
        """Monotonic seconds without faults, on one clock for all processes."""
        return self._system.now()
