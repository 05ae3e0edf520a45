"""The store: a log of segments, an index in memory, a thread that commits in groups, compaction in slices.

The caller's thread never touches the disk when it writes: a put is held in memory, where reads find it, until the
committer has written and synced it with all that came meanwhile. Its future then gives the sequence number.
"""

from __future__ import annotations

import errno
import threading
import time
from collections.abc import Callable, Iterator, Sequence
from concurrent.futures import Future
from contextlib import suppress
from types import TracebackType

import numpy as np

from lapishaven.storage import format as fmt
from lapishaven.storage.compaction import Compaction
from lapishaven.storage.errors import Damage, StoreBroken, StoreError, StoreFull
from lapishaven.storage.files import Files, RealFiles
from lapishaven.storage.format import PUT, TOMBSTONE, NotAFrame, Record
from lapishaven.storage.index import GONE, ROWS, Index, digest, place_of, split
from lapishaven.storage.segments import Limits, Segment, Stats, Waiting
from lapishaven.storage.wheel import Wheel

BALLAST = "ballast"  # room for deletes when the disk is full
HINT_MAGIC = b"LHHINT\x01\x00"
READ = 4096  # bytes of a record that are read at first


class Store:
    """One directory, one writer."""

    def __init__(
        self, files: Files, limits: Limits | None = None, clock: Callable[[], float] = time.time, thread: bool = True
    ) -> None:
        self.files, self.limits, self._clock = files, limits or Limits(), clock
        self.index, self.stats = Index(), Stats()
        self.damage: list[Damage] = []
        self.segments: dict[int, Segment] = {}
        self._fresh: dict[int, tuple[Record, bytes]] = {}
        self._queue: list[Waiting] = []
        self._waiting = 0
        self.lock = threading.RLock()
        self._work = threading.Condition(self.lock)
        self._committing = threading.Lock()
        self._closed = self._stalled = False
        self._seq = 0
        self._wall = 0.0  # the latest time that the store has seen, over restarts too
        self._ballast = False
        files.lock()
        try:
            self._recover()
        except BaseException:
            files.close()
            raise
        self._wheel = Wheel(self.now())
        self._compaction = Compaction(self)
        self._thread = threading.Thread(target=self._run, name="storage", daemon=True) if thread else None
        if self._thread is not None:
            self._thread.start()

    @classmethod
    def open(cls, path: str, limits: Limits | None = None) -> Store:
        """Open, or make, the store in a directory. ``StoreLocked`` if another process has it."""
        return cls(RealFiles(path), limits)

    def __enter__(self) -> Store:
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        self.close()

    def now(self) -> float:
        """Unix seconds that never step back, over a restart neither: else what has expired would come back."""
        self._wall = max(self._wall, self._clock())
        return self._wall

    # ---- Opening
    def _recover(self) -> None:
        begun = time.perf_counter()
        names = self.files.names()
        for name in names:
            if name.endswith(".tmp"):
                self.files.remove(name)
        numbers = sorted(int(name[:8]) for name in names if name.endswith(".seg"))
        rows: list[np.ndarray] = []
        for number in numbers:
            found = self._open_segment(number, last=number == numbers[-1])
            if found is not None:
                rows.append(found)
        if rows:
            all_rows = np.concatenate(rows)
            self._seq = max(self._seq, int(all_rows["seq"].max(initial=0)))
            self.index.load(all_rows)
            self._count_live()
        self._ballast = BALLAST in names
        for segment in self.segments.values():
            segment.sealed = True  # each life writes segments of its own
        self.stats.opened_in = time.perf_counter() - begun

    def _open_segment(self, number: int, last: bool) -> np.ndarray | None:
        segment = Segment(number, 0)
        size = self.files.size(segment.name)
        try:
            head = self.files.read(segment.name, 0, fmt.HEAD.size)
            _, segment.clock = fmt.read_header(head)
        except NotAFrame as error:
            if error.short and last:
                # It was being made when the power went.
                self.stats.cut += size
                self.files.remove(segment.name)
                return None
            segment.clock = 0  # nothing is known of it, so it counts as old as can be
            self.damage.append(Damage(number, 0, min(size, fmt.HEAD.size), str(error)))
        segment.size = size
        self.segments[number] = segment
        hinted = self._read_hint(segment, size)
        if hinted is not None:
            return hinted
        data = self.files.read(segment.name, 0, size)
        scanned = fmt.scan(data)
        for at, length, reason in scanned.damage:
            self.damage.append(Damage(number, at, length, reason))
        if scanned.end < len(data):
            if last:
                self.stats.cut += len(data) - scanned.end
                with suppress(OSError):
                    self.files.truncate(segment.name, scanned.end)
            else:
                self.damage.append(Damage(number, scanned.end, len(data) - scanned.end, "a tail that cannot be read"))
            segment.size = scanned.end
        found = np.empty(sum(len(records) for records, _ in scanned.frames), dtype=ROWS)
        n = 0
        for records, wall in scanned.frames:
            self._wall = max(self._wall, wall)
            for at, record in records:
                key = digest(record.key)
                place = place_of(number, at) if record.kind == PUT else GONE
                found[n] = key >> 64, key & 0xFFFFFFFFFFFFFFFF, place, record.seq, record.expiry
                n += 1
        segment.records = n
        segment.tombstones = int(np.count_nonzero(found["place"] == GONE))
        return found

    def _read_hint(self, segment: Segment, size: int) -> np.ndarray | None:
        try:
            data = self.files.read(segment.hint, 0, self.files.size(segment.hint))
        except OSError:
            return None
        head = len(HINT_MAGIC) + 8 + 8 + 4
        if len(data) < head or data[: len(HINT_MAGIC)] != HINT_MAGIC:
            return None
        body, check = data[:-4], int.from_bytes(data[-4:], "little")
        if fmt.crc(body) != check or int.from_bytes(body[8:16], "little") != size:
            return None  # of another state of the segment
        self._wall = max(self._wall, float(np.frombuffer(body, np.float64, 1, 16)[0]))
        rows = np.frombuffer(body, ROWS, offset=24)
        segment.records = len(rows)
        segment.tombstones = int(np.count_nonzero(rows["place"] == GONE))
        return rows

    def _write_hint(self, segment: Segment, rows: np.ndarray) -> None:
        body = HINT_MAGIC + segment.size.to_bytes(8, "little") + np.float64(self._wall).tobytes() + rows.tobytes()
        temporary = f"{segment.number:08d}.tmp"
        try:
            with suppress(OSError):
                self.files.remove(temporary)
            data = memoryview(body + fmt.crc(body).to_bytes(4, "little"))
            while data:
                data = data[self.files.append(temporary, bytes(data)) :]
            self.files.sync(temporary)
            self.files.rename(temporary, segment.hint)
        except OSError:
            with suppress(OSError):
                self.files.remove(temporary)  # a hint only saves time

    def _count_live(self) -> None:
        for place, _ in self.index.places():
            self.segments[split(place)[0]].live += 1
        for segment in self.segments.values():
            segment.tombstones = min(segment.tombstones, segment.records - segment.live)

    # ---- Writing
    def put(self, key: bytes, value: bytes, expiry: float = 0.0) -> Future[int]:
        """Set a key. ``expiry`` is in Unix seconds, 0 for never. The future is done once it is durable."""
        return self.batch([(key, value, expiry)])

    def delete(self, key: bytes) -> Future[int]:
        """Take a key away, if it is there."""
        return self.batch([(key, None, 0.0)])

    def batch(self, changes: Sequence[tuple[bytes, bytes | None, float]]) -> Future[int]:
        """Several puts (key, value, expiry) and deletes (key, None, 0), applied whole or not at all."""
        if not changes:
            raise ValueError("a batch of nothing")
        for key, value, _ in changes:
            if not 0 < len(key) <= fmt.KEY_LIMIT or len(value or b"") > fmt.VALUE_LIMIT:
                raise ValueError(f"a key is of 1 to {fmt.KEY_LIMIT} bytes, a value of up to {fmt.VALUE_LIMIT}")
        future: Future[int] = Future()
        with self.lock:
            if self._closed:
                raise StoreError("the store is closed")
            only_deletes = all(value is None for _, value, _ in changes)
            size = sum(fmt.RECORD.size + len(key) + len(value or b"") for key, value, _ in changes)
            if not only_deletes:
                self._check_room(size)
            records = []
            for key, value, expiry in changes:
                self._seq += 1
                kind = TOMBSTONE if value is None else PUT
                record = Record(kind, self._seq, key, value or b"", expiry)
                records.append(record)
                self._fresh[digest(key)] = record, key
            self._queue.append(Waiting(records, future, size))
            self._waiting += size
            self._work.notify()
        return future

    def _check_room(self, size: int) -> None:
        if self._waiting + size > self.limits.waiting:
            self.stats.refused += 1
            raise StoreFull(f"{self._waiting} bytes wait to be written", 0.1)
        if self.limits.total and self.disk_bytes + self._waiting + size > self.limits.total:
            self.stats.refused += 1
            raise StoreFull(f"the bound of {self.limits.total} bytes is reached", self.frees_in())

    def frees_in(self) -> float | None:
        """Seconds until the next record expires; ``None`` if none will."""
        with self.lock:
            return self._wheel.next_in()

    @property
    def disk_bytes(self) -> int:
        """Of all segments."""
        return sum(segment.size for segment in self.segments.values())

    def sync(self) -> int:
        """Wait until all that was put so far is durable; gives its sequence. Raises as the futures would."""
        with self.lock:
            last = self._queue[-1].future if self._queue else None
            seq = self._seq
        if self._thread is None:
            self.commit()
        elif last is None:
            with self._committing:
                pass
        return last.result() if last is not None else seq

    def commit(self) -> bool:
        """Write and sync one group; true if there was one. The store's own thread does so; without it, the caller."""
        with self._committing:
            with self.lock:
                group, size = [], 0
                while self._queue and size <= self.limits.group:
                    waiting = self._queue.pop(0)
                    group.append(waiting)
                    size += waiting.size
                self._waiting -= size
            if not group:
                return False
            self._commit(group)
            return True

    def _commit(self, group: list[Waiting]) -> None:
        records = [record for waiting in group for record in waiting.records]
        wall = self.now()
        try:
            data = fmt.encode(records, wall)
            segment = self._active(len(data))
            start = segment.size
            self._append(segment, data, all(r.kind == TOMBSTONE for r in records))
            begun = time.perf_counter()
            try:
                self.files.sync(segment.name)
            except OSError as error:
                self._distrust(segment)
                raise StoreBroken(f"fsync failed: {error.strerror}") from None
            self.stats.syncs = [*self.stats.syncs[-999:], time.perf_counter() - begun]
        except Exception as error:  # whatever it is, those that wait are told, and the thread lives on
            text = getattr(error, "strerror", None) or error
            failure = error if isinstance(error, StoreError) else StoreBroken(f"a write failed: {text}")
            self.stats.failed += len(group)
            self._undo(records)
            for waiting in group:
                waiting.future.set_exception(failure)
            return
        with self.lock:
            segment.size = start + len(data)
            place = start + fmt.FRAME.size
            for record in records:
                self._place(segment, place, record)
                place += record.size
            self.stats.commits += 1
            self.stats.records += len(records)
            for key in self._wheel.due(wall):
                self._expire(key, wall)
        for waiting in group:
            waiting.future.set_result(waiting.records[-1].seq)

    def _place(self, segment: Segment, place: int, record: Record) -> None:
        key = digest(record.key)
        before = self.index.get(key)
        segment.records += 1
        segment.tombstones += record.kind == TOMBSTONE
        taken = self.index.put(
            key, place_of(segment.number, place) if record.kind == PUT else GONE, record.seq, record.expiry
        )
        if taken:
            if before is not None and before[0] != GONE and (old := self.segments.get(split(before[0])[0])) is not None:
                old.live -= 1
            segment.live += record.kind == PUT
            if record.expiry:
                self._wheel.add(record.expiry, key)
        fresh = self._fresh.get(key)
        if fresh is not None and fresh[0].seq == record.seq:
            del self._fresh[key]

    def _expire(self, key: int, wall: float) -> None:
        found = self.index.get(key)
        if found is not None and found[0] != GONE and 0 < found[2] <= wall - 1:
            segment = self.segments.get(split(found[0])[0])
            if segment is not None:
                segment.live -= 1
            self.index.put(key, GONE, found[1], found[2])

    def _undo(self, records: list[Record]) -> None:
        """What was not written is not there."""
        with self.lock:
            for record in records:
                key = digest(record.key)
                fresh = self._fresh.get(key)
                if fresh is not None and fresh[0].seq == record.seq:
                    del self._fresh[key]

    def _active(self, size: int) -> Segment:
        last = self.segments[max(self.segments)] if self.segments else None
        if last is not None and not last.sealed and (last.size + size <= self.limits.segment or not last.records):
            return last
        if last is not None and not last.sealed:
            self._seal(last)
        number = max(self.segments, default=0) + 1
        segment = Segment(number, self._clock_now())
        data = fmt.header(number, segment.clock)
        try:
            self._append(segment, data, False)
            self.files.sync(segment.name)
            self.files.sync_names()
        except BaseException:
            with suppress(OSError):
                self.files.remove(segment.name)
            raise
        segment.size = len(data)
        with self.lock:
            self.segments[number] = segment
        return segment

    def _clock_now(self) -> int:
        """The sequence up to which everything is older than a segment made now."""
        with self.lock:
            waiting = [w.records[0].seq for w in self._queue if not w.copy]
            fresh = [record.seq for record, _ in self._fresh.values()]
        return min([self._seq + 1, *waiting, *fresh]) - 1

    def _append(self, segment: Segment, data: bytes, deletes: bool) -> None:
        """Write at the end of what is durable; what cannot be written whole is taken back."""
        start, rest = segment.size, memoryview(data)
        try:
            while rest:
                taken = self.files.append(segment.name, bytes(rest))
                if taken <= 0:
                    raise OSError(errno.ENOSPC, "No space left on device")
                rest = rest[taken:]
        except OSError as error:
            try:
                self.files.truncate(segment.name, start)
            except OSError:
                self._distrust(segment)
            if error.errno not in (errno.ENOSPC, errno.EDQUOT):
                self._distrust(segment)
                raise
            if deletes and self._ballast:
                self._ballast = False
                with suppress(OSError):
                    self.files.remove(BALLAST)
                return self._append(segment, data, False)
            raise StoreFull("the disk is full", None) from None
        if not self._ballast and not deletes and self.limits.ballast:
            self._lay_ballast()

    def _lay_ballast(self) -> None:
        try:
            with suppress(OSError):
                self.files.remove(BALLAST)
            done = self.files.append(BALLAST, bytes(self.limits.ballast))
            self._ballast = done == self.limits.ballast
        except OSError:
            self._ballast = False

    def _distrust(self, segment: Segment) -> None:
        """What the kernel said of this file cannot be believed any more: it ends where it was durable."""
        segment.suspect = segment.sealed = True
        with suppress(OSError):
            self.files.truncate(segment.name, segment.size)

    def _seal(self, segment: Segment) -> None:
        """No more is written to it; a hint spares the next opening its values."""
        segment.sealed = True
        if segment.suspect:
            return
        rows = []
        for at, record in self.records_of(segment):
            key = digest(record.key)
            place = place_of(segment.number, at) if record.kind == PUT else GONE
            rows.append((key >> 64, key & 0xFFFFFFFFFFFFFFFF, place, record.seq, record.expiry))
        if len(rows) == segment.records:
            self._write_hint(segment, np.array(rows, dtype=ROWS))

    def records_of(self, segment: Segment) -> list[tuple[int, Record]]:
        data = self.files.read(segment.name, 0, segment.size)
        return [found for records, _ in fmt.scan(data).frames for found in records]

    # ---- Reading
    def get(self, key: bytes) -> bytes | None:
        """The value, or ``None``. What was put and is not durable yet is seen too."""
        record = self._get(key)
        return record.value if record is not None else None

    def _get(self, key: bytes) -> Record | None:
        name = digest(key)
        with self.lock:
            fresh = self._fresh.get(name)
            if fresh is not None:
                record: Record | None = fresh[0] if fresh[0].kind == PUT else None
            else:
                found = self.index.get(name)
                if found is None or found[0] == GONE:
                    return None
                record = self._read(found[0])
                if record is None or record.key != key:
                    return None  # damaged since; never served
            if record is None or 0 < record.expiry <= self.now():
                return None
            return record

    def _read(self, place: int) -> Record | None:
        number, at = split(place)
        segment = self.segments.get(number)
        if segment is None:
            return None
        data = self.files.read(segment.name, at, min(READ, max(segment.size - at, 0)))
        try:
            try:
                return fmt.decode_record(data)
            except NotAFrame as error:
                if not error.short or len(data) < fmt.RECORD.size:
                    raise
                _, _, keys, values, _, _ = fmt.RECORD.unpack_from(data)
                return fmt.decode_record(self.files.read(segment.name, at, fmt.RECORD.size + keys + values))
        except NotAFrame as error:
            damage = Damage(number, at, len(data), str(error))
            if damage not in self.damage:
                self.damage.append(damage)
            return None

    def scan(self) -> Iterator[tuple[bytes, bytes, float]]:
        """Every key, value and expiry as they are when it begins, while writes go on."""
        with self.lock:
            places = [place for place, _ in self.index.places()]
            fresh = [record for record, _ in self._fresh.values()]
            pinned = list(self.segments.values())
            for segment in pinned:
                segment.pins += 1
            now = self.now()
        try:
            seen = {record.key for record in fresh}
            for record in fresh:
                if record.kind == PUT and not 0 < record.expiry <= now:
                    yield record.key, record.value, record.expiry
            for place in places:
                with self.lock:
                    found = self._read(place)
                if found is not None and found.key not in seen and not 0 < found.expiry <= now:
                    yield found.key, found.value, found.expiry
        finally:
            with self.lock:
                for segment in pinned:
                    segment.pins -= 1

    def __len__(self) -> int:
        """Keys that are there, those that expired and were not swept yet among them."""
        with self.lock:
            return len(self.index)

    # ---- Compaction
    def compact(self, everything: bool = False) -> int:
        """Compact until there is no more to gain; gives the bytes freed."""
        before, last = self.disk_bytes, max(self.segments, default=0)
        while self.compact_slice(everything=everything, upto=last):
            if self._thread is None:
                self.commit()
            else:
                time.sleep(0.0005)  # the copies are on their way to the disk
        return before - self.disk_bytes

    def compact_slice(self, budget: int = 1 << 20, everything: bool = False, upto: int = 1 << 24) -> bool:
        """One slice of ``Compaction``. True if there is more to do."""
        return self._compaction.slice(budget, everything, upto)

    def queue_copies(self, records: list[Record]) -> Future[int]:
        """Have records written again as they are, for compaction."""
        future: Future[int] = Future()
        with self.lock:
            size = sum(record.size for record in records)
            self._queue.append(Waiting(list(records), future, size, copy=True))
            self._waiting += size
            self._work.notify()
        return future

    # ---- Snapshots and the end
    def snapshot(self, path: str) -> int:
        """Copy all that is durable now into an empty directory; gives the bytes. Writes go on meanwhile."""
        self.sync()
        target = RealFiles(path)
        if target.names():
            target.close()
            raise StoreError(f"{path} is not empty")
        with self.lock:
            taken = [(segment, segment.size) for segment in self.segments.values()]
            for segment, _ in taken:
                segment.pins += 1
        total = 0
        try:
            for segment, size in taken:
                at = 0
                while at < size:
                    part = self.files.read(segment.name, at, min(1 << 20, size - at))
                    if not part:
                        break
                    target.append(segment.name, part)
                    at += len(part)
                target.sync(segment.name)
                total += at
            target.sync_names()
        finally:
            target.close()
            with self.lock:
                for segment, _ in taken:
                    segment.pins -= 1
        return total

    def _run(self) -> None:
        while True:
            with self._work:
                while not self._queue and not self._closed:
                    self._work.wait(1.0)
                if self._closed and not self._queue:
                    return
            self.commit()
            with suppress(OSError):  # as a read that fails: what is not compacted stays as it is
                self.compact_slice()

    def close(self) -> None:
        """Write what waits, seal, and let the lock go. Everything is durable after it, or its future has failed."""
        with self._work:
            if self._closed:
                return
            self._closed = True
            self._work.notify()
        if self._thread is not None:
            self._thread.join()
        while self.commit():
            pass
        last = self.segments[max(self.segments)] if self.segments else None
        if last is not None and not last.sealed:
            self._seal(last)
        self.files.close()
