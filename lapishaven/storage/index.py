"""Where each key is: an index in memory for many small keys.

A key is held as its 128-bit hash (xxh3), never its bytes: two keys of a store meet with a chance under 1e-26 at a
million keys, far under that of an undetected disk error. The bulk lies in sorted columns (hash, place, expiry),
searched by bisection; what was written since lies in a dict over them, and is merged in when it has grown to a part
of the bulk. So a million keys take some 36 bytes each, and a store is opened by reading columns, not keys.
"""

from __future__ import annotations

from collections.abc import Iterator

import numpy as np
import xxhash

MERGE_LEAST = 20_000  # entries over the columns at which they are merged
MERGE_PART = 0.1  # or this part of the columns, where that is more
GONE = 0  # the place of a key that is not there any more
Column = np.ndarray[tuple[int], np.dtype[np.uint64]]


def digest(key: bytes) -> int:
    """The 128-bit hash of a key."""
    return int(xxhash.xxh3_128_intdigest(key))


def place_of(segment: int, offset: int) -> int:
    """One number for a record's segment and offset; never 0, as segments count from 1."""
    return segment << 40 | offset


def split(place: int) -> tuple[int, int]:
    return place >> 40, place & 0xFFFFFFFFFF


class Index:
    """Hash to (place, sequence, expiry)."""

    def __init__(self) -> None:
        empty = np.empty(0, dtype=np.uint64)
        self._high: Column = empty
        self._low: Column = empty
        self._place: Column = empty
        self._seq: Column = empty
        self._expiry = np.empty(0, dtype=np.float32)  # minutes are enough for a bound; the record has it exactly
        self._over: dict[int, tuple[int, int, float]] = {}
        self.count = 0

    def load(self, rows: np.ndarray) -> None:
        """Take over columns read from hints: (high, low, place, seq, expiry), the newest of each key last to win."""
        order = np.lexsort((rows["seq"], rows["low"], rows["high"]))
        rows = rows[order]
        last = np.ones(len(rows), dtype=bool)
        if len(rows) > 1:
            last[:-1] = (rows["high"][1:] != rows["high"][:-1]) | (rows["low"][1:] != rows["low"][:-1])
        rows = rows[last]
        self._high, self._low = rows["high"].copy(), rows["low"].copy()
        self._place, self._seq = rows["place"].copy(), rows["seq"].copy()
        self._expiry = rows["expiry"].astype(np.float32)
        self.count = int(np.count_nonzero(self._place))

    def _find(self, key: int) -> int:
        """The row of a key in the columns, or -1."""
        high, low = np.uint64(key >> 64), np.uint64(key & 0xFFFFFFFFFFFFFFFF)
        at = int(np.searchsorted(self._high, high))
        while at < len(self._high) and self._high[at] == high:
            if self._low[at] == low:
                return at
            at += 1
        return -1

    def get(self, key: int) -> tuple[int, int, float] | None:
        """Place, sequence and expiry; the place is ``GONE`` for a tombstone."""
        found = self._over.get(key)
        if found is not None:
            return found
        at = self._find(key)
        return None if at < 0 else (int(self._place[at]), int(self._seq[at]), float(self._expiry[at]))

    def put(self, key: int, place: int, seq: int, expiry: float) -> bool:
        """Set where a key is, unless a newer record of it is known; true if it was taken."""
        before = self.get(key)
        if before is not None and before[1] > seq:
            return False
        self.count += (place != GONE) - (before is not None and before[0] != GONE)
        self._over[key] = place, seq, expiry
        if len(self._over) > max(MERGE_LEAST, MERGE_PART * len(self._high)):
            self.merge()
        return True

    def drop(self, key: int) -> None:
        """Forget a tombstone that nothing needs any more."""
        before = self.get(key)
        if before is not None and before[0] == GONE:
            self._over.pop(key, None)
            at = self._find(key)
            if at >= 0:
                self._place[at] = GONE

    def merge(self) -> None:
        """Bring what lies over the columns into them."""
        if not self._over:
            return
        rows = np.empty(len(self._high) + len(self._over), dtype=ROWS)
        n = len(self._high)
        rows["high"][:n], rows["low"][:n], rows["place"][:n] = self._high, self._low, self._place
        rows["seq"][:n], rows["expiry"][:n] = self._seq, self._expiry
        for at, (key, (place, seq, expiry)) in enumerate(self._over.items(), n):
            rows[at] = key >> 64, key & 0xFFFFFFFFFFFFFFFF, place, seq, expiry
        self._over = {}
        self.load(rows)

    def __len__(self) -> int:
        return self.count

    def places(self) -> Iterator[tuple[int, int]]:
        """Place and sequence of every key that is there, as of now."""
        self.merge()
        for place, seq in zip(self._place.tolist(), self._seq.tolist(), strict=True):
            if place != GONE:
                yield place, seq

    def memory(self) -> int:
        """Memory of the columns, and of what lies over them."""
        columns = sum(each.nbytes for each in (self._high, self._low, self._place, self._seq, self._expiry))
        return columns + len(self._over) * 230


ROWS = np.dtype(
    [
        ("high", np.uint64),
        ("low", np.uint64),
        ("place", np.uint64),
        ("seq", np.uint64),
        ("expiry", np.float64),
    ]
)
