"""Appends frames to the active segment, seals it when it is full and creates the next one."""

from __future__ import annotations

import errno
import threading
import time
from collections.abc import Callable
from contextlib import suppress

import numpy as np

from lapishaven.storage import format as fmt
from lapishaven.storage.disk_reserve import DiskReserve
from lapishaven.storage.errors import StoreFullError, StoreWriteError
from lapishaven.storage.files import FileSystem
from lapishaven.storage.format import PUT, TOMBSTONE, Record
from lapishaven.storage.hint_file import Hint, write_hint
from lapishaven.storage.index import ABSENT, LOW_MASK, ROW_TYPE, digest, pack_location
from lapishaven.storage.record_reader import RecordReader
from lapishaven.storage.segments import Limits, Segment, SegmentTable, Stats
from lapishaven.storage.wall_clock import MonotonicWallClock

DISK_FULL_ERRNOS = (errno.ENOSPC, errno.EDQUOT)
MAX_SYNC_DURATIONS = 1000  # length of ``Stats.sync_seconds``


def index_row(segment: Segment, offset: int, record: Record) -> tuple[int, int, int, int, float]:
    """The index row (``index.ROW_TYPE``) of a record at an offset in a segment."""
    key_digest = digest(record.key)
    location = pack_location(segment.number, offset) if record.kind == PUT else ABSENT
    return key_digest >> 64, key_digest & LOW_MASK, location, record.sequence, record.expiry


class SegmentWriter:
    """Appends frames to the active segment. Only one thread may write at a time."""

    def __init__(
        self,
        files: FileSystem,
        limits: Limits,
        segments: SegmentTable,
        lock: threading.RLock,
        reader: RecordReader,
        clock: MonotonicWallClock,
        reserve: DiskReserve,
        stats: Stats,
        last_written_sequence: Callable[[], int],
    ) -> None:
        """``lock`` guards ``segments``; all records up to ``last_written_sequence()`` are written."""
        self._files = files
        self._limits = limits
        self._segments = segments
        self._lock = lock
        self._reader = reader
        self._clock = clock
        self._reserve = reserve
        self._stats = stats
        self._last_written_sequence = last_written_sequence

    def write_frame(self, records: list[Record], wall_time: float) -> tuple[Segment, int, int]:
        """Append records as one frame and sync it; returns the segment and the frame's start and end offsets.

        The caller updates ``Segment.size``, together with the index. Raises ``StoreFullError``, ``StoreWriteError`` or
        ``OSError``; nothing of the frame is durable then.
        """
        data = fmt.encode_frame(records, wall_time)
        segment = self._active_segment(len(data))
        start = segment.size
        self._append(segment, data, all(record.kind == TOMBSTONE for record in records))
        self._sync(segment)
        return segment, start, start + len(data)

    def seal(self, segment: Segment) -> None:
        """Mark a segment as sealed, so that nothing more is written to it, and write its hint file."""
        segment.sealed = True
        if segment.suspect:
            return
        rows = [index_row(segment, offset, record) for offset, record in self._reader.records_of(segment)]
        if len(rows) == segment.record_count:
            write_hint(self._files, segment, Hint(np.array(rows, dtype=ROW_TYPE), self._clock.latest))

    def _sync(self, segment: Segment) -> None:
        started = time.perf_counter()
        try:
            self._files.sync(segment.name)
        except OSError as error:
            self._mark_suspect(segment)
            raise StoreWriteError(
                f"fsync of {segment.name} failed: {error.strerror}; later writes go to a new segment"
            ) from None
        durations = self._stats.sync_seconds[-(MAX_SYNC_DURATIONS - 1) :]
        self._stats.sync_seconds = [*durations, time.perf_counter() - started]

    def _active_segment(self, size: int) -> Segment:
        """The segment for the next ``size`` bytes; a new one if the last is sealed or would grow too large."""
        last = self._segments.last()
        if last is not None and not last.sealed:
            if last.size + size <= self._limits.segment_bytes or not last.record_count:
                return last
            self.seal(last)
        return self._create_segment()

    def _create_segment(self) -> Segment:
        segment = Segment(self._segments.last_number() + 1, self._last_written_sequence())
        header = fmt.encode_segment_header(segment.number, segment.created_at_sequence)
        try:
            self._append(segment, header, False)
            self._files.sync(segment.name)
            self._files.sync_directory()
        except BaseException:
            with suppress(OSError):
                self._files.remove(segment.name)
            raise
        segment.size = len(header)
        with self._lock:
            self._segments.add(segment)
        return segment

    def _append(self, segment: Segment, data: bytes, only_deletes: bool) -> None:
        """Append to the durable end of a segment, all or nothing. Raises ``StoreFullError`` or ``OSError``."""
        try:
            self._append_all(segment, data)
        except OSError as error:
            try:
                self._files.truncate(segment.name, segment.size)
            except OSError:
                self._mark_suspect(segment)
            if error.errno not in DISK_FULL_ERRNOS:
                self._mark_suspect(segment)
                raise
            if only_deletes and self._reserve.held:
                self._reserve.release()
                return self._append(segment, data, False)
            raise StoreFullError(f"cannot append {len(data)} bytes to {segment.name}: {error.strerror}", None) from None
        if not only_deletes:
            self._reserve.reserve()

    def _append_all(self, segment: Segment, data: bytes) -> None:
        remaining = memoryview(data)
        while remaining:
            written = self._files.append(segment.name, bytes(remaining))
            if written <= 0:
                raise OSError(errno.ENOSPC, f"disk accepted 0 of the remaining {len(remaining)} bytes")
            remaining = remaining[written:]

    def _mark_suspect(self, segment: Segment) -> None:
        """Seal a segment at its durable end after a failed write, fsync or truncate.

        The kernel may have dropped dirty pages after a failed fsync, so what it returns for them is unreliable.
        """
        segment.suspect = True
        segment.sealed = True
        with suppress(OSError):
            self._files.truncate(segment.name, segment.size)
