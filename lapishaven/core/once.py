"""The single-execution guard: a name is claimed once, and remembered for as long as a try may return."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Hashable


class OnceGuard:
    """Remembers what was started. Names are forgotten ``life`` seconds after they were claimed."""

    def __init__(self, life: float) -> None:
        self.life = life
        self._claimed: OrderedDict[Hashable, float] = OrderedDict()

    def claim(self, now: float, *names: Hashable) -> bool:
        """True, and all names are taken, if none of them was."""
        while self._claimed and next(iter(self._claimed.values())) <= now:
            self._claimed.popitem(last=False)
        if any(name in self._claimed for name in names):
            return False
        for name in names:
            self._claimed[name] = now + self.life
        return True

    def release(self, *names: Hashable) -> None:
        """For what provably never ran."""
        for name in names:
            self._claimed.pop(name, None)

    def claimed(self, name: Hashable) -> bool:
        return name in self._claimed

    def __len__(self) -> int:
        return len(self._claimed)
