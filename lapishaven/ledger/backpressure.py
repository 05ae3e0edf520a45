"""Admission of commits while the ledger is slow: a bounded queue and a circuit breaker. Does no I/O.

An admitted commit is never dropped; one that could not be written soon is rejected at once, before it runs. The circuit
breaker (Nygard, "Release It!") opens after a number of consecutive failures. While it is open, one commit at a time is
tried, after a pause that doubles with each further failure.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

MIN_RETRY_AFTER_S = 0.05  # lower bound while the queue is full, even if its oldest entry is younger
MAX_DOUBLINGS = 16  # avoids overflow; the pause reaches its upper bound long before


@dataclass(frozen=True, slots=True)
class BackpressureRules:
    """Limits of the queue of entries that wait to be written.

    Attributes:
        max_waiting: number of waiting entries at which further commits are rejected.
        stall_s: age of the oldest entry above which further commits are rejected.
        failures_to_break: consecutive failures that open the circuit breaker.
        retry_pause_s: first pause before a commit is tried while the breaker is open.
        max_retry_pause_s: upper bound of the pause.
    """

    max_waiting: int = 2000
    stall_s: float = 0.5
    failures_to_break: int = 3
    retry_pause_s: float = 0.2
    max_retry_pause_s: float = 2.0


class Backpressure:
    """Tracks entries that wait to be written, oldest first. All times are seconds of the same clock."""

    def __init__(self, rules: BackpressureRules) -> None:
        self.rules = rules
        self._added_at: deque[float] = deque()  # time at which each waiting entry was added, oldest first
        self._consecutive_failures = 0
        self._retry_at = float("-inf")

    def __len__(self) -> int:
        """Number of waiting entries."""
        return len(self._added_at)

    @property
    def circuit_open(self) -> bool:
        """Whether the circuit breaker is open."""
        return self._consecutive_failures >= self.rules.failures_to_break

    def retry_after(self, now: float) -> float | None:
        """``None`` if a commit is admitted now, else the seconds after which to retry."""
        if self.circuit_open:
            return self._retry_after_while_open(now)
        if not self._added_at:
            return None
        oldest_age_s = now - self._added_at[0]
        if oldest_age_s > self.rules.stall_s:
            return self.rules.stall_s
        if len(self._added_at) >= self.rules.max_waiting:
            # Entries are written in order, so a new one would wait about as long as the oldest has waited.
            return max(MIN_RETRY_AFTER_S, oldest_age_s)
        return None

    def _retry_after_while_open(self, now: float) -> float | None:
        if now < self._retry_at:
            return self._retry_at - now
        if self._added_at:
            return self._retry_pause_s()  # the trial commit is still being written
        return None

    def _retry_pause_s(self) -> float:
        doublings = max(self._consecutive_failures - self.rules.failures_to_break, 0)
        return min(self.rules.max_retry_pause_s, self.rules.retry_pause_s * 2.0 ** min(doublings, MAX_DOUBLINGS))

    def entry_added(self, now: float) -> None:
        """Note that another entry waits to be written."""
        self._added_at.append(now)

    def entries_settled(self, now: float, count: int, durable: bool) -> None:
        """Remove the oldest ``count`` entries: they are durable, or were given up after a failed write."""
        for _ in range(min(count, len(self._added_at))):
            self._added_at.popleft()
        if durable:
            self._consecutive_failures = 0
            return
        self._consecutive_failures += 1
        self._retry_at = now + self._retry_pause_s()
