"""Whether another commit is taken while the record is slow, and for how long its caller is to stay away. Pure.

Nothing is dropped: what was taken is written, and what cannot be is turned away before it runs, at once. The record is
stalled while its oldest entry waits for longer than ``stall`` s, and broken after ``faults`` failures in a row; a
broken one is tried again with one entry each ``pause`` s, doubled up to ``pause_most``.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class BackpressureRules:
    most: int = 2000  # entries that wait at most
    stall: float = 0.5  # s
    faults: int = 3
    pause: float = 0.2  # s
    pause_most: float = 2.0  # s


class Backpressure:
    def __init__(self, rules: BackpressureRules) -> None:
        self.rules = rules
        self._since: deque[float] = deque()  # when each that is not durable yet was taken, in their order
        self._faults = 0
        self._try_at = float("-inf")

    def __len__(self) -> int:
        return len(self._since)

    def wait(self, now: float) -> float | None:
        """None if another intent may be taken, else the seconds until it might."""
        if self._faults >= self.rules.faults:
            if now < self._try_at:
                return self._try_at - now
            if self._since:
                return self._pause()  # the one that is tried has not ended
            return None
        if self._since and now - self._since[0] > self.rules.stall:
            return self.rules.stall
        if len(self._since) >= self.rules.most:
            # They go in their order: the oldest has waited for so long, and this one would as long again.
            return max(0.05, now - self._since[0])
        return None

    def _pause(self) -> float:
        over = self._faults - self.rules.faults
        return min(self.rules.pause_most, self.rules.pause * 2.0 ** min(max(over, 0), 16))

    def taken(self, now: float) -> None:
        self._since.append(now)

    def ended(self, now: float, count: int, good: bool) -> None:
        """The oldest ``count`` are durable, or could not be made so."""
        for _ in range(min(count, len(self._since))):
            self._since.popleft()
        if good:
            self._faults = 0
        else:
            self._faults += 1
            self._try_at = now + self._pause()

    @property
    def broken(self) -> bool:
        return self._faults >= self.rules.faults
