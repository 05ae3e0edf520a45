"""The index: where the newest record of each key is, in memory, for many small keys.

A key is represented by its 128-bit hash (xxh3), never by its bytes: with a million keys the probability of a collision
is under 1e-26. Most entries are in sorted columns, found by binary search; entries written since are in a dict, which
is merged into the columns when it has grown to a fraction of them. An entry of the columns takes 36 bytes, and a store
is opened by reading columns instead of keys.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

import numpy as np
import xxhash

MIN_MERGE_ENTRIES = 20_000  # recent entries at which they are merged into the columns,
MERGE_FRACTION = 0.1  # or this fraction of the columns, if that is more
RECENT_ENTRY_BYTES = 230  # memory of an entry in the dict
ABSENT = 0  # the place of a deleted or expired key
OFFSET_BITS = 40
LOW_MASK = 0xFFFFFFFFFFFFFFFF  # the low half of a digest
Column = np.ndarray[tuple[int], np.dtype[np.uint64]]

# A row as hint files have it; ``high`` and ``low`` are the halves of a key's digest.
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
    """What the index knows of a key."""

    place: int  # of its newest record, or ``ABSENT``
    sequence: int  # of that record
    expiry: float  # Unix seconds; 0: never. The columns round it to 128 s (float32); the record has it exactly


def digest(key: bytes) -> int:
    """The 128-bit hash of a key."""
    return int(xxhash.xxh3_128_intdigest(key))


def make_place(segment_number: int, offset: int) -> int:
    """One number for a record's segment and offset; never ``ABSENT``, as segment numbers begin at 1."""
    return segment_number << OFFSET_BITS | offset


def split_place(place: int) -> tuple[int, int]:
    """Segment number and offset of a place."""
    return place >> OFFSET_BITS, place & ((1 << OFFSET_BITS) - 1)


class Index:
    """Maps the digest of a key to its ``IndexEntry``. Not synchronized."""

    def __init__(self) -> None:
        empty = np.empty(0, dtype=np.uint64)
        self._high: Column = empty
        self._low: Column = empty
        self._places: Column = empty
        self._sequences: Column = empty
        self._expiries = np.empty(0, dtype=np.float32)
        self._recent: dict[int, IndexEntry] = {}
        self.count = 0  # keys that are not absent

    def load(self, rows: np.ndarray) -> None:
        """Replace the columns by rows of ``ROW_TYPE``; of several rows of one key the highest sequence wins."""
        order = np.lexsort((rows["seq"], rows["low"], rows["high"]))
        rows = rows[order]
        is_newest = np.ones(len(rows), dtype=bool)
        if len(rows) > 1:
            is_newest[:-1] = (rows["high"][1:] != rows["high"][:-1]) | (rows["low"][1:] != rows["low"][:-1])
        rows = rows[is_newest]
        self._high = rows["high"].copy()
        self._low = rows["low"].copy()
        self._places = rows["place"].copy()
        self._sequences = rows["seq"].copy()
        self._expiries = rows["expiry"].astype(np.float32)
        self.count = int(np.count_nonzero(self._places))

    def _find_row(self, key_digest: int) -> int:
        """The row of a key in the columns, or -1."""
        high = np.uint64(key_digest >> 64)
        low = np.uint64(key_digest & LOW_MASK)
        row = int(np.searchsorted(self._high, high))
        while row < len(self._high) and self._high[row] == high:
            if self._low[row] == low:
                return row
            row += 1
        return -1

    def get(self, key_digest: int) -> IndexEntry | None:
        """The entry of a key; its place is ``ABSENT`` for a tombstone. ``None`` if the key is unknown."""
        recent = self._recent.get(key_digest)
        if recent is not None:
            return recent
        row = self._find_row(key_digest)
        if row < 0:
            return None
        return IndexEntry(int(self._places[row]), int(self._sequences[row]), float(self._expiries[row]))

    def put(self, key_digest: int, place: int, sequence: int, expiry: float) -> bool:
        """Set the entry of a key, unless a newer record is known; whether it was set."""
        previous = self.get(key_digest)
        if previous is not None and previous.sequence > sequence:
            return False
        was_present = previous is not None and previous.place != ABSENT
        self.count += (place != ABSENT) - was_present
        self._recent[key_digest] = IndexEntry(place, sequence, expiry)
        if len(self._recent) > max(MIN_MERGE_ENTRIES, MERGE_FRACTION * len(self._high)):
            self.merge()
        return True

    def remove_tombstone(self, key_digest: int) -> None:
        """Forget the tombstone of an absent key, once no older record of it is left in any file.

        A row of the columns stays, marked ``ABSENT``.
        """
        entry = self.get(key_digest)
        if entry is not None and entry.place == ABSENT:
            self._recent.pop(key_digest, None)
            row = self._find_row(key_digest)
            if row >= 0:
                self._places[row] = ABSENT

    def merge(self) -> None:
        """Merge the recent entries into the columns."""
        if not self._recent:
            return
        old_count = len(self._high)
        rows = np.empty(old_count + len(self._recent), dtype=ROW_TYPE)
        rows["high"][:old_count] = self._high
        rows["low"][:old_count] = self._low
        rows["place"][:old_count] = self._places
        rows["seq"][:old_count] = self._sequences
        rows["expiry"][:old_count] = self._expiries
        for row, (key_digest, entry) in enumerate(self._recent.items(), old_count):
            rows[row] = (key_digest >> 64, key_digest & LOW_MASK, *entry)
        self._recent = {}
        self.load(rows)

    def __len__(self) -> int:
        return self.count

    def places(self) -> Iterator[tuple[int, int]]:
        """Place and sequence of every key that is not absent, as of now."""
        self.merge()
        for place, sequence in zip(self._places.tolist(), self._sequences.tolist(), strict=True):
            if place != ABSENT:
                yield place, sequence

    def memory_bytes(self) -> int:
        """Memory of the columns and of the recent entries, about."""
        columns = (self._high, self._low, self._places, self._sequences, self._expiries)
        return sum(column.nbytes for column in columns) + len(self._recent) * RECENT_ENTRY_BYTES
