"""Recovery: opens the segments of a store, from valid hint files or by scanning frames, and truncates a torn tail."""

from __future__ import annotations

from contextlib import suppress

import numpy as np

from lapishaven.storage import format as fmt
from lapishaven.storage.errors import Damage
from lapishaven.storage.files import FileSystem
from lapishaven.storage.format import InvalidFrameError
from lapishaven.storage.hint_file import read_hint
from lapishaven.storage.index import ABSENT, ROW_TYPE
from lapishaven.storage.segment_writer import index_row
from lapishaven.storage.segments import Segment, SegmentTable, Stats
from lapishaven.storage.wall_clock import MonotonicWallClock

SEGMENT_SUFFIX = ".seg"
TEMPORARY_SUFFIX = ".tmp"


class Recovery:
    """Opens a store's files once. Adds what it finds to ``segments``, ``damage``, ``stats`` and ``clock``."""

    def __init__(
        self,
        files: FileSystem,
        segments: SegmentTable,
        damage: list[Damage],
        stats: Stats,
        clock: MonotonicWallClock,
    ) -> None:
        self._files = files
        self._segments = segments
        self._damage = damage
        self._stats = stats
        self._clock = clock

    def open_segments(self, names: list[str]) -> np.ndarray:
        """Open every segment among the file names; returns the index rows of all records, unordered.

        Raises ``OSError``, and ``StoreError`` for a newer format.
        """
        for name in names:
            if name.endswith(TEMPORARY_SUFFIX):
                self._files.remove(name)  # a hint file whose writing was interrupted
        # Segment files are named by eight digits and the suffix (``Segment.name``).
        numbers = sorted(int(name[:8]) for name in names if name.endswith(SEGMENT_SUFFIX))
        row_arrays = [self._open_segment(number, is_last=number == numbers[-1]) for number in numbers]
        for segment in self._segments:
            segment.sealed = True  # new records go to a new segment
        return np.concatenate([np.empty(0, dtype=ROW_TYPE), *row_arrays])

    def _open_segment(self, number: int, is_last: bool) -> np.ndarray:
        segment = Segment(number, 0, size=self._files.size(f"{number:08d}{SEGMENT_SUFFIX}"))
        if not self._read_header(segment, is_last):
            return np.empty(0, dtype=ROW_TYPE)
        self._segments.add(segment)
        hint = read_hint(self._files, segment, segment.size)
        if hint is not None:
            self._clock.observe(hint.wall_time)
            rows = hint.rows
        else:
            rows = self._scan(segment, is_last)
        segment.record_count = len(rows)
        # ``place``, as hint files name it, is the record's location.
        segment.tombstone_count = int(np.count_nonzero(rows["place"] == ABSENT))
        return rows

    def _read_header(self, segment: Segment, is_last: bool) -> bool:
        """Read a segment's header; returns false if its creation was interrupted, in which case it is removed."""
        header = self._files.read(segment.name, 0, fmt.SEGMENT_HEADER.size)
        try:
            _, segment.created_at_sequence = fmt.decode_segment_header(header)
        except InvalidFrameError as error:
            if error.truncated and is_last:
                self._stats.truncated_bytes += segment.size
                self._files.remove(segment.name)
                return False
            segment.created_at_sequence = 0  # unknown, so assume that it may have records older than any other
            length = min(segment.size, fmt.SEGMENT_HEADER.size)
            self._damage.append(Damage(segment.number, 0, length, str(error)))
        return True

    def _scan(self, segment: Segment, is_last: bool) -> np.ndarray:
        """Read every frame of a segment; returns the index rows of its records."""
        data = self._files.read(segment.name, 0, segment.size)
        scanned = fmt.scan_segment(data)
        for damaged in scanned.damage:
            self._damage.append(Damage(segment.number, damaged.offset, damaged.length, damaged.reason))
        if scanned.end < len(data):
            self._drop_tail(segment, scanned.end, len(data), is_last)
        rows = np.empty(sum(len(frame.records) for frame in scanned.frames), dtype=ROW_TYPE)
        count = 0
        for frame in scanned.frames:
            self._clock.observe(frame.wall_time)
            for offset, record in frame.records:
                rows[count] = index_row(segment, offset, record)
                count += 1
        return rows

    def _drop_tail(self, segment: Segment, end: int, size: int, is_last: bool) -> None:
        """Drop a tail without a valid frame: a torn write in the last segment, damage in any other."""
        if is_last:
            self._stats.truncated_bytes += size - end
            with suppress(OSError):  # the tail may stay, as nothing is appended to a segment of an earlier process
                self._files.truncate(segment.name, end)
        else:
            self._damage.append(Damage(segment.number, end, size - end, "no valid frame up to the end of the segment"))
        segment.size = end
