"""Tests of the SQLite helper: many connections open the same new file at once."""

from __future__ import annotations

import sqlite3
import threading
from pathlib import Path

from lapishaven import sqlite

CONNECTIONS, ROUNDS = 12, 25


def test_many_connections_may_open_one_new_file_at_once(tmp_path: Path) -> None:
    """Guards against a server that fails to start while another one switches the same new file to WAL: SQLite then
    fails at once, without waiting for the busy timeout."""
    errors: list[sqlite3.Error] = []
    for n in range(ROUNDS):
        path, barrier = str(tmp_path / f"{n}.db"), threading.Barrier(CONNECTIONS)

        def open_file(path: str = path, barrier: threading.Barrier = barrier) -> None:
            barrier.wait()
            try:
                connection = sqlite.connect(path, 5.0)
                with sqlite.writing(connection):
                    connection.execute("create table if not exists t (x integer)")
                connection.close()
            except sqlite3.Error as error:
                errors.append(error)

        threads = [threading.Thread(target=open_file) for _ in range(CONNECTIONS)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
    assert errors == []
