"""A self-pipe that wakes the event loop from signal handlers and worker threads.

It is a pipe and not a socket pair, because the platform allows only TCP and UDP sockets over IPv4.
"""

from __future__ import annotations

import os
from contextlib import suppress


class WakePipe:
    """A nonblocking pipe: ``wake`` from any thread or signal handler, ``drain`` on the event loop."""

    def __init__(self) -> None:
        self.reader, self.writer = os.pipe2(os.O_NONBLOCK | os.O_CLOEXEC)

    def wake(self) -> None:
        """Make the reader readable. A full pipe already is, so that error is ignored."""
        with suppress(BlockingIOError, OSError):
            os.write(self.writer, b"x")

    def drain(self) -> bytes:
        """Read all bytes written since the last drain (signal numbers, if the pipe is the signal wakeup descriptor)."""
        data = b""
        with suppress(BlockingIOError):
            while chunk := os.read(self.reader, 4096):
                data += chunk
        return data

    def close(self) -> None:
        """Close both ends of the pipe."""
        for end in (self.reader, self.writer):
            with suppress(OSError):
                os.close(end)


__all__ = ["WakePipe"]
