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
from lapishaven.proto.interpreter import MAX_RESULT_BYTES
from lapishaven.storage import Store, StoreError, StoreFullError

MAX_EFFECTS = 100_000  # default of ``limit``
STALL_S = 0.5  # age of the oldest unfinished write above which no new run is admitted
RETRY_AFTER_S = 1.0  # used if it is unknown when there will be capacity
EXPIRY_INTERVAL_S = 10.0  # time between two removals of expired effects
# Room that is kept for the result of each run in progress: the longest result of a backend, with its key and head.
RESULT_RESERVE_BYTES = MAX_RESULT_BYTES + 1024


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
        self._reserved_for: set[bytes] = set()  # store keys of the runs for whose results there is room
        self._completions = CompletionQueue()
        self._write_lock = threading.Lock()  # guards _write_started_at
        self._write_started_at: deque[float] = deque()  # start time of each unfinished write, oldest first
        self._last_expiry_at = wall()  # when expired effects were last removed
        for store_key, value, _ in store.scan():
            with suppress(ValueError):  # a value that is not a stored effect is skipped
                self.index.restore(store_key, decode(value))

    @property
    def ready(self) -> int:
        """A file descriptor that is readable when ``process_completions`` should be called."""
        return self._completions.ready

    @staticmethod
    def store_key(class_name: str, key: str) -> bytes:
        """The key under which an effect is stored in the embedded store."""
        return f"{class_name}\0{key}".encode()

    # ---- Implementation of core.ports.DurableResultStore
    def find(self, class_name: str, key: str) -> Entry:
        """What is known of an effect, from memory."""
        return self.index.find(self._wall(), self.store_key(class_name, key))

    def record_intent(
        self, class_name: str, key: str, submission: Submission, callback: IntentCallback
    ) -> float | None:
        """Write the intent; ``callback`` is called with whether it is durable.

        It is rejected if there is no room for the result as well: a run whose result cannot be kept would be lost.
        Returns ``None``, or the seconds after which to retry if the intent is rejected; ``callback`` is then never
        called.
        """
        wall_time = self._wall()
        store_key = self.store_key(class_name, key)
        retry_after = self._retry_after(wall_time)
        if retry_after is not None:
            return retry_after
        try:
            value = encode(wall_time, None, submission.body_digest)
            self.store.reserve(RESULT_RESERVE_BYTES)
            self._reserved_for.add(store_key)
            future = self.store.put(store_key, value, wall_time + self.index.lifetime_s)
        except StoreFullError as error:
            self._release_reservation(store_key)
            return error.retry_after_s or RETRY_AFTER_S
        except (StoreError, ValueError):
            self._release_reservation(store_key)
            return RETRY_AFTER_S
        self.index.mark_running(wall_time, store_key, submission.body_digest)

        def intent_written(durable: bool) -> None:
            callback(IntentOutcome.RECORDED if durable else IntentOutcome.NOT_RECORDED)

        self._notify_when_durable(future, intent_written)
        return None

    def _retry_after(self, wall_time: float) -> float | None:
        """``None`` if a new effect is admitted, else the seconds after which to retry."""
        if wall_time - self._last_expiry_at > EXPIRY_INTERVAL_S:
            self._last_expiry_at = wall_time
            self.index.remove_expired(wall_time)
        if len(self.index) >= self.limit:
            self.index.remove_expired(wall_time)
            if len(self.index) >= self.limit:
                return self.index.next_expiry_in(wall_time) or RETRY_AFTER_S
        with self._write_lock:
            stalled = self._write_started_at and time.monotonic() - self._write_started_at[0] > STALL_S
        return RETRY_AFTER_S if stalled else None

    def record_result(self, class_name: str, key: str, result: bytes, callback: Callable[[bool], None]) -> None:
        """Write the result; ``callback`` is called with whether it is durable."""
        store_key = self.store_key(class_name, key)
        entry = self.index.find(self._wall(), store_key)
        try:
            value = encode(entry.since, result, entry.body_digest)
            future = self._put_result(store_key, value, entry.since + self.index.lifetime_s)
        except (StoreError, ValueError):
            self.index.mark_uncertain(store_key)
            self._completions.post(lambda: callback(False))
            return

        def result_written(durable: bool) -> None:
            if durable:
                self.index.mark_completed(self._wall(), store_key, result)
            else:
                self.index.mark_uncertain(store_key)
            callback(durable)

        self._notify_when_durable(future, result_written)

    def record_failure(self, class_name: str, key: str) -> None:
        """Note that the effect ran or may have run, and gave no result. Nothing is written, as the stored intent
        already means that."""
        store_key = self.store_key(class_name, key)
        self._release_reservation(store_key)
        self.index.mark_uncertain(store_key)

    def cancel_intent(self, class_name: str, key: str) -> None:
        """Remove an effect that provably never ran, which frees its key."""
        store_key = self.store_key(class_name, key)
        self.index.remove(store_key)
        self._release_reservation(store_key)
        with suppress(StoreError):  # the intent then stays, and a later process takes the effect as uncertain
            self.store.delete(store_key)

    def uncertain_effects(self) -> list[tuple[str, str, float]]:
        """Class, key and age in seconds of each effect that ran or may have run and has no result."""
        wall_time = self._wall()
        uncertain = []
        for store_key, entry in self.index.uncertain_entries():
            class_name, _, key = store_key.decode().partition("\0")
            uncertain.append((class_name, key, max(0.0, wall_time - entry.since)))
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

    # ---- Reservations for results
    def _put_result(self, store_key: bytes, value: bytes, expiry: float) -> Future[int]:
        """Put a result, in the room that was reserved with its intent if it was."""
        if store_key not in self._reserved_for:
            return self.store.put(store_key, value, expiry)
        self._reserved_for.discard(store_key)
        return self.store.put_reserved(store_key, value, expiry, RESULT_RESERVE_BYTES)

    def _release_reservation(self, store_key: bytes) -> None:
        """Give back the room for a result that will not come."""
        if store_key in self._reserved_for:
            self._reserved_for.discard(store_key)
            self.store.release(RESULT_RESERVE_BYTES)

    # ---- Callbacks from the store's thread
    def _notify_when_durable(self, future: Future[int], callback: Callable[[bool], None]) -> None:
        """Call ``callback`` on the event loop once the write has ended, with whether it is durable."""
        with self._write_lock:
            self._write_started_at.append(time.monotonic())

        def write_ended(future: Future[int]) -> None:
            with self._write_lock:
                if self._write_started_at:
                    self._write_started_at.popleft()  # writes end in the order in which they were started
            durable = future.exception() is None
            self._completions.post(lambda: callback(durable))

        future.add_done_callback(write_ended)
