"""Copies of a record's file: taken while servers write, put back whole or not at all, and rows as CSV."""

from __future__ import annotations

import csv
import os
import sqlite3
from collections.abc import Callable
from contextlib import closing
from pathlib import Path
from typing import TextIO

from lapishaven.ledger.database import VERSION, LedgerError

PAGES = 256  # copied between two looks at what others wrote
PART = ".part"
Progress = Callable[[float], None]  # the part that is done


def _sync(path: Path) -> None:
    """The file, then its folder, so that the name lasts too."""
    for each, flags in ((path, os.O_RDWR), (path.parent, os.O_RDONLY)):
        number = os.open(each, flags)
        try:
            os.fsync(number)
        finally:
            os.close(number)


def _copy(source: str, to: Path, progress: Progress) -> None:
    """``source`` into ``to``, which appears whole or not at all. Raises ``RecordError``."""
    part = to.with_name(to.name + PART)
    part.unlink(missing_ok=True)
    try:
        with closing(sqlite3.connect(f"file:{source}?mode=ro", uri=True)) as old, closing(sqlite3.connect(part)) as new:
            old.backup(
                new, pages=PAGES, sleep=0.001, progress=lambda status, left, total: progress(1 - left / max(1, total))
            )
            new.execute("pragma journal_mode = delete")  # one file, with nothing beside it
        _sync(part)
        os.replace(part, to)
        _sync(to)
    except (sqlite3.Error, OSError) as error:
        part.unlink(missing_ok=True)
        raise LedgerError(f"cannot copy {source} to {to}: {error}") from None


def backup(file: str, to: str, progress: Progress = lambda part: None) -> None:
    """A copy at one instant, while servers go on. ``RecordError`` where ``to`` is there already."""
    if Path(to).exists():
        raise LedgerError(f"{to} is there already")
    _copy(file, Path(to), progress)


def restore(file: str, source: str, progress: Progress = lambda part: None) -> None:
    """A backup in the record's place. No server may have it open, which cannot be seen from here. ``RecordError`` where
    a record is there, or the backup is damaged or of another schema."""
    if Path(file).exists():
        raise LedgerError(f"{file} is there already: move it away first")
    if not Path(source).exists():
        raise LedgerError(f"{source} is not there")
    try:
        with closing(sqlite3.connect(f"file:{source}?mode=ro", uri=True)) as base:
            there = base.execute("pragma user_version").fetchone()[0]
            sound = base.execute("pragma integrity_check").fetchone()[0]
    except sqlite3.Error as error:
        raise LedgerError(f"{source}: {error}") from None
    if there != VERSION:
        raise LedgerError(f"{source} is of schema {there}, not {VERSION}")
    if sound != "ok":
        raise LedgerError(f"{source} is damaged: {sound}")
    _copy(source, Path(file), progress)


def export(file: str, table: str, out: TextIO) -> int:
    """The rows of ``effect`` or ``ledger`` as CSV, results in hexadecimal; gives how many."""
    try:
        with closing(sqlite3.connect(f"file:{file}?mode=ro", uri=True)) as base:
            found = base.execute(f"select * from {table} order by class, key")
            writer = csv.writer(out)
            writer.writerow([column[0] for column in found.description])
            count = 0
            for row in found:
                writer.writerow([each.hex() if isinstance(each, bytes) else each for each in row])
                count += 1
            return count
    except sqlite3.Error as error:
        raise LedgerError(f"{file}: {error}") from None
