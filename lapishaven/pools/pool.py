"""The runtime state of a pool and of a run in a pool. Pure."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class Pool:
    """The state of one pool."""

    name: str
    """Its name in the settings."""
    share: float
    """Fraction of the instance's work that is guaranteed to it, 0 to 1."""
    ceiling: float
    """Fraction of the run limit that it may use, including what it borrows from other pools, 0 to 1."""
    running: int = 0
    """Number of its requests that are running."""
    starved_since: float | None = None
    """Since when it has had requests queued but less than its share; ``None`` if it is not starved."""
    started: int = 0
    """Runs started so far."""
    rejected: int = 0
    """Requests rejected so far."""
    preempted: int = 0
    """Runs preempted so far in favour of starved pools."""
    longest_wait: float = 0.0
    """The longest time in seconds that a request was queued before it ran."""

    def copy_counters(self, other: Pool) -> None:
        """Copy the counters of the pool with the same name from before a reload."""
        self.started = other.started
        self.rejected = other.rejected
        self.preempted = other.preempted
        self.longest_wait = other.longest_wait


@dataclass(slots=True)
class PoolRun:
    """One run in progress."""

    class_index: int
    """Index of its request class."""
    pool: int
    """Index of its pool."""
    work: float
    """Expected work after ``started_at``, in seconds on a free core."""
    objective_at: float
    """The time at which its latency objective ends."""
    deadline: float
    """The time by which it must be answered."""
    started_at: float
    """The time at which it started or was resumed."""
    is_preempted: bool = False
    """Whether the pools have requested its cancellation in order to resume it later."""
