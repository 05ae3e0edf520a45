"""The table of kept keys: which request stands for a key, for how long, and its result."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from heapq import heappop, heappush

Key = tuple[int, str]  # class and key


@dataclass(slots=True)
class Entry:
    id: int
    until: float | None  # None: only while its request is open
    result: bytes | None = None  # there once a run ended well
    ended: bool = False
    digest: bytes | None = None  # of what was asked under the key, where that is compared


class IdempotencyKeyTable:
    """Entries by key; the module keeps and drops them, an open request stands for its key anyhow.

    Past ``limit`` bytes of results the oldest are let go; a repeat of one of those fails, but never runs.
    """

    def __init__(self, limit: int) -> None:
        self.limit, self.size = limit, 0
        self._entries: dict[Key, Entry] = {}
        self._results: deque[tuple[Key, int]] = deque()  # oldest first; some of them are gone since
        self._ends: list[tuple[float, Key]] = []

    def find(self, key: Key, now: float) -> Entry | None:
        """What stands for a key."""
        while self._ends and self._ends[0][0] <= now:
            _, old = heappop(self._ends)
            entry = self._entries.get(old)
            if entry is not None and entry.until is not None and entry.until <= now:
                self.drop(old, entry.id)
        return self._entries.get(key)

    def open(self, key: Key, id: int, digest: bytes | None = None) -> None:
        """An open request stands for a key that nobody stands for."""
        self._entries.setdefault(key, Entry(id, None, digest=digest))

    def keep(self, key: Key, id: int, until: float, digest: bytes | None = None) -> None:
        """An open request stands for its key until then, also once it is over."""
        entry = self._entries.get(key)
        if entry is None or entry.id != id:
            self.drop(key, entry.id if entry is not None else id)
            entry = self._entries[key] = Entry(id, until, digest=digest)
        entry.until = until
        heappush(self._ends, (until, key))

    def drop(self, key: Key, id: int) -> None:
        """The key is free again, if this request stands for it."""
        entry = self._entries.get(key)
        if entry is not None and entry.id == id:
            del self._entries[key]
            self.size -= len(entry.result or b"")

    def close(self, key: Key, id: int, result: bytes | None) -> None:
        """The request ended; an entry that was never kept goes with it."""
        entry = self._entries.get(key)
        if entry is None or entry.id != id:
            return
        if entry.until is None:
            return self.drop(key, id)
        entry.ended, entry.result = True, result
        self.size += len(result or b"")
        self._results.append((key, id))
        while self._results and (self.size > self.limit or self._old(*self._results[0]) is None):
            old = self._old(*self._results.popleft())
            if old is not None:
                self.size -= len(old.result or b"")
                old.result = None

    def _old(self, key: Key, id: int) -> Entry | None:
        entry = self._entries.get(key)
        return entry if entry is not None and entry.id == id else None

    def __len__(self) -> int:
        return len(self._entries)
