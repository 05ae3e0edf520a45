"""A ring buffer that grows by doubling up to a limit."""

from __future__ import annotations

from socket import socket

MAX_IDLE_BYTES = 4096  # allocated size to which an emptied buffer shrinks


class RingBufferFullError(Exception):
    """A write would exceed the buffer's limit."""


class RingBuffer:
    """A FIFO of bytes, used once per connection and direction. Grows by doubling up to ``limit`` bytes."""

    __slots__ = ("_data", "_head", "size", "limit")

    def __init__(self, limit: int, initial_bytes: int = 1024) -> None:
        self._data = bytearray(min(initial_bytes, limit))
        self._head = self.size = 0
        self.limit = limit

    def __len__(self) -> int:
        return self.size

    @property
    def free_bytes(self) -> int:
        """Bytes that can still be written."""
        return self.limit - self.size

    def _grow(self, min_size: int) -> None:
        size = len(self._data)
        while size < min_size:
            size = min(self.limit, 2 * size)
        content, count = self.peek(self.size), self.size
        self._data = bytearray(size)
        self._data[:count] = content
        self._head = 0

    def write(self, data: bytes) -> None:
        """Append all of ``data``, or raise ``RingBufferFullError`` and append nothing."""
        count = len(data)
        if count > self.free_bytes:
            raise RingBufferFullError(f"{count} bytes do not fit in the {self.free_bytes} free of {self.limit}")
        if self.size + count > len(self._data):
            self._grow(self.size + count)
        at = (self._head + self.size) % len(self._data)
        first = min(count, len(self._data) - at)
        self._data[at : at + first] = data[:first]
        self._data[: count - first] = data[first:]
        self.size += count

    def peek(self, count: int) -> bytes:
        """Return up to ``count`` bytes from the front without removing them."""
        count = min(count, self.size)
        first = min(count, len(self._data) - self._head)
        return bytes(self._data[self._head : self._head + first]) + bytes(self._data[: count - first])

    def skip(self, count: int) -> None:
        """Remove the first ``count`` bytes."""
        self.size -= count
        if not self.size and len(self._data) > MAX_IDLE_BYTES:
            # Release memory that was allocated for a burst.
            self._data = bytearray(min(MAX_IDLE_BYTES, self.limit))
        self._head = (self._head + count) % len(self._data) if self.size else 0

    def take(self) -> bytes:
        """Remove and return all bytes."""
        data = self.peek(self.size)
        self.skip(self.size)
        return data

    def receive(self, sock: socket) -> int:
        """Receive once from a socket; returns the number of bytes, 0 at the end of the stream."""
        if self.size == len(self._data):
            self._grow(min(self.limit, 2 * len(self._data)))
        at = (self._head + self.size) % len(self._data)
        end = self._head if at < self._head else len(self._data)
        with memoryview(self._data) as view:
            received = sock.recv_into(view[at:end])
        self.size += received
        return received

    def send(self, sock: socket) -> int:
        """Send the first contiguous block to a socket; returns the number of bytes sent."""
        first = min(self.size, len(self._data) - self._head)
        with memoryview(self._data) as view:
            sent = sock.send(view[self._head : self._head + first])
        self.skip(sent)
        return sent
