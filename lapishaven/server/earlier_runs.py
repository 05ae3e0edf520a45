"""The keyed runs that earlier processes started, as the attempt log has them.

Until they have been read, no request with a key may run, as it may have run before, nor be refused, as its caller would
send it to another server. The file may be locked by another process. The event loop waits for it ``LOOP_WAIT_S`` at the
most; after that a thread reads it, again and again.
"""

from __future__ import annotations

import threading
from collections.abc import Callable

from lapishaven.attempt_log import AttemptLog, AttemptLogError, StartedRun
from lapishaven.core.execution_guard import EFFECT_RETENTION_S
from lapishaven.counters import Counters
from lapishaven.net.completion_queue import CompletionQueue
from lapishaven.net.loop import Loop

LOOP_WAIT_S = 0.05  # how long the event loop waits for a locked file, at the start and as the backend comes up
READ_WAIT_S = 1.0  # how long one try of the thread waits for it
RETRY_INTERVAL_S = 0.25  # between two tries
COUNTER_GROUP = "earlier runs"


class EarlierRuns:
    """Reads the attempt log as the server starts. Without a log there are no earlier runs.

    ``on_read`` is called on the event loop once they are known after a read of the thread.
    """

    def __init__(
        self,
        attempt_log: AttemptLog | None,
        loop: Loop,
        counters: Counters,
        log: Callable[[str], None],
        on_read: Callable[[], None],
    ) -> None:
        self.known = attempt_log is None
        """Whether the runs have been read."""
        self._attempt_log = attempt_log
        self._loop = loop
        self._counters = counters
        self._log = log
        self._on_read = on_read
        self._started_at: dict[tuple[str, str], float] = {}  # loop time by class name and key
        self._completions: CompletionQueue | None = None  # while the thread reads
        self._stop = threading.Event()

    def read(self) -> None:
        """Read the log, or have a thread read it if that takes longer than ``LOOP_WAIT_S``."""
        if self._attempt_log is None or self._completions is not None:
            return
        self.known = False
        try:
            self._take(self._attempt_log.started(EFFECT_RETENTION_S, LOOP_WAIT_S))
        except AttemptLogError as error:
            self._counters.add(COUNTER_GROUP, "reads failed")
            self._log(
                f"earlier runs cannot be read from {error}; requests with a key wait for them until their due time,"
                f" reading is repeated, each try waits up to {READ_WAIT_S:g} s"
            )
            self._read_in_background(self._attempt_log)

    def may_include(self, class_name: str, key: str) -> bool:
        """Whether an earlier process started the effect, as far as is known."""
        return not self.known or (class_name, key) in self._started_at

    def effects(self) -> list[tuple[str, str, float]]:
        """Class name, key and start in loop time of each run."""
        return [(class_name, key, started_at) for (class_name, key), started_at in self._started_at.items()]

    def close(self) -> None:
        """Stop reading."""
        self._stop.set()

    def _take(self, runs: list[StartedRun]) -> None:
        now = self._loop.now
        self._started_at = {(run.class_name, run.key): now - run.age_s for run in runs}
        self.known = True

    def _read_in_background(self, attempt_log: AttemptLog) -> None:
        completions = self._completions = CompletionQueue()
        self._loop.watch(completions.ready, 1, lambda mask: completions.run_pending())
        thread = threading.Thread(target=self._read_until_done, args=(attempt_log,), name="earlier runs", daemon=True)
        thread.start()

    def _read_until_done(self, attempt_log: AttemptLog) -> None:
        """Runs on the thread."""
        while not self._stop.is_set():
            try:
                runs = attempt_log.started(EFFECT_RETENTION_S, READ_WAIT_S)
            except AttemptLogError:
                self._post(lambda: self._counters.add(COUNTER_GROUP, "reads failed"))
                self._stop.wait(RETRY_INTERVAL_S)
                continue
            self._post(lambda runs=runs: self._finish(runs))  # type: ignore[misc]
            return

    def _post(self, callback: Callable[[], None]) -> None:
        if self._completions is not None:
            self._completions.post(callback)

    def _finish(self, runs: list[StartedRun]) -> None:
        """The thread has read the log. Runs on the event loop."""
        completions, self._completions = self._completions, None
        self._take(runs)
        self._log(f"earlier runs have been read: {len(runs)}")
        if completions is not None:
            self._loop.unwatch(completions.ready)
            self._loop.at(self._loop.now, completions.close)
        self._on_read()
