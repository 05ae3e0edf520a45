"""In-memory index of the location of each key's newest record, compact for many small keys.

A key is represented by its 128-bit hash (xxh3): with a million keys the probability of a collision is under 1e-26.
Most entries are in sorted columns, which take 36 bytes per entry, are found by binary search and are loaded from hint
files without reading keys. Recent entries are in a dict that is merged into the columns when it reaches a fraction of
their size.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

import numpy as np
import xxhash

MIN_MERGE_ENTRIES = 20_000  # number of recent entries above which they are merged into the columns
MERGE_FRACTION = 0.1  # the same as a fraction of the columns' length; the larger of both applies
RECENT_ENTRY_BYTES = 230  # approximate memory of a recent entry
ABSENT = 0  # location of a deleted or expired key
OFFSET_BITS = 40
LOW_MASK = 0xFFFFFFFFFFFFFFFF  # selects the low half of a digest
Column = np.ndarray[tuple[int], np.dtype[np.uint64]]

# Index row as stored in hint files; ``high`` and ``low`` are the halves of a key's digest.
ROW_TYPE = np.dtype(
    [
        ("high", np.uint64),
        ("low", np.uint64),
        ("place", np.uint64),
        ("seq", np.uint64),
        ("expiry", np.float64),
    ]
)


class IndexEntry(NamedTuple):
    """Index entry of a key."""

    location: int  # location of the newest record, or ``ABSENT``
    sequence: int  # sequence number of that record
    expiry: float  # Unix seconds, 0: never; rounded to 128 s in the columns (float32), exact in the record


def digest(key: bytes) -> int:
    """The 128-bit hash of a key."""
    return int(xxhash.xxh3_128_intdigest(key))


def pack_location(segment_number: int, offset: int) -> int:
    """Pack segment number and offset into one integer; never ``ABSENT``, as segment numbers start at 1."""
    return segment_number << OFFSET_BITS | offset


def unpack_location(location: int) -> tuple[int, int]:
    """Unpack a location into segment number and offset."""
    return location >> OFFSET_BITS, location & ((1 << OFFSET_BITS) - 1)


class Index:
    """Maps the digest of a key to its ``IndexEntry``. Not synchronized."""

    def __init__(self) -> None:
        empty = np.empty(0, dtype=np.uint64)
        self._high: Column = empty
        self._low: Column = empty
        self._locations: Column = empty
        self._sequences: Column = empty
        self._expiries = np.empty(0, dtype=np.float32)
        self._recent: dict[int, IndexEntry] = {}
        self.count = 0  # number of keys that are not absent

    def load(self, rows: np.ndarray) -> None:
        """Replace the columns by rows of ``ROW_TYPE``; the highest sequence number of a key wins."""
        order = np.lexsort((rows["seq"], rows["low"], rows["high"]))
        rows = rows[order]
        is_newest = np.ones(len(rows), dtype=bool)
        if len(rows) > 1:
            is_newest[:-1] = (rows["high"][1:] != rows["high"][:-1]) | (rows["low"][1:] != rows["low"][:-1])
        rows = rows[is_newest]
        self._high = rows["high"].copy()
        self._low = rows["low"].copy()
        self._locations = rows["place"].copy()
        self._sequences = rows["seq"].copy()
        self._expiries = rows["expiry"].astype(np.float32)
        self.count = int(np.count_nonzero(self._locations))

    def _find_row(self, key_digest: int) -> int:
        """The row number of a key in the columns, or -1."""
        high = np.uint64(key_digest >> 64)
        low = np.uint64(key_digest & LOW_MASK)
        row = int(np.searchsorted(self._high, high))
        while row < len(self._high) and self._high[row] == high:
            if self._low[row] == low:
                return row
            row += 1
        return -1

    def get(self, key_digest: int) -> IndexEntry | None:
        """The entry of a key; its location is ``ABSENT`` for a tombstone. ``None`` if the key is unknown."""
        recent = self._recent.get(key_digest)
        if recent is not None:
            return recent
        row = self._find_row(key_digest)
        if row < 0:
            return None
        return IndexEntry(int(self._locations[row]), int(self._sequences[row]), float(self._expiries[row]))

    def put(self, key_digest: int, location: int, sequence: int, expiry: float) -> bool:
        """Set the entry of a key unless it has a newer record; returns whether it was set."""
        previous = self.get(key_digest)
        if previous is not None and previous.sequence > sequence:
            return False
        was_present = previous is not None and previous.location != ABSENT
        self.count += (location != ABSENT) - was_present
        self._recent[key_digest] = IndexEntry(location, sequence, expiry)
        if len(self._recent) > max(MIN_MERGE_ENTRIES, MERGE_FRACTION * len(self._high)):
            self.merge()
        return True

    def remove_tombstone(self, key_digest: int) -> None:
        """Remove the tombstone of an absent key, once no file has an older record of the key.

        A row in the columns stays, marked ``ABSENT``.
        """
        entry = self.get(key_digest)
        if entry is not None and entry.location == ABSENT:
            self._recent.pop(key_digest, None)
            row = self._find_row(key_digest)
            if row >= 0:
                self._locations[row] = ABSENT

    def merge(self) -> None:
        """Merge the recent entries into the columns."""
        if not self._recent:
            return
        old_count = len(self._high)
        rows = np.empty(old_count + len(self._recent), dtype=ROW_TYPE)
        rows["high"][:old_count] = self._high
        rows["low"][:old_count] = self._low
        rows["place"][:old_count] = self._locations
        rows["seq"][:old_count] = self._sequences
        rows["expiry"][:old_count] = self._expiries
        for row, (key_digest, entry) in enumerate(self._recent.items(), old_count):
            rows[row] = (key_digest >> 64, key_digest & LOW_MASK, *entry)
        self._recent = {}
        self.load(rows)

    def __len__(self) -> int:
        return self.count

    def locations(self) -> Iterator[tuple[int, int]]:
        """Location and sequence number of every key that is not absent."""
        self.merge()
        for location, sequence in zip(self._locations.tolist(), self._sequences.tolist(), strict=True):
            if location != ABSENT:
                yield location, sequence

    def memory_bytes(self) -> int:
        """Approximate memory of the columns and the recent entries."""
        columns = (self._high, self._low, self._locations, self._sequences, self._expiries)
        return sum(column.nbytes for column in columns) + len(self._recent) * RECENT_ENTRY_BYTES
