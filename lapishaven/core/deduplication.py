"""A registry of claimed names, so that nothing is started twice under the same name."""

from __future__ import annotations

from collections.abc import Hashable
from heapq import heappop, heappush
from itertools import count


class ClaimRegistry:
    """Claimed names. A claim expires after ``retention`` seconds unless a retention of its own was given.

    No claim is dropped early to make room: when the registry holds ``limit`` names, no other may be claimed.
    """

    def __init__(self, retention: float, limit: int) -> None:
        self.retention = retention
        self.limit = limit
        self._claimed: dict[Hashable, float] = {}  # expiry time by name
        self._expiries: list[tuple[float, int, Hashable]] = []  # heap; the sequence number avoids comparing names
        self._sequence = count()

    def expire(self, now: float) -> None:
        """Remove the claims that have expired."""
        while self._expiries and self._expiries[0][0] <= now:
            until, _, name = heappop(self._expiries)
            if self._claimed.get(name) == until:
                del self._claimed[name]

    def is_full(self, now: float) -> bool:
        """Whether no further name may be claimed; removes expired claims first."""
        self.expire(now)
        return len(self._claimed) >= self.limit

    def claim(self, now: float, name: Hashable, retention: float | None = None) -> None:
        """Claim a name that is not claimed, in a registry that is not full; ``retention`` is in seconds."""
        until = now + (self.retention if retention is None else retention)
        self._claimed[name] = until
        heappush(self._expiries, (until, next(self._sequence), name))

    def release(self, name: Hashable) -> None:
        """Remove the claim of a name whose run provably had no effect."""
        self._claimed.pop(name, None)

    def is_claimed(self, name: Hashable) -> bool:
        """Whether the name is claimed and its claim has not been removed."""
        return name in self._claimed

    def __len__(self) -> int:
        return len(self._claimed)
