"""A file that keeps disk space free for deletes."""

from __future__ import annotations

from contextlib import suppress

from lapishaven.storage.files import FileSystem

RESERVE_FILE = "ballast"


class DiskReserve:
    """Space that is given up when a delete finds the disk full, and taken again after a later put."""

    def __init__(self, files: FileSystem, size: int, held: bool) -> None:
        """``size`` in bytes; 0 turns the reserve off. ``held``: whether the file is there already."""
        self._files = files
        self._size = size
        self.held = held

    def take(self) -> None:
        """Write the file, if it is not there. Errors are ignored: the next put tries again."""
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
        """Remove the file, so that its space can be used."""
        self.held = False
        with suppress(OSError):
            self._files.remove(RESERVE_FILE)
