"""The live state of one pool and of one run in it. Pure."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class Pool:
    """One pool."""

    name: str
    """From the settings."""
    share: float
    """Part of the instance's work that is guaranteed to it, 0 to 1."""
    ceiling: float
    """Part of the running limit that it may use by borrowing, 0 to 1."""
    running: int = 0
    """Requests of the pool that run."""
    short_since: float | None = None
    """When it began to have less than its share with something queued; ``None`` if it has its share."""
    started: int = 0
    """Runs started so far."""
    rejected: int = 0
    """Requests rejected so far."""
    preempted: int = 0
    """Runs preempted so far, for pools that were short."""
    longest_wait: float = 0.0
    """Seconds that any request was queued before it ran, at most."""

    def copy_counters(self, other: Pool) -> None:
        """Take over the counters of the pool of this name before a reload."""
        self.started = other.started
        self.rejected = other.rejected
        self.preempted = other.preempted
        self.longest_wait = other.longest_wait


@dataclass(slots=True)
class PoolRun:
    """A run as the pools account for it."""

    class_index: int
    """Its request class."""
    pool: int
    """Index of its pool."""
    work: float
    """Seconds on a free core that the run was expected to take from ``started_at`` on."""
    objective_at: float
    """When its latency objective ends."""
    deadline: float
    """When it must be answered."""
    started_at: float
    """When it started or was resumed."""
    is_preempted: bool = False
    """Whether the pools have asked for its cancellation, to go on with it later."""
