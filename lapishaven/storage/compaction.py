"""Compaction in slices: what is live in the worst sealed segment is written again, then the segment goes."""

from __future__ import annotations

import threading
from collections.abc import Iterator
from concurrent.futures import Future
from contextlib import suppress
from typing import TYPE_CHECKING

from lapishaven.storage.errors import StoreError
from lapishaven.storage.format import PUT, Record
from lapishaven.storage.index import GONE, digest, place_of
from lapishaven.storage.segments import Segment

if TYPE_CHECKING:
    from lapishaven.storage.store import Store


class Compaction:
    """Of one store. Its own thread compacts, and so may a caller."""

    def __init__(self, store: Store) -> None:
        self._store = store
        self._lock = threading.Lock()
        self._under_way: Iterator[None] | None = None

    def slice(self, budget: int, everything: bool, upto: int) -> bool:
        """Copy up to so many bytes of what is live out of the worst sealed segment; once none is left and the copies
        are durable, the segment goes. Cut off at any point, the next opening finds the same records. True if there
        is more to do."""
        with self._lock:
            if self._under_way is None:
                victim = self._victim(everything, upto)
                if victim is None:
                    return False
                self._under_way = self._compact_one(victim, budget)
            try:
                next(self._under_way)
            except StopIteration:
                self._under_way = None
            except StoreError:
                self._under_way = None
                return False
            return True

    def _victim(self, everything: bool, upto: int) -> Segment | None:
        with self._store.lock:
            segments, dead = self._store.segments.values(), self._store.limits.dead
            sealed = [s for s in segments if s.sealed and not s.pins and s.number <= upto]
            if any(s.pins for s in segments):
                return None
            # Tombstones may still be needed, and would only be copied on and on; a full compaction looks at each
            # once.
            worst = [
                s
                for s in sealed
                if everything or not s.records or (s.records - s.live - s.tombstones) / s.records >= dead
            ]
            # The oldest first: only behind it can tombstones be let go.
            return min(worst, key=lambda each: each.number) if worst else None

    def _compact_one(self, segment: Segment, budget: int) -> Iterator[None]:
        copied: list[Record] = []
        futures: list[Future[int]] = []
        spent = 0
        for at, record in self._store.records_of(segment):
            if not self._needed(segment, at, record):
                continue
            copied.append(record)
            spent += record.size
            if spent >= budget:
                futures.append(self._store.queue_copies(copied))
                copied, spent = [], 0
                yield
        if copied:
            futures.append(self._store.queue_copies(copied))
            yield
        for future in futures:
            while not future.done():
                yield
            future.result()
        with self._store.lock:
            if any(s.pins for s in self._store.segments.values()):
                return
            for at, record in self._store.records_of(segment):
                found = self._store.index.get(digest(record.key))
                if found is not None and found[0] == place_of(segment.number, at):
                    return  # it came to life here again; next time
            del self._store.segments[segment.number]
            self._store.stats.compacted += 1
        with suppress(OSError):
            self._store.files.remove(segment.hint)
        self._store.files.remove(segment.name)
        # Until this lasts nothing may rely on the segment's being gone: a tombstone let go meanwhile would have
        # its key come back with the file.
        self._store.files.sync_names()

    def _needed(self, segment: Segment, at: int, record: Record) -> bool:
        with self._store.lock:
            found = self._store.index.get(digest(record.key))
            if found is None or found[1] != record.seq:
                return False
            expired = 0 < record.expiry <= self._store.now()
            if record.kind == PUT and not expired:
                return found[0] == place_of(segment.number, at)
            # A tombstone, or an expired put, hides older records of its key: needed while such may lie anywhere.
            older = any(s.clock < record.seq for s in self._store.segments.values() if s is not segment)
            if not older:
                if found[0] != GONE:
                    self._store.index.put(digest(record.key), GONE, record.seq, 0.0)
                self._store.index.drop(digest(record.key))
            return older
