"""The file format, version 1: bytes to records and back. Pure; ``docs/storage-format.md`` describes it.

A segment is a header and frames. A frame is one batch: it is there whole or not at all. Each record in it has a
checksum of its own too, so that one can be read and trusted without the rest of its batch.
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from struct import Struct

import google_crc32c

from lapishaven.storage.errors import StoreError

VERSION = 1
MAGIC = b"LHSEG\x00"
HEAD = Struct("<6sHQQI")  # magic, version, segment, clock at its creation, crc of what is before
FRAME = Struct("<HHIQd")  # mark, records, bytes of payload, sequence of the first record, wall time
MARK = 0x5AF7
CRC = Struct("<I")  # behind the frame's head and payload, over both
RECORD = Struct("<IBHIQd")  # crc of the rest of the record, kind, key bytes, value bytes, sequence, expiry
PUT, TOMBSTONE = 1, 2
KEY_LIMIT, VALUE_LIMIT = 1024, 1 << 20
FRAME_LIMIT = 1 << 26
FRAME_EXTRA = FRAME.size + CRC.size


class NotAFrame(ValueError):
    """These bytes are no whole frame; the text says why. ``short``: they may be the start of one."""

    def __init__(self, text: str, short: bool = False) -> None:
        super().__init__(text)
        self.short = short


@dataclass(frozen=True, slots=True)
class Record:
    """One put or delete. ``expiry`` is in Unix seconds, 0 for never."""

    kind: int
    seq: int
    key: bytes
    value: bytes
    expiry: float = 0.0

    @property
    def size(self) -> int:
        return RECORD.size + len(self.key) + len(self.value)


def crc(data: bytes) -> int:
    return int(google_crc32c.value(data))


def header(segment: int, clock: int) -> bytes:
    data = HEAD.pack(MAGIC, VERSION, segment, clock, 0)[: -CRC.size]
    return data + CRC.pack(crc(data))


def read_header(data: bytes) -> tuple[int, int]:
    """Segment and clock; ``NotAFrame`` if it is none, ``StoreError`` if it is of a newer format."""
    if len(data) < HEAD.size:
        raise NotAFrame("the header is cut short", short=True)
    magic, version, segment, clock, check = HEAD.unpack_from(data)
    if magic != MAGIC or crc(data[: HEAD.size - CRC.size]) != check:
        raise NotAFrame("the header is damaged")
    if version > VERSION:
        raise StoreError(f"the store has format {version}, this program reads up to {VERSION}")
    return segment, clock


def encode_record(record: Record) -> bytes:
    body = RECORD.pack(0, record.kind, len(record.key), len(record.value), record.seq, record.expiry)[CRC.size :]
    body += record.key + record.value
    return CRC.pack(crc(body)) + body


def encode(records: Sequence[Record], wall: float) -> bytes:
    """One frame."""
    payload = b"".join(map(encode_record, records))
    head = FRAME.pack(MARK, len(records), len(payload), records[0].seq, wall)
    return head + payload + CRC.pack(crc(head + payload))


def decode_record(data: bytes, at: int = 0) -> Record:
    """The record at a place; ``NotAFrame`` where its checksum is off."""
    if at + RECORD.size > len(data):
        raise NotAFrame("the record is cut short", short=True)
    check, kind, keys, values, seq, expiry = RECORD.unpack_from(data, at)
    end = at + RECORD.size + keys + values
    if end > len(data):
        raise NotAFrame("the record is cut short", short=True)
    if crc(data[at + CRC.size : end]) != check or kind not in (PUT, TOMBSTONE):
        raise NotAFrame("the record is damaged")
    split = at + RECORD.size + keys
    return Record(kind, seq, data[at + RECORD.size : split], data[split:end], expiry)


def decode_frame(data: bytes, at: int) -> tuple[list[tuple[int, Record]], float, int]:
    """Records with their offsets, the wall time, and where the frame ends."""
    if at + FRAME.size > len(data):
        raise NotAFrame("a frame's head is cut short", short=True)
    mark, count, size, _, wall = FRAME.unpack_from(data, at)
    if mark != MARK or size > FRAME_LIMIT:
        raise NotAFrame("no frame begins here")
    end = at + FRAME.size + size + CRC.size
    if end > len(data):
        raise NotAFrame("a frame is cut short", short=True)
    if CRC.unpack_from(data, end - CRC.size)[0] != crc(data[at : end - CRC.size]):
        raise NotAFrame("a frame's checksum is off")
    found, place = [], at + FRAME.size
    for _ in range(count):
        record = decode_record(data, place)
        found.append((place, record))
        place += record.size
    if place != end - CRC.size:
        raise NotAFrame("a frame does not hold what it says")
    return found, wall, end


@dataclass(frozen=True, slots=True)
class Scanned:
    """What a segment holds: frames, damage as (offset, length, reason), and where its whole frames end."""

    frames: list[tuple[list[tuple[int, Record]], float]]
    damage: list[tuple[int, int, str]]
    end: int


def scan(data: bytes) -> Scanned:
    """Read every frame behind the header. Behind damage the next whole frame is looked for; if there is none, it
    was the tail."""
    frames: list[tuple[list[tuple[int, Record]], float]] = []
    damage: list[tuple[int, int, str]] = []
    at = end = HEAD.size
    mark = MARK.to_bytes(2, "little")
    while at < len(data):
        try:
            records, wall, at = decode_frame(data, at)
        except NotAFrame as error:
            reason, begin = str(error), at
            found = None
            while (at := data.find(mark, at + 1)) >= 0:
                try:
                    found = decode_frame(data, at)
                    break
                except NotAFrame:
                    continue
            if found is None:
                return Scanned(frames, damage, end)
            damage.append((begin, at - begin, reason))
            records, wall, at = found
        frames.append((records, wall))
        end = at
    return Scanned(frames, damage, end)


def frames(data: bytes) -> Iterator[Record]:
    """Records in their order."""
    for records, _ in scan(data).frames:
        for _, record in records:
            yield record
