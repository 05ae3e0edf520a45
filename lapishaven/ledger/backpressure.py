"""Whether another commit is admitted while the ledger is slow: a bounded queue and a circuit breaker. Pure.

Nothing that was admitted is dropped; what cannot be written soon is rejected at once, before it runs. The circuit
breaker (Nygard, "Release It!") opens after a number of failures in a row; then one commit at a time is tried, after a
pause that doubles with each further failure.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

MIN_RETRY_AFTER_S = 0.05  # while too many entries wait, however young the oldest is
MAX_DOUBLINGS = 16  # of the pause, which reaches its bound long before


@dataclass(frozen=True, slots=True)
class BackpressureRules:
    """Limits of what waits to be written.

    Attributes:
        max_waiting: entries that wait, past which no commit is admitted.
        stall_s: age of the oldest entry from which no commit is admitted.
        failures_to_break: failures in a row that open the circuit breaker.
        retry_pause_s: first pause before a commit is tried while it is open.
        max_retry_pause_s: upper bound of the pause.
    """

    max_waiting: int = 2000
    stall_s: float = 0.5
    failures_to_break: int = 3
    retry_pause_s: float = 0.2
    max_retry_pause_s: float = 2.0


class Backpressure:
    """Counts entries that wait to be written, in their order. Times are in s of one clock."""

    def __init__(self, rules: BackpressureRules) -> None:
        self.rules = rules
        self._added_at: deque[float] = deque()  # of each entry that waits, oldest first
        self._failures = 0  # in a row
        self._retry_at = float("-inf")

    def __len__(self) -> int:
        """Entries that wait."""
        return len(self._added_at)

    @property
    def circuit_open(self) -> bool:
        """Whether the circuit breaker is open."""
        return self._failures >= self.rules.failures_to_break

    def retry_after(self, now: float) -> float | None:
        """``None`` if a commit is admitted, else the seconds until it might be."""
        if self.circuit_open:
            return self._retry_after_while_open(now)
        if not self._added_at:
            return None
        oldest_s = now - self._added_at[0]
        if oldest_s > self.rules.stall_s:
            return self.rules.stall_s
        if len(self._added_at) >= self.rules.max_waiting:
            # Entries are written in their order, so a new one would wait for as long as the oldest has.
            return max(MIN_RETRY_AFTER_S, oldest_s)
        return None

    def _retry_after_while_open(self, now: float) -> float | None:
        if now < self._retry_at:
            return self._retry_at - now
        if self._added_at:
            return self._retry_pause_s()  # the entry that is tried has not ended
        return None

    def _retry_pause_s(self) -> float:
        doublings = max(self._failures - self.rules.failures_to_break, 0)
        return min(self.rules.max_retry_pause_s, self.rules.retry_pause_s * 2.0 ** min(doublings, MAX_DOUBLINGS))

    def entry_added(self, now: float) -> None:
        """Another entry waits to be written."""
        self._added_at.append(now)

    def entries_written(self, now: float, count: int, durable: bool) -> None:
        """The oldest ``count`` entries wait no more: they are durable, or were given up after a failure."""
        for _ in range(min(count, len(self._added_at))):
            self._added_at.popleft()
        if durable:
            self._failures = 0
            return
        self._failures += 1
        self._retry_at = now + self._retry_pause_s()
