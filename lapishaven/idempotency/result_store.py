"""Results by idempotency key in the embedded store. The store's thread writes, so the event loop never waits."""

from __future__ import annotations

import threading
import time
from collections import deque
from collections.abc import Callable
from concurrent.futures import Future
from contextlib import suppress

from lapishaven.core.ports import IntentCallback, IntentOutcome
from lapishaven.core.requests import Submission
from lapishaven.idempotency.result_index import Entry, ResultIndex, decode, encode
from lapishaven.net.completion_queue import CompletionQueue
from lapishaven.storage import Store, StoreError, StoreFullError

MAX_EFFECTS = 100_000
STALL_S = 0.5  # age of the oldest unfinished write above which no new run is admitted
RETRY_AFTER_S = 1.0  # used if it is unknown when there will be capacity
EXPIRY_INTERVAL_S = 10.0  # time between two removals of expired effects


class DurableResults:
    """Records effects in the embedded store and answers repeats of them. See ``core.ports.DurableResultStore``.

    Parameters:
        store: the embedded store; this object closes it.
        lifetime_s: how long an effect is remembered, counted from its start.
        limit: number of remembered effects at which no new one is admitted.
        wall: clock that gives Unix seconds.
    """

    label = "storage"

    def __init__(
        self, store: Store, lifetime_s: float, limit: int = MAX_EFFECTS, wall: Callable[[], float] = time.time
    ) -> None:
        self.store = store
        self.limit = limit
        self._wall = wall
        self.index = ResultIndex(lifetime_s)
        self._completions = CompletionQueue()
        self._write_lock = threading.Lock()  # guards _write_started_at
        self._write_started_at: deque[float] = deque()  # start time of each unfinished write, oldest first
        self._expired_at = wall()
        for store_key, value, _ in store.scan():
            with suppress(ValueError):
                self.index.restore(store_key, decode(value))

    @property
    def ready(self) -> int:
        """A file descriptor that is readable when ``process_completions`` should be called."""
        return self._completions.ready

    @staticmethod
    def store_key(cls: str, key: str) -> bytes:
        """The key under which an effect is stored in the embedded store."""
        return f"{cls}\0{key}".encode()

    # ---- Implementation of core.ports.DurableResultStore
    def find(self, cls: str, key: str) -> Entry:
        """What is known of an effect."""
        return self.index.find(self._wall(), self.store_key(cls, key))

    def record_intent(self, cls: str, key: str, sub: Submission, then: IntentCallback) -> float | None:
        """Write the intent; ``then`` is called with whether it is durable.

        Returns ``None``, or the seconds after which to retry if the intent is rejected; ``then`` is not called then.
        """
        wall = self._wall()
        store_key = self.store_key(cls, key)
        retry_after = self._retry_after(wall)
        if retry_after is not None:
            return retry_after
        try:
            future = self.store.put(store_key, encode(wall, None), wall + self.index.lifetime_s)
        except StoreFullError as error:
            return error.retry_after_s or RETRY_AFTER_S
        except (StoreError, ValueError):
            return RETRY_AFTER_S
        self.index.mark_running(wall, store_key)

        def intent_written(durable: bool) -> None:
            then(IntentOutcome.RECORDED if durable else IntentOutcome.NOT_RECORDED)

        self._notify_when_durable(future, intent_written)
        return None

    def _retry_after(self, wall: float) -> float | None:
        """``None`` if a new effect is admitted, else the seconds after which to retry."""
        if wall - self._expired_at > EXPIRY_INTERVAL_S:
            self._expired_at = wall
            self.index.remove_expired(wall)
        if len(self.index) >= self.limit:
            self.index.remove_expired(wall)
            if len(self.index) >= self.limit:
                return self.index.next_expiry_in(wall) or RETRY_AFTER_S
        with self._write_lock:
            stalled = self._write_started_at and time.monotonic() - self._write_started_at[0] > STALL_S
        return RETRY_AFTER_S if stalled else None

    def record_result(self, cls: str, key: str, result: bytes, then: Callable[[bool], None]) -> None:
        """Write the result; ``then`` is called with whether it is durable."""
        store_key = self.store_key(cls, key)
        since = self.index.find(self._wall(), store_key).since
        try:
            future = self.store.put(store_key, encode(since, result), since + self.index.lifetime_s)
        except (StoreError, ValueError):
            self.index.mark_uncertain(store_key)
            self._completions.post(lambda: then(False))
            return

        def result_written(durable: bool) -> None:
            if durable:
                self.index.mark_completed(self._wall(), store_key, result)
            else:
                self.index.mark_uncertain(store_key)
            then(durable)

        self._notify_when_durable(future, result_written)

    def record_failure(self, cls: str, key: str) -> None:
        """Note that the effect ran and gave no result. The stored intent already means that, so nothing is written."""
        self.index.mark_uncertain(self.store_key(cls, key))

    def cancel_intent(self, cls: str, key: str) -> None:
        """Remove an effect that provably never ran, which frees its key."""
        store_key = self.store_key(cls, key)
        self.index.remove(store_key)
        with suppress(StoreError):
            self.store.delete(store_key)

    def uncertain_effects(self) -> list[tuple[str, str, float]]:
        """Class, key and age in seconds of each effect that ran or may have run and has no result."""
        wall = self._wall()
        uncertain = []
        for store_key, entry in self.index.uncertain_entries():
            cls, _, key = store_key.decode().partition("\0")
            uncertain.append((cls, key, max(0.0, wall - entry.since)))
        return uncertain

    def process_completions(self) -> None:
        """Call the callbacks of writes that have ended. Runs on the event loop."""
        self._completions.run_pending()

    def state(self) -> dict[str, int]:
        """Figures by name, for operators."""
        stats = self.store.stats
        syncs = sorted(stats.sync_seconds)
        return {
            "effects": len(self.index),
            "in doubt": sum(1 for _ in self.index.uncertain_entries()),
            "commits": stats.commits,
            "refused": stats.rejected,
            "failed": stats.failed,
            "damaged": len(self.store.damage),
            "bytes": self.store.disk_bytes,
            "fsync p99 us": round(syncs[int(len(syncs) * 0.99)] * 1e6) if syncs else 0,
        }

    def close(self) -> None:
        """Write all queued changes and close the store."""
        self.store.close()
        self._completions.close()

    # ---- Callbacks from the store's thread
    def _notify_when_durable(self, future: Future[int], then: Callable[[bool], None]) -> None:
        """Call ``then`` on the event loop once the write has ended, with whether it is durable."""
        with self._write_lock:
            self._write_started_at.append(time.monotonic())

        def write_ended(future: Future[int]) -> None:
            with self._write_lock:
                if self._write_started_at:
                    self._write_started_at.popleft()  # writes end in the order in which they were started
            durable = future.exception() is None
            self._completions.post(lambda: then(durable))

        future.add_done_callback(write_ended)
