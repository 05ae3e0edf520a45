"""The file system interface of the store, and its implementation on an operating system directory."""

from __future__ import annotations

import fcntl
import os
from typing import Protocol

from lapishaven.storage.errors import StoreLockedError

LOCK_FILE = "LOCK"


class FileSystem(Protocol):
    """The files of one directory. Every call may raise ``OSError``."""

    def names(self) -> list[str]:
        """Names of all files except the lock file."""

    def size(self, name: str) -> int:
        """Size of a file in bytes."""

    def read(self, name: str, offset: int, size: int) -> bytes:
        """Read up to ``size`` bytes from an offset."""

    def append(self, name: str, data: bytes) -> int:
        """Append to a file, creating it if needed; returns the number of bytes written, which may be fewer."""

    def truncate(self, name: str, size: int) -> None:
        """Cut a file to ``size`` bytes."""

    def sync(self, name: str) -> None:
        """Make the content of a file durable."""

    def sync_directory(self) -> None:
        """Make creations, renames and removals of files durable."""

    def rename(self, old: str, new: str) -> None:
        """Rename a file, replacing an existing file of the new name."""

    def remove(self, name: str) -> None:
        """Remove a file."""

    def lock(self) -> None:
        """Lock out other processes until ``close`` or the end of the process. Raises ``StoreLockedError``."""

    def close(self) -> None:
        """Close all files and release the lock."""


class DirectoryFiles:
    """Files of an operating system directory. A file's descriptor stays open until the file is removed or renamed."""

    def __init__(self, path: str) -> None:
        os.makedirs(path, exist_ok=True)
        self.path = path
        self._directory = os.open(path, os.O_RDONLY | os.O_DIRECTORY)
        self._descriptors: dict[str, int] = {}
        self._lock_descriptor: int | None = None

    def _descriptor(self, name: str) -> int:
        descriptor = self._descriptors.get(name)
        if descriptor is None:
            descriptor = os.open(f"{self.path}/{name}", os.O_RDWR | os.O_CREAT | os.O_APPEND, 0o600)
            self._descriptors[name] = descriptor
        return descriptor

    def _close_descriptor(self, name: str) -> None:
        descriptor = self._descriptors.pop(name, None)
        if descriptor is not None:
            os.close(descriptor)

    def names(self) -> list[str]:
        """Names of all files except the lock file, sorted."""
        return sorted(name for name in os.listdir(self.path) if name != LOCK_FILE)

    def size(self, name: str) -> int:
        """Size of a file in bytes."""
        return os.stat(f"{self.path}/{name}").st_size

    def read(self, name: str, offset: int, size: int) -> bytes:
        """Read up to ``size`` bytes from an offset; fewer only at the end of the file."""
        descriptor = self._descriptor(name)
        chunks = []
        while size > 0 and (chunk := os.pread(descriptor, size, offset)):
            chunks.append(chunk)
            offset += len(chunk)
            size -= len(chunk)
        return b"".join(chunks)

    def append(self, name: str, data: bytes) -> int:
        """Append to a file; returns the number of bytes written."""
        return os.write(self._descriptor(name), data)

    def truncate(self, name: str, size: int) -> None:
        """Cut a file to ``size`` bytes."""
        os.ftruncate(self._descriptor(name), size)

    def sync(self, name: str) -> None:
        """Make the content of a file durable."""
        os.fdatasync(self._descriptor(name))

    def sync_directory(self) -> None:
        """Make creations, renames and removals of files durable."""
        os.fsync(self._directory)

    def rename(self, old: str, new: str) -> None:
        """Rename a file, replacing an existing file of the new name."""
        self._close_descriptor(old)
        self._close_descriptor(new)
        os.rename(f"{self.path}/{old}", f"{self.path}/{new}")

    def remove(self, name: str) -> None:
        """Remove a file."""
        self._close_descriptor(name)
        os.unlink(f"{self.path}/{name}")

    def lock(self) -> None:
        """Take the directory's advisory lock. Raises ``StoreLockedError`` if another process holds it."""
        self._lock_descriptor = os.open(f"{self.path}/{LOCK_FILE}", os.O_RDWR | os.O_CREAT, 0o600)
        try:
            fcntl.flock(self._lock_descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(self._lock_descriptor)
            self._lock_descriptor = None
            raise StoreLockedError(f"cannot lock {self.path}/{LOCK_FILE}: another process has the store open") from None

    def close(self) -> None:
        """Close all files and release the lock; further calls do nothing."""
        for name in list(self._descriptors):
            self._close_descriptor(name)
        if self._lock_descriptor is not None:
            os.close(self._lock_descriptor)
            self._lock_descriptor = None
        if self._directory >= 0:
            os.close(self._directory)
            self._directory = -1
