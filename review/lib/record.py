"""The record of a trial: what was sent, answered and run, one line each, with seconds since the start."""

from __future__ import annotations

import time
from pathlib import Path


class Record:
    """Writes ``record.txt``."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._started_at = time.monotonic()

    def add(self, text: str) -> None:
        """Write one line, at once."""
        self._file.write(f"{time.monotonic() - self._started_at:8.3f} {text}\n")
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()
