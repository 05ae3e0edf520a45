"""Group commit: all batches that are queued are written as one frame with one fsync, then indexed."""

from __future__ import annotations

import threading

from lapishaven.storage import format as fmt
from lapishaven.storage.commit_queue import PendingBatch
from lapishaven.storage.errors import StoreError, StoreWriteError
from lapishaven.storage.format import PUT, Record
from lapishaven.storage.index import ABSENT, Index, digest, make_place, split_place
from lapishaven.storage.pending_writes import PendingWrites
from lapishaven.storage.segment_writer import SegmentWriter
from lapishaven.storage.segments import Segment, SegmentTable, Stats
from lapishaven.storage.wall_clock import MonotonicWallClock
from lapishaven.storage.wheel import TimingWheel

EXPIRY_SLACK_S = 1  # the index rounds expiry times (columns by up to 64 s, which this does not cover)


class GroupCommitter:
    """Writes groups, one at a time, and keeps the index and the segments' counts in step with them."""

    def __init__(
        self,
        pending: PendingWrites,
        writer: SegmentWriter,
        index: Index,
        segments: SegmentTable,
        lock: threading.RLock,
        clock: MonotonicWallClock,
        stats: Stats,
        group_bytes: int,
    ) -> None:
        """``lock`` guards ``pending``, ``index`` and ``segments``; a group takes about ``group_bytes`` at most."""
        self._pending = pending
        self._writer = writer
        self._index = index
        self._segments = segments
        self._lock = lock
        self._clock = clock
        self._stats = stats
        self._group_bytes = group_bytes
        self._commit_lock = threading.Lock()
        self._expiries = TimingWheel(clock.now())

    def commit(self) -> bool:
        """Write and sync one group; whether there was one."""
        with self._commit_lock:
            with self._lock:
                group = self._pending.queue.take_group(self._group_bytes)
            if not group:
                return False
            self._commit_group(group)
            return True

    def wait_for_current(self) -> None:
        """Wait for the group that another thread is writing, if there is one."""
        with self._commit_lock:
            pass

    def seconds_to_expiry(self) -> float | None:
        """Seconds until the next record expires; ``None`` if none will soon. The lock is held."""
        return self._expiries.seconds_to_next()

    def _commit_group(self, group: list[PendingBatch]) -> None:
        records = [record for batch in group for record in batch.records]
        wall_time = self._clock.now()
        try:
            segment, start, end = self._writer.write_frame(records, wall_time)
        except Exception as error:  # any error fails the futures, and the thread goes on
            self._fail_group(group, records, error)
            return
        with self._lock:
            segment.size = end
            offset = start + fmt.FRAME_HEADER.size
            for record in records:
                self._index_record(segment, offset, record)
                offset += record.size
            self._stats.commits += 1
            self._stats.records += len(records)
            for key_digest in self._expiries.expire(wall_time):
                self._expire(key_digest, wall_time)
        for batch in group:
            batch.future.set_result(batch.records[-1].sequence)

    def _fail_group(self, group: list[PendingBatch], records: list[Record], error: Exception) -> None:
        """Undo a group that was not written, and fail its futures."""
        text = getattr(error, "strerror", None) or error
        failure = error if isinstance(error, StoreError) else StoreWriteError(f"a write failed: {text}")
        self._stats.failed += len(group)
        with self._lock:
            for record in records:
                self._pending.memtable.discard(record)
        for batch in group:
            batch.future.set_exception(failure)

    def _index_record(self, segment: Segment, offset: int, record: Record) -> None:
        """Point the index to a durable record, unless it knows of a newer one of its key."""
        key_digest = digest(record.key)
        is_put = record.kind == PUT
        previous = self._index.get(key_digest)
        segment.record_count += 1
        segment.tombstone_count += not is_put
        place = make_place(segment.number, offset) if is_put else ABSENT
        if self._index.put(key_digest, place, record.sequence, record.expiry):
            if previous is not None:
                self._count_dead(previous.place)
            segment.live_count += is_put
            if record.expiry:
                self._expiries.add(record.expiry, key_digest)
        self._pending.memtable.discard(record)

    def _count_dead(self, place: int) -> None:
        """The record at a place is not the newest of its key any more."""
        if place == ABSENT:
            return
        segment = self._segments.get(split_place(place)[0])
        if segment is not None:
            segment.live_count -= 1

    def _expire(self, key_digest: int, wall_time: float) -> None:
        entry = self._index.get(key_digest)
        if entry is None or entry.place == ABSENT:
            return
        if 0 < entry.expiry <= wall_time - EXPIRY_SLACK_S:
            self._count_dead(entry.place)
            self._index.put(key_digest, ABSENT, entry.sequence, entry.expiry)
