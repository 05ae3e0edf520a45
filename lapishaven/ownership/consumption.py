"""Records what this server served on the event path; a background thread flushes it to the store."""

from __future__ import annotations

import threading

from lapishaven.core.deduplication import ClaimRegistry
from lapishaven.ownership.duties import periods
from lapishaven.ownership.fenced_store import FencedStore
from lapishaven.ownership.model import Clock

MAX_COUNTED_KEYS = 100_000
COUNTED_KEY_LIFETIME_S = 3600.0  # duplicates may arrive for 15 minutes


class ConsumptionRecorder:
    """Counts each idempotency key at most once. ``record`` never waits for the store."""

    def __init__(self, collector: periods.ConsumptionCollector, clock: Clock) -> None:
        self._collector = collector
        self._clock = clock
        self._lock = threading.Lock()  # protects the collector; never held during a call to the store
        self._counted_keys = ClaimRegistry(COUNTED_KEY_LIFETIME_S, MAX_COUNTED_KEYS)

    def record(self, team: str, class_name: str, weight: float, idempotency_key: str | None) -> None:
        """Record a request that was served. A duplicate that is answered with the first result is not counted again. A
        keyed request is not counted while no more keys can be remembered, so that no customer is charged twice."""
        if idempotency_key is not None:
            now = self._clock.now()
            counted_key = class_name, idempotency_key
            if self._counted_keys.is_full(now) or self._counted_keys.is_claimed(counted_key):
                return
            self._counted_keys.claim(now, counted_key)
        with self._lock:
            self._collector.record(self._clock.wall(), team, class_name, weight)

    def flush(self, store: FencedStore) -> None:
        """Store the pending rows. Raises ``FencedStoreError``; the next call then flushes them again."""
        with self._lock:
            rows = self._collector.pending_rows()
        if rows:
            store.write(lambda connection: periods.insert_rows(connection, rows))
            with self._lock:
                self._collector.confirm(rows)
