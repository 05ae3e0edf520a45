"""What this server served, recorded on the event path and flushed to the store in the background."""

from __future__ import annotations

import threading

from lapishaven.core.deduplication import ClaimRegistry
from lapishaven.ownership.duties import periods
from lapishaven.ownership.fenced_store import FencedStore
from lapishaven.ownership.model import Clock

MAX_COUNTED_KEYS = 100_000
COUNTED_KEY_LIFETIME_S = 3600.0  # a duplicate may arrive for 15 minutes


class ConsumptionRecorder:
    """Counts each idempotency key once. ``record`` never waits for the store."""

    def __init__(self, collector: periods.ConsumptionCollector, clock: Clock) -> None:
        self._collector = collector
        self._clock = clock
        self._lock = threading.Lock()  # of the collector; held for moments only
        self._counted_keys = ClaimRegistry(COUNTED_KEY_LIFETIME_S, MAX_COUNTED_KEYS)

    def record(self, team: str, class_name: str, weight: float, idempotency_key: str | None) -> None:
        """One request was served. A duplicate that is answered with the first result is not counted again. Nor is a
        keyed request where no more keys can be remembered: that is not in the customer's disfavour."""
        if idempotency_key is not None:
            now = self._clock.now()
            counted_key = class_name, idempotency_key
            if self._counted_keys.is_full(now) or self._counted_keys.is_claimed(counted_key):
                return
            self._counted_keys.claim(now, counted_key)
        with self._lock:
            self._collector.record(self._clock.wall(), team, class_name, weight)

    def flush(self, store: FencedStore) -> None:
        """Store what is pending. Raises ``FencedStoreError``; the rows are then flushed again with the next call."""
        with self._lock:
            rows = self._collector.pending_rows()
        if rows:
            store.write(lambda base: periods.insert_rows(base, rows))
            with self._lock:
                self._collector.confirm(rows)
