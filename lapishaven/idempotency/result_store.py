"""Results by idempotency key in the embedded store. The store's own thread writes, so the event loop never waits."""

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
STALL_S = 0.5  # age of the oldest write from which no new run is admitted
RETRY_AFTER_S = 1.0  # where it is not known when there will be capacity
EXPIRY_INTERVAL_S = 10.0  # between two removals of what is past its lifetime


class DurableResults:
    """Records effects in the store and answers repeats of them. See ``core.ports.DurableResultStore``.

    Parameters:
        store: belongs to this object from now on.
        lifetime_s: s for which an effect is remembered since it began.
        limit: effects that are remembered; past it no new one is admitted.
        wall: Unix seconds.
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
        self._write_started_at: deque[float] = deque()  # when each write under way was begun, oldest first
        self._expired_at = wall()
        for name, value, _ in store.scan():
            with suppress(ValueError):
                self.index.restore(name, decode(value))

    @property
    def ready(self) -> int:
        """A descriptor that is readable when ``process_completions`` should be called."""
        return self._completions.ready

    @staticmethod
    def store_key(cls: str, key: str) -> bytes:
        """The key under which an effect is stored."""
        return f"{cls}\0{key}".encode()

    # ---- The core's port
    def find(self, cls: str, key: str) -> Entry:
        """What is known of an effect."""
        return self.index.find(self._wall(), self.store_key(cls, key))

    def record_intent(self, cls: str, key: str, sub: Submission, then: IntentCallback) -> float | None:
        """Make the intent durable; ``then`` gets whether it is.

        Returns seconds after which to retry if it is not even tried, else ``None``.
        """
        wall = self._wall()
        name = self.store_key(cls, key)
        retry_after = self._retry_after(wall)
        if retry_after is not None:
            return retry_after
        try:
            future = self.store.put(name, encode(wall, None), wall + self.index.lifetime_s)
        except StoreFullError as full:
            return full.frees_in or RETRY_AFTER_S
        except (StoreError, ValueError):
            return RETRY_AFTER_S
        self.index.mark_running(wall, name)

        def intent_written(durable: bool) -> None:
            then(IntentOutcome.RECORDED if durable else IntentOutcome.NOT_RECORDED)

        self._notify_when_durable(future, intent_written)
        return None

    def _retry_after(self, wall: float) -> float | None:
        """Why no new effect is admitted, as the seconds until one might be; ``None`` if one is."""
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
        """Make the result durable; ``then`` gets whether it is."""
        name = self.store_key(cls, key)
        since = self.index.find(self._wall(), name).since
        try:
            future = self.store.put(name, encode(since, result), since + self.index.lifetime_s)
        except (StoreError, ValueError):
            self.index.mark_uncertain(name)
            self._completions.post(lambda: then(False))
            return

        def written(durable: bool) -> None:
            if durable:
                self.index.mark_completed(self._wall(), name, result)
            else:
                self.index.mark_uncertain(name)
            then(durable)

        self._notify_when_durable(future, written)

    def record_failure(self, cls: str, key: str) -> None:
        """It ran and gave no result; the intent that is stored says just that."""
        self.index.mark_uncertain(self.store_key(cls, key))

    def cancel_intent(self, cls: str, key: str) -> None:
        """It provably never ran: its key is free."""
        name = self.store_key(cls, key)
        self.index.remove(name)
        with suppress(StoreError):
            self.store.delete(name)

    def uncertain_effects(self) -> list[tuple[str, str, float]]:
        """Class, key and age in seconds of what may have run without a result."""
        wall = self._wall()
        found = []
        for name, entry in self.index.uncertain_entries():
            cls, _, key = name.decode().partition("\0")
            found.append((cls, key, max(0.0, wall - entry.since)))
        return found

    def process_completions(self) -> None:
        """On the event loop: notify of what became durable since."""
        self._completions.run_pending()

    def state(self) -> dict[str, int]:
        """Gauges by name, for operators."""
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
        """Close the store. All that was begun is durable after this."""
        self.store.close()
        self._completions.close()

    # ---- From the store's thread
    def _notify_when_durable(self, future: Future[int], then: Callable[[bool], None]) -> None:
        """Have ``then`` called on the event loop with whether the write is durable."""
        with self._write_lock:
            self._write_started_at.append(time.monotonic())

        def ended(future: Future[int]) -> None:
            with self._write_lock:
                if self._write_started_at:
                    self._write_started_at.popleft()  # writes end in their order
            durable = future.exception() is None
            self._completions.post(lambda: then(durable))

        future.add_done_callback(ended)
