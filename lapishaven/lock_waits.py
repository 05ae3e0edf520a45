"""Measures how long transactions wait for a SQLite file's write lock, and how long they hold it, by kind."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

SLOW_WAIT_S = 0.25  # a wait from which operators are told, as it is a good part of a short lease


@dataclass(frozen=True, slots=True)
class LockUse:
    """One transaction: its wait for the write lock, and how long it held the lock.

    Attributes:
        path: the file.
        kind: name of the call that needed the transaction.
        waited_s: seconds until the lock was taken or the wait was given up.
        held_s: seconds from taking the lock to the end of the transaction; ``None`` if the lock was not taken.
    """

    path: str
    kind: str
    waited_s: float
    held_s: float | None

    @property
    def is_slow(self) -> bool:
        """Whether operators are told of this transaction."""
        return self.held_s is None or self.waited_s >= SLOW_WAIT_S or self.held_s >= SLOW_WAIT_S


ObserveLock = Callable[[LockUse], None]


def ignore_lock_use(use: LockUse) -> None:
    """Do nothing."""


@dataclass(slots=True)
class LockWaits:
    """Totals over all transactions of a process, for gauges. Updated by several threads; each value is right by itself.

    Attributes:
        transactions: transactions that took the lock.
        timeouts: transactions that gave up waiting for it.
        max_waited_s: longest wait.
        max_held_s: longest time that the lock was held.
    """

    transactions: int = 0
    timeouts: int = 0
    max_waited_s: float = 0.0
    max_held_s: float = 0.0

    def observe(self, use: LockUse) -> None:
        """Count one transaction."""
        self.max_waited_s = max(self.max_waited_s, use.waited_s)
        if use.held_s is None:
            self.timeouts += 1
            return
        self.transactions += 1
        self.max_held_s = max(self.max_held_s, use.held_s)
