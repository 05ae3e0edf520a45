"""Expiry: a hierarchical timing wheel over seconds. Adding and letting expire cost the same however many wait."""

from __future__ import annotations

SLOTS = 256
LEVELS = 4  # 256 s, 18 h, 194 days, 136 years


class Wheel:
    """Names to be told of once their second has come. A name may be there more than once; the caller looks whether
    it still means anything."""

    def __init__(self, now: float) -> None:
        self._now = int(now)
        self._levels: list[list[list[tuple[int, int]]]] = [[[] for _ in range(SLOTS)] for _ in range(LEVELS)]
        self.count = 0

    def add(self, when: float, name: int) -> None:
        self.count += 1
        self._put(max(int(when) + 1, self._now + 1), name)

    def _put(self, tick: int, name: int) -> None:
        ahead = tick - self._now
        for level in range(LEVELS):
            if ahead < SLOTS ** (level + 1) or level == LEVELS - 1:
                self._levels[level][tick // SLOTS**level % SLOTS].append((tick, name))
                return

    def due(self, now: float) -> list[int]:
        """All whose time has come by now."""
        found: list[int] = []
        while self._now < int(now):
            self._now += 1
            for level in range(LEVELS - 1, 0, -1):
                if self._now % SLOTS**level == 0:
                    slot = self._now // SLOTS**level % SLOTS
                    moved, self._levels[level][slot] = self._levels[level][slot], []
                    for tick, name in moved:
                        self._put(max(tick, self._now), name)
            slot = self._now % SLOTS
            here, self._levels[0][slot] = self._levels[0][slot], []
            found += [name for _, name in here]
        self.count -= len(found)
        return found

    def next_in(self, limit: int = SLOTS) -> int | None:
        """Seconds until something may be due, as far as the lowest wheel tells."""
        for ahead in range(1, min(limit, SLOTS)):
            if self._levels[0][(self._now + ahead) % SLOTS]:
                return ahead
        return None
