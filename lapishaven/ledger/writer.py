"""The thread that makes operations durable, by group commit: what comes during one transaction goes into the next."""

from __future__ import annotations

import threading
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from lapishaven.ledger.database import LedgerDatabase, LedgerError, Operation, OperationOutcome
from lapishaven.ledger.transitions import EffectEvent

MAX_GROUP = 256  # operations of one transaction
MIN_RETRY_PAUSE_S, MAX_RETRY_PAUSE_S = 0.05, 0.5  # after a failure; doubled each time
WhenWritten = Callable[[OperationOutcome | None], None]  # None: it could not be made durable


@dataclass(slots=True, eq=False)
class PendingWrite:
    """An operation that waits, and who is notified of its outcome."""

    operation: Operation
    when_written: WhenWritten

    @property
    def must_be_written(self) -> bool:
        """Whether it says how a run ended. Without its intent a run does not start, so an intent may be dropped."""
        return self.operation.event is not EffectEvent.INTEND


class Writer:
    """Writes operations in their order. Its callbacks are called on its own thread.

    An intent that cannot be written is given up. What says how a run ended is tried again until it is durable or the
    writer is closed. ``group_ended`` is called with the size of each group that is settled, and whether it is durable.

    Attributes:
        commits: transactions that were written.
        operations: operations in them.
        failures: transactions that failed.
    """

    def __init__(self, database: LedgerDatabase, group_ended: Callable[[int, bool], None]) -> None:
        self._database = database
        self._group_ended = group_ended
        self._pending: deque[PendingWrite] = deque()
        self._changed = threading.Condition()  # guards _pending and _closing
        self._closing = False
        self.commits = 0
        self.operations = 0
        self.failures = 0
        self._thread = threading.Thread(target=self._run, name="record", daemon=True)
        self._thread.start()

    def submit(self, operation: Operation, when_written: WhenWritten) -> None:
        """Have the operation written; never waits for the file."""
        with self._changed:
            self._pending.append(PendingWrite(operation, when_written))
            self._changed.notify()

    def close(self, timeout: float) -> None:
        """Write what is pending, then end. What is not written within ``timeout`` s stays uncertain in the file."""
        with self._changed:
            self._closing = True
            self._changed.notify()
        self._thread.join(timeout)

    def _run(self) -> None:
        pause_s = MIN_RETRY_PAUSE_S
        while True:
            group, closing = self._next_group()
            if not group:
                return
            try:
                outcomes = self._database.write([write.operation for write in group])
            except LedgerError:
                self._group_failed(group, closing)
                time.sleep(pause_s)
                pause_s = min(MAX_RETRY_PAUSE_S, 2 * pause_s)
                continue
            pause_s = MIN_RETRY_PAUSE_S
            self._group_written(group, outcomes)

    def _next_group(self) -> tuple[list[PendingWrite], bool]:
        """Wait for operations; gives them, and whether the writer is closing.

        The group is empty once the writer is closing and nothing is left.
        """
        with self._changed:
            while not self._pending and not self._closing:
                self._changed.wait()
            group = [self._pending.popleft() for _ in range(min(MAX_GROUP, len(self._pending)))]
            return group, self._closing

    def _group_failed(self, group: list[PendingWrite], closing: bool) -> None:
        self.failures += 1
        retried = [] if closing else [write for write in group if write.must_be_written]
        given_up = [write for write in group if closing or not write.must_be_written]
        with self._changed:
            self._pending.extendleft(reversed(retried))
        self._group_ended(len(given_up), False)
        for write in given_up:
            write.when_written(None)

    def _group_written(self, group: list[PendingWrite], outcomes: list[OperationOutcome]) -> None:
        self.commits += 1
        self.operations += len(group)
        self._group_ended(len(group), True)
        for write, outcome in zip(group, outcomes, strict=True):
            write.when_written(outcome)
