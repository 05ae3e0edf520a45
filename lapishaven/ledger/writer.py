"""The writer thread of the ledger (group commit): operations that arrive during a transaction go into the next one."""

from __future__ import annotations

import threading
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from lapishaven.ledger.database import LedgerDatabase, LedgerError, Operation, OperationOutcome
from lapishaven.ledger.transitions import EffectEvent

MAX_GROUP = 256  # operations per transaction
MIN_RETRY_PAUSE_S, MAX_RETRY_PAUSE_S = 0.05, 0.5  # after a failed transaction; doubled each time
WriteCallback = Callable[[OperationOutcome | None], None]  # None: the operation could not be made durable


@dataclass(slots=True, eq=False)
class PendingWrite:
    """A queued operation and the callback for its outcome."""

    operation: Operation
    on_written: WriteCallback

    @property
    def must_be_written(self) -> bool:
        """Whether a failed write must be retried, as the operation records how a run ended.

        An intent may be dropped: without it the run does not start.
        """
        return self.operation.event is not EffectEvent.INTEND


class Writer:
    """Writes operations in order. Callbacks are called on the writer thread.

    An intent that cannot be written is given up. An operation that records how a run ended is retried until it is
    durable or the writer is closed. ``on_settled`` is called after each transaction with the number of operations that
    were written or given up, and whether they are durable.

    Attributes:
        commits: transactions committed.
        operations: operations in those transactions.
        failures: transactions that failed.
    """

    def __init__(self, database: LedgerDatabase, on_settled: Callable[[int, bool], None]) -> None:
        self._database = database
        self._on_settled = on_settled
        self._pending: deque[PendingWrite] = deque()
        self._condition = threading.Condition()  # guards _pending and _closing
        self._closing = False
        self.commits = 0
        self.operations = 0
        self.failures = 0
        self._thread = threading.Thread(target=self._run, name="record", daemon=True)
        self._thread.start()

    def submit(self, operation: Operation, on_written: WriteCallback) -> None:
        """Queue an operation to be written. Never waits for the file."""
        with self._condition:
            self._pending.append(PendingWrite(operation, on_written))
            self._condition.notify()

    def close(self, timeout_s: float) -> None:
        """Write pending operations and stop the thread.

        Effects whose outcome is not written within ``timeout_s`` stay uncertain in the file.
        """
        with self._condition:
            self._closing = True
            self._condition.notify()
        self._thread.join(timeout_s)

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
        """Wait for operations; returns them, and whether the writer is closing.

        The group is empty once the writer is closing and nothing is pending.
        """
        with self._condition:
            while not self._pending and not self._closing:
                self._condition.wait()
            group = [self._pending.popleft() for _ in range(min(MAX_GROUP, len(self._pending)))]
            return group, self._closing

    def _group_failed(self, group: list[PendingWrite], closing: bool) -> None:
        self.failures += 1
        retried = [] if closing else [write for write in group if write.must_be_written]
        given_up = [write for write in group if closing or not write.must_be_written]
        with self._condition:
            self._pending.extendleft(reversed(retried))
        self._on_settled(len(given_up), False)
        for write in given_up:
            write.on_written(None)

    def _group_written(self, group: list[PendingWrite], outcomes: list[OperationOutcome]) -> None:
        self.commits += 1
        self.operations += len(group)
        self._on_settled(len(group), True)
        for write, outcome in zip(group, outcomes, strict=True):
            write.on_written(outcome)
