"""The file system as the store needs it: a port, and the real one behind it."""

from __future__ import annotations

import fcntl
import os
from typing import Protocol

from lapishaven.storage.errors import StoreLocked


class Files(Protocol):
    """One directory. Every call may raise ``OSError``."""

    def names(self) -> list[str]: ...
    def size(self, name: str) -> int: ...
    def read(self, name: str, at: int, size: int) -> bytes:
        """Up to ``size`` bytes."""

    def append(self, name: str, data: bytes) -> int:
        """Write at the end; how many bytes were taken, which may be fewer."""

    def truncate(self, name: str, size: int) -> None: ...
    def sync(self, name: str) -> None:
        """What was appended to the file lasts."""

    def sync_names(self) -> None:
        """What files there are lasts."""

    def rename(self, old: str, new: str) -> None: ...
    def remove(self, name: str) -> None: ...
    def lock(self) -> None:
        """Keep other writers out until ``close`` or the process's end, however it ends."""

    def close(self) -> None: ...


class RealFiles:
    """A directory of the operating system. Descriptors stay open while files are there."""

    def __init__(self, path: str) -> None:
        os.makedirs(path, exist_ok=True)
        self.path = path
        self._folder = os.open(path, os.O_RDONLY | os.O_DIRECTORY)
        self._open: dict[str, int] = {}
        self._lock: int | None = None

    def _fd(self, name: str) -> int:
        fd = self._open.get(name)
        if fd is None:
            fd = self._open[name] = os.open(f"{self.path}/{name}", os.O_RDWR | os.O_CREAT | os.O_APPEND, 0o600)
        return fd

    def names(self) -> list[str]:
        return sorted(name for name in os.listdir(self.path) if name != "LOCK")

    def size(self, name: str) -> int:
        return os.stat(f"{self.path}/{name}").st_size

    def read(self, name: str, at: int, size: int) -> bytes:
        fd, parts = self._fd(name), []
        while size > 0 and (part := os.pread(fd, size, at)):
            parts.append(part)
            at, size = at + len(part), size - len(part)
        return b"".join(parts)

    def append(self, name: str, data: bytes) -> int:
        return os.write(self._fd(name), data)

    def truncate(self, name: str, size: int) -> None:
        os.ftruncate(self._fd(name), size)

    def sync(self, name: str) -> None:
        os.fdatasync(self._fd(name))

    def sync_names(self) -> None:
        os.fsync(self._folder)

    def rename(self, old: str, new: str) -> None:
        self._forget(old)
        self._forget(new)
        os.rename(f"{self.path}/{old}", f"{self.path}/{new}")

    def remove(self, name: str) -> None:
        self._forget(name)
        os.unlink(f"{self.path}/{name}")

    def _forget(self, name: str) -> None:
        fd = self._open.pop(name, None)
        if fd is not None:
            os.close(fd)

    def lock(self) -> None:
        self._lock = os.open(f"{self.path}/LOCK", os.O_RDWR | os.O_CREAT, 0o600)
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(self._lock)
            self._lock = None
            raise StoreLocked(f"another process writes to {self.path}") from None

    def close(self) -> None:
        for name in list(self._open):
            self._forget(name)
        if self._lock is not None:
            os.close(self._lock)
            self._lock = None
        if self._folder >= 0:
            os.close(self._folder)
            self._folder = -1
