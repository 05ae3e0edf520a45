"""Segments of the log, and the table of all of them."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Limits:
    """Bounds of a store. Sizes are bytes."""

    segment_bytes: int = 16 << 20  # at which a segment is sealed
    total_bytes: int = 0  # of all segments, above which puts are rejected; 0: no bound
    pending_bytes: int = 16 << 20  # not yet written, above which puts are rejected
    group_bytes: int = 4 << 20  # written and synced in one group commit
    reserve_bytes: int = 64 << 10  # kept free on disk for deletes
    garbage_ratio: float = 0.5  # share of obsolete records from which a sealed segment is compacted


@dataclass(slots=True)
class Segment:
    """One file of the log."""

    number: int
    created_at_sequence: int  # everything up to this sequence is older than the segment
    size: int = 0  # durable bytes
    record_count: int = 0
    live_count: int = 0
    tombstone_count: int = 0
    sealed: bool = False  # nothing more is written to it
    suspect: bool = False  # an fsync of it failed
    pins: int = 0  # readers that need the file to stay

    @property
    def name(self) -> str:
        """The name of its file."""
        return f"{self.number:08d}.seg"

    @property
    def hint_name(self) -> str:
        """The name of its hint file."""
        return f"{self.number:08d}.hint"


@dataclass(slots=True)
class Stats:
    """Counters since the store was opened."""

    commits: int = 0
    records: int = 0
    sync_seconds: list[float] = field(default_factory=list)  # durations of the last thousand fsyncs
    compacted: int = 0  # segments removed
    rejected: int = 0  # batches turned down for want of capacity
    failed: int = 0  # batches whose write failed
    open_seconds: float = 0.0
    truncated_bytes: int = 0  # of a torn tail, cut off at opening


class SegmentTable:
    """All segments of a store by number. Not synchronized: the store's lock is held by its users."""

    def __init__(self) -> None:
        self._by_number: dict[int, Segment] = {}

    def __len__(self) -> int:
        return len(self._by_number)

    def __getitem__(self, number: int) -> Segment:
        return self._by_number[number]

    def __iter__(self) -> Iterator[Segment]:
        return iter(self._by_number.values())

    def get(self, number: int) -> Segment | None:
        """The segment with a number, if it is still there."""
        return self._by_number.get(number)

    def add(self, segment: Segment) -> None:
        """Add a segment, under its number."""
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
        """Durable bytes of all segments."""
        return sum(segment.size for segment in self)

    def pin_all(self) -> list[Segment]:
        """Pin every segment, so that none is removed until ``unpin``; gives them."""
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
        """Whether any segment is being read by a scan or a snapshot."""
        return any(segment.pins for segment in self)
