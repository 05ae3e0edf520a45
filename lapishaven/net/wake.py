"""A pipe that wakes the loop: for signals and for threads that finish work off the event path.

A pipe, not a socket pair: on the fleet's bench a process has TCP and UDP over IPv4 only, and a pair of Unix
sockets is a socket that nothing ever reaches.
"""

from __future__ import annotations

import os
from contextlib import suppress


class Wake:
    """Both ends non-blocking; ``poke`` from any thread or a signal, ``drain`` on the loop."""

    def __init__(self) -> None:
        self.reader, self.writer = os.pipe2(os.O_NONBLOCK | os.O_CLOEXEC)

    def poke(self) -> None:
        """Wake the reader; a full pipe wakes just as well."""
        with suppress(BlockingIOError, OSError):
            os.write(self.writer, b"x")

    def drain(self) -> bytes:
        """All bytes written since the last drain (signal numbers, where it is a wakeup descriptor)."""
        got = b""
        with suppress(BlockingIOError):
            while chunk := os.read(self.reader, 4096):
                got += chunk
        return got

    def close(self) -> None:
        for end in (self.reader, self.writer):
            with suppress(OSError):
                os.close(end)


__all__ = ["Wake"]
