"""A simulated disk with fault injection, for the tests and the benchmark of the storage package.

It can produce short writes, ENOSPC, EIO, a lost rename, and a power loss that keeps an arbitrary part of the data that
was not synced.
"""

from __future__ import annotations

import errno
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from lapishaven.storage.errors import StoreLockedError


@dataclass(slots=True)
class _File:
    """``durable``: the contents as of the last sync."""

    data: bytearray = field(default_factory=bytearray)
    durable: bytes = b""


class Disk:
    """The contents of a disk, which outlive the processes that mount it.

    ``durable_entries``: the directory as of its last sync. ``capacity``: in bytes, or None for no limit. ``fault``:
    called with the operation and the file name before each operation; it returns an error to raise, the most bytes that
    an append writes, or None. ``calls``: all operations so far.
    """

    def __init__(self, capacity: int | None = None) -> None:
        self.files: dict[str, _File] = {}
        self.durable_entries: dict[str, _File] = {}
        self.capacity = capacity
        self.locked = False
        self.fault: Callable[[str, str], OSError | int | None] = lambda call, name: None
        self.calls: list[tuple[str, str]] = []

    def mount(self) -> MemoryFiles:
        """The file operations of one process on this disk."""
        return MemoryFiles(self)

    @property
    def used(self) -> int:
        """The size of all files in bytes."""
        return sum(len(file.data) for file in self.files.values())

    def lose_power(self, random: Random) -> Disk:
        """The disk after a power loss.

        Each file has its synced bytes and an arbitrary prefix of the others, perhaps with a block of zeros in it. The
        directory is as of its last sync, with an arbitrary selection of the later changes.
        """
        result = Disk(self.capacity)
        names = dict(self.durable_entries)
        for name, file in self.files.items():
            if name not in names and random.random() < 0.5:
                names[name] = file
        for name in list(names):
            if name not in self.files and random.random() < 0.5:
                del names[name]
        for name, file in names.items():
            written = bytes(file.data)
            if not written.startswith(file.durable):
                written = file.durable  # truncated below the synced size; the truncation is lost
            unsynced = bytearray(written[len(file.durable) :][: random.randint(0, len(written) - len(file.durable))])
            if len(unsynced) > 8 and random.random() < 0.5:
                offset = random.randrange(len(unsynced))
                unsynced[offset : offset + 512] = bytes(min(512, len(unsynced) - offset))
            data = file.durable + bytes(unsynced)
            result.files[name] = result.durable_entries[name] = _File(bytearray(data), data)
        return result

    def copy(self) -> Disk:
        """A copy of the disk with all data synced."""
        result = Disk(self.capacity)
        for name, file in self.files.items():
            result.files[name] = result.durable_entries[name] = _File(bytearray(file.data), bytes(file.data))
        return result


class MemoryFiles:
    """The file operations of one process on a ``Disk``, with the interface of the storage package's ``FileSystem``."""

    def __init__(self, disk: Disk) -> None:
        self.disk = disk
        self._holds_lock = False

    def _begin(self, operation: str, name: str = "") -> int | None:
        self.disk.calls.append((operation, name))
        fault = self.disk.fault(operation, name)
        if isinstance(fault, OSError):
            raise fault
        return fault

    def _file(self, name: str) -> _File:
        if name not in self.disk.files:
            raise FileNotFoundError(errno.ENOENT, "No such file on the simulated disk", name)
        return self.disk.files[name]

    def names(self) -> list[str]:
        """The names of all files."""
        return sorted(self.disk.files)

    def size(self, name: str) -> int:
        """The size of a file in bytes."""
        return len(self._file(name).data)

    def read(self, name: str, offset: int, size: int) -> bytes:
        """Read up to ``size`` bytes from ``offset``."""
        self._begin("read", name)
        return bytes(self._file(name).data[offset : offset + size])

    def append(self, name: str, data: bytes) -> int:
        """Append to a file, created if missing, and return the number of bytes written."""
        max_bytes = self._begin("append", name)
        file = self.disk.files.setdefault(name, _File())
        room = len(data) if self.disk.capacity is None else max(0, self.disk.capacity - self.disk.used)
        taken = min(len(data), room, max_bytes if max_bytes is not None else len(data))
        if not taken and data:
            raise OSError(errno.ENOSPC, f"No space left on the simulated disk for {len(data)} bytes of {name}")
        file.data += data[:taken]
        return taken

    def truncate(self, name: str, size: int) -> None:
        """Cut a file off at ``size`` bytes."""
        self._begin("truncate", name)
        del self._file(name).data[size:]

    def sync(self, name: str) -> None:
        """Make the contents of a file durable."""
        self._begin("sync", name)
        file = self._file(name)
        file.durable = bytes(file.data)

    def sync_directory(self) -> None:
        """Make creations, renames and removals durable."""
        self._begin("sync_names")
        self.disk.durable_entries = dict(self.disk.files)

    def rename(self, old: str, new: str) -> None:
        """Rename a file, replacing ``new``."""
        self._begin("rename", old)
        self.disk.files[new] = self.disk.files.pop(old)

    def remove(self, name: str) -> None:
        """Delete a file."""
        self._begin("remove", name)
        self._file(name)
        del self.disk.files[name]

    def lock(self) -> None:
        """Take the write lock. Raises ``StoreLockedError`` if another process has it."""
        if self.disk.locked:
            raise StoreLockedError("locking the simulated disk: another process writes to it")
        self.disk.locked = self._holds_lock = True

    def close(self) -> None:
        """Release the write lock if this process has it."""
        if self._holds_lock:
            self.disk.locked = self._holds_lock = False
