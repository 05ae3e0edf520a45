"""Opening one new SQLite file from many sides at once."""

from __future__ import annotations

import sqlite3
import threading
from pathlib import Path

from lapishaven import sqlite

SIDES, ROUNDS = 12, 25


def test_many_may_open_one_new_file_at_the_same_moment(tmp_path: Path) -> None:
    """Guards against a server that does not start, as another one turns the same new file to WAL in that moment:
    SQLite gives up on that switch at once, however long a call may wait for others."""
    failed: list[sqlite3.Error] = []
    for n in range(ROUNDS):
        path, together = str(tmp_path / f"{n}.db"), threading.Barrier(SIDES)

        def opens(path: str = path, together: threading.Barrier = together) -> None:
            together.wait()
            try:
                base = sqlite.connect(path, 5.0)
                with sqlite.writing(base):
                    base.execute("create table if not exists t (x integer)")
                base.close()
            except sqlite3.Error as error:
                failed.append(error)

        threads = [threading.Thread(target=opens) for _ in range(SIDES)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
    assert failed == []
