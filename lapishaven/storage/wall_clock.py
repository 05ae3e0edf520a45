"""Wall-clock time that never steps back."""

from __future__ import annotations

from collections.abc import Callable


class MonotonicWallClock:
    """Unix seconds that never step back, not over a restart either: records that have expired would come back."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self.latest = 0.0  # the latest time seen, in this process or in the files

    def now(self) -> float:
        """The current time, or the latest one seen if the system's clock is behind it."""
        self.latest = max(self.latest, self._clock())
        return self.latest

    def observe(self, wall_time: float) -> None:
        """A time that stands in a file: ``now`` is never before it."""
        self.latest = max(self.latest, wall_time)
