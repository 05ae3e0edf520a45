"""A hierarchical timing wheel over seconds (Varghese and Lauck, 1987): adding and expiring take constant time."""

from __future__ import annotations

SLOTS = 256
LEVELS = 4  # covering 256 s, 18 hours, 194 days and 136 years


class TimingWheel:
    """Keys with expiry times. A key may be added more than once; the caller checks whether an expiry still applies."""

    def __init__(self, now: float) -> None:
        self._now = int(now)
        self._levels: list[list[list[tuple[int, int]]]] = [[[] for _ in range(SLOTS)] for _ in range(LEVELS)]
        self.count = 0

    def add(self, expiry: float, key: int) -> None:
        """Add a key that ``expire`` returns in the second after ``expiry`` (Unix seconds)."""
        self.count += 1
        self._insert(max(int(expiry) + 1, self._now + 1), key)

    def _insert(self, tick: int, key: int) -> None:
        distance = tick - self._now
        for level in range(LEVELS):
            if distance < SLOTS ** (level + 1) or level == LEVELS - 1:
                self._levels[level][tick // SLOTS**level % SLOTS].append((tick, key))
                return

    def expire(self, now: float) -> list[int]:
        """Remove and return the keys that have expired."""
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
        """Move the entries of the higher levels' current slots to lower levels."""
        for level in range(LEVELS - 1, 0, -1):
            if self._now % SLOTS**level == 0:
                slot = self._now // SLOTS**level % SLOTS
                entries = self._levels[level][slot]
                self._levels[level][slot] = []
                for tick, key in entries:
                    self._insert(max(tick, self._now), key)

    def seconds_to_next(self, limit: int = SLOTS) -> int | None:
        """Seconds until the next key expires; ``None`` if the lowest level has none within ``limit`` seconds."""
        for seconds in range(1, min(limit, SLOTS)):
            if self._levels[0][(self._now + seconds) % SLOTS]:
                return seconds
        return None
