"""What a store consists of: its limits, its segments, what waits to be written, and its counters."""

from __future__ import annotations

from concurrent.futures import Future
from dataclasses import dataclass, field

from lapishaven.storage.format import Record


@dataclass(frozen=True, slots=True)
class Limits:
    """Sizes in bytes."""

    segment: int = 16 << 20  # at which a segment is sealed
    total: int = 0  # of all files, over which nothing more is put; 0 for no bound
    waiting: int = 16 << 20  # that waits to be written, over which nothing more is put
    group: int = 4 << 20  # written and synced at one time
    ballast: int = 64 << 10
    dead: float = 0.5  # part of a sealed segment's records that is of no use any more, from which it is compacted


@dataclass(slots=True)
class Segment:
    """One file of the log."""

    number: int
    clock: int  # the store's sequence at its creation
    size: int = 0  # of what is durable
    records: int = 0
    live: int = 0
    tombstones: int = 0
    sealed: bool = False
    suspect: bool = False  # an fsync of it failed
    pins: int = 0

    @property
    def name(self) -> str:
        """Of its file."""
        return f"{self.number:08d}.seg"

    @property
    def hint(self) -> str:
        """The name of its hint file."""
        return f"{self.number:08d}.hint"


@dataclass(slots=True)
class Waiting:
    """Records that are written together, and who is told."""

    records: list[Record]
    future: Future[int]
    size: int
    copy: bool = False  # by compaction: the records keep their sequence


@dataclass(slots=True)
class Stats:
    """Counters since the store was opened; spans in seconds."""

    commits: int = 0
    records: int = 0
    syncs: list[float] = field(default_factory=list)  # the last thousand
    compacted: int = 0
    refused: int = 0
    failed: int = 0
    opened_in: float = 0.0
    cut: int = 0  # bytes of a torn tail
