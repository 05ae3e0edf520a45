"""The ready queue over pools: which queued request runs next, by share of work, then by latency objective. Pure.

Pools take turns by start-time fair queueing (Goyal, Vin and Cheng, 1996) in units of work: each start moves its pool's
virtual time on by its work over its share, and the pool with the least goes next. So shares hold over any stretch in
which pools have something queued, what one leaves others take at once, and a pool that was idle has no credit and no
debt. Inside a pool the earliest objective that can still be met goes first; those past it go last, by deadline. A step
costs the logarithm of a pool's queue; removal is lazy.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from heapq import heappop, heappush

MIN_SHARE = 1e-6  # so that virtual time stays finite


@dataclass(slots=True)
class Entry:
    """One queued request. Times are seconds."""

    request_id: int
    pool: int
    """Index of its pool."""
    work: float
    """Seconds on a free core that its run is expected to take."""
    objective_at: float
    """When its latency objective ends."""
    deadline: float
    """When it must be answered."""
    class_index: int = 0
    """Its request class."""
    queued_at: float = 0.0
    """When it was queued."""


@dataclass(slots=True)
class _Lane:
    """One pool's queued requests."""

    share: float
    virtual_time: float = 0.0
    count: int = 0
    work: float = 0.0
    by_objective: list[tuple[float, int]] = field(default_factory=list)  # objective, id
    by_deadline: list[tuple[float, int]] = field(default_factory=list)  # deadline, id; past their objective


class ReadyQueue:
    """Queued requests of all pools. ``shares`` are the parts of the work that the pools get."""

    def __init__(self, shares: list[float]) -> None:
        self._lanes = [_Lane(max(share, MIN_SHARE)) for share in shares]
        self._entries: dict[int, Entry] = {}
        self._virtual_time = 0.0  # of the latest start

    def __len__(self) -> int:
        return len(self._entries)

    def __contains__(self, request_id: int) -> bool:
        return request_id in self._entries

    def count(self, pool: int) -> int:
        """Requests queued in a pool."""
        return self._lanes[pool].count

    def work(self, pool: int) -> float:
        """Work queued in a pool."""
        return self._lanes[pool].work

    def entries(self) -> list[Entry]:
        """All that is queued."""
        return list(self._entries.values())

    def push(self, entry: Entry) -> None:
        """Queue a request."""
        lane = self._lanes[entry.pool]
        if not lane.count:
            # Idle time earns no credit: the pool begins where the others are.
            lane.virtual_time = max(lane.virtual_time, self._virtual_time)
        self._entries[entry.request_id] = entry
        lane.count += 1
        lane.work += entry.work
        heappush(lane.by_objective, (entry.objective_at, entry.request_id))

    def remove(self, request_id: int) -> Entry | None:
        """Take a request out, wherever it stands; ``None`` if it is not queued."""
        entry = self._entries.pop(request_id, None)
        if entry is not None:
            lane = self._lanes[entry.pool]
            lane.count -= 1
            lane.work = max(0.0, lane.work - entry.work) if lane.count else 0.0
        return entry

    def start(self, request_id: int) -> Entry | None:
        """Take a request out as it starts, and charge its pool for it; ``None`` if it is not queued."""
        entry = self.remove(request_id)
        if entry is not None:
            lane = self._lanes[entry.pool]
            self._virtual_time = max(self._virtual_time, lane.virtual_time)
            lane.virtual_time += entry.work / lane.share
        return entry

    def head(self, now: float, pool: int) -> Entry | None:
        """The next request of a pool; ``None`` if its queue is empty."""
        lane = self._lanes[pool]
        while lane.by_objective:
            objective_at, request_id = lane.by_objective[0]
            entry = self._entries.get(request_id)
            if entry is not None and objective_at >= now:
                return entry
            heappop(lane.by_objective)
            if entry is not None:
                heappush(lane.by_deadline, (entry.deadline, request_id))
        while lane.by_deadline:
            entry = self._entries.get(lane.by_deadline[0][1])
            if entry is not None:
                return entry
            heappop(lane.by_deadline)
        return None

    def order(self, now: float, can_start: Callable[[int], bool]) -> Iterator[Entry]:
        """The heads of the pools in the order of their turn.

        The caller starts or removes each, or leaves it: then its pool is passed over for the rest. ``can_start``
        tells before each whether a pool may start one more run now.
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
        least = float("inf")
        for pool, lane in enumerate(self._lanes):
            if lane.count and pool not in skipped and lane.virtual_time < least and can_start(pool):
                head = self.head(now, pool)
                if head is not None:
                    best = head
                    least = lane.virtual_time
        return best
