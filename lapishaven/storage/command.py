"""``lapishaven storage``: maintains a store that no server has open. Each command returns its exit code."""

from __future__ import annotations

import json
import os
import sys
import time
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Any

from lapishaven.storage import Store, StoreError
from lapishaven.storage import format as fmt
from lapishaven.storage.errors import StoreFullError
from lapishaven.storage.files import DirectoryFiles
from lapishaven.storage.recovery import SEGMENT_SUFFIX


def _progress(rows: Iterable[Any], total: int, description: str) -> Iterator[Any]:
    """Iterate over rows, with a progress bar if there are many and stderr is a terminal."""
    if not sys.stderr.isatty() or total < 100_000:
        yield from rows
        return
    from rich.console import Console
    from rich.progress import track

    yield from track(rows, total=total, description=description, console=Console(stderr=True))


def _existing_store(path: str) -> str:
    """Return the path if it is the directory of a store. Raises ``StoreError``."""
    if not os.path.isdir(path) or not any(name.endswith(SEGMENT_SUFFIX) for name in os.listdir(path)):
        raise StoreError(f"no store found in {path}: it is no directory with {SEGMENT_SUFFIX} files")
    return path


@dataclass(slots=True)
class Verification:
    """Counts of ``verify``."""

    records: int = 0
    damaged_ranges: int = 0

    def report(self, name: str, offset: int, reason: str) -> None:
        """Count and print a damaged range."""
        self.damaged_ranges += 1
        print(f"{name}: offset {offset}: {reason}")


def verify(path: str) -> int:
    """Read every byte and print each damaged range; returns 1 if there are any."""
    files = DirectoryFiles(_existing_store(path))
    files.lock()
    verification = Verification()
    try:
        for name in files.names():
            if name.endswith(SEGMENT_SUFFIX):
                _verify_segment(name, files.read(name, 0, files.size(name)), verification)
    finally:
        files.close()
    print(f"{verification.records} records, {verification.damaged_ranges} damaged ranges")
    return 1 if verification.damaged_ranges else 0


def _verify_segment(name: str, data: bytes, verification: Verification) -> None:
    try:
        fmt.decode_segment_header(data)
    except fmt.InvalidFrameError as error:
        verification.report(name, 0, str(error))
    scanned = fmt.scan_segment(data)
    verification.records += sum(len(frame.records) for frame in scanned.frames)
    for damaged in scanned.damage:
        verification.report(name, damaged.offset, f"{damaged.length} bytes: {damaged.reason}")
    if scanned.end < len(data):
        verification.report(
            name, scanned.end, f"{len(data) - scanned.end} bytes: no valid frame up to the end of the segment"
        )


def stat(path: str) -> int:
    """Print the store's figures as one JSON object."""
    with Store.open(_existing_store(path)) as store:
        figures = {
            "keys": len(store),
            "segments": len(store.segments),
            "bytes": store.disk_bytes,
            "index_bytes": store.index.memory_bytes(),
            "opened_ms": round(store.stats.open_seconds * 1000, 1),
            "cut_bytes": store.stats.truncated_bytes,
            "damaged": len(store.damage),
        }
    print(json.dumps(figures))
    return 0


def dump(path: str) -> int:
    """Print every key as one JSON object per line."""
    with Store.open(_existing_store(path)) as store:
        for key, value, expiry in _progress(store.scan(), len(store), "dump"):
            row = {"key": key.hex(), "value": value.hex(), "expiry": expiry or None}
            print(json.dumps(row))
    return 0


def restore(path: str, source: str) -> int:
    """Fill an empty store from the lines of a dump."""
    with Store.open(path) as store:
        if len(store):
            raise StoreError(f"cannot restore into {path}: the store already has {len(store)} keys")
        try:
            with open(source) as lines:
                for number, line in enumerate(lines, 1):
                    _put_waiting(store, *_parse_row(line, f"{source}: line {number}"))
        except OSError as error:
            raise StoreError(f"cannot read dump {source}: {error.strerror}") from None
        store.sync()
        print(f"{len(store)} keys")
    return 0


def _parse_row(line: str, position: str) -> tuple[bytes, bytes, float]:
    """Key, value and expiry of a line of a dump. Raises ``StoreError``."""
    try:
        row = json.loads(line)
        return bytes.fromhex(row["key"]), bytes.fromhex(row["value"]), float(row["expiry"] or 0.0)
    except (ValueError, KeyError, TypeError):
        raise StoreError(f"{position}: not a record written by `lapishaven storage dump`: {line[:80]!r}") from None


def _put_waiting(store: Store, key: bytes, value: bytes, expiry: float) -> None:
    """Put a key, waiting while too many bytes wait to be written."""
    while True:
        try:
            store.put(key, value, expiry)
            return
        except StoreFullError:
            store.sync()


def compact(path: str) -> int:
    """Compact every segment."""
    with Store.open(_existing_store(path)) as store:
        started = time.perf_counter()
        freed = store.compact(everything=True)
        print(f"{freed} bytes freed in {time.perf_counter() - started:.2f} s, {store.disk_bytes} bytes left")
    return 0


def snapshot(path: str, target: str) -> int:
    """Copy the store into an empty directory."""
    with Store.open(_existing_store(path)) as store:
        print(f"{store.snapshot(target)} bytes")
    return 0
