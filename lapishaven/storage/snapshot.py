"""Copies of a store that is being written to."""

from __future__ import annotations

from lapishaven.storage.errors import StoreError
from lapishaven.storage.files import DirectoryFiles, FileSystem
from lapishaven.storage.segments import Segment

COPY_BYTES = 1 << 20  # read and written at a time


def open_empty_directory(path: str) -> DirectoryFiles:
    """An empty directory to copy into. Raises ``StoreError`` if it is not empty."""
    target = DirectoryFiles(path)
    if target.names():
        target.close()
        raise StoreError(f"{path} is not empty")
    return target


def copy_segments(source: FileSystem, target: FileSystem, segments: list[tuple[Segment, int]]) -> int:
    """Copy the first bytes, as many as given, of each segment and make them durable; gives the bytes copied."""
    total = 0
    for segment, size in segments:
        offset = 0
        while offset < size:
            part = source.read(segment.name, offset, min(COPY_BYTES, size - offset))
            if not part:
                break
            target.append(segment.name, part)
            offset += len(part)
        target.sync(segment.name)
        total += offset
    target.sync_directory()
    return total
