"""Segments of the log, the table of all segments, and the limits and statistics of a store."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Limits:
    """Limits of a store. Sizes are in bytes."""

    segment_bytes: int = 16 << 20  # size at which a segment is sealed
    total_bytes: int = 0  # total size of all segments above which puts are rejected; 0: no limit
    pending_bytes: int = 16 << 20  # size of unwritten batches above which puts are rejected
    group_bytes: int = 4 << 20  # approximate size of one group commit
    reserve_bytes: int = 64 << 10  # disk space reserved for deletes
    garbage_ratio: float = 0.5  # fraction of obsolete records from which a sealed segment is compacted


@dataclass(slots=True)
class Segment:
    """One file of the log."""

    number: int
    created_at_sequence: int  # all records up to this sequence number are in older segments
    size: int = 0  # number of durable bytes
    record_count: int = 0
    live_count: int = 0
    tombstone_count: int = 0
    sealed: bool = False  # nothing more is written to it
    suspect: bool = False  # a write, fsync or truncate of it failed
    pins: int = 0  # number of readers that need the file

    @property
    def name(self) -> str:
        """Name of the segment file."""
        return f"{self.number:08d}.seg"

    @property
    def hint_name(self) -> str:
        """Name of the hint file."""
        return f"{self.number:08d}.hint"


@dataclass(slots=True)
class Stats:
    """Counters since the store was opened."""

    commits: int = 0
    records: int = 0
    sync_seconds: list[float] = field(default_factory=list)  # durations of the last 1000 fsyncs
    compacted: int = 0  # number of segments removed by compaction
    rejected: int = 0  # batches rejected because a limit was reached
    failed: int = 0  # batches whose write failed
    open_seconds: float = 0.0
    truncated_bytes: int = 0  # size of the torn tail removed when the store was opened


class SegmentTable:
    """All segments of a store by number. Not synchronized: callers hold the store's lock."""

    def __init__(self) -> None:
        self._by_number: dict[int, Segment] = {}

    def __len__(self) -> int:
        return len(self._by_number)

    def __getitem__(self, number: int) -> Segment:
        return self._by_number[number]

    def __iter__(self) -> Iterator[Segment]:
        return iter(self._by_number.values())

    def get(self, number: int) -> Segment | None:
        """The segment with a number, or ``None`` if it was removed."""
        return self._by_number.get(number)

    def add(self, segment: Segment) -> None:
        """Add a segment."""
        self._by_number[segment.number] = segment

    def remove(self, number: int) -> None:
        """Remove a segment that was compacted."""
        del self._by_number[number]

    def last_number(self) -> int:
        """The highest number; 0 if there is no segment."""
        return max(self._by_number, default=0)

    def last(self) -> Segment | None:
        """The segment with the highest number."""
        return self._by_number.get(self.last_number())

    def total_bytes(self) -> int:
        """Total durable size of all segments."""
        return sum(segment.size for segment in self)

    def pin_all(self) -> list[Segment]:
        """Pin every segment, so that none is removed until ``unpin``; returns the pinned segments."""
        pinned = list(self)
        for segment in pinned:
            segment.pins += 1
        return pinned

    @staticmethod
    def unpin(pinned: list[Segment]) -> None:
        """Release segments pinned by ``pin_all``."""
        for segment in pinned:
            segment.pins -= 1

    def any_pinned(self) -> bool:
        """Whether a scan or snapshot is reading any segment."""
        return any(segment.pins for segment in self)
