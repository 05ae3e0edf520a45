"""Reads records from segments by their location."""

from __future__ import annotations

from lapishaven.storage import format as fmt
from lapishaven.storage.errors import Damage
from lapishaven.storage.files import FileSystem
from lapishaven.storage.format import InvalidFrameError, Record
from lapishaven.storage.index import unpack_location
from lapishaven.storage.segments import Segment, SegmentTable

FIRST_READ_BYTES = 4096  # most records are shorter, so that one read is enough


class RecordReader:
    """Reads and verifies records. Ranges that fail verification are added to ``damage`` and never returned."""

    def __init__(self, files: FileSystem, segments: SegmentTable, damage: list[Damage]) -> None:
        self._files = files
        self._segments = segments
        self._damage = damage

    def read(self, location: int) -> Record | None:
        """The record at a location; ``None`` if its segment was removed or its bytes are damaged.

        Raises ``OSError``.
        """
        number, offset = unpack_location(location)
        segment = self._segments.get(number)
        if segment is None:
            return None
        data = self._files.read(segment.name, offset, min(FIRST_READ_BYTES, max(segment.size - offset, 0)))
        try:
            return self._decode(segment, offset, data)
        except InvalidFrameError as error:
            damage = Damage(number, offset, len(data), str(error))
            if damage not in self._damage:
                self._damage.append(damage)
            return None

    def _decode(self, segment: Segment, offset: int, data: bytes) -> Record:
        """Decode a record from its first bytes, reading a longer record again in full."""
        try:
            return fmt.decode_record(data)
        except InvalidFrameError as error:
            if not error.truncated or len(data) < fmt.RECORD_HEADER.size:
                raise
        return fmt.decode_record(self._files.read(segment.name, offset, fmt.record_size(data)))

    def records_of(self, segment: Segment) -> list[tuple[int, Record]]:
        """All records of a segment with their offsets. Raises ``OSError``."""
        data = self._files.read(segment.name, 0, segment.size)
        return [record for frame in fmt.scan_segment(data).frames for record in frame.records]
