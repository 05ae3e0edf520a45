"""A hierarchical timing wheel over seconds (Varghese and Lauck, 1987): adding and expiring take constant time."""

from __future__ import annotations

SLOTS = 256
LEVELS = 4  # spans of 256 s, 18 hours, 194 days and 136 years


class TimingWheel:
    """Keys with a time at which they expire. A key may be added more than once; the caller checks what still holds."""

    def __init__(self, now: float) -> None:
        self._now = int(now)
        self._levels: list[list[list[tuple[int, int]]]] = [[[] for _ in range(SLOTS)] for _ in range(LEVELS)]
        self.count = 0

    def add(self, when: float, key: int) -> None:
        """Have ``expire`` give the key in the second after ``when`` (Unix seconds)."""
        self.count += 1
        self._insert(max(int(when) + 1, self._now + 1), key)

    def _insert(self, tick: int, key: int) -> None:
        distance = tick - self._now
        for level in range(LEVELS):
            if distance < SLOTS ** (level + 1) or level == LEVELS - 1:
                self._levels[level][tick // SLOTS**level % SLOTS].append((tick, key))
                return

    def expire(self, now: float) -> list[int]:
        """Remove and return the keys whose time has come."""
        expired: list[int] = []
        while self._now < int(now):
            self._now += 1
            self._cascade()
            slot = self._now % SLOTS
            entries = self._levels[0][slot]
            self._levels[0][slot] = []
            expired += [key for _, key in entries]
        self.count -= len(expired)
        return expired

    def _cascade(self) -> None:
        """Move entries of the higher wheels whose slot has come to lower ones."""
        for level in range(LEVELS - 1, 0, -1):
            if self._now % SLOTS**level == 0:
                slot = self._now // SLOTS**level % SLOTS
                entries = self._levels[level][slot]
                self._levels[level][slot] = []
                for tick, key in entries:
                    self._insert(max(tick, self._now), key)

    def seconds_to_next(self, limit: int = SLOTS) -> int | None:
        """Seconds until a key expires, if the lowest wheel has one within ``limit`` seconds."""
        for ahead in range(1, min(limit, SLOTS)):
            if self._levels[0][(self._now + ahead) % SLOTS]:
                return ahead
        return None
