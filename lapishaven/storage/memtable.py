"""The memtable: records that are accepted but not yet durable."""

from __future__ import annotations

from lapishaven.storage.format import Record
from lapishaven.storage.index import digest


class Memtable:
    """The newest record of each key that is not yet durable; reads look here first.

    Not synchronized: callers hold the store's lock.
    """

    def __init__(self) -> None:
        self._records: dict[int, Record] = {}

    def put(self, record: Record) -> None:
        """Add a record, replacing an older one of its key."""
        self._records[digest(record.key)] = record

    def get(self, key_digest: int) -> Record | None:
        """The record of a key, which may be a tombstone, or ``None``."""
        return self._records.get(key_digest)

    def discard(self, record: Record) -> None:
        """Remove a record that became durable or whose write failed; a newer record of its key stays."""
        key_digest = digest(record.key)
        current = self._records.get(key_digest)
        if current is not None and current.sequence == record.sequence:
            del self._records[key_digest]

    def records(self) -> list[Record]:
        """All records, including tombstones."""
        return list(self._records.values())
