"""Wall-clock time that never goes back."""

from __future__ import annotations

from collections.abc import Callable


class MonotonicWallClock:
    """Unix time that never goes back, not even across a restart, so that expired records never reappear."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self.latest = 0.0  # latest time observed, in this process or in the files

    def now(self) -> float:
        """The current time, or the latest observed time if the system clock is behind it."""
        self.latest = max(self.latest, self._clock())
        return self.latest

    def observe(self, wall_time: float) -> None:
        """Note a time that was read from a file; ``now`` never returns an earlier one."""
        self.latest = max(self.latest, wall_time)
