"""The single-execution guard: a name is claimed once, and remembered for as long as a try may return."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Hashable


class OnceGuard:
    """Remembers what was started. Names are forgotten ``life`` seconds after they were claimed.

    Nothing is forgotten early to make room: when ``limit`` names are there, no new one can be claimed.
    """

    def __init__(self, life: float, limit: int) -> None:
        self.life, self.limit = life, limit
        self._claimed: OrderedDict[Hashable, float] = OrderedDict()

    def full(self, now: float) -> bool:
        while self._claimed and next(iter(self._claimed.values())) <= now:
            self._claimed.popitem(last=False)
        return len(self._claimed) >= self.limit

    def claim(self, now: float, name: Hashable) -> None:
        """Take a name, which is neither claimed nor beyond the limit."""
        self._claimed[name] = now + self.life

    def release(self, name: Hashable) -> None:
        """For what provably never ran."""
        self._claimed.pop(name, None)

    def claimed(self, name: Hashable) -> bool:
        return name in self._claimed

    def __len__(self) -> int:
        return len(self._claimed)
