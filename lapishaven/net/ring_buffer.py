"""A ring buffer that grows by doubling up to a limit."""

from __future__ import annotations

from socket import socket

KEPT = 4096  # bytes that an empty ring keeps at most


class RingBufferFull(Exception):
    """There is no room up to the ring's limit."""


class RingBuffer:
    """Bytes in their order; one for each connection and direction."""

    __slots__ = ("_data", "_head", "size", "limit")

    def __init__(self, limit: int, start: int = 1024) -> None:
        self._data = bytearray(min(start, limit))
        self._head = self.size = 0
        self.limit = limit

    def __len__(self) -> int:
        return self.size

    @property
    def room(self) -> int:
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
        """Append all of ``data``, or raise ``RingFull`` and take none."""
        count = len(data)
        if count > self.room:
            raise RingBufferFull(f"{count} bytes do not fit in {self.room}")
        if self.size + count > len(self._data):
            self._grow(self.size + count)
        at = (self._head + self.size) % len(self._data)
        first = min(count, len(self._data) - at)
        self._data[at : at + first] = data[:first]
        self._data[: count - first] = data[first:]
        self.size += count

    def peek(self, count: int) -> bytes:
        count = min(count, self.size)
        first = min(count, len(self._data) - self._head)
        return bytes(self._data[self._head : self._head + first]) + bytes(self._data[: count - first])

    def skip(self, count: int) -> None:
        self.size -= count
        if not self.size and len(self._data) > KEPT:
            # A burst's memory is not kept by a connection that is empty again.
            self._data = bytearray(min(KEPT, self.limit))
        self._head = (self._head + count) % len(self._data) if self.size else 0

    def take(self) -> bytes:
        """All that is there."""
        data = self.peek(self.size)
        self.skip(self.size)
        return data

    def receive(self, sock: socket) -> int:
        """One read from a socket into the free part; 0 at its end."""
        if self.size == len(self._data):
            self._grow(min(self.limit, 2 * len(self._data)))
        at = (self._head + self.size) % len(self._data)
        end = self._head if at < self._head else len(self._data)
        with memoryview(self._data) as view:
            got = sock.recv_into(view[at:end])
        self.size += got
        return got

    def send(self, sock: socket) -> int:
        """One write of the first unbroken part to a socket."""
        first = min(self.size, len(self._data) - self._head)
        with memoryview(self._data) as view:
            sent = sock.send(view[self._head : self._head + first])
        self.skip(sent)
        return sent
