"""Splits received bytes into lines and blocks of a given size."""

from __future__ import annotations

from lapishaven.proto import TooLargeError


class LineBuffer:
    """A buffer of unconsumed bytes. A line of more than ``limit`` bytes is rejected before it is complete."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.data = bytearray()

    def feed(self, data: bytes) -> None:
        """Append received bytes."""
        self.data += data

    def line(self) -> bytes | None:
        """Remove and return the next line without its end, ``None`` if it is incomplete. Raises ``TooLargeError``."""
        end = self.data.find(b"\n", 0, self.limit + 1)
        if end < 0:
            if len(self.data) > self.limit:
                raise TooLargeError(f"a line is longer than {self.limit} bytes")
            return None
        line = bytes(self.data[:end])
        del self.data[: end + 1]
        return line.removesuffix(b"\r")

    def block(self, size: int) -> bytes | None:
        """Remove and return exactly ``size`` bytes; ``None`` if fewer are buffered."""
        if len(self.data) < size:
            return None
        block = bytes(self.data[:size])
        del self.data[:size]
        return block
