"""A log in a folder to which several processes append, all of which read the records in the same order.

An append is one ``write`` to a file opened with ``O_APPEND``: the kernel carries these out one after another, and no
process holds a lock between two system calls. A line begins and ends with a line end, so one that was cut short by a
kill is followed by a whole one, and fails its checksum.

The log is a row of segment files. The first seal in a segment ends it: lines behind the seal are void, and are appended
again to the next segment. So there is one order over all segments, and every process moves on at the same place.
"""

from __future__ import annotations

import os
import re
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path

from lapishaven.effect_log import record_codec
from lapishaven.effect_log.record_codec import Line

READ_BYTES = 64 * 1024
FILE_MODE = 0o600  # keys and results are for this user only
SEGMENT_NAME_DIGITS = 8


@dataclass(slots=True)
class SealedSegment:
    """A segment that was read up to its seal."""

    number: int
    size_bytes: int
    expires_at: float  # Unix time from which on no record in it means anything


class SegmentedLog:
    """One process's view of a log. No method blocks for another process."""

    def __init__(
        self, folder: Path, name: str, owner: str, segment_bytes: int, total_bytes: int, *, evicts: bool
    ) -> None:
        """Open the log ``name`` in ``folder`` at its oldest segment.

        ``segment_bytes`` is the size at which a segment is sealed. At ``total_bytes`` the oldest sealed segments are
        deleted before they expire, with ``evicts``; else nothing is appended until some expire. Raises ``OSError``.
        """
        self._folder = folder
        self._name = name
        self._owner = owner
        self._segment_bytes = segment_bytes
        self._total_bytes = total_bytes
        self._evicts = evicts
        self._pattern = re.compile(re.escape(name) + rf"-(\d{{{SEGMENT_NAME_DIGITS}}})\.log")
        self._sequence = 0
        self._sealed: deque[SealedSegment] = deque()  # oldest first
        self._sealed_bytes = 0
        self._lines: list[Line] = []  # read and not taken yet
        self._fd = -1
        self._number = 0
        self._offset = 0  # up to which the segment was read
        self._is_sealed = False  # whether the seal of the segment was read
        self._expires_at = 0.0  # Unix time of the last expiry in the segment
        self._open_after(0)

    # ---- Appending and reading
    def append(self, encode: Callable[[int], bytes]) -> bool:
        """Append the line that ``encode`` makes of a sequence number; returns whether it is in the log.

        ``take`` then returns the lines that precede it. Raises ``OSError``.
        """
        self._sequence += 1
        line = encode(self._sequence)
        data = b"\n" + line + b"\n"
        while True:
            self._leave_sealed_segment()
            if not self._evicts and self.size_bytes >= self._total_bytes:
                return False
            if os.write(self._fd, data) != len(data):
                return False
            if self._follows_what_was_read(len(data)) or self._read_up_to(line):
                self._expires_at = max(self._expires_at, record_codec.expiry_of(line))
                self._seal_if_full()
                return True
            if not self._is_sealed:
                return False  # it was written and cannot be read: the file system is at fault

    def _follows_what_was_read(self, size: int) -> bool:
        """Whether the append of ``size`` bytes came directly behind what was read; it then counts as read."""
        end = os.lseek(self._fd, 0, os.SEEK_CUR)  # an append leaves the descriptor's position at its end
        if end - size != self._offset:
            return False
        self._offset = end
        return True

    def read(self) -> bool:
        """Read some of the lines that any process has appended, for ``take``; returns whether there were any.

        Raises ``OSError``.
        """
        self._leave_sealed_segment()
        offset = self._offset
        self._read_up_to(None)
        return self._is_sealed or self._offset > offset

    def take(self) -> list[Line]:
        """The lines that were read and not taken yet, in their order."""
        lines, self._lines = self._lines, []
        return lines

    def _read_up_to(self, wanted: bytes | None) -> bool:
        """Read up to the line ``wanted``, a seal, or the end; returns whether ``wanted`` was found.

        Without ``wanted``, at most ``READ_BYTES`` are read.
        """
        while data := os.pread(self._fd, READ_BYTES, self._offset):
            end = data.rfind(b"\n") + 1
            if not end and len(data) < READ_BYTES:
                return False  # an append in progress, or the rest of one that was cut short
            for line in data[: end or len(data)].splitlines(keepends=True):
                self._offset += len(line)
                if wanted is not None and line[:-1] == wanted:
                    return True
                self._read_line(line[:-1])
                if self._is_sealed:
                    return False
            if wanted is None:
                return False
        return False

    def _read_line(self, text: bytes) -> None:
        if not text:
            return
        try:
            line = record_codec.parse(text)
        except record_codec.RecordError:
            return  # cut short or damaged
        if line.is_seal:
            self._is_sealed = True
            self._sealed.append(SealedSegment(self._number, self._offset, self._expires_at))
            self._sealed_bytes += self._offset
            return
        self._expires_at = max(self._expires_at, line.expires_at)
        self._lines.append(line)

    # ---- Segments
    def _path(self, number: int) -> Path:
        return self._folder / f"{self._name}-{number:0{SEGMENT_NAME_DIGITS}}.log"

    def _numbers(self) -> list[int]:
        """The numbers of the segments that exist, oldest first."""
        matches = (self._pattern.fullmatch(name) for name in os.listdir(self._folder))
        return sorted(int(match[1]) for match in matches if match)

    def _open_after(self, number: int) -> None:
        """Open the oldest segment behind ``number``; create the next one if there is none."""
        while True:
            following = min((other for other in self._numbers() if other > number), default=number + 1)
            flags = os.O_RDWR | os.O_APPEND | os.O_CREAT | os.O_CLOEXEC | os.O_NOFOLLOW
            fd = os.open(self._path(following), flags, FILE_MODE)
            # In this order: a segment has its seal before its successor is created.
            has_successor = any(other > following for other in self._numbers())
            if not has_successor or os.fstat(fd).st_size:
                break
            # It is empty and has a successor: it was deleted before it was opened, and so created anew.
            os.close(fd)
            with suppress(FileNotFoundError):
                self._path(following).unlink()
        if self._fd >= 0:
            os.close(self._fd)
        self._fd, self._number, self._offset = fd, following, 0
        self._is_sealed = False
        self._expires_at = 0.0

    def _leave_sealed_segment(self) -> None:
        """Open the next segment if the seal of this one was read."""
        if self._is_sealed:
            self._open_after(self._number)

    def _seal_if_full(self) -> None:
        if self._offset >= self._segment_bytes:
            self._sequence += 1
            line = b"\n" + record_codec.encode_seal(self._owner, self._sequence) + b"\n"
            os.write(self._fd, line)

    @property
    def size_bytes(self) -> int:
        """The size of the segments that this process has read."""
        return self._sealed_bytes + (0 if self._is_sealed else self._offset)

    def delete_expired(self, unix_time: float) -> None:
        """Delete the oldest sealed segments: the expired ones and, with ``evicts``, those beyond the total size."""
        while self._sealed and (self._sealed[0].expires_at <= unix_time or self._is_oversized()):
            segment = self._sealed.popleft()
            self._sealed_bytes -= segment.size_bytes
            with suppress(FileNotFoundError):
                self._path(segment.number).unlink()

    def _is_oversized(self) -> bool:
        return self._evicts and self.size_bytes > self._total_bytes

    def close(self) -> None:
        """Close the file; the log stays for the other processes."""
        if self._fd >= 0:
            os.close(self._fd)
            self._fd = -1
