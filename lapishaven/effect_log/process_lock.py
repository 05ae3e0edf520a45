"""Tells whether another process is alive, by a lock that the kernel releases when its holder ends."""

from __future__ import annotations

import fcntl
import os
from contextlib import suppress
from pathlib import Path

FILE_MODE = 0o600


class ProcessLock:
    """A file in ``folder`` that this process holds locked as long as it lives, named after its id."""

    def __init__(self, folder: Path, owner: str) -> None:
        """Create and lock the file, and remove those of processes that have ended. Raises ``OSError``."""
        self._folder = folder
        self._path = _path(folder, owner)
        # Locked before it gets its name, so that nobody takes this process for one that has ended.
        unnamed = folder / f"new-{owner}"
        self._fd = os.open(unnamed, os.O_RDWR | os.O_CREAT | os.O_EXCL | os.O_CLOEXEC, FILE_MODE)
        try:
            fcntl.flock(self._fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
            unnamed.rename(self._path)
        except OSError:
            os.close(self._fd)
            raise
        self._remove_unlocked()

    def is_alive(self, owner: str) -> bool:
        """Whether the process with this id lives; a stopped one does."""
        return _is_locked(_path(self._folder, owner))

    def _remove_unlocked(self) -> None:
        for path in self._folder.glob("process-*"):
            if path != self._path and not _is_locked(path):
                with suppress(OSError):
                    path.unlink()

    def close(self) -> None:
        """Release the lock and remove the file."""
        with suppress(OSError):
            self._path.unlink()
        os.close(self._fd)


def _path(folder: Path, owner: str) -> Path:
    return folder / f"process-{owner}"


def _is_locked(path: Path) -> bool:
    try:
        fd = os.open(path, os.O_RDWR | os.O_CLOEXEC | os.O_NOFOLLOW)
    except FileNotFoundError:
        return False
    except OSError:
        return True  # it cannot be told
    try:
        fcntl.flock(fd, fcntl.LOCK_SH | fcntl.LOCK_NB)
    except OSError:
        return True
    finally:
        os.close(fd)
    return False
