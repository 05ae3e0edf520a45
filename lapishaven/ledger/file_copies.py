"""Atomic backup and restore of the ledger's file, and CSV export of its tables."""

from __future__ import annotations

import csv
import os
import sqlite3
from collections.abc import Callable
from contextlib import closing
from pathlib import Path
from typing import TextIO

from lapishaven.ledger.database import SCHEMA_VERSION, LedgerError

PAGES_PER_STEP = 256  # pages copied before other connections may write
PAUSE_BETWEEN_STEPS_S = 0.001
PARTIAL_SUFFIX = ".part"
Progress = Callable[[float], None]  # called with the fraction that is done


def _open_read_only(path: str) -> closing[sqlite3.Connection]:
    return closing(sqlite3.connect(f"file:{path}?mode=ro", uri=True))


def _sync(path: Path) -> None:
    """Sync the file and then its directory, so that the directory entry is durable too."""
    for target, flags in ((path, os.O_RDWR), (path.parent, os.O_RDONLY)):
        descriptor = os.open(target, flags)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)


def _copy(source: str, to: Path, progress: Progress) -> None:
    """Copy ``source`` to ``to`` atomically: ``to`` appears complete or not at all. Raises ``LedgerError``."""
    partial = to.with_name(to.name + PARTIAL_SUFFIX)
    partial.unlink(missing_ok=True)
    try:
        with _open_read_only(source) as old, closing(sqlite3.connect(partial)) as new:
            old.backup(
                new,
                pages=PAGES_PER_STEP,
                sleep=PAUSE_BETWEEN_STEPS_S,
                progress=lambda status, remaining, total: progress(1 - remaining / max(1, total)),
            )
            new.execute("pragma journal_mode = delete")  # leaves a single file, without a WAL beside it
        _sync(partial)
        os.replace(partial, to)
        _sync(to)
    except (sqlite3.Error, OSError) as error:
        partial.unlink(missing_ok=True)
        raise LedgerError(f"cannot copy ledger {source} to {to}: {error}") from None


def backup(file: str, to: str, progress: Progress = lambda fraction: None) -> None:
    """Copy a consistent snapshot of the file while servers keep writing.

    Raises ``LedgerError``, also if ``to`` exists.
    """
    if Path(to).exists():
        raise LedgerError(f"cannot back up ledger {file}: {to} already exists")
    _copy(file, Path(to), progress)


def restore(file: str, source: str, progress: Progress = lambda fraction: None) -> None:
    """Create the ledger from a backup. No server may have the ledger open, which cannot be checked here.

    Raises ``LedgerError``, also if the ledger exists, or the backup is damaged or has another schema version.
    """
    if Path(file).exists():
        raise LedgerError(f"cannot restore ledger {file}: it already exists; move it away first")
    if not Path(source).exists():
        raise LedgerError(f"cannot restore ledger {file}: backup {source} does not exist")
    try:
        with _open_read_only(source) as connection:
            version = connection.execute("pragma user_version").fetchone()[0]
            integrity = connection.execute("pragma integrity_check").fetchone()[0]
    except sqlite3.Error as error:
        raise LedgerError(f"cannot restore ledger {file}: cannot read backup {source}: {error}") from None
    if version != SCHEMA_VERSION:
        raise LedgerError(
            f"cannot restore ledger {file}: backup {source} has schema version {version}, expected {SCHEMA_VERSION}"
        )
    if integrity != "ok":
        raise LedgerError(f"cannot restore ledger {file}: backup {source} failed its integrity check: {integrity}")
    _copy(source, Path(file), progress)


def export(file: str, table: str, out: TextIO) -> int:
    """Write the rows of the table ``effect`` or ``ledger`` as CSV, results in hexadecimal; returns the row count."""
    try:
        with _open_read_only(file) as connection:
            rows = connection.execute(f"select * from {table} order by class, key")
            writer = csv.writer(out)
            writer.writerow([column[0] for column in rows.description])
            count = 0
            for row in rows:
                writer.writerow([value.hex() if isinstance(value, bytes) else value for value in row])
                count += 1
            return count
    except sqlite3.Error as error:
        raise LedgerError(f"cannot export table {table} of ledger {file}: {error}") from None
