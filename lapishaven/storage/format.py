"""The file format, version 1: bytes to records and back. Pure; ``docs/storage-format.md`` describes it.

A segment is a header and frames. A frame is one group commit: it is valid as a whole or not at all. Each record has a
checksum of its own too, so that one can be read and verified without the rest of its frame.
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from struct import Struct

import google_crc32c

from lapishaven.storage.errors import StoreError

VERSION = 1
MAGIC = b"LHSEG\x00"
SEGMENT_HEADER = Struct("<6sHQQI")  # magic, version, segment number, sequence at its creation, checksum of all before
FRAME_HEADER = Struct("<HHIQd")  # mark, number of records, payload bytes, sequence of the first record, wall time
FRAME_MARK = 0x5AF7
CHECKSUM = Struct("<I")  # CRC32C; after a frame's payload, over header and payload
RECORD_HEADER = Struct("<IBHIQd")  # checksum of the rest, kind, key bytes, value bytes, sequence, expiry
PUT = 1
TOMBSTONE = 2
MAX_KEY_BYTES = 1024
MAX_VALUE_BYTES = 1 << 20
MAX_FRAME_BYTES = 1 << 26
FRAME_OVERHEAD = FRAME_HEADER.size + CHECKSUM.size


class InvalidFrameError(ValueError):
    """The bytes are no valid header, frame or record. ``truncated``: they may be the beginning of one."""

    def __init__(self, text: str, truncated: bool = False) -> None:
        super().__init__(text)
        self.truncated = truncated


@dataclass(frozen=True, slots=True)
class Record:
    """One put or delete."""

    kind: int  # PUT or TOMBSTONE
    sequence: int
    key: bytes
    value: bytes
    expiry: float = 0.0  # Unix seconds; 0: never

    @property
    def size(self) -> int:
        """Bytes in a file."""
        return RECORD_HEADER.size + len(self.key) + len(self.value)


@dataclass(frozen=True, slots=True)
class Frame:
    """A decoded frame."""

    records: list[tuple[int, Record]]  # with their offsets in the segment
    wall_time: float  # Unix seconds at which it was written
    end: int  # offset behind it


@dataclass(frozen=True, slots=True)
class DamagedRange:
    """Bytes of a segment that hold no valid frame."""

    offset: int
    length: int
    reason: str


@dataclass(frozen=True, slots=True)
class ScanResult:
    """The content of a segment."""

    frames: list[Frame]
    damage: list[DamagedRange]  # between valid frames
    end: int  # offset behind the last valid frame


def checksum(data: bytes) -> int:
    """The CRC32C of the bytes."""
    return int(google_crc32c.value(data))


def encode_segment_header(number: int, created_at_sequence: int) -> bytes:
    """The header of a segment."""
    data = SEGMENT_HEADER.pack(MAGIC, VERSION, number, created_at_sequence, 0)[: -CHECKSUM.size]
    return data + CHECKSUM.pack(checksum(data))


def decode_segment_header(data: bytes) -> tuple[int, int]:
    """The segment's number and its sequence at creation.

    Raises ``InvalidFrameError`` if it is no header, ``StoreError`` if it is of a newer format.
    """
    if len(data) < SEGMENT_HEADER.size:
        raise InvalidFrameError("the header is cut short", truncated=True)
    magic, version, number, created_at_sequence, expected = SEGMENT_HEADER.unpack_from(data)
    if magic != MAGIC or checksum(data[: SEGMENT_HEADER.size - CHECKSUM.size]) != expected:
        raise InvalidFrameError("the header is damaged")
    if version > VERSION:
        raise StoreError(f"the store has format {version}, this program reads up to {VERSION}")
    return number, created_at_sequence


def encode_record(record: Record) -> bytes:
    """A record with its checksum."""
    header = RECORD_HEADER.pack(0, record.kind, len(record.key), len(record.value), record.sequence, record.expiry)
    body = header[CHECKSUM.size :] + record.key + record.value
    return CHECKSUM.pack(checksum(body)) + body


def encode_frame(records: Sequence[Record], wall_time: float) -> bytes:
    """A frame of at least one record."""
    payload = b"".join(map(encode_record, records))
    header = FRAME_HEADER.pack(FRAME_MARK, len(records), len(payload), records[0].sequence, wall_time)
    return header + payload + CHECKSUM.pack(checksum(header + payload))


def record_size(data: bytes, offset: int = 0) -> int:
    """Bytes of the record whose header stands at an offset, by that header."""
    _, _, key_size, value_size, _, _ = RECORD_HEADER.unpack_from(data, offset)
    return RECORD_HEADER.size + int(key_size) + int(value_size)


def decode_record(data: bytes, offset: int = 0) -> Record:
    """The record at an offset. Raises ``InvalidFrameError`` if it is truncated or its checksum does not match."""
    if offset + RECORD_HEADER.size > len(data):
        raise InvalidFrameError("the record is cut short", truncated=True)
    expected, kind, key_size, _, sequence, expiry = RECORD_HEADER.unpack_from(data, offset)
    end = offset + record_size(data, offset)
    if end > len(data):
        raise InvalidFrameError("the record is cut short", truncated=True)
    if checksum(data[offset + CHECKSUM.size : end]) != expected or kind not in (PUT, TOMBSTONE):
        raise InvalidFrameError("the record is damaged")
    key_start = offset + RECORD_HEADER.size
    value_start = key_start + key_size
    return Record(kind, sequence, data[key_start:value_start], data[value_start:end], expiry)


def decode_frame(data: bytes, offset: int) -> Frame:
    """The frame at an offset. Raises ``InvalidFrameError`` if there is no valid one."""
    if offset + FRAME_HEADER.size > len(data):
        raise InvalidFrameError("a frame's head is cut short", truncated=True)
    mark, count, payload_size, _, wall_time = FRAME_HEADER.unpack_from(data, offset)
    if mark != FRAME_MARK or payload_size > MAX_FRAME_BYTES:
        raise InvalidFrameError("no frame begins here")
    payload_end = offset + FRAME_HEADER.size + payload_size
    end = payload_end + CHECKSUM.size
    if end > len(data):
        raise InvalidFrameError("a frame is cut short", truncated=True)
    if CHECKSUM.unpack_from(data, payload_end)[0] != checksum(data[offset:payload_end]):
        raise InvalidFrameError("a frame's checksum is off")
    records = []
    record_offset = offset + FRAME_HEADER.size
    for _ in range(count):
        record = decode_record(data, record_offset)
        records.append((record_offset, record))
        record_offset += record.size
    if record_offset != payload_end:
        raise InvalidFrameError("a frame does not hold what it says")
    return Frame(records, wall_time, end)


def scan_segment(data: bytes) -> ScanResult:
    """Decode every frame of a segment.

    After damage the next valid frame is searched for by its mark; without one the rest is the segment's tail, which is
    left to the caller (``ScanResult.end``).
    """
    frames: list[Frame] = []
    damage: list[DamagedRange] = []
    end = SEGMENT_HEADER.size
    while end < len(data):
        try:
            frame = decode_frame(data, end)
        except InvalidFrameError as error:
            found = _find_frame(data, end + 1)
            if found is None:
                break
            start, frame = found
            damage.append(DamagedRange(end, start - end, str(error)))
        frames.append(frame)
        end = frame.end
    return ScanResult(frames, damage, end)


def _find_frame(data: bytes, offset: int) -> tuple[int, Frame] | None:
    """The first valid frame at or behind an offset, and where it begins."""
    mark = FRAME_MARK.to_bytes(2, "little")
    while (offset := data.find(mark, offset)) >= 0:
        try:
            return offset, decode_frame(data, offset)
        except InvalidFrameError:
            offset += 1
    return None


def iterate_records(data: bytes) -> Iterator[Record]:
    """All records of a segment in their order."""
    for frame in scan_segment(data).frames:
        for _, record in frame.records:
            yield record
