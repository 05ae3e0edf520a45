"""The ready queue of all pools: selects the next request by share of work, then by latency objective. Pure.

Pools are scheduled by start-time fair queueing (Goyal, Vin and Cheng, 1996) in units of work: each start advances the
virtual time of its pool by the work divided by the share, and the pool with the lowest virtual time is next. Shares
therefore hold over any period in which pools have requests queued, other pools use at once what a pool leaves unused,
and a pool that was idle has neither credit nor debt. Within a pool the request with the earliest objective that has not
passed is first; requests past their objective come last, by deadline. An operation takes logarithmic time in the length
of the pool's queue; removal is lazy.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from heapq import heappop, heappush

MIN_SHARE = 1e-6  # lower bound, so that virtual time stays finite


@dataclass(slots=True)
class Entry:
    """One queued request. Times are in seconds."""

    request_id: int
    pool: int
    """Index of its pool."""
    work: float
    """Expected work of its run, in seconds on a free core."""
    objective_at: float
    """The time at which its latency objective ends."""
    deadline: float
    """The time by which it must be answered."""
    class_index: int = 0
    """Index of its request class."""
    queued_at: float = 0.0
    """The time at which it was queued."""


@dataclass(slots=True)
class _PoolQueue:
    """The queued requests of one pool."""

    share: float
    virtual_time: float = 0.0
    count: int = 0
    work: float = 0.0
    # Heaps of (objective, request id), and of (deadline, request id) for requests past their objective.
    by_objective: list[tuple[float, int]] = field(default_factory=list)
    by_deadline: list[tuple[float, int]] = field(default_factory=list)


class ReadyQueue:
    """The queued requests of all pools. ``shares`` are the fractions of the work that the pools get."""

    def __init__(self, shares: list[float]) -> None:
        self._pool_queues = [_PoolQueue(max(share, MIN_SHARE)) for share in shares]
        self._entries: dict[int, Entry] = {}
        self._virtual_time = 0.0  # virtual time of the latest start

    def __len__(self) -> int:
        return len(self._entries)

    def __contains__(self, request_id: int) -> bool:
        return request_id in self._entries

    def count(self, pool: int) -> int:
        """The number of requests queued in a pool."""
        return self._pool_queues[pool].count

    def work(self, pool: int) -> float:
        """The total work queued in a pool."""
        return self._pool_queues[pool].work

    def entries(self) -> list[Entry]:
        """All queued requests."""
        return list(self._entries.values())

    def push(self, entry: Entry) -> None:
        """Queue a request."""
        queue = self._pool_queues[entry.pool]
        if not queue.count:
            # Idle time earns no credit: the pool continues at the current virtual time.
            queue.virtual_time = max(queue.virtual_time, self._virtual_time)
        self._entries[entry.request_id] = entry
        queue.count += 1
        queue.work += entry.work
        heappush(queue.by_objective, (entry.objective_at, entry.request_id))

    def remove(self, request_id: int) -> Entry | None:
        """Remove a request from any position and return it; ``None`` if it is not queued."""
        entry = self._entries.pop(request_id, None)
        if entry is not None:
            queue = self._pool_queues[entry.pool]
            queue.count -= 1
            queue.work = max(0.0, queue.work - entry.work) if queue.count else 0.0
        return entry

    def start(self, request_id: int) -> Entry | None:
        """Remove a request that starts, charge its work to its pool and return it; ``None`` if it is not queued."""
        entry = self.remove(request_id)
        if entry is not None:
            queue = self._pool_queues[entry.pool]
            self._virtual_time = max(self._virtual_time, queue.virtual_time)
            queue.virtual_time += entry.work / queue.share
        return entry

    def head(self, now: float, pool: int) -> Entry | None:
        """The next request of a pool; ``None`` if its queue is empty."""
        queue = self._pool_queues[pool]
        while queue.by_objective:
            objective_at, request_id = queue.by_objective[0]
            entry = self._entries.get(request_id)
            if entry is not None and objective_at >= now:
                return entry
            heappop(queue.by_objective)
            if entry is not None:
                heappush(queue.by_deadline, (entry.deadline, request_id))
        while queue.by_deadline:
            entry = self._entries.get(queue.by_deadline[0][1])
            if entry is not None:
                return entry
            heappop(queue.by_deadline)
        return None

    def order(self, now: float, can_start: Callable[[int], bool]) -> Iterator[Entry]:
        """The requests at the heads of the pools, in scheduling order.

        The caller may start or remove each request. If it does neither, the pool is skipped for the rest of the
        iteration. ``can_start`` is called before each request and returns whether a pool may start one more run.
        """
        skipped: set[int] = set()
        while True:
            entry = self._next(now, can_start, skipped)
            if entry is None:
                return
            yield entry
            if entry.request_id in self._entries:
                skipped.add(entry.pool)

    def _next(self, now: float, can_start: Callable[[int], bool], skipped: set[int]) -> Entry | None:
        best: Entry | None = None
        lowest_time = float("inf")
        for pool, queue in enumerate(self._pool_queues):
            if queue.count and pool not in skipped and queue.virtual_time < lowest_time and can_start(pool):
                head = self.head(now, pool)
                if head is not None:
                    best = head
                    lowest_time = queue.virtual_time
        return best
