"""Group commit: writes queued batches as one frame with one fsync, then indexes their records."""

from __future__ import annotations

import threading

from lapishaven.storage import format as fmt
from lapishaven.storage.commit_queue import PendingBatch
from lapishaven.storage.errors import StoreError, StoreWriteError
from lapishaven.storage.format import PUT, Record
from lapishaven.storage.index import ABSENT, Index, digest, pack_location, unpack_location
from lapishaven.storage.pending_writes import PendingWrites
from lapishaven.storage.segment_writer import SegmentWriter
from lapishaven.storage.segments import Segment, SegmentTable, Stats
from lapishaven.storage.wall_clock import MonotonicWallClock
from lapishaven.storage.wheel import TimingWheel

EXPIRY_SLACK_S = 1  # the index rounds expiry times; its columns by up to 64 s, which this does not cover


class GroupCommitter:
    """Writes one group at a time and updates the index and the segments' record counts."""

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
        """``lock`` guards ``pending``, ``index`` and ``segments``; a group has about ``group_bytes`` at most."""
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
        """Write and sync one group; returns whether there was one."""
        with self._commit_lock:
            with self._lock:
                group = self._pending.queue.take_group(self._group_bytes)
            if not group:
                return False
            self._commit_group(group)
            return True

    def wait_for_current(self) -> None:
        """Wait until the group that another thread is writing, if any, is done."""
        with self._commit_lock:
            pass

    def seconds_to_expiry(self) -> float | None:
        """Seconds until the next record expires; ``None`` if none expires soon. The caller holds the lock."""
        return self._expiries.seconds_to_next()

    def _commit_group(self, group: list[PendingBatch]) -> None:
        records = [record for batch in group for record in batch.records]
        wall_time = self._clock.now()
        try:
            segment, start, end = self._writer.write_frame(records, wall_time)
        except Exception as error:  # any error fails the futures; the thread must keep running
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
        """Remove a group that was not written from the memtable and fail its futures."""
        reason = getattr(error, "strerror", None) or error
        failure = (
            error
            if isinstance(error, StoreError)
            else StoreWriteError(f"cannot write a group of {len(records)} records: {reason}")
        )
        self._stats.failed += len(group)
        with self._lock:
            for record in records:
                self._pending.memtable.discard(record)
        for batch in group:
            batch.future.set_exception(failure)

    def _index_record(self, segment: Segment, offset: int, record: Record) -> None:
        """Add a durable record to the index, unless the index has a newer record of its key."""
        key_digest = digest(record.key)
        is_put = record.kind == PUT
        previous = self._index.get(key_digest)
        segment.record_count += 1
        segment.tombstone_count += not is_put
        location = pack_location(segment.number, offset) if is_put else ABSENT
        if self._index.put(key_digest, location, record.sequence, record.expiry):
            if previous is not None:
                self._count_dead(previous.location)
            segment.live_count += is_put
            if record.expiry:
                self._expiries.add(record.expiry, key_digest)
        self._pending.memtable.discard(record)

    def _count_dead(self, location: int) -> None:
        """Note that the record at a location is no longer the newest of its key."""
        if location == ABSENT:
            return
        segment = self._segments.get(unpack_location(location)[0])
        if segment is not None:
            segment.live_count -= 1

    def _expire(self, key_digest: int, wall_time: float) -> None:
        entry = self._index.get(key_digest)
        if entry is None or entry.location == ABSENT:
            return
        if 0 < entry.expiry <= wall_time - EXPIRY_SLACK_S:
            self._count_dead(entry.location)
            self._index.put(key_digest, ABSENT, entry.sequence, entry.expiry)
