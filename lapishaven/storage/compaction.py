"""Incremental compaction: copies the live records of a sealed segment, then removes the segment."""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterator
from concurrent.futures import Future
from contextlib import suppress

from lapishaven.storage.errors import StoreError
from lapishaven.storage.files import FileSystem
from lapishaven.storage.format import PUT, Record
from lapishaven.storage.index import ABSENT, Index, digest, pack_location
from lapishaven.storage.record_reader import RecordReader
from lapishaven.storage.segments import Segment, SegmentTable, Stats
from lapishaven.storage.wall_clock import MonotonicWallClock


class Compaction:
    """Compacts the segments of a store. ``run_slice`` is called by the store's thread and may be called by others."""

    def __init__(
        self,
        files: FileSystem,
        segments: SegmentTable,
        index: Index,
        reader: RecordReader,
        clock: MonotonicWallClock,
        stats: Stats,
        lock: threading.RLock,
        garbage_ratio: float,
        write_copies: Callable[[list[Record]], Future[int]],
    ) -> None:
        """``lock`` guards ``segments`` and ``index``; ``write_copies`` queues unchanged records to be written."""
        self._files = files
        self._segments = segments
        self._index = index
        self._reader = reader
        self._clock = clock
        self._stats = stats
        self._state_lock = lock
        self._garbage_ratio = garbage_ratio
        self._write_copies = write_copies
        self._slice_lock = threading.Lock()
        self._in_progress: Iterator[None] | None = None  # of the segment that is being compacted

    def run_slice(self, max_bytes: int, everything: bool, max_number: int) -> bool:
        """Copy about ``max_bytes`` of live records out of one segment; returns whether to call again.

        The segment is removed once all copies are durable. If compaction is interrupted at any point, reopening the
        store finds the same records. ``everything``: compact every sealed segment up to ``max_number``, even one
        without garbage. Returns false if no segment qualifies, or if a copy could not be written: the segment then
        stays, and a later call starts on it again.
        """
        with self._slice_lock:
            if self._in_progress is None:
                segment = self._choose_segment(everything, max_number)
                if segment is None:
                    return False
                self._in_progress = self._compact_segment(segment, max_bytes)
            try:
                next(self._in_progress)
            except StopIteration:
                self._in_progress = None
            except StoreError:
                self._in_progress = None
                return False
            return True

    def _choose_segment(self, everything: bool, max_number: int) -> Segment | None:
        """The oldest sealed segment with enough garbage.

        Oldest first, as a tombstone can be dropped only when no older segment may have a record of its key. Tombstones
        do not count as garbage, as they may still be needed and would be copied again and again.
        """
        with self._state_lock:
            if self._segments.any_pinned():
                return None
            candidates = [
                segment
                for segment in self._segments
                if segment.sealed and segment.number <= max_number and (everything or self._has_enough_garbage(segment))
            ]
            if not candidates:
                return None
            return min(candidates, key=lambda candidate: candidate.number)

    def _has_enough_garbage(self, segment: Segment) -> bool:
        if not segment.record_count:
            return True
        garbage = segment.record_count - segment.live_count - segment.tombstone_count
        return garbage / segment.record_count >= self._garbage_ratio

    def _compact_segment(self, segment: Segment, max_bytes: int) -> Iterator[None]:
        """Copy the live records of a segment, yielding after each slice, then remove the segment."""
        futures: list[Future[int]] = []
        for records in self._slices_to_copy(segment, max_bytes):
            futures.append(self._write_copies(records))
            yield
        for future in futures:
            while not future.done():
                yield
            future.result()
        if not self._remove_from_table(segment):
            return
        with suppress(OSError):
            self._files.remove(segment.hint_name)
        self._files.remove(segment.name)
        # Sync before anything relies on the removal: if a tombstone were dropped and the file came back after a power
        # loss, the deleted key would come back too.
        self._files.sync_directory()

    def _slices_to_copy(self, segment: Segment, max_bytes: int) -> Iterator[list[Record]]:
        """The records that must be copied, in slices of about ``max_bytes``."""
        records: list[Record] = []
        size = 0
        for offset, record in self._reader.records_of(segment):
            if not self._must_be_copied(segment, offset, record):
                continue
            records.append(record)
            size += record.size
            if size >= max_bytes:
                yield records
                records = []
                size = 0
        if records:
            yield records

    def _remove_from_table(self, segment: Segment) -> bool:
        """Remove a copied segment from the table, unless a segment is pinned or the index still points to it."""
        with self._state_lock:
            if self._segments.any_pinned():
                return False
            for offset, record in self._reader.records_of(segment):
                entry = self._index.get(digest(record.key))
                if entry is not None and entry.location == pack_location(segment.number, offset):
                    return False
            self._segments.remove(segment.number)
            self._stats.compacted += 1
            return True

    def _must_be_copied(self, segment: Segment, offset: int, record: Record) -> bool:
        """Whether a record must be copied; if its key is gone for good, this also removes the key from the index.

        A live put must be copied. A tombstone or an expired put hides older records of its key, so it must be copied
        while any other segment may have such a record. Otherwise its key is gone for good.
        """
        with self._state_lock:
            key_digest = digest(record.key)
            entry = self._index.get(key_digest)
            if entry is None or entry.sequence != record.sequence:
                return False
            expired = 0 < record.expiry <= self._clock.now()
            if record.kind == PUT and not expired:
                return entry.location == pack_location(segment.number, offset)  # not if it was copied before
            may_hide_older = any(
                other.created_at_sequence < record.sequence for other in self._segments if other is not segment
            )
            if not may_hide_older:
                if entry.location != ABSENT:
                    self._index.put(key_digest, ABSENT, record.sequence, 0.0)
                self._index.remove_tombstone(key_digest)
            return may_hide_older
