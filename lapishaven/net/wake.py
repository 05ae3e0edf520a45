"""A self-pipe that wakes the loop, for signals and for worker threads.

A pipe and not a socket pair, because the platform allows TCP and UDP sockets over IPv4 only.
"""

from __future__ import annotations

import os
from contextlib import suppress


class Wake:
    """A nonblocking pipe: ``poke`` from any thread or signal handler, ``drain`` on the loop."""

    def __init__(self) -> None:
        self.reader, self.writer = os.pipe2(os.O_NONBLOCK | os.O_CLOEXEC)

    def poke(self) -> None:
        """Wake the reader. A full pipe is readable anyway, so its error is ignored."""
        with suppress(BlockingIOError, OSError):
            os.write(self.writer, b"x")

    def drain(self) -> bytes:
        """All bytes written since the last drain (signal numbers, where the pipe is the wakeup descriptor)."""
        got = b""
        with suppress(BlockingIOError):
            while chunk := os.read(self.reader, 4096):
                got += chunk
        return got

    def close(self) -> None:
        """Close both ends."""
        for end in (self.reader, self.writer):
            with suppress(OSError):
                os.close(end)


__all__ = ["Wake"]
