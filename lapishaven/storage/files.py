"""The file system as the store needs it: a port, and the operating system's directory behind it."""

from __future__ import annotations

import fcntl
import os
from typing import Protocol

from lapishaven.storage.errors import StoreLockedError

LOCK_FILE = "LOCK"


class FileSystem(Protocol):
    """The files of one directory. Every call may raise ``OSError``."""

    def names(self) -> list[str]:
        """Names of all files, without the lock."""

    def size(self, name: str) -> int:
        """Bytes of a file."""

    def read(self, name: str, at: int, size: int) -> bytes:
        """Up to ``size`` bytes from the offset ``at``."""

    def append(self, name: str, data: bytes) -> int:
        """Write at the end, creating the file if needed; gives how many bytes were written, which may be fewer."""

    def truncate(self, name: str, size: int) -> None:
        """Cut a file to ``size`` bytes."""

    def sync(self, name: str) -> None:
        """Make the content of a file durable."""

    def sync_directory(self) -> None:
        """Make the names of the files durable."""

    def rename(self, old: str, new: str) -> None:
        """Rename a file, replacing another one."""

    def remove(self, name: str) -> None:
        """Remove a file."""

    def lock(self) -> None:
        """Keep other writers out until ``close`` or the end of the process. Raises ``StoreLockedError``."""

    def close(self) -> None:
        """Close all files and release the lock."""


class DirectoryFiles:
    """A directory of the operating system. Descriptors stay open while their files exist."""

    def __init__(self, path: str) -> None:
        os.makedirs(path, exist_ok=True)
        self.path = path
        self._directory = os.open(path, os.O_RDONLY | os.O_DIRECTORY)
        self._descriptors: dict[str, int] = {}
        self._lock: int | None = None

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
        """Names of all files, without the lock, sorted."""
        return sorted(name for name in os.listdir(self.path) if name != LOCK_FILE)

    def size(self, name: str) -> int:
        """Bytes of a file."""
        return os.stat(f"{self.path}/{name}").st_size

    def read(self, name: str, at: int, size: int) -> bytes:
        """Up to ``size`` bytes from the offset ``at``; fewer only at the end of the file."""
        descriptor = self._descriptor(name)
        parts = []
        while size > 0 and (part := os.pread(descriptor, size, at)):
            parts.append(part)
            at += len(part)
            size -= len(part)
        return b"".join(parts)

    def append(self, name: str, data: bytes) -> int:
        """Write at the end; gives how many bytes were written."""
        return os.write(self._descriptor(name), data)

    def truncate(self, name: str, size: int) -> None:
        """Cut a file to ``size`` bytes."""
        os.ftruncate(self._descriptor(name), size)

    def sync(self, name: str) -> None:
        """Make the content of a file durable."""
        os.fdatasync(self._descriptor(name))

    def sync_directory(self) -> None:
        """Make the names of the files durable."""
        os.fsync(self._directory)

    def rename(self, old: str, new: str) -> None:
        """Rename a file, replacing another one."""
        self._close_descriptor(old)
        self._close_descriptor(new)
        os.rename(f"{self.path}/{old}", f"{self.path}/{new}")

    def remove(self, name: str) -> None:
        """Remove a file."""
        self._close_descriptor(name)
        os.unlink(f"{self.path}/{name}")

    def lock(self) -> None:
        """Take the advisory lock of the directory. Raises ``StoreLockedError`` if another process has it."""
        self._lock = os.open(f"{self.path}/{LOCK_FILE}", os.O_RDWR | os.O_CREAT, 0o600)
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(self._lock)
            self._lock = None
            raise StoreLockedError(f"another process writes to {self.path}") from None

    def close(self) -> None:
        """Close all files and release the lock; further calls do nothing."""
        for name in list(self._descriptors):
            self._close_descriptor(name)
        if self._lock is not None:
            os.close(self._lock)
            self._lock = None
        if self._directory >= 0:
            os.close(self._directory)
            self._directory = -1
