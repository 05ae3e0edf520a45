"""The store: puts, deletes and reads in one directory.

Writes do not block the caller on the disk. A put goes to the memtable, where reads find it, and to the commit queue.
The store's thread writes and syncs all queued batches in one group commit and then completes their futures.
"""

from __future__ import annotations

import threading
import time
from collections.abc import Callable, Iterator, Sequence
from concurrent.futures import Future
from contextlib import suppress
from types import TracebackType

import numpy as np

from lapishaven.storage import format as fmt
from lapishaven.storage.compaction import Compaction
from lapishaven.storage.disk_reserve import RESERVE_FILE, DiskReserve
from lapishaven.storage.errors import Damage, StoreError, StoreFullError
from lapishaven.storage.files import DirectoryFiles, FileSystem
from lapishaven.storage.format import PUT, TOMBSTONE, Record
from lapishaven.storage.group_commit import GroupCommitter
from lapishaven.storage.index import ABSENT, Index, digest, unpack_location
from lapishaven.storage.pending_writes import PendingWrites
from lapishaven.storage.record_reader import RecordReader
from lapishaven.storage.recovery import Recovery
from lapishaven.storage.segment_writer import SegmentWriter
from lapishaven.storage.segments import Limits, SegmentTable, Stats
from lapishaven.storage.snapshot import copy_segments, open_empty_directory
from lapishaven.storage.wall_clock import MonotonicWallClock

Change = tuple[bytes, bytes | None, float]  # key, value (None: delete), expiry in Unix seconds (0: never)

IDLE_WAIT_S = 1.0  # how long the store's thread waits for a batch before it checks the queue again
COPY_WAIT_S = 0.0005  # pause of ``compact`` between slices, while the store's thread writes the copies
PENDING_RETRY_S = 0.1  # delay suggested to a caller whose put is rejected because too many bytes wait to be written
SLICE_BYTES = 1 << 20  # bytes of records that one slice of compaction copies
MAX_SEGMENT_NUMBER = 1 << 24  # a location has 24 bits for the segment number


class Store:
    """A key-value store in one directory, written by one process at a time::

        with Store.open("results") as store:
            store.put(b"key", b"value").result()  # durable once the future is done
            store.get(b"key")

    Safe to use from several threads.
    """

    def __init__(
        self,
        files: FileSystem,
        limits: Limits | None = None,
        clock: Callable[[], float] = time.time,
        thread: bool = True,
    ) -> None:
        """Open the store in ``files``. If ``thread`` is false, the caller commits and compacts instead of a thread.

        Raises ``StoreLockedError`` if another process has it open, ``StoreError`` or ``OSError`` if it cannot be read.
        """
        self.files = files
        self.limits = limits or Limits()
        self.index = Index()
        self.stats = Stats()
        self.damage: list[Damage] = []
        self.segments = SegmentTable()
        self.lock = threading.RLock()  # guards index, segments and pending writes
        self._clock = MonotonicWallClock(clock)
        self._pending = PendingWrites(self.lock)
        self._closed = False
        self._reserved = 0  # bytes of records that will be put; see ``reserve``
        self._reader = RecordReader(files, self.segments, self.damage)
        files.lock()
        try:
            reserve = DiskReserve(files, self.limits.reserve_bytes, held=self._recover())
        except BaseException:
            files.close()
            raise
        self._writer = SegmentWriter(
            files,
            self.limits,
            self.segments,
            self.lock,
            self._reader,
            self._clock,
            reserve,
            self.stats,
            self._pending.last_written_sequence,
        )
        self._committer = GroupCommitter(
            self._pending,
            self._writer,
            self.index,
            self.segments,
            self.lock,
            self._clock,
            self.stats,
            self.limits.group_bytes,
        )
        self._compaction = Compaction(
            files,
            self.segments,
            self.index,
            self._reader,
            self._clock,
            self.stats,
            self.lock,
            self.limits.garbage_ratio,
            self._write_copies,
        )
        self._thread = threading.Thread(target=self._run, name="storage", daemon=True) if thread else None
        if self._thread is not None:
            self._thread.start()

    @classmethod
    def open(cls, path: str, limits: Limits | None = None) -> Store:
        """Open or create the store in a directory. Raises ``StoreLockedError`` if another process has it open."""
        return cls(DirectoryFiles(path), limits)

    def __enter__(self) -> Store:
        return self

    def __exit__(
        self, error_type: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        self.close()

    def now(self) -> float:
        """The current time in Unix seconds; it never goes back, not even across a restart."""
        return self._clock.now()

    # ---- Recovery
    def _recover(self) -> bool:
        """Load the index from the files; returns whether the disk reserve exists."""
        started = time.perf_counter()
        names = self.files.names()
        recovery = Recovery(self.files, self.segments, self.damage, self.stats, self._clock)
        rows = recovery.open_segments(names)
        if len(rows):
            self._load_index(rows)
        self.stats.open_seconds = time.perf_counter() - started
        return RESERVE_FILE in names

    def _load_index(self, rows: np.ndarray) -> None:
        self._pending.sequence = int(rows["seq"].max(initial=0))
        self.index.load(rows)
        for location, _ in self.index.locations():
            self.segments[unpack_location(location)[0]].live_count += 1
        for segment in self.segments:
            segment.tombstone_count = min(segment.tombstone_count, segment.record_count - segment.live_count)

    # ---- Writing
    def put(self, key: bytes, value: bytes, expiry: float = 0.0) -> Future[int]:
        """Set a key. ``expiry`` is in Unix seconds, 0 for never.

        The future's result is the record's sequence number, once the record is durable. Raises the same errors as
        ``batch``.
        """
        return self.batch([(key, value, expiry)])

    def put_reserved(self, key: bytes, value: bytes, expiry: float, reserved: int) -> Future[int]:
        """Set a key in room that was reserved; ``reserved`` is given back. No size limit rejects it.

        Raises ``ValueError`` and ``StoreError`` like ``batch``; the room is given back then too.
        """
        with self.lock:
            self.release(reserved)
            return self._add([(key, value, expiry)], is_limited=False)

    def reserve(self, size: int) -> None:
        """Reserve ``size`` bytes for a later record. Raises ``StoreFullError`` if a size limit would be exceeded."""
        with self.lock:
            self._check_capacity(size)
            self._reserved += size

    def release(self, size: int) -> None:
        """Give back reserved room that is not needed."""
        with self.lock:
            self._reserved -= size

    def delete(self, key: bytes) -> Future[int]:
        """Remove a key if it exists. Raises the same errors as ``batch``."""
        return self.batch([(key, None, 0.0)])

    def batch(self, changes: Sequence[Change]) -> Future[int]:
        """Apply several puts (key, value, expiry) and deletes (key, None, 0) atomically.

        Raises ``ValueError`` for an empty batch and for keys or values whose size is out of bounds, ``StoreFullError``
        if a size limit is reached, and ``StoreError`` after ``close``. If the write fails later, the future raises
        ``StoreError``.
        """
        return self._add(changes, is_limited=True)

    def _add(self, changes: Sequence[Change], is_limited: bool) -> Future[int]:
        """Queue a batch; ``is_limited`` if it may be rejected for its size."""
        _check_changes(changes)
        with self.lock:
            if self._closed:
                raise StoreError(f"batch of {len(changes)} changes rejected: the store is closed")
            size = sum(fmt.RECORD_HEADER.size + len(key) + len(value or b"") for key, value, _ in changes)
            if is_limited and any(value is not None for _, value, _ in changes):
                self._check_capacity(size)
            records = [self._pending.next_record(*change) for change in changes]
            return self._pending.add_changes(records, size)

    def _check_capacity(self, size: int) -> None:
        """Raise ``StoreFullError`` if a batch with puts, of ``size`` bytes, would exceed a limit."""
        pending = self._pending.queue.pending_bytes
        if pending + size > self.limits.pending_bytes:
            self.stats.rejected += 1
            raise StoreFullError(
                f"batch of {size} bytes rejected: {pending} bytes wait to be written,"
                f" limit {self.limits.pending_bytes}",
                PENDING_RETRY_S,
            )
        total = self.limits.total_bytes
        if total and self.disk_bytes + pending + self._reserved + size > total:
            self.stats.rejected += 1
            raise StoreFullError(
                f"batch of {size} bytes rejected: {self.disk_bytes} bytes are stored, {pending} wait and"
                f" {self._reserved} are reserved, limit {total}",
                self.seconds_to_expiry(),
            )

    def seconds_to_expiry(self) -> float | None:
        """Seconds until the next record expires; ``None`` if none expires within about four minutes."""
        with self.lock:
            return self._committer.seconds_to_expiry()

    @property
    def disk_bytes(self) -> int:
        """Total size of all segments."""
        return self.segments.total_bytes()

    def sync(self) -> int:
        """Wait until everything put so far is durable; returns the last sequence number.

        Raises the error of the last write if it failed.
        """
        with self.lock:
            last_future = self._pending.queue.last_future()
            sequence = self._pending.sequence
        if self._thread is None:
            self.commit()
        elif last_future is None:
            self._committer.wait_for_current()
        return last_future.result() if last_future is not None else sequence

    def commit(self) -> bool:
        """Write and sync one group of batches; returns whether there was one.

        Called by the store's thread, or by the caller if the store has none.
        """
        return self._committer.commit()

    # ---- Reading
    def get(self, key: bytes) -> bytes | None:
        """The value of a key, or ``None``. Writes are visible before they are durable. Raises ``OSError``."""
        key_digest = digest(key)
        with self.lock:
            record = self._pending.memtable.get(key_digest)
            if record is None:
                record = self._read_durable(key_digest, key)
            if record is None or record.kind == TOMBSTONE:
                return None
            if 0 < record.expiry <= self.now():
                return None
            return record.value

    def _read_durable(self, key_digest: int, key: bytes) -> Record | None:
        entry = self.index.get(key_digest)
        if entry is None or entry.location == ABSENT:
            return None
        record = self._reader.read(entry.location)
        # A record of another key can only result from damage and is never returned.
        return record if record is not None and record.key == key else None

    def scan(self) -> Iterator[tuple[bytes, bytes, float]]:
        """Key, value and expiry of all that is stored and not expired when the iteration starts; later writes do not
        show in it."""
        with self.lock:
            locations = [location for location, _ in self.index.locations()]
            unwritten = self._pending.memtable.records()
            pinned = self.segments.pin_all()
            now = self.now()
        try:
            for record in unwritten:
                if record.kind == PUT and not 0 < record.expiry <= now:
                    yield record.key, record.value, record.expiry
            unwritten_keys = {record.key for record in unwritten}
            for location in locations:
                with self.lock:
                    durable = self._reader.read(location)
                if durable is not None and durable.key not in unwritten_keys and not 0 < durable.expiry <= now:
                    yield durable.key, durable.value, durable.expiry
        finally:
            with self.lock:
                self.segments.unpin(pinned)

    def __len__(self) -> int:
        """Number of keys, including expired ones that were not removed yet."""
        with self.lock:
            return len(self.index)

    # ---- Compaction
    def compact(self, everything: bool = False) -> int:
        """Compact until no segment that exists now qualifies; returns the bytes freed. ``everything``: see
        ``compact_slice``."""
        size_before = self.disk_bytes
        last_number = self.segments.last_number()
        while self.compact_slice(everything=everything, max_number=last_number):
            if self._thread is None:
                self.commit()
            else:
                time.sleep(COPY_WAIT_S)
        return size_before - self.disk_bytes

    def compact_slice(
        self, max_bytes: int = SLICE_BYTES, everything: bool = False, max_number: int = MAX_SEGMENT_NUMBER
    ) -> bool:
        """Run one slice of compaction, which copies about ``max_bytes``; returns whether to call again.

        ``everything``: compact every sealed segment up to ``max_number``, even one without garbage. Raises ``OSError``
        if a segment cannot be read or removed.
        """
        return self._compaction.run_slice(max_bytes, everything, max_number)

    def _write_copies(self, records: list[Record]) -> Future[int]:
        """Queue records that compaction copies, with their sequence numbers unchanged."""
        with self.lock:
            return self._pending.add_copies(records)

    # ---- Snapshots and shutdown
    def snapshot(self, path: str) -> int:
        """Make everything put so far durable and copy it into an empty directory, while writes continue.

        Returns the number of bytes copied.

        Raises ``StoreError`` if the directory is not empty, and ``OSError``.
        """
        self.sync()
        target = open_empty_directory(path)
        with self.lock:
            pinned = self.segments.pin_all()
            durable = [(segment, segment.size) for segment in pinned]
        try:
            return copy_segments(self.files, target, durable)
        finally:
            target.close()
            with self.lock:
                self.segments.unpin(pinned)

    def _run(self) -> None:
        """Commit and compact until the store is closed. Runs on the store's thread."""
        while True:
            with self._pending.available:
                while not len(self._pending.queue) and not self._closed:
                    self._pending.available.wait(IDLE_WAIT_S)
                if self._closed and not len(self._pending.queue):
                    return
            self.commit()
            with suppress(OSError):  # a segment that cannot be read is not compacted
                self.compact_slice()

    def close(self) -> None:
        """Write queued batches, seal the last segment and release the lock. Further calls do nothing."""
        with self._pending.available:
            if self._closed:
                return
            self._closed = True
            self._pending.available.notify()
        if self._thread is not None:
            self._thread.join()
        while self.commit():
            pass
        last = self.segments.last()
        if last is not None and not last.sealed:
            self._writer.seal(last)
        self.files.close()


def _check_changes(changes: Sequence[Change]) -> None:
    if not changes:
        raise ValueError("batch rejected: it has no changes")
    for key, value, _ in changes:
        if not 0 < len(key) <= fmt.MAX_KEY_BYTES or len(value or b"") > fmt.MAX_VALUE_BYTES:
            raise ValueError(
                f"batch rejected: key of {len(key)} bytes (allowed 1 to {fmt.MAX_KEY_BYTES}),"
                f" value of {len(value or b'')} bytes (at most {fmt.MAX_VALUE_BYTES})"
            )
