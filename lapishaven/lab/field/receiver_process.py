"""A receiver process for the harness: a ``FencedStore`` that listens on a port, with faults on command.

Commands on standard input, one JSON object a line: ``{"full": true}`` makes the disk full and ``{"full": false}``
undoes it, ``{"copy": PATH}`` copies the file, and ``{"restore": PATH}`` restores such a copy, as from an older backup.
With ``"trace": true`` in the specification each judged effect is an event ``judged``, with the time of its receipt.
"""

from __future__ import annotations

import json
import os
import sqlite3
import sys
import time
from collections.abc import Callable
from contextlib import closing
from typing import Any

from lapishaven.lab.field.process import TICK_SCHEMA
from lapishaven.ownership.fence import EffectRequest
from lapishaven.ownership.fenced_store import Admission, FencedStore
from lapishaven.ownership.receiver import serve_receiver


class FaultyStore(FencedStore):
    """A store whose disk can be made full, and whose file can be copied and restored.

    ``on_judged`` is called with each request, its verdict and the time of its receipt.
    """

    on_judged: Callable[[EffectRequest, str, float], None] | None = None

    def admit(self, request: EffectRequest, effect: str, detail: Any) -> Admission:
        """Judge a request, and report it."""
        received_at = time.clock_gettime(time.CLOCK_BOOTTIME)
        admission = super().admit(request, effect, detail)
        if self.on_judged is not None:
            self.on_judged(request, admission.verdict.value, received_at)
        return admission

    def set_full(self, is_full: bool) -> None:
        """Make the disk full, or undo it."""
        # With no more pages allowed than there are, SQLite reports a full disk.
        self._file.connection.execute(f"pragma max_page_count = {1 if is_full else 1 << 30}")

    def copy_database(self, source: str, target: str) -> None:
        """Copy one database file over another."""
        with (
            closing(sqlite3.connect(source)) as source_connection,
            closing(sqlite3.connect(target)) as target_connection,
        ):
            source_connection.backup(target_connection)


def main() -> None:
    """Run the receiver that the first argument describes until standard input ends."""
    spec = json.loads(sys.argv[1])
    store = FaultyStore(spec["book"], {"tick": TICK_SCHEMA}, fenced=spec.get("fenced", True))
    _, port = serve_receiver("127.0.0.1", spec.get("port", 0), store)

    def report_event(what: str, **facts: Any) -> None:
        event = {"at": time.clock_gettime(time.CLOCK_BOOTTIME), "who": spec["name"], "what": what, **facts}
        os.write(1, json.dumps(event).encode() + b"\n")  # a single write, as several threads report

    def report_judged(request: EffectRequest, verdict: str, received_at: float) -> None:
        duty, shard = request.shard
        fields = {"duty": duty, "shard": shard, "token": request.token, "number": request.number}
        report_event("judged", **fields, verdict=verdict, received=received_at)

    if spec.get("trace"):
        store.on_judged = report_judged
    report_event("start", port=port)
    for line in sys.stdin:
        command = json.loads(line)
        if "full" in command:
            store.set_full(command["full"])
        if "copy" in command:
            store.copy_database(spec["book"], command["copy"])
        if "restore" in command:
            store.copy_database(command["restore"], spec["book"])
        report_event("done", word=next(iter(command)))


if __name__ == "__main__":
    main()
