"""The ready queue over pools: which held request is next, by share of work, then by its aim. Pure.

Pools take turns by start-time fair queueing in units of work: each start moves its pool's virtual time on by its
work over its share, and the pool with the least goes next. So shares hold over any stretch in which pools have
something waiting, what one leaves others take at once, and one that comes back is behind by nothing and ahead by
nothing. Inside a pool the earliest aim that can still be met goes first, those past it last. A step costs the log of
what is held in one pool, a removal is lazy.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from heapq import heappop, heappush


@dataclass(slots=True)
class Entry:
    """One held request."""

    id: int
    pool: int
    work: float
    kb: float
    aim_at: float
    due: float
    late: bool = False  # it stands among those past their aim


@dataclass(slots=True)
class _Lane:
    """One pool's held requests."""

    share: float
    virtual: float = 0.0
    count: int = 0
    work: float = 0.0
    prompt: list[tuple[float, int]] = field(default_factory=list)  # aim, id
    late: list[tuple[float, int]] = field(default_factory=list)  # due, id


class ReadyQueue:
    """Held requests of all pools."""

    def __init__(self, shares: list[float]) -> None:
        self._lanes = [_Lane(max(share, 1e-6)) for share in shares]
        self._entries: dict[int, Entry] = {}
        self._virtual = 0.0  # of the last start

    def __len__(self) -> int:
        return len(self._entries)

    def __contains__(self, id: int) -> bool:
        return id in self._entries

    def count(self, pool: int) -> int:
        return self._lanes[pool].count

    def work(self, pool: int) -> float:
        """Work held in a pool."""
        return self._lanes[pool].work

    def entries(self) -> list[Entry]:
        """All that is held."""
        return list(self._entries.values())

    def push(self, entry: Entry) -> None:
        lane = self._lanes[entry.pool]
        if not lane.count:
            # Idle time earns nothing: it begins where the others are.
            lane.virtual = max(lane.virtual, self._virtual)
        self._entries[entry.id] = entry
        lane.count += 1
        lane.work += entry.work
        heappush(lane.prompt, (entry.aim_at, entry.id))

    def remove(self, id: int) -> Entry | None:
        """Take one out, wherever it stands."""
        entry = self._entries.pop(id, None)
        if entry is not None:
            lane = self._lanes[entry.pool]
            lane.count -= 1
            lane.work = max(0.0, lane.work - entry.work) if lane.count else 0.0
        return entry

    def start(self, id: int) -> Entry | None:
        """It runs now: it leaves, and its pool pays for it."""
        entry = self.remove(id)
        if entry is not None:
            lane = self._lanes[entry.pool]
            self._virtual = max(self._virtual, lane.virtual)
            lane.virtual += entry.work / lane.share
        return entry

    def head(self, now: float, pool: int) -> Entry | None:
        """The next of a pool."""
        lane = self._lanes[pool]
        while lane.prompt:
            aim, id = lane.prompt[0]
            entry = self._entries.get(id)
            if entry is None:
                heappop(lane.prompt)
            elif aim < now:
                heappop(lane.prompt)
                entry.late = True
                heappush(lane.late, (entry.due, id))
            else:
                return entry
        while lane.late:
            entry = self._entries.get(lane.late[0][1])
            if entry is not None:
                return entry
            heappop(lane.late)
        return None

    def order(self, now: float, may: Callable[[int], bool]) -> Iterator[Entry]:
        """Heads in the order of their turn. The caller starts one, removes it, or leaves it: then its pool is
        passed over for the rest. ``may`` is asked before each whether a pool may start one now."""
        passed: set[int] = set()
        while True:
            best: Entry | None = None
            least = float("inf")
            for n, lane in enumerate(self._lanes):
                if lane.count and n not in passed and lane.virtual < least and may(n):
                    head = self.head(now, n)
                    if head is not None:
                        best, least = head, lane.virtual
            if best is None:
                return
            yield best
            if best.id in self._entries:
                passed.add(best.pool)
