"""A disk in memory that fails by script: short writes, ENOSPC, EIO, a lost rename, and power loss that keeps any part
of what was not synced. The storage tests and its benchmark open stores on it."""

from __future__ import annotations

import errno
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from lapishaven.storage.errors import StoreLockedError


@dataclass(slots=True)
class _File:
    data: bytearray = field(default_factory=bytearray)
    durable: bytes = b""  # as of the last sync


class Disk:
    """What lasts: file contents, and the directory as of its last sync. ``Files`` of one mount are made by it."""

    def __init__(self, capacity: int | None = None) -> None:
        self.files: dict[str, _File] = {}
        self.names_durable: dict[str, _File] = {}
        self.capacity = capacity
        self.locked = False
        self.fault: Callable[[str, str], OSError | int | None] = lambda call, name: None
        self.calls: list[tuple[str, str]] = []

    def mount(self) -> MemoryFiles:
        return MemoryFiles(self)

    @property
    def used(self) -> int:
        return sum(len(file.data) for file in self.files.values())

    def lose_power(self, random: Random) -> Disk:
        """What a restart finds: synced bytes, and of each file's rest any prefix, perhaps with a page of zeros in it.
        The directory is as synced, with any of its later changes."""
        found = Disk(self.capacity)
        names = dict(self.names_durable)
        for name, file in self.files.items():
            if name not in names and random.random() < 0.5:
                names[name] = file
        for name in list(names):
            if name not in self.files and random.random() < 0.5:
                del names[name]
        for name, file in names.items():
            now = bytes(file.data)
            if not now.startswith(file.durable):
                now = file.durable  # it was truncated, and that did not last
            rest = bytearray(now[len(file.durable) :][: random.randint(0, len(now) - len(file.durable))])
            if len(rest) > 8 and random.random() < 0.5:
                at = random.randrange(len(rest))
                rest[at : at + 512] = bytes(min(512, len(rest) - at))
            data = file.durable + bytes(rest)
            found.files[name] = found.names_durable[name] = _File(bytearray(data), data)
        return found

    def copy(self) -> Disk:
        """Another disk with the same bytes, all of them durable."""
        found = Disk(self.capacity)
        for name, file in self.files.items():
            found.files[name] = found.names_durable[name] = _File(bytearray(file.data), bytes(file.data))
        return found


class MemoryFiles:
    """One mount of a disk."""

    def __init__(self, disk: Disk) -> None:
        self.disk = disk
        self._mine = False

    def _call(self, call: str, name: str = "") -> int | None:
        self.disk.calls.append((call, name))
        found = self.disk.fault(call, name)
        if isinstance(found, OSError):
            raise found
        return found

    def _file(self, name: str) -> _File:
        if name not in self.disk.files:
            raise FileNotFoundError(errno.ENOENT, "No such file", name)
        return self.disk.files[name]

    def names(self) -> list[str]:
        return sorted(self.disk.files)

    def size(self, name: str) -> int:
        return len(self._file(name).data)

    def read(self, name: str, at: int, size: int) -> bytes:
        self._call("read", name)
        return bytes(self._file(name).data[at : at + size])

    def append(self, name: str, data: bytes) -> int:
        most = self._call("append", name)
        file = self.disk.files.setdefault(name, _File())
        room = len(data) if self.disk.capacity is None else max(0, self.disk.capacity - self.disk.used)
        taken = min(len(data), room, most if most is not None else len(data))
        if not taken and data:
            raise OSError(errno.ENOSPC, "No space left on device")
        file.data += data[:taken]
        return taken

    def truncate(self, name: str, size: int) -> None:
        self._call("truncate", name)
        del self._file(name).data[size:]

    def sync(self, name: str) -> None:
        self._call("sync", name)
        file = self._file(name)
        file.durable = bytes(file.data)

    def sync_directory(self) -> None:
        self._call("sync_names")
        self.disk.names_durable = dict(self.disk.files)

    def rename(self, old: str, new: str) -> None:
        self._call("rename", old)
        self.disk.files[new] = self.disk.files.pop(old)

    def remove(self, name: str) -> None:
        self._call("remove", name)
        self._file(name)
        del self.disk.files[name]

    def lock(self) -> None:
        if self.disk.locked:
            raise StoreLockedError("another process writes to this disk")
        self.disk.locked = self._mine = True

    def close(self) -> None:
        if self._mine:
            self.disk.locked = self._mine = False
