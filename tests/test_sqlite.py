"""Opening one new SQLite file by many connections at once."""

from __future__ import annotations

import sqlite3
import threading
from pathlib import Path

from lapishaven import sqlite

CONNECTIONS, ROUNDS = 12, 25


def test_many_connections_may_open_one_new_file_at_once(tmp_path: Path) -> None:
    """Guards against a server that does not start as another one switches the same new file to WAL: SQLite fails
    that switch at once, however long the timeout."""
    failed: list[sqlite3.Error] = []
    for n in range(ROUNDS):
        path, together = str(tmp_path / f"{n}.db"), threading.Barrier(CONNECTIONS)

        def opens(path: str = path, together: threading.Barrier = together) -> None:
            together.wait()
            try:
                base = sqlite.connect(path, 5.0)
                with sqlite.writing(base):
                    base.execute("create table if not exists t (x integer)")
                base.close()
            except sqlite3.Error as error:
                failed.append(error)

        threads = [threading.Thread(target=opens) for _ in range(CONNECTIONS)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
    assert failed == []
