"""``lapishaven storage``: look after a store that no server has open."""

from __future__ import annotations

import json
import os
import sys
import time
from collections.abc import Iterable, Iterator
from typing import Any

from lapishaven.storage import Store, StoreError
from lapishaven.storage import format as fmt
from lapishaven.storage.errors import StoreFull
from lapishaven.storage.files import RealFiles


def _progress(rows: Iterable[Any], total: int, what: str) -> Iterator[Any]:
    """Rows with a progress bar on a terminal."""
    if not sys.stderr.isatty() or total < 100_000:
        yield from rows
        return
    from rich.console import Console
    from rich.progress import track

    yield from track(rows, total=total, description=what, console=Console(stderr=True))


def _there(path: str) -> str:
    if not os.path.isdir(path) or not any(name.endswith(".seg") for name in os.listdir(path)):
        raise StoreError(f"there is no store in {path}")
    return path


def verify(path: str) -> int:
    """Read every byte; 0 if all is whole, else 1, with each damage by its place."""
    files = RealFiles(_there(path))
    files.lock()
    bad = records = 0
    try:
        for name in [name for name in files.names() if name.endswith(".seg")]:
            data = files.read(name, 0, files.size(name))
            try:
                fmt.read_header(data)
            except fmt.NotAFrame as error:
                bad += 1
                print(f"{name}: at 0: {error}")
            scanned = fmt.scan(data)
            records += sum(len(found) for found, _ in scanned.frames)
            for at, length, reason in scanned.damage:
                bad += 1
                print(f"{name}: at {at}: {length} bytes: {reason}")
            if scanned.end < len(data):
                bad += 1
                print(f"{name}: at {scanned.end}: {len(data) - scanned.end} bytes of a tail that cannot be read")
    finally:
        files.close()
    print(f"{records} records, {bad} damaged places")
    return 1 if bad else 0


def stat(path: str) -> int:
    with Store.open(_there(path)) as store:
        found = {
            "keys": len(store),
            "segments": len(store.segments),
            "bytes": store.disk_bytes,
            "index_bytes": store.index.memory(),
            "opened_ms": round(store.stats.opened_in * 1000, 1),
            "cut_bytes": store.stats.cut,
            "damaged": len(store.damage),
        }
    print(json.dumps(found))
    return 0


def dump(path: str) -> int:
    """One JSON object a line."""
    with Store.open(_there(path)) as store:
        for key, value, expiry in _progress(store.scan(), len(store), "dump"):
            row = {"key": key.hex(), "value": value.hex(), "expiry": expiry or None}
            print(json.dumps(row))
    return 0


def restore(path: str, source: str) -> int:
    """Fill an empty store from a dump's lines."""
    with Store.open(path) as store:
        if len(store):
            raise StoreError(f"{path} is not empty")
        try:
            with open(source) as lines:
                for n, line in enumerate(lines, 1):
                    try:
                        row = json.loads(line)
                        key, value = bytes.fromhex(row["key"]), bytes.fromhex(row["value"])
                        expiry = float(row["expiry"] or 0.0)
                    except (ValueError, KeyError, TypeError):
                        raise StoreError(f"{source}: line {n} is no record of a dump") from None
                    while True:
                        try:
                            store.put(key, value, expiry)
                            break
                        except StoreFull:
                            store.sync()
        except OSError as error:
            raise StoreError(f"cannot read {source}: {error.strerror}") from None
        store.sync()
        print(f"{len(store)} keys")
    return 0


def compact(path: str) -> int:
    with Store.open(_there(path)) as store:
        begun, freed = time.perf_counter(), store.compact(everything=True)
        print(f"{freed} bytes freed in {time.perf_counter() - begun:.2f} s, {store.disk_bytes} left")
    return 0


def snapshot(path: str, target: str) -> int:
    with Store.open(_there(path)) as store:
        print(f"{store.snapshot(target)} bytes")
    return 0
