"""Splits received bytes into lines and blocks."""

from __future__ import annotations

from lapishaven.proto import TooLargeError


class LineBuffer:
    """Bytes that are not yet consumed. A line longer than ``limit`` bytes raises ``TooLargeError`` before it ends."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.data = bytearray()

    def feed(self, data: bytes) -> None:
        """Append received bytes."""
        self.data += data

    def line(self) -> bytes | None:
        """Remove and return the next line without its end; ``None`` if it is not complete."""
        at = self.data.find(b"\n", 0, self.limit + 1)
        if at < 0:
            if len(self.data) > self.limit:
                raise TooLargeError(f"a line is longer than {self.limit} bytes")
            return None
        line = bytes(self.data[:at])
        del self.data[: at + 1]
        return line.removesuffix(b"\r")

    def block(self, size: int) -> bytes | None:
        """Remove and return exactly ``size`` bytes; ``None`` until there are so many."""
        if len(self.data) < size:
            return None
        block = bytes(self.data[:size])
        del self.data[:size]
        return block
