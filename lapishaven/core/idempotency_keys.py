"""The table of idempotency keys: which request stands for a key, for how long, and its result."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from heapq import heappop, heappush

EffectKey = tuple[int, str]
"""A class's place in the settings, and an idempotency key within that class."""


@dataclass(slots=True)
class KeyEntry:
    """The request that stands for a key."""

    request_id: int
    expires_at: float | None  # seconds on the host's clock; None: it goes when its request is closed
    result: bytes | None = None  # of a run that ended well; None before, after a failure, or once it was evicted
    body_digest: bytes | None = None  # of the request's body, where bodies are compared


class IdempotencyKeyTable:
    """Entries by key.

    An open request stands for its key in any case; the controller decides for how long the entry is reserved beyond
    that. When the results take more than ``result_limit`` bytes, the oldest are evicted: a duplicate of such a request
    fails, but never runs.
    """

    def __init__(self, result_limit: int) -> None:
        self.result_limit = result_limit
        self.result_size = 0  # bytes of all results in the table
        self._entries: dict[EffectKey, KeyEntry] = {}
        self._results: deque[tuple[EffectKey, int]] = deque()  # oldest first, with entries that have gone since
        self._expiries: list[tuple[float, EffectKey]] = []  # heap

    def find(self, key: EffectKey, now: float) -> KeyEntry | None:
        """The entry of a key, after the removal of all that have expired."""
        while self._expiries and self._expiries[0][0] <= now:
            _, expired = heappop(self._expiries)
            entry = self._entries.get(expired)
            if entry is not None and entry.expires_at is not None and entry.expires_at <= now:
                self.release(expired, entry.request_id)
        return self._entries.get(key)

    def open(self, key: EffectKey, request_id: int, body_digest: bytes | None = None) -> None:
        """Enter an open request, unless another one stands for the key."""
        self._entries.setdefault(key, KeyEntry(request_id, None, body_digest=body_digest))

    def reserve(self, key: EffectKey, request_id: int, until: float, body_digest: bytes | None = None) -> None:
        """Have an open request stand for its key until ``until``, also after it is closed."""
        entry = self._entries.get(key)
        if entry is None or entry.request_id != request_id:
            if entry is not None:
                self.release(key, entry.request_id)
            entry = self._entries[key] = KeyEntry(request_id, until, body_digest=body_digest)
        entry.expires_at = until
        heappush(self._expiries, (until, key))

    def release(self, key: EffectKey, request_id: int) -> None:
        """Free the key, if this request stands for it."""
        entry = self._entries.get(key)
        if entry is not None and entry.request_id == request_id:
            del self._entries[key]
            self.result_size -= len(entry.result or b"")

    def close(self, key: EffectKey, request_id: int, result: bytes | None) -> None:
        """The request was closed: store its result, or free a key that was never reserved."""
        entry = self._entries.get(key)
        if entry is None or entry.request_id != request_id:
            return
        if entry.expires_at is None:
            self.release(key, request_id)
            return
        entry.result = result
        self.result_size += len(result or b"")
        self._results.append((key, request_id))
        self._evict_results()

    def _evict_results(self) -> None:
        """Drop the oldest results while there are too many, and those in front whose entries have gone."""
        while self._results and (self.result_size > self.result_limit or self._current(*self._results[0]) is None):
            entry = self._current(*self._results.popleft())
            if entry is not None:
                self.result_size -= len(entry.result or b"")
                entry.result = None

    def _current(self, key: EffectKey, request_id: int) -> KeyEntry | None:
        """The entry, if this request still stands for the key."""
        entry = self._entries.get(key)
        return entry if entry is not None and entry.request_id == request_id else None

    def __len__(self) -> int:
        return len(self._entries)
