"""A ring buffer that grows by doubling up to a limit."""

from __future__ import annotations

from socket import socket

MAX_IDLE_BYTES = 4096  # that an empty buffer keeps allocated


class RingBufferFullError(Exception):
    """The bytes do not fit within the buffer's limit."""


class RingBuffer:
    """A FIFO of bytes; one for each connection and direction. Allocates by doubling up to ``limit`` bytes."""

    __slots__ = ("_data", "_head", "size", "limit")

    def __init__(self, limit: int, start: int = 1024) -> None:
        self._data = bytearray(min(start, limit))
        self._head = self.size = 0
        self.limit = limit

    def __len__(self) -> int:
        return self.size

    @property
    def free_bytes(self) -> int:
        """Bytes that still fit."""
        return self.limit - self.size

    def _grow(self, need: int) -> None:
        size = len(self._data)
        while size < need:
            size = min(self.limit, 2 * size)
        kept, count = self.peek(self.size), self.size
        self._data = bytearray(size)
        self._data[:count] = kept
        self._head = 0

    def write(self, data: bytes) -> None:
        """Append all of ``data``, or raise ``RingBufferFullError`` and append nothing."""
        count = len(data)
        if count > self.free_bytes:
            raise RingBufferFullError(f"{count} bytes do not fit in {self.free_bytes}")
        if self.size + count > len(self._data):
            self._grow(self.size + count)
        at = (self._head + self.size) % len(self._data)
        first = min(count, len(self._data) - at)
        self._data[at : at + first] = data[:first]
        self._data[: count - first] = data[first:]
        self.size += count

    def peek(self, count: int) -> bytes:
        """The first ``count`` bytes, or fewer; they stay in the buffer."""
        count = min(count, self.size)
        first = min(count, len(self._data) - self._head)
        return bytes(self._data[self._head : self._head + first]) + bytes(self._data[: count - first])

    def skip(self, count: int) -> None:
        """Remove the first ``count`` bytes."""
        self.size -= count
        if not self.size and len(self._data) > MAX_IDLE_BYTES:
            # Memory allocated for a burst is released when the buffer is empty.
            self._data = bytearray(min(MAX_IDLE_BYTES, self.limit))
        self._head = (self._head + count) % len(self._data) if self.size else 0

    def take(self) -> bytes:
        """Remove and return all bytes."""
        data = self.peek(self.size)
        self.skip(self.size)
        return data

    def receive(self, sock: socket) -> int:
        """Read once from a socket; gives the count, 0 at the end of the stream."""
        if self.size == len(self._data):
            self._grow(min(self.limit, 2 * len(self._data)))
        at = (self._head + self.size) % len(self._data)
        end = self._head if at < self._head else len(self._data)
        with memoryview(self._data) as view:
            got = sock.recv_into(view[at:end])
        self.size += got
        return got

    def send(self, sock: socket) -> int:
        """Write the first contiguous part to a socket; gives the count."""
        first = min(self.size, len(self._data) - self._head)
        with memoryview(self._data) as view:
            sent = sock.send(view[self._head : self._head + first])
        self.skip(sent)
        return sent
