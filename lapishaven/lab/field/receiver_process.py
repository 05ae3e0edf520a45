"""A receiver as a process of the field: a ``FencedStore`` behind its address, with faults on request.

``{"full": true}`` leaves the file no more room (and false gives it back), ``{"copy": PATH}`` copies it as it is now,
``{"restore": PATH}`` puts such a copy back in its place, as after a restore from an older backup.
"""

from __future__ import annotations

import json
import sqlite3
import sys
import time
from contextlib import closing
from typing import Any

from lapishaven.lab.field.process import TICK
from lapishaven.ownership.fenced_store import FencedStore
from lapishaven.ownership.receiver import serve_receiver


class FaultyStore(FencedStore):
    """A store whose disk fills on request."""

    def full(self, yes: bool) -> None:
        """Leave the file no more room, or give it back."""
        # No page more than there are: SQLite then says that the disk is full, as it would.
        self._connection.execute(f"pragma max_page_count = {1 if yes else 1 << 30}")

    def swap(self, source: str, target: str) -> None:
        """Copy one file over another."""
        with closing(sqlite3.connect(source)) as old, closing(sqlite3.connect(target)) as new:
            old.backup(new)


def main() -> None:
    """Serve the receiver that the first argument describes, until standard input ends."""
    spec = json.loads(sys.argv[1])
    book = FaultyStore(spec["book"], {"tick": TICK}, fenced=spec.get("fenced", True))
    _, port = serve_receiver("127.0.0.1", spec.get("port", 0), book)

    def say(what: str, **facts: Any) -> None:
        line = {"at": time.clock_gettime(time.CLOCK_BOOTTIME), "who": spec["name"], "what": what, **facts}
        print(json.dumps(line), flush=True)

    say("start", port=port)
    for line in sys.stdin:
        words = json.loads(line)
        if "full" in words:
            book.full(words["full"])
        if "copy" in words:
            book.swap(spec["book"], words["copy"])
        if "restore" in words:
            book.swap(words["restore"], spec["book"])
        say("done", word=next(iter(words)))


if __name__ == "__main__":
    main()
