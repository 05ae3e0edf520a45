"""``--record FILE`` locked as a server starts: what earlier processes ran is neither run again nor refused."""

from __future__ import annotations

import json
import sqlite3
import tempfile
import time
from collections.abc import Callable
from contextlib import closing
from pathlib import Path

from scenario import World

from lapishaven.attempt_log import LogEntry, SqliteAttemptLog

OLD_KEY = json.dumps(["", "", "old"])  # as the uwsgi frontend names the id of a caller without a team
DEADLINE_S = 3.8  # of the commits
LONGEST_TURN_S = 0.5  # for which the event loop may stand still; the bound is 0.05 s for each of two reads


class EarlierRunsWorld(World):
    """A server with a log of one earlier run, of the key ``old``. The file is locked from before its start."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path, self.dropped = Path(folder.name, "record.db"), 0
        earlier = SqliteAttemptLog(str(self.path), self.drop)
        earlier.record(LogEntry("started", "a1", "approve-commit", OLD_KEY, None, None, ""))
        earlier.close()
        self.lock = sqlite3.connect(self.path, isolation_level=None)
        self.addCleanup(self.lock.close)
        self.lock.execute("begin exclusive")
        self.store = SqliteAttemptLog(str(self.path), self.drop)
        began_at = time.monotonic()
        super().setUp()
        self.play("expect vm CONNECT 0")
        self.start_took_s = time.monotonic() - began_at

    def tearDown(self) -> None:
        super().tearDown()
        self.server.core.earlier_runs.close()
        if self.lock.in_transaction:
            self.lock.execute("rollback")
        if self.store is not None:
            self.store.close()

    def drop(self) -> None:
        self.dropped += 1

    def unlock(self) -> None:
        self.lock.execute("rollback")
        self.until(lambda: self.server.core.earlier_runs.known)
        self.play("wait 0.01")

    def until(self, condition: Callable[[], bool]) -> None:
        """Wait, in real time, for the threads."""
        deadline = time.monotonic() + 10.0
        while not condition():
            self.assertLess(time.monotonic(), deadline)
            time.sleep(0.01)
            self.pump()


class LockedAtTheStart(EarlierRunsWorld):
    # Guards against a second run: the server came up without what it had run, after its loop had stood still for 5 s.
    def test_requests_with_a_key_wait_until_the_earlier_runs_are_known(self) -> None:
        self.assertLess(self.start_took_s, LONGEST_TURN_S)
        self.play("""
            send u1 approve-commit id=old
            send u2 approve-commit id=new
            send u3 approve-commit id=new body=u2      # a repeat of what waits
            send u4 approve-commit id=old body=u1
            send u5 fuzzy-match                        # may run again, so it does not wait
            expect vm APPLY u5
            expect vm nothing
            expect u1 nothing
        """)
        self.unlock()
        self.play("""
            expect u1 502
            expect u4 502
            expect vm APPLY u2
            send vm OK u2
            expect u2 200 u2
            expect u3 200 u2
            send u6 approve-commit id=old
            expect u6 502
        """)
        self.assertEqual(sum("earlier runs cannot be read" in line for line in self.log_lines), 1)
        line = next(line for line in self.log_lines if "earlier runs cannot be read" in line)
        self.assertIn("record.db: database is locked", line)
        self.assertIn("each try waits up to 1 s", line)
        self.assertGreaterEqual(self.server.counters.groups["earlier runs"]["reads failed"], 1)

    # Guards against a refusal of what may have run, at its due time or as the server leaves.
    def test_what_waits_is_failed_at_its_due_time(self) -> None:
        self.play(f"send u1 approve-commit id=old\nwait {DEADLINE_S + 0.2}\nexpect u1 504")
        self.unlock()
        self.play("expect vm nothing")

    def test_what_waits_is_failed_as_the_server_leaves(self) -> None:
        self.play("send u1 approve-commit id=old\nsend c1 1 approve-commit key=new\nsend server TERM\nwait 3.2")
        self.play("expect u1 502\nexpect c1 draining\nexpect c1 failed 1")

    # Guards against a process that is filled by what waits: it is bounded as all open requests are.
    def test_what_cannot_wait_for_lack_of_memory_is_failed(self) -> None:
        assert self.server.broker is not None
        self.server.broker._intake._memory_limit = 0
        self.play("send u1 approve-commit id=old\nexpect u1 502\nsend u2 fuzzy-match\nexpect u2 503")

    # Guards against a run that is lost from the log, as it was dropped when the file was locked for long.
    def test_what_is_recorded_while_the_file_is_locked_is_written_afterwards(self) -> None:
        assert self.store is not None
        self.store.record(LogEntry("started", "a2", "approve-commit", "later", None, None, ""))
        time.sleep(1.5)  # longer than one try of the writer
        self.unlock()

        def is_written() -> bool:
            with closing(sqlite3.connect(self.path)) as database:
                rows = database.execute("select key from record where key = 'later'").fetchall()
            return bool(rows)

        self.until(is_written)
        self.assertEqual(self.dropped, 0)


class BeforeTheBackendIsUp(EarlierRunsWorld):
    banner = None

    def setUp(self) -> None:
        super().setUp()
        assert self.server.broker is None

    # Guards against a refusal of what ran, which its caller sends to another server, before the broker exists.
    def test_only_what_did_not_run_is_refused(self) -> None:
        self.play("send u1 approve-commit id=old\nexpect u1 502\nsend u2 approve-commit id=new\nexpect u2 502")
        self.unlock()
        self.play("send u3 approve-commit id=old\nexpect u3 502\nsend u4 approve-commit id=new\nexpect u4 503")
        self.play("send u5 fuzzy-match id=old\nexpect u5 503")
