"""The table of idempotency keys: the request that holds each key, for how long, and its result."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from heapq import heappop, heappush

EffectKey = tuple[int, str]
"""The index of a class in the settings, and an idempotency key within that class."""


@dataclass(slots=True)
class KeyEntry:
    """The request that holds a key."""

    request_id: int
    expires_at: float | None  # seconds on the host's clock; None: removed when the request is closed
    result: bytes | None = None  # of a completed run; None before that, after a failure, or once evicted
    body_digest: bytes | None = None  # digest of the request's body


class IdempotencyKeyTable:
    """Entries by key.

    A request holds its key at least while it is open; the controller decides how long the entry is reserved beyond
    that. When the results take more than ``result_limit_bytes``, the oldest are evicted: a duplicate of such a request
    then fails, but never runs.
    """

    def __init__(self, result_limit_bytes: int) -> None:
        self.result_limit_bytes = result_limit_bytes
        self.result_bytes = 0  # total size of the results in the table
        self._entries: dict[EffectKey, KeyEntry] = {}
        self._results: deque[tuple[EffectKey, int]] = (
            deque()
        )  # oldest first; may include entries that have been removed
        self._expiries: list[tuple[float, EffectKey]] = []  # heap

    def find(self, key: EffectKey, now: float) -> KeyEntry | None:
        """The entry of a key; removes expired entries first."""
        while self._expiries and self._expiries[0][0] <= now:
            _, expired = heappop(self._expiries)
            entry = self._entries.get(expired)
            if entry is not None and entry.expires_at is not None and entry.expires_at <= now:
                self.release(expired, entry.request_id)
        return self._entries.get(key)

    def open(self, key: EffectKey, request_id: int, body_digest: bytes | None = None) -> None:
        """Add an entry for an open request, unless another request holds the key."""
        self._entries.setdefault(key, KeyEntry(request_id, None, body_digest=body_digest))

    def reserve(self, key: EffectKey, request_id: int, until: float, body_digest: bytes | None = None) -> None:
        """Let an open request hold its key until ``until``, even after it is closed."""
        entry = self._entries.get(key)
        if entry is None or entry.request_id != request_id:
            if entry is not None:
                self.release(key, entry.request_id)
            entry = self._entries[key] = KeyEntry(request_id, until, body_digest=body_digest)
        entry.expires_at = until
        heappush(self._expiries, (until, key))

    def release(self, key: EffectKey, request_id: int) -> None:
        """Remove the entry of a key if this request holds it."""
        entry = self._entries.get(key)
        if entry is not None and entry.request_id == request_id:
            del self._entries[key]
            self.result_bytes -= len(entry.result or b"")

    def close(self, key: EffectKey, request_id: int, result: bytes | None) -> None:
        """Store the result of a closed request, or remove its entry if the key was never reserved."""
        entry = self._entries.get(key)
        if entry is None or entry.request_id != request_id:
            return
        if entry.expires_at is None:
            self.release(key, request_id)
            return
        entry.result = result
        self.result_bytes += len(result or b"")
        self._results.append((key, request_id))
        self._evict_results()

    def _evict_results(self) -> None:
        """Evict the oldest results while they exceed the limit; skip queue items whose entries were removed."""
        while self._results and (
            self.result_bytes > self.result_limit_bytes or self._current(*self._results[0]) is None
        ):
            entry = self._current(*self._results.popleft())
            if entry is not None:
                self.result_bytes -= len(entry.result or b"")
                entry.result = None

    def _current(self, key: EffectKey, request_id: int) -> KeyEntry | None:
        """The entry of a key if this request still holds it, else ``None``."""
        entry = self._entries.get(key)
        return entry if entry is not None and entry.request_id == request_id else None

    def __len__(self) -> int:
        return len(self._entries)
