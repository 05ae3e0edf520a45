"""Remembers which names were used, so that nothing is started twice under one name."""

from __future__ import annotations

from collections.abc import Hashable
from heapq import heappop, heappush
from itertools import count


class ClaimRegistry:
    """Claimed names. Each is forgotten ``retention`` seconds after it was claimed, unless its claim says otherwise.

    Nothing is forgotten early to make room: with ``limit`` names in the registry no further one may be claimed.
    """

    def __init__(self, retention: float, limit: int) -> None:
        self.retention = retention
        self.limit = limit
        self._claimed: dict[Hashable, float] = {}  # by name, until when
        self._expiries: list[tuple[float, int, Hashable]] = []  # heap; the number keeps names from being compared
        self._sequence = count()

    def expire(self, now: float) -> None:
        """Forget the names whose retention has passed."""
        while self._expiries and self._expiries[0][0] <= now:
            until, _, name = heappop(self._expiries)
            if self._claimed.get(name) == until:
                del self._claimed[name]

    def is_full(self, now: float) -> bool:
        """Whether no further name may be claimed; forgets those whose retention has passed."""
        self.expire(now)
        return len(self._claimed) >= self.limit

    def claim(self, now: float, name: Hashable, retention: float | None = None) -> None:
        """Claim a name, which is not claimed yet, in a registry that is not full; ``retention`` in seconds."""
        until = now + (self.retention if retention is None else retention)
        self._claimed[name] = until
        heappush(self._expiries, (until, next(self._sequence), name))

    def release(self, name: Hashable) -> None:
        """Forget a name whose run provably did nothing."""
        self._claimed.pop(name, None)

    def is_claimed(self, name: Hashable) -> bool:
        """Whether the name was claimed and is still remembered."""
        return name in self._claimed

    def __len__(self) -> int:
        return len(self._claimed)
