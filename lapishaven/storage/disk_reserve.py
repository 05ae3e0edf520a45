"""A placeholder file that reserves disk space, so that deletes succeed on a full disk."""

from __future__ import annotations

from contextlib import suppress

from lapishaven.storage.files import FileSystem

RESERVE_FILE = "ballast"


class DiskReserve:
    """Space that is released when a delete finds the disk full, and reserved again after a later put."""

    def __init__(self, files: FileSystem, size: int, held: bool) -> None:
        """``size`` is in bytes; 0 turns the reserve off. ``held``: whether the file exists already."""
        self._files = files
        self._size = size
        self.held = held

    def reserve(self) -> None:
        """Write the file if it does not exist. Errors are ignored, as the next put tries again."""
        if self.held or not self._size:
            return
        try:
            with suppress(OSError):
                self._files.remove(RESERVE_FILE)
            written = self._files.append(RESERVE_FILE, bytes(self._size))
            self.held = written == self._size
        except OSError:
            self.held = False

    def release(self) -> None:
        """Remove the file, which frees its space."""
        self.held = False
        with suppress(OSError):
            self._files.remove(RESERVE_FILE)
