"""The single-execution guard: a name is claimed once, and remembered for as long as a try may return."""

from __future__ import annotations

from collections.abc import Hashable
from heapq import heappop, heappush
from itertools import count


class AttemptRegistry:
    """Remembers what was started. A name is forgotten ``life`` seconds after it was claimed, or after the life that
    its claim gave.

    Nothing is forgotten early to make room: when ``limit`` names are there, no new one can be claimed.
    """

    def __init__(self, life: float, limit: int) -> None:
        self.life, self.limit = life, limit
        self._claimed: dict[Hashable, float] = {}  # until when
        self._ends: list[tuple[float, int, Hashable]] = []
        self._order = count()

    def expire(self, now: float) -> None:
        """Forget what is past its life."""
        while self._ends and self._ends[0][0] <= now:
            until, _, name = heappop(self._ends)
            if self._claimed.get(name) == until:
                del self._claimed[name]

    def full(self, now: float) -> bool:
        """Whether no further name can be claimed; forgets what is past its life."""
        self.expire(now)
        return len(self._claimed) >= self.limit

    def claim(self, now: float, name: Hashable, life: float | None = None) -> None:
        """Take a name, which is neither claimed nor beyond the limit."""
        until = now + (self.life if life is None else life)
        self._claimed[name] = until
        heappush(self._ends, (until, next(self._order), name))

    def release(self, name: Hashable) -> None:
        """For what provably never ran."""
        self._claimed.pop(name, None)

    def claimed(self, name: Hashable) -> bool:
        """Whether the name was claimed and is still remembered."""
        return name in self._claimed

    def __len__(self) -> int:
        return len(self._claimed)
