"""Splits bytes into lines, checking their length while they are read."""

from __future__ import annotations

from lapishaven.proto import TooLargeError


class Lines:
    """A buffer of what is not yet a whole line."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.data = bytearray()

    def feed(self, data: bytes) -> None:
        self.data += data

    def line(self) -> bytes | None:
        """The next line without its end, or ``None`` until more comes."""
        at = self.data.find(b"\n", 0, self.limit + 1)
        if at < 0:
            if len(self.data) > self.limit:
                raise TooLargeError(f"a line is longer than {self.limit} bytes")
            return None
        line = bytes(self.data[:at])
        del self.data[: at + 1]
        return line.removesuffix(b"\r")

    def block(self, size: int) -> bytes | None:
        """Exactly ``size`` bytes, or ``None`` until they are there."""
        if len(self.data) < size:
            return None
        block = bytes(self.data[:size])
        del self.data[:size]
        return block
