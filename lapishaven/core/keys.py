"""The table of kept keys: which request stands for a key, for how long, and its result."""

from __future__ import annotations

from dataclasses import dataclass
from heapq import heappop, heappush

Key = tuple[int, str]  # class and key


@dataclass(slots=True)
class Entry:
    id: int
    until: float | None  # None: only while its request is open
    result: bytes | None = None  # there once a run ended well
    ended: bool = False


class KeyTable:
    """Entries by key; the module keeps and drops them, an open request stands for its key anyhow."""

    def __init__(self) -> None:
        self._entries: dict[Key, Entry] = {}
        self._ends: list[tuple[float, Key]] = []

    def find(self, key: Key, now: float) -> Entry | None:
        while self._ends and self._ends[0][0] <= now:
            _, old = heappop(self._ends)
            entry = self._entries.get(old)
            if entry is not None and entry.until is not None and entry.until <= now:
                del self._entries[old]
        return self._entries.get(key)

    def open(self, key: Key, id: int) -> None:
        self._entries.setdefault(key, Entry(id, None))

    def keep(self, key: Key, id: int, until: float) -> None:
        entry = self._entries.get(key)
        if entry is None or entry.id != id:
            entry = self._entries[key] = Entry(id, until)
        entry.until = until
        heappush(self._ends, (until, key))

    def drop(self, key: Key, id: int) -> None:
        entry = self._entries.get(key)
        if entry is not None and entry.id == id:
            del self._entries[key]

    def close(self, key: Key, id: int, result: bytes | None) -> None:
        """The request ended; an entry that was never kept goes with it."""
        entry = self._entries.get(key)
        if entry is None or entry.id != id:
            return
        entry.ended, entry.result = True, result
        if entry.until is None:
            del self._entries[key]

    def __len__(self) -> int:
        return len(self._entries)
