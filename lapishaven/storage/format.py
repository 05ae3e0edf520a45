"""Encodes and decodes the file format, version 1, which ``docs/storage-format.md`` describes. Does no I/O.

A segment is a header followed by frames. A frame is one group commit and is valid as a whole or not at all. Each record
has its own checksum too, so that it can be read and verified without the rest of its frame.
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from struct import Struct

import google_crc32c

from lapishaven.storage.errors import StoreError

VERSION = 1
MAGIC = b"LHSEG\x00"
SEGMENT_HEADER = Struct("<6sHQQI")  # magic, version, segment number, sequence number at creation, checksum of these
FRAME_HEADER = Struct("<HHIQd")  # mark, record count, payload bytes, sequence number of the first record, wall time
FRAME_MARK = 0x5AF7
CHECKSUM = Struct("<I")  # CRC32C; a frame's is after its payload and covers header and payload
RECORD_HEADER = Struct("<IBHIQd")  # checksum of the rest, kind, key bytes, value bytes, sequence number, expiry
PUT = 1
TOMBSTONE = 2
MAX_KEY_BYTES = 1024
MAX_VALUE_BYTES = 1 << 20
MAX_FRAME_BYTES = 1 << 26
FRAME_OVERHEAD = FRAME_HEADER.size + CHECKSUM.size


class InvalidFrameError(ValueError):
    """The bytes are not a valid header, frame or record. ``truncated``: they may be the beginning of one."""

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
        """Encoded size in bytes."""
        return RECORD_HEADER.size + len(self.key) + len(self.value)


@dataclass(frozen=True, slots=True)
class Frame:
    """A decoded frame."""

    records: list[tuple[int, Record]]  # with offsets in the segment
    wall_time: float  # Unix seconds at which it was written
    end: int  # offset of the first byte after the frame


@dataclass(frozen=True, slots=True)
class DamagedRange:
    """A range of bytes in a segment without a valid frame."""

    offset: int
    length: int
    reason: str


@dataclass(frozen=True, slots=True)
class ScanResult:
    """Frames and damage found in a segment."""

    frames: list[Frame]
    damage: list[DamagedRange]  # between valid frames
    end: int  # offset of the first byte after the last valid frame


def checksum(data: bytes) -> int:
    """CRC32C of the bytes."""
    return int(google_crc32c.value(data))


def encode_segment_header(number: int, created_at_sequence: int) -> bytes:
    """Encode the header of a segment."""
    data = SEGMENT_HEADER.pack(MAGIC, VERSION, number, created_at_sequence, 0)[: -CHECKSUM.size]
    return data + CHECKSUM.pack(checksum(data))


def decode_segment_header(data: bytes) -> tuple[int, int]:
    """Decode a segment's number and the sequence number at its creation.

    Raises ``InvalidFrameError`` if the header is invalid, ``StoreError`` if its format is newer.
    """
    if len(data) < SEGMENT_HEADER.size:
        raise InvalidFrameError(
            f"segment header truncated: got {len(data)} of {SEGMENT_HEADER.size} bytes", truncated=True
        )
    magic, version, number, created_at_sequence, expected = SEGMENT_HEADER.unpack_from(data)
    if magic != MAGIC or checksum(data[: SEGMENT_HEADER.size - CHECKSUM.size]) != expected:
        raise InvalidFrameError(f"segment header damaged: magic {magic!r}, stored checksum {expected:#010x}")
    if version > VERSION:
        raise StoreError(f"segment {number} has format {version}, this program reads up to {VERSION}")
    return number, created_at_sequence


def encode_record(record: Record) -> bytes:
    """Encode a record with its checksum."""
    header = RECORD_HEADER.pack(0, record.kind, len(record.key), len(record.value), record.sequence, record.expiry)
    body = header[CHECKSUM.size :] + record.key + record.value
    return CHECKSUM.pack(checksum(body)) + body


def encode_frame(records: Sequence[Record], wall_time: float) -> bytes:
    """Encode a frame of at least one record."""
    payload = b"".join(map(encode_record, records))
    header = FRAME_HEADER.pack(FRAME_MARK, len(records), len(payload), records[0].sequence, wall_time)
    return header + payload + CHECKSUM.pack(checksum(header + payload))


def record_size(data: bytes, offset: int = 0) -> int:
    """Size of the record at an offset, according to its header."""
    _, _, key_size, value_size, _, _ = RECORD_HEADER.unpack_from(data, offset)
    return RECORD_HEADER.size + int(key_size) + int(value_size)


def decode_record(data: bytes, offset: int = 0) -> Record:
    """Decode the record at an offset. Raises ``InvalidFrameError`` if it is truncated or damaged."""
    if offset + RECORD_HEADER.size > len(data):
        raise InvalidFrameError(
            f"record header truncated: got {len(data) - offset} of {RECORD_HEADER.size} bytes", truncated=True
        )
    expected, kind, key_size, _, sequence, expiry = RECORD_HEADER.unpack_from(data, offset)
    end = offset + record_size(data, offset)
    if end > len(data):
        raise InvalidFrameError(f"record truncated: got {len(data) - offset} of {end - offset} bytes", truncated=True)
    if checksum(data[offset + CHECKSUM.size : end]) != expected or kind not in (PUT, TOMBSTONE):
        raise InvalidFrameError(f"record damaged: kind {kind}, {end - offset} bytes, stored checksum {expected:#010x}")
    key_start = offset + RECORD_HEADER.size
    value_start = key_start + key_size
    return Record(kind, sequence, data[key_start:value_start], data[value_start:end], expiry)


def decode_frame(data: bytes, offset: int) -> Frame:
    """Decode the frame at an offset. Raises ``InvalidFrameError`` if there is no valid frame."""
    if offset + FRAME_HEADER.size > len(data):
        raise InvalidFrameError(
            f"frame header truncated: got {len(data) - offset} of {FRAME_HEADER.size} bytes", truncated=True
        )
    mark, count, payload_size, _, wall_time = FRAME_HEADER.unpack_from(data, offset)
    if mark != FRAME_MARK or payload_size > MAX_FRAME_BYTES:
        raise InvalidFrameError(f"no frame header: mark {mark:#06x}, payload of {payload_size} bytes")
    payload_end = offset + FRAME_HEADER.size + payload_size
    end = payload_end + CHECKSUM.size
    if end > len(data):
        raise InvalidFrameError(f"frame truncated: got {len(data) - offset} of {end - offset} bytes", truncated=True)
    if CHECKSUM.unpack_from(data, payload_end)[0] != checksum(data[offset:payload_end]):
        raise InvalidFrameError(f"frame checksum does not match its {end - offset} bytes")
    records = []
    record_offset = offset + FRAME_HEADER.size
    for _ in range(count):
        record = decode_record(data, record_offset)
        records.append((record_offset, record))
        record_offset += record.size
    if record_offset != payload_end:
        raise InvalidFrameError(f"frame payload of {payload_size} bytes does not end after its {count} records")
    return Frame(records, wall_time, end)


def scan_segment(data: bytes) -> ScanResult:
    """Decode every frame of a segment.

    After damage, the next valid frame is found by its mark. If there is none, the remaining bytes are the segment's
    tail, which starts at ``ScanResult.end`` and is left to the caller.
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
    """The offset of the first valid frame at or after an offset, and the frame."""
    mark = FRAME_MARK.to_bytes(2, "little")
    while (offset := data.find(mark, offset)) >= 0:
        try:
            return offset, decode_frame(data, offset)
        except InvalidFrameError:
            offset += 1
    return None


def iterate_records(data: bytes) -> Iterator[Record]:
    """All records of a segment in order."""
    for frame in scan_segment(data).frames:
        for _, record in frame.records:
            yield record
