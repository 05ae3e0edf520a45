"""The queue of batches waiting for a group commit."""

from __future__ import annotations

from concurrent.futures import Future
from dataclasses import dataclass

from lapishaven.storage.format import Record


@dataclass(slots=True)
class PendingBatch:
    """Records that are written atomically."""

    records: list[Record]
    future: Future[int]  # completed with the last record's sequence number once it is durable
    size: int  # in bytes
    is_copy: bool = False  # made by compaction, which keeps the records' sequence numbers


class CommitQueue:
    """First-in, first-out queue of batches. Not synchronized: callers hold the store's lock."""

    def __init__(self) -> None:
        self._batches: list[PendingBatch] = []
        self.pending_bytes = 0

    def __len__(self) -> int:
        return len(self._batches)

    def add(self, batch: PendingBatch) -> None:
        """Append a batch."""
        self._batches.append(batch)
        self.pending_bytes += batch.size

    def take_group(self, max_bytes: int) -> list[PendingBatch]:
        """Remove the batches of the next group commit.

        Batches are added until their total size exceeds ``max_bytes``, so the group may exceed it by one batch.
        """
        group: list[PendingBatch] = []
        size = 0
        while self._batches and size <= max_bytes:
            batch = self._batches.pop(0)
            group.append(batch)
            size += batch.size
        self.pending_bytes -= size
        return group

    def last_future(self) -> Future[int] | None:
        """The future of the newest batch, or ``None`` if the queue is empty."""
        return self._batches[-1].future if self._batches else None

    def first_sequences(self) -> list[int]:
        """The first sequence number of each batch that was not made by compaction."""
        return [batch.records[0].sequence for batch in self._batches if not batch.is_copy]
