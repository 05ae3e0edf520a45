"""Copies the segments of a store while it is being written to."""

from __future__ import annotations

from lapishaven.storage.errors import StoreError
from lapishaven.storage.files import DirectoryFiles, FileSystem
from lapishaven.storage.segments import Segment

COPY_CHUNK_BYTES = 1 << 20


def open_empty_directory(path: str) -> DirectoryFiles:
    """Open or create a directory to copy into. Raises ``StoreError`` if it is not empty."""
    target = DirectoryFiles(path)
    if target.names():
        target.close()
        raise StoreError(f"cannot write a snapshot to {path}: the directory is not empty")
    return target


def copy_segments(source: FileSystem, target: FileSystem, segments: list[tuple[Segment, int]]) -> int:
    """Copy the given number of bytes of each segment and sync them; returns the bytes copied."""
    total = 0
    for segment, size in segments:
        offset = 0
        while offset < size:
            chunk = source.read(segment.name, offset, min(COPY_CHUNK_BYTES, size - offset))
            if not chunk:
                break
            target.append(segment.name, chunk)
            offset += len(chunk)
        target.sync(segment.name)
        total += offset
    target.sync_directory()
    return total
