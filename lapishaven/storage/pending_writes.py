"""Writes that are accepted but not yet durable: the memtable, the commit queue and the last sequence number."""

from __future__ import annotations

import threading
from concurrent.futures import Future

from lapishaven.storage.commit_queue import CommitQueue, PendingBatch
from lapishaven.storage.format import PUT, TOMBSTONE, Record
from lapishaven.storage.memtable import Memtable


class PendingWrites:
    """Assigns sequence numbers to records and keeps them until they are durable or their write has failed.

    ``lock`` is the store's lock. Callers hold it, except for ``last_written_sequence``, which acquires it.
    ``available`` is notified when a batch is queued.
    """

    def __init__(self, lock: threading.RLock) -> None:
        self.memtable = Memtable()
        self.queue = CommitQueue()
        self.available = threading.Condition(lock)
        self.sequence = 0  # sequence number of the newest record
        self._lock = lock

    def next_record(self, key: bytes, value: bytes | None, expiry: float) -> Record:
        """Create the record of a put, or of a delete if ``value`` is ``None``, with the next sequence number."""
        self.sequence += 1
        kind = TOMBSTONE if value is None else PUT
        return Record(kind, self.sequence, key, value or b"", expiry)

    def add_changes(self, records: list[Record], size: int) -> Future[int]:
        """Queue new records of ``size`` bytes as one batch and make them visible to reads."""
        for record in records:
            self.memtable.put(record)
        return self._enqueue(records, size, is_copy=False)

    def add_copies(self, records: list[Record]) -> Future[int]:
        """Queue records that compaction copies, with their sequence numbers unchanged."""
        return self._enqueue(list(records), sum(record.size for record in records), is_copy=True)

    def _enqueue(self, records: list[Record], size: int, is_copy: bool) -> Future[int]:
        future: Future[int] = Future()
        self.queue.add(PendingBatch(records, future, size, is_copy))
        self.available.notify()
        return future

    def last_written_sequence(self) -> int:
        """The highest sequence number up to which all records are written."""
        with self._lock:
            queued = self.queue.first_sequences()
            unwritten = [record.sequence for record in self.memtable.records()]
            return min([self.sequence + 1, *queued, *unwritten]) - 1
