"""The effect log of the processes that serve one inherited socket, in the temporary folder that they share."""

from __future__ import annotations

import os
import stat
import time
from collections.abc import Callable, Iterator
from pathlib import Path

from lapishaven.core.effect_records import ClaimRecord, EffectEnded, EffectRecord
from lapishaven.effect_log import record_codec
from lapishaven.effect_log.process_lock import ProcessLock
from lapishaven.effect_log.segmented_log import SegmentedLog

DEFAULT_TEMPORARY_FOLDER = "/tmp"  # if $TMPDIR is not set
FOLDER_MODE = 0o700
CLAIMS_DIVISOR = 8  # claims may take 1/8 of the memory, as files in the temporary folder count as memory
RESULTS_DIVISOR = 64  # results 1/64; the oldest are dropped beyond that, and their repeats fail
CLAIM_SEGMENT_BYTES = 256 * 1024
RESULT_SEGMENT_BYTES = 512 * 1024
REOPEN_INTERVAL_S = 1.0  # between two tries to open a log that could not be opened


class EffectLogError(OSError):
    """The folder of the log cannot be used."""


def folder_of(listening_fd: int) -> Path:
    """The folder of the log for the listening socket with this descriptor.

    Its inode identifies the socket: the processes that inherited it see the same one, and nobody else does. After a
    restart of the machine the number comes up again, so the folders of different users are kept apart.
    """
    temporary_folder = os.environ.get("TMPDIR") or DEFAULT_TEMPORARY_FOLDER
    return Path(temporary_folder) / f"lapishaven-socket-{os.fstat(listening_fd).st_ino}-{os.geteuid()}"


class SharedEffectLog:
    """Implements ``core.ports.EffectLog`` in files. No method raises, and none waits for another process."""

    def __init__(
        self,
        folder: Path,
        memory_bytes: int,
        log: Callable[[str], None],
        unix_time: Callable[[], float] = time.time,
        claim_segment_bytes: int = CLAIM_SEGMENT_BYTES,
    ) -> None:
        """``memory_bytes`` is the memory of the process; ``log`` receives a line when the log cannot be used."""
        self.owner = f"{os.getpid()}-{os.urandom(4).hex()}"
        self.unix_time = unix_time
        self._folder = folder
        self._memory_bytes = memory_bytes
        self._log = log
        self._claim_segment_bytes = claim_segment_bytes
        self._claims: SegmentedLog | None = None
        self._ends: SegmentedLog | None = None
        self._lock: ProcessLock | None = None
        self._reopen_at = float("-inf")
        self._is_reported = False
        self._open()

    # ---- Implementation of core.ports.EffectLog
    def append_claim(self, record: ClaimRecord) -> bool:
        """Append to the ordered log."""
        return self._open() and self._append(self._claims, lambda sequence: record_codec.encode(record, sequence))

    def append_end(self, record: EffectEnded) -> bool:
        """Append to the log of results."""
        return self._open() and self._append(self._ends, lambda sequence: record_codec.encode(record, sequence))

    def take_claims(self) -> list[ClaimRecord]:
        """The records of others that an append has come upon."""
        return [record for record in self._take(self._claims) if not isinstance(record, EffectEnded)]

    def read_claims(self) -> Iterator[ClaimRecord]:
        """The records of others in the ordered log; they are read as they are taken."""
        return (record for record in self._read(self._claims) if not isinstance(record, EffectEnded))

    def read_ends(self) -> list[EffectEnded]:
        """The records of others in the log of results."""
        return [record for record in self._read(self._ends) if isinstance(record, EffectEnded)]

    def is_alive(self, owner: str) -> bool:
        """Whether the process with this id lives."""
        return self._lock is None or self._lock.is_alive(owner)

    def close(self) -> None:
        """Close the files and release the lock; the log stays for the other processes."""
        for part in (self._claims, self._ends, self._lock):
            if part is not None:
                part.close()
        self._claims = self._ends = self._lock = None
        self._reopen_at = float("inf")

    # ---- Files
    def _open(self) -> bool:
        """Whether the log is open; tries to open it, at most once a ``REOPEN_INTERVAL_S``."""
        if self._ends is not None:
            return True
        if time.monotonic() < self._reopen_at:
            return False
        self._reopen_at = time.monotonic() + REOPEN_INTERVAL_S
        try:
            _make_folder(self._folder)
            if self._lock is None:
                self._lock = ProcessLock(self._folder, self.owner)
            if self._claims is None:
                self._claims = self._open_part("claims", self._claim_segment_bytes, CLAIMS_DIVISOR, evicts=False)
            self._ends = self._open_part("results", RESULT_SEGMENT_BYTES, RESULTS_DIVISOR, evicts=True)
        except OSError as error:
            self._report(error)
            return False
        self._is_reported = False
        return True

    def _open_part(self, name: str, segment_bytes: int, divisor: int, *, evicts: bool) -> SegmentedLog:
        total_bytes = self._memory_bytes // divisor
        return SegmentedLog(self._folder, name, self.owner, segment_bytes, total_bytes, evicts=evicts)

    def _append(self, part: SegmentedLog | None, encode: Callable[[int], bytes]) -> bool:
        assert part is not None
        try:
            part.delete_expired(self.unix_time())
            try:
                return part.append(encode)
            except FileNotFoundError:  # somebody has removed the folder
                _make_folder(self._folder)
                return part.append(encode)
        except OSError as error:
            self._report(error)
            return False

    def _read(self, part: SegmentedLog | None) -> Iterator[EffectRecord]:
        """All that was not taken yet, up to the end of the log, in pieces: it may be long at a start."""
        yield from self._take(part)
        try:
            while part is not None and part.read():
                yield from self._take(part)
        except OSError as error:
            self._report(error)

    def _take(self, part: SegmentedLog | None) -> list[EffectRecord]:
        records: list[EffectRecord] = []
        for line in part.take() if part is not None else ():
            if line.owner == self.owner:
                continue
            try:
                records.append(record_codec.decode(line))
            except record_codec.RecordError:
                continue  # of another version of this program
        return records

    def _report(self, error: OSError) -> None:
        if not self._is_reported:
            self._is_reported = True
            self._log(
                f"cannot use the effect log {self._folder}: {error.strerror or error}; requests of classes that may not"
                " run twice are rejected until it can be used"
            )


def _make_folder(folder: Path) -> None:
    """Create the folder, unless it is there. Raises ``EffectLogError`` if it is no folder of this user's."""
    try:
        folder.mkdir(FOLDER_MODE)
    except FileExistsError:
        status = folder.lstat()
        if not stat.S_ISDIR(status.st_mode) or status.st_uid != os.geteuid():
            raise EffectLogError(f"{folder} is not a folder of this user") from None
