"""Hint files: the index rows of a sealed segment, so that opening a store does not read its values.

A hint file is optional; one that is damaged or does not match its segment is ignored. ``docs/storage-format.md``
describes the format.
"""

from __future__ import annotations

from contextlib import suppress
from dataclasses import dataclass

import numpy as np

from lapishaven.storage import format as fmt
from lapishaven.storage.files import FileSystem
from lapishaven.storage.index import ROW_TYPE
from lapishaven.storage.segments import Segment

MAGIC = b"LHHINT\x01\x00"
SIZE_BYTES = 8  # length of the field for the segment's size
TIME_BYTES = 8  # length of the field for the wall time
CHECKSUM_BYTES = 4
ROWS_OFFSET = len(MAGIC) + SIZE_BYTES + TIME_BYTES


@dataclass(frozen=True, slots=True)
class Hint:
    """The content of a hint file."""

    rows: np.ndarray
    wall_time: float  # latest time that the store had observed, Unix seconds


def read_hint(files: FileSystem, segment: Segment, segment_size: int) -> Hint | None:
    """The hint of a segment of ``segment_size`` bytes; ``None`` if it has no valid hint."""
    try:
        data = files.read(segment.hint_name, 0, files.size(segment.hint_name))
    except OSError:
        return None
    if len(data) < ROWS_OFFSET + CHECKSUM_BYTES or not data.startswith(MAGIC):
        return None
    body = data[:-CHECKSUM_BYTES]
    if fmt.checksum(body) != int.from_bytes(data[-CHECKSUM_BYTES:], "little"):
        return None
    if int.from_bytes(body[len(MAGIC) : len(MAGIC) + SIZE_BYTES], "little") != segment_size:
        return None  # written for another length of the segment
    wall_time = float(np.frombuffer(body, np.float64, 1, len(MAGIC) + SIZE_BYTES)[0])
    return Hint(np.frombuffer(body, ROW_TYPE, offset=ROWS_OFFSET), wall_time)


def write_hint(files: FileSystem, segment: Segment, hint: Hint) -> None:
    """Write the hint of a sealed segment. Errors are ignored, as a hint only speeds up opening."""
    size = segment.size.to_bytes(SIZE_BYTES, "little")
    body = MAGIC + size + np.float64(hint.wall_time).tobytes() + hint.rows.tobytes()
    temporary = f"{segment.number:08d}.tmp"
    try:
        with suppress(OSError):
            files.remove(temporary)
        data = memoryview(body + fmt.checksum(body).to_bytes(CHECKSUM_BYTES, "little"))
        while data:
            data = data[files.append(temporary, bytes(data)) :]
        files.sync(temporary)
        files.rename(temporary, segment.hint_name)
    except OSError:
        with suppress(OSError):
            files.remove(temporary)
