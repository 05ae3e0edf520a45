"""Compaction in slices: live records of a sealed segment are written again, then the segment is removed."""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterator
from concurrent.futures import Future
from contextlib import suppress

from lapishaven.storage.errors import StoreError
from lapishaven.storage.files import FileSystem
from lapishaven.storage.format import PUT, Record
from lapishaven.storage.index import ABSENT, Index, digest, make_place
from lapishaven.storage.record_reader import RecordReader
from lapishaven.storage.segments import Segment, SegmentTable, Stats
from lapishaven.storage.wall_clock import MonotonicWallClock


class Compaction:
    """Compacts the segments of one store. The store's thread calls ``run_slice``, and so may a caller."""

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
        """``lock`` guards ``segments`` and ``index``; ``write_copies`` has records written again as they are."""
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
        self._in_progress: Iterator[None] | None = None

    def run_slice(self, max_bytes: int, everything: bool, max_number: int) -> bool:
        """Copy up to ``max_bytes`` of live records out of one segment; gives whether there is more to do.

        The segment is removed once all copies are durable. If this is cut off at any point, the next opening finds the
        same records. ``everything``: compact every sealed segment up to ``max_number``, whatever it holds.
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
        """The oldest sealed segment with enough garbage: tombstones can be dropped only behind the oldest one.

        Tombstones do not count as garbage, as they may still be needed and would be copied again and again.
        """
        with self._state_lock:
            if self._segments.any_pinned():
                return None
            candidates = [
                segment
                for segment in self._segments
                if segment.sealed and segment.number <= max_number and (everything or self._is_wasteful(segment))
            ]
            if not candidates:
                return None
            return min(candidates, key=lambda candidate: candidate.number)

    def _is_wasteful(self, segment: Segment) -> bool:
        if not segment.record_count:
            return True
        garbage = segment.record_count - segment.live_count - segment.tombstone_count
        return garbage / segment.record_count >= self._garbage_ratio

    def _compact_segment(self, segment: Segment, max_bytes: int) -> Iterator[None]:
        """Yields after each slice."""
        futures: list[Future[int]] = []
        for records in self._needed_slices(segment, max_bytes):
            futures.append(self._write_copies(records))
            yield
        for future in futures:
            while not future.done():
                yield
            future.result()
        if not self._forget(segment):
            return
        with suppress(OSError):
            self._files.remove(segment.hint_name)
        self._files.remove(segment.name)
        # Until the removal is durable nothing may rely on it: a tombstone dropped meanwhile would have its key come
        # back with the file.
        self._files.sync_directory()

    def _needed_slices(self, segment: Segment, max_bytes: int) -> Iterator[list[Record]]:
        """The records to be copied, in slices of about ``max_bytes``."""
        records: list[Record] = []
        size = 0
        for offset, record in self._reader.records_of(segment):
            if not self._is_needed(segment, offset, record):
                continue
            records.append(record)
            size += record.size
            if size >= max_bytes:
                yield records
                records = []
                size = 0
        if records:
            yield records

    def _forget(self, segment: Segment) -> bool:
        """Take a copied segment out of the table, unless it is pinned or the index points to it again."""
        with self._state_lock:
            if self._segments.any_pinned():
                return False
            for offset, record in self._reader.records_of(segment):
                entry = self._index.get(digest(record.key))
                if entry is not None and entry.place == make_place(segment.number, offset):
                    return False
            self._segments.remove(segment.number)
            self._stats.compacted += 1
            return True

    def _is_needed(self, segment: Segment, offset: int, record: Record) -> bool:
        """Whether a record has to be copied.

        A live put has to. A tombstone or an expired put hides older records of its key, and is needed while any other
        segment may hold such a record; otherwise its key is removed from the index.
        """
        with self._state_lock:
            key_digest = digest(record.key)
            entry = self._index.get(key_digest)
            if entry is None or entry.sequence != record.sequence:
                return False
            expired = 0 < record.expiry <= self._clock.now()
            if record.kind == PUT and not expired:
                return entry.place == make_place(segment.number, offset)
            hides_older = any(
                other.created_at_sequence < record.sequence for other in self._segments if other is not segment
            )
            if not hides_older:
                if entry.place != ABSENT:
                    self._index.put(key_digest, ABSENT, record.sequence, 0.0)
                self._index.remove_tombstone(key_digest)
            return hides_older
