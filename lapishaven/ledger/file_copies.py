"""Backup and restore of the ledger's file, complete or not at all, and its rows as CSV."""

from __future__ import annotations

import csv
import os
import sqlite3
from collections.abc import Callable
from contextlib import closing
from pathlib import Path
from typing import TextIO

from lapishaven.ledger.database import VERSION, LedgerError

PAGES_PER_STEP = 256  # copied before other connections may write
PAUSE_BETWEEN_STEPS_S = 0.001
PARTIAL_SUFFIX = ".part"
Progress = Callable[[float], None]  # gets the fraction that is done


def _open_read_only(path: str) -> closing[sqlite3.Connection]:
    return closing(sqlite3.connect(f"file:{path}?mode=ro", uri=True))


def _sync(path: Path) -> None:
    """Sync the file, then its directory, so that its name is durable too."""
    for target, flags in ((path, os.O_RDWR), (path.parent, os.O_RDONLY)):
        descriptor = os.open(target, flags)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)


def _copy(source: str, to: Path, progress: Progress) -> None:
    """Copy ``source`` to ``to``, which appears complete or not at all. Raises ``LedgerError``."""
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
            new.execute("pragma journal_mode = delete")  # one file, with nothing beside it
        _sync(partial)
        os.replace(partial, to)
        _sync(to)
    except (sqlite3.Error, OSError) as error:
        partial.unlink(missing_ok=True)
        raise LedgerError(f"cannot copy {source} to {to}: {error}") from None


def backup(file: str, to: str, progress: Progress = lambda part: None) -> None:
    """Copy the file as it is at one instant, while servers go on. Raises ``LedgerError``, also if ``to`` exists."""
    if Path(to).exists():
        raise LedgerError(f"{to} is there already")
    _copy(file, Path(to), progress)


def restore(file: str, source: str, progress: Progress = lambda part: None) -> None:
    """Put a backup in the ledger's place. No server may have it open, which cannot be checked from here.

    Raises ``LedgerError``, also if a ledger exists, or the backup is damaged or of another schema.
    """
    if Path(file).exists():
        raise LedgerError(f"{file} is there already: move it away first")
    if not Path(source).exists():
        raise LedgerError(f"{source} is not there")
    try:
        with _open_read_only(source) as connection:
            version = connection.execute("pragma user_version").fetchone()[0]
            integrity = connection.execute("pragma integrity_check").fetchone()[0]
    except sqlite3.Error as error:
        raise LedgerError(f"{source}: {error}") from None
    if version != VERSION:
        raise LedgerError(f"{source} is of schema {version}, not {VERSION}")
    if integrity != "ok":
        raise LedgerError(f"{source} is damaged: {integrity}")
    _copy(source, Path(file), progress)


def export(file: str, table: str, out: TextIO) -> int:
    """Write the rows of the table ``effect`` or ``ledger`` as CSV, results in hexadecimal; returns how many."""
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
        raise LedgerError(f"{file}: {error}") from None
