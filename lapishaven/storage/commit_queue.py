"""The queue of batches that wait for a group commit."""

from __future__ import annotations

from concurrent.futures import Future
from dataclasses import dataclass

from lapishaven.storage.format import Record


@dataclass(slots=True)
class PendingBatch:
    """Records that are written together or not at all."""

    records: list[Record]
    future: Future[int]  # its result is the sequence of the last record, once that is durable
    size: int  # bytes
    is_copy: bool = False  # made by compaction: the records keep their sequences


class CommitQueue:
    """Batches in the order in which they came. Not synchronized: the store's lock is held by its users."""

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
        """Remove the batches of the next group commit: at least one, more while they hold at most ``max_bytes``."""
        group: list[PendingBatch] = []
        size = 0
        while self._batches and size <= max_bytes:
            batch = self._batches.pop(0)
            group.append(batch)
            size += batch.size
        self.pending_bytes -= size
        return group

    def last_future(self) -> Future[int] | None:
        """The future of the newest batch."""
        return self._batches[-1].future if self._batches else None

    def first_sequences(self) -> list[int]:
        """The first sequence of each batch that was not made by compaction."""
        return [batch.records[0].sequence for batch in self._batches if not batch.is_copy]
